//! Requests of two priorities that compete for servers of few slots.

use std::{
    process::Stdio,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    harness::{Daemon, Harness},
    standin::{caller, cluster, config, rule, store::Store},
};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

/// The servers of the service without keys.
const SERVERS: usize = 2;

/// The requests that a server runs at a time. It refuses others at once.
const SLOTS: usize = 2;

/// The requests of each class.
const REQUESTS: usize = 110;

/// The interval at which a request of each class is sent: 1.5 times what the servers can do.
const INTERVAL: Duration = Duration::from_millis(91);

/// A class of requests.
#[derive(Debug, Clone, Copy)]
struct Class {
    prefix: &'static str,
    work: Duration,
    deadline: Duration,
    objective_ms: u64,
}

const SHORT: Class = Class {
    prefix: "short",
    work: Duration::from_millis(75),
    deadline: Duration::from_secs(1),
    objective_ms: 700,
};

const LONG: Class = Class {
    prefix: "long",
    work: Duration::from_millis(470),
    deadline: Duration::from_secs(4),
    objective_ms: 3_000,
};

/// What callers of one class got.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    answered: usize,
    refused: usize,
    other: usize,
    /// The sum of the times until the answer, in seconds.
    time_s: f64,
}

/// Serves a connection until it ends.
async fn serve(mut stream: TcpStream, slots: Arc<Semaphore>) -> Option<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).unwrap();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix(caller::ID_LINE));
        let response = match slots.try_acquire() {
            Ok(_slot) => {
                let is_long = head.contains(LONG.prefix);
                sleep(if is_long { LONG.work } else { SHORT.work }).await;
                caller::answer_head(id.unwrap_or_default(), "content-length: 2") + "ok"
            }
            Err(_) => caller::refusal_head(id),
        };
        stream.write_all(response.as_bytes()).await.ok()?;
    }
}

/// Registers a server of `pay`.
async fn register_server(store: &Store, id: &str) -> [JoinHandle<()>; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let slots = Arc::new(Semaphore::new(SLOTS));
    let server = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(serve(stream, slots.clone()));
        }
    });
    [server, caller::register(store.writer(), id, "pay", address)]
}

fn route(class: Class, priority: u32) -> Value {
    let mut route = rule(class.prefix, "idempotent", "pay");
    route["priority"] = json!(priority);
    route["targetLatency"] = json!(format!("{}ms", class.objective_ms));
    route["action"]["timeout"] = json!(format!("{}ms", class.deadline.as_millis()));
    route
}

async fn send(harness: &Harness, class: Class, number: usize) -> (Option<StatusCode>, Duration) {
    let url = harness.daemons[0].url(0, &format!("/{}/1", class.prefix));
    let request = Request::get(url).header("host", "app.example");
    let id = format!("{}-{number}", class.prefix);
    let request = caller::asking_within(request, &id, 1, class.deadline);
    let started = Instant::now();
    let response = harness
        .client
        .request(request.body(Full::default()).unwrap())
        .await;
    let Ok(response) = response else {
        return (None, started.elapsed());
    };
    let status = response.status();
    let _ = response.into_body().collect().await;
    (Some(status), started.elapsed())
}

/// Sends requests of both classes, of these priorities, and returns what callers got.
async fn play(priorities: [u32; 2]) -> [Outcome; 2] {
    let mut harness = Harness::start(0).await;
    harness.servers.truncate(crate::harness::SERVERS);
    let [short, long] = priorities;
    let rules = [
        rule("cups", "idempotent", "cups"),
        route(SHORT, short),
        route(LONG, long),
    ];
    let clusters = [cluster("cups", true), cluster("pay", false)];
    harness.store.configure(&config(5, &rules, &clusters));
    let mut tasks = Vec::new();
    for number in 0..SERVERS {
        let id = format!("few-{number}");
        tasks.extend(register_server(&harness.store, &id).await);
    }
    let daemon = Daemon::start(&harness.store, Stdio::null());
    harness.daemons.push(daemon);
    harness.wait_served().await;
    let harness = Arc::new(harness);
    let mut sends = JoinSet::new();
    for number in 0..REQUESTS {
        for (index, class) in [SHORT, LONG].into_iter().enumerate() {
            let harness = harness.clone();
            sends.spawn(async move { (index, send(&harness, class, number).await) });
        }
        sleep(INTERVAL).await;
    }
    let mut outcomes = [Outcome::default(); 2];
    while let Some(ended) = sends.join_next().await {
        let (index, (status, time)) = ended.unwrap();
        let outcome = &mut outcomes[index];
        match status {
            Some(StatusCode::OK) => {
                outcome.answered += 1;
                outcome.time_s += time.as_secs_f64();
            }
            Some(StatusCode::SERVICE_UNAVAILABLE) => outcome.refused += 1,
            _ => outcome.other += 1,
        }
    }
    for task in tasks {
        task.abort();
    }
    for (class, outcome) in [SHORT, LONG].into_iter().zip(&outcomes) {
        let mean_ms = 1_000.0 * outcome.time_s / outcome.answered.max(1) as f64;
        println!(
            "{priorities:?} {}: {outcome:?}, mean {mean_ms:.0} ms",
            class.prefix
        );
    }
    outcomes
}

/// 75 ms at priority 1 beside 470 ms at priority 2, at 1.5 times what two servers of two slots can do, for 10 s.
///
/// Guards against urgent short requests that are refused because of long ones that matter less. With one priority,
/// requests are refused at once when no place is free.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_short_requests_are_refused_beside_long_ones() {
    let [alike, _] = play([1, 1]).await;
    let [short, long] = play([1, 2]).await;
    assert!(
        short.answered > alike.answered,
        "{short:?}, alike {alike:?}"
    );
    assert!(short.answered * 100 >= REQUESTS * 90, "{short:?}");
    assert!(short.answered >= long.answered, "{short:?} {long:?}");
    // No class is starved.
    let mean = (short.answered + long.answered) / 2;
    assert!(long.answered * 4 >= mean, "{short:?} {long:?}");
    // Nothing but answers and refusals that say that the request has not run.
    assert_eq!((short.other, long.other), (0, 0));
}
