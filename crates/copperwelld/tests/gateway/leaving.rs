//! Servers that leave, while the daemons hear of it late.

use std::{process::Stdio, time::Duration};

use crate::{
    harness::Harness,
    standin::{caller, store::Faults as StoreFaults},
};
use futures::future::join_all;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use test_case::test_case;
use tokio::time::{Instant, sleep, timeout};

/// How long a server may still get requests after the store has taken its word.
const DRAIN: Duration = Duration::from_secs(2);

const DAEMONS: usize = 4;

/// The servers of each service.
const SERVERS: usize = 6;

/// The servers of each service that leave, one after the other.
const LEAVERS: usize = 3;

/// The time between two servers that leave.
const LEAVE_INTERVAL: Duration = Duration::from_millis(700);

/// The time between two requests to a daemon, for each service.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// How many records a page of the store has, more than there are.
const PAGE_RECORDS: usize = 500;

/// How many it has where the list takes several pages.
const SHORT_PAGE_RECORDS: usize = 5;

/// Sends requests for both services to a daemon until `end`; returns how many there were without a key, and how many
/// of them were served.
async fn load(harness: &Harness, daemon: usize, end: Instant) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    for number in 0_usize.. {
        if Instant::now() >= end {
            break;
        }
        let key = u16::try_from(number * 977 % 65_536).unwrap();
        let one = |path: &'static str| async move {
            let url = harness.daemons[daemon].url(0, path);
            let request = Request::get(url).header("host", "app.example");
            let id = format!("{path}-{daemon}-{number}");
            let request = caller::asking(request, &id, key);
            let request = request.body(Full::default()).unwrap();
            let response = timeout(DRAIN, harness.client.request(request)).await;
            let response = response.ok()?.ok()?;
            let status = response.status();
            response.into_body().collect().await.ok()?;
            Some(status)
        };
        // A request with a key may wait for a holder, and must not hold the others up.
        let with_key = timeout(REQUEST_INTERVAL, one("/cups/1"));
        let (status, _) = tokio::join!(one("/pay/1"), with_key);
        sent += 1;
        served += usize::from(status == Some(StatusCode::OK));
        sleep(REQUEST_INTERVAL).await;
    }
    (sent, served)
}

/// Has servers of both services leave one after the other under load, while the store has `faults`; returns how
/// many requests reached each of them too late.
async fn leave(faults: StoreFaults, page_records: usize, is_announced: bool) -> Vec<usize> {
    let zones = vec!["here"; DAEMONS];
    let mut harness =
        Harness::start_with_servers(&zones, SERVERS, SERVERS, |_| Stdio::null()).await;
    harness.store.set_page_records(page_records);
    harness.wait_served().await;
    harness.store.set(faults);
    sleep(DRAIN).await;
    let mut left_at = Vec::new();
    let end = Instant::now() + LEAVE_INTERVAL * u32::try_from(2 * LEAVERS).unwrap() + 2 * DRAIN;
    let mut servers = std::mem::take(&mut harness.servers);
    let leaving = async {
        for number in 0..LEAVERS {
            for index in [number, SERVERS + number] {
                let server = &mut servers[index];
                let at = match is_announced {
                    true => server.announce_leaving(),
                    false => server.remove_registration(),
                };
                left_at.push((index, at));
                sleep(LEAVE_INTERVAL).await;
            }
        }
    };
    let loads = (0..DAEMONS).map(|daemon| load(&harness, daemon, end));
    let (counts, ()) = tokio::join!(join_all(loads), leaving);
    for (daemon, (sent, served)) in counts.into_iter().enumerate() {
        assert!(sent > 0 && served == sent, "{daemon}: {served} of {sent}");
    }
    let late = left_at.into_iter().map(|(index, at)| {
        let arrivals = servers[index].arrivals();
        arrivals.iter().filter(|one| **one > at + DRAIN).count()
    });
    late.collect()
}

#[test_case(0, 0, PAGE_RECORDS, true; "the store answers at once")]
#[test_case(700, 0, PAGE_RECORDS, true; "it is slow")]
#[test_case(700, 0, PAGE_RECORDS, false; "it is slow, and drops the entry")]
#[test_case(700, 0, SHORT_PAGE_RECORDS, true; "it is slow, and the list takes three pages")]
#[test_case(0, 700, PAGE_RECORDS, true; "its answers are late")]
#[test_case(1_300, 0, PAGE_RECORDS, true; "it is very slow")]
#[test_case(1_300, 0, PAGE_RECORDS, false; "it is very slow, and drops the entry")]
#[test_case(1_300, 0, SHORT_PAGE_RECORDS, true; "it is very slow, and the list takes three pages")]
#[test_case(0, 1_300, PAGE_RECORDS, true; "its answers are very late")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_a_server_that_leaves_after_its_drain_time(
    delay_ms: u64,
    late_ms: u64,
    page_records: usize,
    is_announced: bool,
) {
    let faults = StoreFaults {
        delay: Duration::from_millis(delay_ms),
        late_answers: Duration::from_millis(late_ms),
        ..StoreFaults::default()
    };
    let late = leave(faults, page_records, is_announced).await;
    assert_eq!(late, vec![0; 2 * LEAVERS]);
}
