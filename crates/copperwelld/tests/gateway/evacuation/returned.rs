//! Servers of a data centre whose evacuation has ended, which may be warm or cold.

use std::{sync::Arc, time::Duration};

use super::wait_known;
use crate::{
    harness::{CONDITION_TIMEOUT, Harness, SERVERS},
    standin::server::{Faults, Server},
    warmup::{LIMIT, ROUNDS_COLD, WARMUP, most_in_a_second, send_rounds, start_with},
};
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// The servers of the service, of which every second one is in the data centre that is evacuated. They are so few that the
/// share of one daemon exceeds the limit.
const OF_SERVICE: usize = 2;

/// A warm-up that ends after every test.
const LONG: &str = "150s";

/// What happens as the evacuation ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// The servers are cold.
    Cold,
    /// They are cold, and do not answer health checks.
    Silent,
    /// They are warm and do not answer, and restart while they are asked.
    Restarted,
    /// They are warm. The data centre is evacuated again while they are asked, and they become cold meanwhile.
    Again,
}

/// Starts daemons and servers, and evacuates the data centre `there`.
async fn evacuate(is_keyed: bool, warmup: &str) -> Harness {
    let harness = start_with(OF_SERVICE, is_keyed, warmup).await;
    for server in harness.servers[SERVERS..].iter().step_by(2) {
        server.set_zone("there");
    }
    let shared = Arc::new(harness);
    send_rounds(&shared, 20, "before").await;
    shared.store.evacuate("there");
    wait_known(&shared, "there", Some(OF_SERVICE / 2)).await;
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while there(&shared).any(|server| server.keys() > 0) {
        assert!(Instant::now() < deadline, "keys are held there");
        sleep(Duration::from_millis(50)).await;
    }
    Arc::into_inner(shared).unwrap()
}

/// Returns the servers in the data centre that is evacuated.
fn there(harness: &Harness) -> impl Iterator<Item = &Server> {
    harness.servers[SERVERS..].iter().step_by(2)
}

/// Has the servers there answer health checks or not. Their registrations come too late to tell that they are cold.
fn set_all(harness: &Harness, ignores_health_checks: bool) {
    for server in there(harness) {
        server.set(Faults {
            work: Duration::from_millis(10),
            ignores_health_checks,
            hides_warmup: true,
            ..Faults::default()
        });
    }
}

/// Returns the sum of a counter of all daemons for the checks of servers that have returned.
async fn checks(harness: &Harness, answer: &str) -> u64 {
    let name = format!("copperwell_gateway_return_checks_total{{answer=\"{answer}\"}} ");
    let mut sum = 0;
    for daemon in &harness.daemons {
        let metrics = daemon.metrics(&harness.client).await.unwrap();
        let mut values = metrics.lines().filter_map(|line| line.strip_prefix(&name));
        sum += values.next().map_or(0, |value| value.parse().unwrap());
    }
    sum
}

/// Waits until servers there have been asked by health checks since there were `before`.
async fn wait_asked(harness: &Harness, before: usize) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while health_checks(harness) == before {
        assert!(Instant::now() < deadline, "no health check");
        sleep(Duration::from_millis(5)).await;
    }
}

fn health_checks(harness: &Harness) -> usize {
    there(harness).map(Server::health_checks).sum()
}

/// Guards against warm servers that get no requests and no keys for all of their warm-up because their data centre was
/// evacuated.
#[test_case(false; "without keys")]
#[test_case(true; "with keys")]
#[tokio::test(flavor = "multi_thread")]
async fn warm_servers_stay_idle_after_an_evacuation(is_keyed: bool) {
    let shared = Arc::new(evacuate(is_keyed, LONG).await);
    let ended_at = Instant::now();
    shared.store.end_evacuation("there");
    let is_used = |server: &Server| {
        let starts = server.starts_within(&(ended_at..Instant::now()));
        most_in_a_second(&starts) > LIMIT
    };
    let deadline = ended_at + CONDITION_TIMEOUT;
    for round in 0.. {
        send_rounds(&shared, 10, &format!("after-{round}")).await;
        let is_any_used = match is_keyed {
            // A key moves only if that is of use.
            true => there(&shared).any(|server| server.keys() > 0 && is_used(server)),
            false => there(&shared).all(is_used),
        };
        if is_any_used {
            break;
        }
        assert!(Instant::now() < deadline, "warm servers stay idle");
    }
    assert!(checks(&shared, "warm").await > 0);
    assert_eq!(checks(&shared, "warming-up").await, 0);
}

/// Guards against cold servers that crash as an evacuation ends, since a response to a health check passes for theirs: the
/// daemons learn of the end at different times, and ask at once.
#[test_case(false, Trouble::Cold; "cold")]
#[test_case(true, Trouble::Cold; "cold, with keys")]
#[test_case(false, Trouble::Silent; "no answer")]
#[test_case(true, Trouble::Silent; "no answer, with keys")]
#[test_case(false, Trouble::Restarted; "restarted while it is asked")]
#[test_case(true, Trouble::Restarted; "restarted while it is asked, with keys")]
#[test_case(false, Trouble::Again; "evacuated again while it is asked")]
#[tokio::test(flavor = "multi_thread")]
async fn cold_servers_get_more_requests_than_they_take_after_an_evacuation(
    is_keyed: bool,
    trouble: Trouble,
) {
    let mut harness = evacuate(is_keyed, "3s").await;
    set_all(
        &harness,
        matches!(trouble, Trouble::Silent | Trouble::Restarted),
    );
    let before = health_checks(&harness);
    let mut cold_from = Instant::now();
    if trouble == Trouble::Cold || trouble == Trouble::Silent {
        there(&harness).for_each(|server| server.set_cold(WARMUP));
    }
    harness.store.end_evacuation("there");
    if trouble == Trouble::Restarted || trouble == Trouble::Again {
        wait_known(&harness, "there", None).await;
        let shared = Arc::new(harness);
        send_rounds(&shared, 2, "asking").await;
        wait_asked(&shared, before).await;
        harness = Arc::into_inner(shared).unwrap();
    }
    if trouble == Trouble::Again {
        harness.store.evacuate("there");
        wait_known(&harness, "there", Some(OF_SERVICE / 2)).await;
        cold_from = Instant::now();
        there(&harness).for_each(|server| server.set_cold(WARMUP));
        harness.store.end_evacuation("there");
    }
    if trouble == Trouble::Restarted {
        for number in (SERVERS..SERVERS + OF_SERVICE).step_by(2) {
            let server = &mut harness.servers[number];
            server
                .restart_cold(WARMUP, Duration::from_millis(800))
                .await;
        }
        cold_from = Instant::now();
        set_all(&harness, false);
    }
    let shared = Arc::new(harness);
    send_rounds(&shared, ROUNDS_COLD, "cold").await;
    let cold = cold_from..cold_from + WARMUP;
    for server in there(&shared) {
        let most = most_in_a_second(&server.starts_within(&cold));
        assert!(most <= LIMIT, "{most} in a second, allowed {LIMIT}");
    }
    // They are used again.
    set_all(&shared, false);
    let warm_at = Instant::now();
    let deadline = warm_at + CONDITION_TIMEOUT;
    while there(&shared).all(|server| server.arrivals().iter().all(|at| *at < warm_at)) {
        assert!(Instant::now() < deadline, "no server is used again");
        send_rounds(&shared, 5, &format!("{:?}", warm_at.elapsed())).await;
    }
}
