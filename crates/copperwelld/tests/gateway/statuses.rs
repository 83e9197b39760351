//! Servers whose answers have statuses that are not final ones of HTTP.

use crate::{
    harness::{CONDITION_TIMEOUT, Harness},
    standin::{
        cut::Cut,
        server::Server,
        statuses::{Form, Shape, Statuses},
    },
    status_caller::{SERVICE, ask, ask_until_run, check_not_final, configure},
};
use test_case::test_case;
use tokio::time::Instant;

/// The requests that run at the faulty server; after each it is paused for some seconds.
const REQUESTS: usize = 3;

async fn start() -> (Harness, Statuses) {
    let harness = Harness::start(1).await;
    harness.wait_served().await;
    let writer = harness.store.writer();
    let server = Statuses::start(&writer, "odd1", SERVICE, &Cut::default()).await;
    (harness, server)
}

/// Guards against callers that take a status which is no final one of HTTP for the end of their request: a 101 after
/// which their connection is no HTTP any more, or a number of which they do not know whether to ask again.
#[test_case(false, Form::Small; "without keys")]
#[test_case(false, Form::Long; "without keys, a long body")]
#[test_case(false, Form::Chunked; "without keys, a body without length")]
#[test_case(true, Form::Small; "with keys")]
#[test_case(true, Form::Chunked; "with keys, a body without length")]
#[tokio::test(flavor = "multi_thread")]
async fn status_that_is_not_final_reaches_the_caller(is_keyed: bool, form: Form) {
    let (harness, server) = start().await;
    configure(&harness, "non_idempotent", is_keyed).await;
    check_not_final(&harness.daemons[0], &server, form).await;
}

/// Guards against a request that may be repeated and fails for one faulty server, and against one that may not be
/// repeated and runs at two.
#[test_case("idempotent", "000 None"; "repeatable after 000")]
#[test_case("idempotent", "101 Switching Protocols"; "repeatable after 101")]
#[test_case("idempotent", "600 Odd"; "repeatable after 600")]
#[test_case("non_idempotent", "101 Switching Protocols"; "not repeatable after 101")]
#[test_case("non_idempotent", "600 Odd"; "not repeatable after 600")]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_tried_elsewhere_by_its_route(kind: &str, status: &'static str) {
    let (mut harness, faulty) = start().await;
    let writer = harness.store.writer();
    let sound = Server::start("sound", SERVICE, false, writer);
    harness.servers.push(sound.await);
    faulty.set(Shape {
        interim: "",
        status,
        form: Form::Small,
    });
    configure(&harness, kind, false).await;
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    let mut number = 0;
    let mut ran = 0;
    while ran < REQUESTS {
        assert!(Instant::now() < deadline, "{ran} at the faulty server");
        let id = format!("t{number}");
        number += 1;
        let statuses = ask(&harness.daemons[0], "POST", &id).await;
        if !faulty.runs().contains(&id) {
            continue;
        }
        ran += 1;
        let is_repeated = harness.servers.last().unwrap().runs().contains(&id);
        assert_eq!(is_repeated, kind == "idempotent", "{id}");
        let expected = if is_repeated { "200" } else { "502" };
        assert_eq!(statuses, [expected, "200"], "{id}");
    }
}

/// Guards against a final answer that is lost because interim ones came before it.
#[test_case("HTTP/1.1 100 Continue\r\n\r\n"; "a 100")]
#[test_case("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"; "102 twice")]
#[test_case("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"; "a 103")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_after_interim_answers_is_lost(interim: &'static str) {
    let (harness, server) = start().await;
    configure(&harness, "non_idempotent", false).await;
    for form in [Form::Small, Form::Long, Form::Chunked] {
        let status = "200 OK";
        server.set(Shape {
            interim,
            status,
            form,
        });
        let name = format!("{form:?}");
        for method in ["GET", "POST"] {
            let statuses = ask_until_run(&harness.daemons[0], &server, method, &name).await;
            assert_eq!(statuses, ["200", "200"], "{name} {method}");
        }
    }
    assert!(server.is_reused(), "a connection was closed");
}
