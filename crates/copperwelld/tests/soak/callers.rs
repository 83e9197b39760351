//! Callers that keep their connections, and what became of their requests.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{harness::HttpClient, standin::caller};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// The callers of each daemon.
const CALLERS: usize = 4;

/// The pause between a caller's requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..70;

/// How long a caller waits for a response, longer than any daemon works on one.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A request and what became of it.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) daemon: usize,
    pub(crate) path: String,
    pub(crate) is_repeatable: bool,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// The status and the body; `None` if there was no whole response.
    pub(crate) response: Option<(StatusCode, String)>,
}

/// Callers that send requests until they are stopped.
pub(crate) struct Callers {
    tasks: JoinSet<()>,
    stop: CancellationToken,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

/// One caller, of one daemon.
struct Caller {
    name: String,
    daemon: usize,
    /// The start of the daemon's URLs.
    base: String,
    client: HttpClient,
    random: SmallRng,
}

impl Callers {
    /// Starts callers of each daemon; `bases` are the starts of the daemons' URLs.
    pub(crate) fn start(seed: u64, bases: &[String]) -> Self {
        let mut callers = Self {
            tasks: JoinSet::new(),
            stop: CancellationToken::new(),
            outcomes: Arc::default(),
        };
        for (daemon, base) in bases.iter().enumerate() {
            for number in 0..CALLERS {
                let caller = Caller {
                    name: format!("caller-{daemon}-{number}"),
                    daemon,
                    base: base.clone(),
                    client: Client::builder(TokioExecutor::new()).build_http(),
                    random: SmallRng::seed_from_u64(seed ^ (daemon * CALLERS + number) as u64),
                };
                let (stop, outcomes) = (callers.stop.clone(), callers.outcomes.clone());
                callers.tasks.spawn(caller.run(stop, outcomes));
            }
        }
        callers
    }

    /// Stops the callers once their requests have ended; returns what became of all.
    pub(crate) async fn stop(mut self) -> Vec<Outcome> {
        self.stop.cancel();
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        std::mem::take(&mut *self.outcomes.lock().unwrap())
    }
}

impl Caller {
    async fn run(mut self, stop: CancellationToken, outcomes: Arc<Mutex<Vec<Outcome>>>) {
        let mut number = 0;
        while !stop.is_cancelled() {
            number += 1;
            let outcome = self.send(number).await;
            outcomes.lock().unwrap().push(outcome);
            let pause = self.random.random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn send(&mut self, number: usize) -> Outcome {
        let is_repeatable = self.random.random();
        let service = if is_repeatable { "cups" } else { "pay" };
        let id = format!("{}-{number}", self.name);
        let path = format!("/{service}/{id}");
        let key = self.random.random();
        let request = Request::get(format!("{}{path}", self.base)).header("host", "app.example");
        let request = caller::asking(request, &id, key).body(Full::default());
        let sent_at = Instant::now();
        let response = timeout(TIMEOUT, self.exchange(request.unwrap())).await;
        Outcome {
            id,
            daemon: self.daemon,
            path,
            is_repeatable,
            sent_at,
            ended_at: Instant::now(),
            response: response.ok().flatten(),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Option<(StatusCode, String)> {
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    }
}
