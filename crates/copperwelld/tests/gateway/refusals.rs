//! Faulty servers that write a refusal once more on a kept connection.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    harness::Harness,
    standin::caller::{answer_head, read_id, refusal_head, register},
};
use http::StatusCode;
use test_case::test_case;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// How long a request runs at a server.
const WORK: Duration = Duration::from_millis(40);

const REQUESTS: usize = 120;

/// The requests that have run, in order.
type Runs = Arc<Mutex<Vec<String>>>;

/// When and how a refusal is written once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Copy {
    /// When the next request arrives, with the id of the first.
    AtNext,
    /// When the next request arrives, without an id.
    AtNextUnnamed,
    /// While the next request runs, with an answer after it.
    Unasked,
}

/// Refuses the first request of a connection, and writes that refusal again for each further one, which runs.
async fn serve(mut stream: TcpStream, copy: Copy, runs: Runs) -> Option<()> {
    let first = read_id(&mut stream).await?;
    stream
        .write_all(refusal_head(Some(&first)).as_bytes())
        .await
        .ok()?;
    loop {
        let id = read_id(&mut stream).await?;
        runs.lock().unwrap().push(id.clone());
        let named = (copy != Copy::AtNextUnnamed).then_some(&*first);
        if copy == Copy::Unasked {
            sleep(WORK / 2).await;
        }
        stream
            .write_all(refusal_head(named).as_bytes())
            .await
            .ok()?;
        sleep(WORK).await;
        let answer = answer_head(&id, "content-length: 0");
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

#[test_case(Copy::AtNext, 1; "with its id")]
#[test_case(Copy::AtNext, 3; "with its id, three servers")]
#[test_case(Copy::AtNextUnnamed, 1; "without an id")]
#[test_case(Copy::AtNextUnnamed, 3; "without an id, three servers")]
#[test_case(Copy::Unasked, 1; "unasked")]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_runs_is_told_not_run_by_a_refusal_written_again(copy: Copy, servers: usize) {
    let mut harness = Harness::start(1).await;
    harness.wait_served().await;
    harness.servers.last_mut().unwrap().kill();
    let runs = Runs::default();
    for number in 0..servers {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let writer = harness.store.writer();
        register(writer, &format!("faulty{number}"), "pay", address);
        let runs = runs.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, copy, runs.clone()));
            }
        });
    }
    let mut refused = HashSet::new();
    for number in 0..REQUESTS {
        let id = format!("refused-{number}");
        let answer = harness.send(0, "/pay/1", &id, 7).await;
        if answer.is_some_and(|(status, _)| status == StatusCode::SERVICE_UNAVAILABLE) {
            refused.insert(id);
        }
        sleep(Duration::from_millis(10)).await;
    }
    sleep(WORK).await;
    let runs = runs.lock().unwrap().clone();
    assert!(!runs.is_empty());
    let once: HashSet<_> = runs.iter().cloned().collect();
    assert_eq!(once.len(), runs.len(), "a request ran twice");
    let wrong = once.intersection(&refused).count();
    assert_eq!(wrong, 0, "of {} that ran", runs.len());
}
