//! Evacuations of data centres, whoever has read them.

use std::{sync::atomic::Ordering, time::Duration};

use crate::{Fixture, upstream};
use copperwell_assignment::{
    driver::Environment,
    store_state::{Delta, ListVersion, UpstreamList},
};
use copperwell_routing::evacuation::{Evacuations, Version};
use tokio::time::sleep;

fn evacuations(offset: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        version: Version { era: 0, offset },
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    }
}

fn is_draining(fixture: &Fixture) -> bool {
    let registry = fixture.view.registry();
    registry.get("u1").unwrap().is_draining
}

/// Guards against a holder that loses requests while its keys migrate, that goes on to get them, or that gets none when
/// its data centre returns.
#[tokio::test(start_paused = true)]
async fn evacuated_holder_goes_on_to_serve_or_never_serves_again() {
    let fixture = Fixture::start().await;
    let view = &fixture.view;
    assert!(view.may_send(&upstream(), true) && view.may_send(&upstream(), false));
    view.update_evacuations(&evacuations(1, &["here"]));
    assert!(!view.may_send(&upstream(), false));
    sleep(Duration::from_millis(1_000)).await;
    assert!(view.may_send(&upstream(), true));
    sleep(Duration::from_millis(600)).await;
    assert!(!view.may_send(&upstream(), true));
    view.update_evacuations(&evacuations(2, &[]));
    assert!(view.may_send(&upstream(), true) && view.may_send(&upstream(), false));
    assert!(view.may_serve_keys("u1"));
}

/// Guards against an evacuation that others do not hear of before the list is read again, which may be slow, and
/// against one that their lists undo.
#[tokio::test(start_paused = true)]
async fn evacuation_waits_for_a_list_or_is_undone_by_one() {
    let fixture = Fixture::start().await;
    let view = &fixture.view;
    let delay_ms = &fixture.source.list_delay_ms;
    delay_ms.store(60_000, Ordering::Relaxed);
    let before = view.keys.store_state.list_version();
    view.apply_evacuations(&evacuations(3, &["here"]));
    let delta = view.keys.store_state.delta_for(1, before).unwrap();
    let Some(UpstreamList::Changed { changed, .. }) = delta.upstreams else {
        panic!("the list that is passed on has not changed");
    };
    assert!(changed[0].is_draining);
    assert_eq!(*view.keys.evacuations.borrow(), evacuations(3, &["here"]));
    // A leader that is cut off from the store, or of an earlier release.
    view.apply_evacuations(&evacuations(2, &[]));
    for number in 1..4 {
        view.apply_update(Delta {
            configuration: 1,
            difference: None,
            list: ListVersion { run: 9, number },
            age: Duration::ZERO,
            upstreams: Some(UpstreamList::Whole(vec![upstream()])),
        });
        assert!(is_draining(&fixture), "list {number}");
    }
    view.apply_evacuations(&evacuations(4, &[]));
    assert!(!is_draining(&fixture));
}

/// Guards against an evacuation whose end a daemon never hears of, since its leader does not know of evacuations, and
/// against reads of the store while nothing is evacuated or the leader knows of it.
#[tokio::test(start_paused = true)]
async fn end_of_an_evacuation_is_missed_under_a_leader_of_an_earlier_release() {
    let fixture = Fixture::start().await;
    fixture.receive_updates(1, Duration::from_secs(4)).await;
    let reads = || fixture.source.configuration_reads.load(Ordering::Relaxed);
    let before = reads();
    for _ in 0..3 {
        fixture
            .view
            .apply_evacuations(&evacuations(1, &["elsewhere"]));
        fixture.receive_updates(1, Duration::from_secs(4)).await;
    }
    assert_eq!(reads(), before, "reads though the leader knows of it");
    fixture.receive_updates(1, Duration::from_secs(9)).await;
    assert!(reads() > before);
    fixture.view.apply_evacuations(&evacuations(2, &[]));
    fixture.receive_updates(1, Duration::from_secs(2)).await;
    let before = reads();
    fixture.receive_updates(1, Duration::from_secs(20)).await;
    assert_eq!(reads(), before, "reads while nothing is evacuated");
}
