//! Servers whose answers have statuses that are not final ones of HTTP, behind another daemon.

use crate::{
    harness::Harness,
    standin::{
        caller::leads,
        cut::{Cut, How},
        statuses::{Form, Statuses},
    },
    status_caller::{SERVICE, check_not_final, configure},
    take_room,
};
use test_case::test_case;

/// Guards against a status that is no final one of HTTP and reaches a caller through another daemon.
#[test_case(false, Form::Small; "without keys")]
#[test_case(false, Form::Chunked; "without keys, a body without length")]
#[test_case(true, Form::Small; "with keys")]
#[tokio::test(flavor = "multi_thread")]
async fn relayed_status_that_is_not_final_reaches_the_caller(is_keyed: bool, form: Form) {
    let _room = take_room(4).await;
    let harness = Harness::start(2).await;
    harness.wait_served().await;
    let is_follower = |daemon: &usize| !leads(&harness.store, &harness.daemons[*daemon].name());
    let daemon = (0..2).find(is_follower).unwrap();
    let cut = Cut::default();
    cut.set(&[harness.daemons[daemon].child.id()], How::Reset);
    let server = Statuses::start(&harness.store.writer(), "odd1", SERVICE, &cut).await;
    configure(&harness, "non_idempotent", is_keyed).await;
    check_not_final(&harness.daemons[daemon], &server, form).await;
}
