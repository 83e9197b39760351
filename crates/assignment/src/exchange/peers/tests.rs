//! Which daemon should lead next.

use super::State;
use crate::{
    exchange::Request,
    reach::{Helper, Keyed},
    store_state::ListVersion,
    table::Version,
};
use copperwell_routing::UpstreamId;
use test_case::test_case;

const UPSTREAMS: usize = 20;

fn upstreams() -> impl Iterator<Item = UpstreamId> {
    (0..UPSTREAMS).map(|number| format!("u{number:02}").into())
}

fn call(state: &mut State, name: &str, strength: u32) {
    state.record_peer(&Request {
        from: name.into(),
        strength,
        knows: Version::default(),
        base: None,
        address: ([127, 0, 0, 1], 9).into(),
        configuration: 1,
        announced: 1,
        list: ListVersion::default(),
        store_age: None,
        reports: Vec::new(),
        quarantine: 0,
        limits: Vec::new(),
        limits_version: 0,
    });
}

fn report(state: &mut State, name: &str, lost: usize) {
    state.reports.add(Helper {
        name: name.into(),
        address: ([127, 0, 0, 1], 10).into(),
        zone: "here".into(),
        lost: upstreams().take(lost).collect(),
        leaving: Vec::new(),
    });
}

/// Guards against weak daemons that lead one after the other while many upstreams are down: those that had not reported
/// yet seemed to reach all of them.
#[test_case(None, "strong"; "the weak one has not reported")]
#[test_case(Some(12), "strong"; "both reach as many")]
#[test_case(Some(0), "weak"; "the weak one reaches far more")]
fn daemon_that_should_lead_next(weak_lost: Option<usize>, expected: &str) {
    let mut state = State {
        keyed: Keyed::new([upstreams().collect()]),
        ..State::default()
    };
    call(&mut state, "strong", 500);
    call(&mut state, "weak", 100);
    report(&mut state, "strong", 12);
    if let Some(lost) = weak_lost {
        report(&mut state, "weak", lost);
    }
    assert_eq!(&*state.candidates()[0].name, expected);
}
