//! Which requests a daemon that stops still sends.

use std::time::Duration;

use copperwell_routing::stop::Pending;
use test_case::test_case;
use tokio::time::Instant;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pending() -> Pending {
    Pending {
        usual: Some(ms(300)),
        objective: ms(400),
        time_left: ms(5_000),
        is_repeatable: true,
        is_whole: true,
    }
}

/// `needs_ms` is how much time the daemon must have left.
#[test_case(pending(), 600; "twice the usual time")]
#[test_case(Pending { is_repeatable: false, ..pending() }, 1_200; "may run once")]
#[test_case(Pending { usual: Some(ms(5)), ..pending() }, 400; "its objective")]
#[test_case(Pending { usual: None, ..pending() }, 1_600; "unknown")]
#[test_case(Pending { is_whole: false, ..pending() }, 5_000; "its body may take as long as the request")]
#[test_case(Pending { time_left: ms(250), ..pending() }, 250; "it ends by itself before")]
fn request_is_sent_that_will_be_broken_off(pending: Pending, needs_ms: u64) {
    let now = Instant::now();
    assert!(!pending.would_be_cut(now, now + ms(needs_ms)));
    assert!(pending.would_be_cut(now, now + ms(needs_ms - 1)));
}
