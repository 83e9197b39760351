//! Parsing of requests, and refusals by ingress.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use crate::fake::{FakeNetwork, call, get, not_run, request, send_raw, text_response};
use copperwell_keyspace::manifest::Limits;
use copperwell_message::{Class, Head, Reason, Repeat};
use test_case::test_case;
use uuid::{NoContext, Timestamp, Uuid};

/// Returns an idempotency key whose timestamp is `offset` after the present time.
fn key(offset: Duration) -> String {
    let created_at = SystemTime::now() + offset;
    let since = created_at.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let timestamp = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
    Uuid::new_v7(timestamp).to_string()
}

/// Sends a request and returns the head that the leader received.
async fn head_of(request: http::Request<http_body_util::Full<bytes::Bytes>>) -> Head {
    let received = Arc::new(Mutex::new(None));
    let recorded = received.clone();
    let fake = FakeNetwork::immediate(move |sent| {
        *recorded.lock().unwrap() = Some(sent.request.head);
        text_response("ok")
    });
    let response = call(fake.start().await, request).await;
    assert_eq!(response.outcome(), (200, "done", ""));
    received.lock().unwrap().take().unwrap()
}

#[tokio::test]
async fn response_of_the_owner_is_returned() {
    let fake = FakeNetwork::immediate(|sent| {
        assert_eq!(sent.to, "leader");
        text_response("the answer")
    });
    let response = call(fake.start().await, get("/calendar/cabin-17/slots?day=3")).await;
    assert_eq!(response.outcome(), (200, "done", ""));
    assert_eq!(response.text(), "the answer");
    assert_eq!(response.header("x-owner"), "it");
}

#[tokio::test]
async fn leader_receives_key_path_and_deadline() {
    let mut request = get("/calendar/cabin-17/slots?day=3");
    let headers = request.headers_mut();
    headers.insert("copperwell-deadline-ms", "1500".parse().unwrap());
    let head = head_of(request).await;
    assert_eq!((&*head.service, &*head.key), ("calendar", "cabin-17"));
    assert_eq!((&*head.method, &*head.path), ("GET", "/slots?day=3"));
    assert_eq!(head.class, Class::Interactive);
    assert_eq!(head.repeat, Repeat::Repeatable);
    assert!(head.deadline <= Duration::from_millis(1500));
    assert!(head.deadline > Duration::from_millis(500));
    let fingerprint = Head::fingerprint_of("calendar", "cabin-17", "GET", "/slots?day=3", b"");
    assert_eq!(head.fingerprint, fingerprint);
}

#[tokio::test]
async fn deadline_is_capped_by_the_service() {
    let mut request = get("/calendar/cabin-17");
    let headers = request.headers_mut();
    headers.insert("copperwell-deadline-ms", "99999999".parse().unwrap());
    let head = head_of(request).await;
    assert!(head.deadline <= Limits::default().deadline);
}

#[tokio::test]
async fn internal_headers_of_callers_are_dropped() {
    let mut request = get("/calendar/cabin-17");
    let headers = request.headers_mut();
    for (name, value) in [
        ("copperwell-epoch", "99"),
        ("copperwell-shard", "1"),
        ("connection", "x-private"),
        ("x-private", "1"),
        ("x-public", "2"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    let head = head_of(request).await;
    assert_eq!(head.headers, [("x-public".to_owned(), b"2".to_vec())]);
}

#[test_case("POST", Duration::ZERO; "made now")]
#[test_case("PATCH", Duration::from_millis(200); "clocks differ a little")]
#[test_case("PUT", Duration::ZERO; "idempotent method")]
#[tokio::test]
async fn idempotency_key_makes_a_request_run_at_most_once(method: &str, offset: Duration) {
    let key = key(offset);
    let mut request = request(method, "/calendar/cabin-17", "book");
    let headers = request.headers_mut();
    headers.insert("idempotency-key", key.parse().unwrap());
    let head = head_of(request).await;
    assert_eq!(head.repeat, Repeat::Once(key.parse().unwrap()));
}

#[test_case("", "idempotency-key-missing"; "missing")]
#[test_case("17", "idempotency-key-invalid"; "no uuid")]
#[test_case("7d444840-9dc0-11d1-b245-5ffdce74fad2", "idempotency-key-invalid"; "version 1")]
#[test_case("67e55044-10b1-426f-9247-bb680e5fe0c8", "idempotency-key-invalid"; "version 4")]
#[test_case("future", "idempotency-key-invalid"; "from the future")]
#[tokio::test]
async fn non_idempotent_request_needs_an_idempotency_key(value: &str, reason: &str) {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    for method in ["POST", "PATCH"] {
        let mut request = request(method, "/calendar/cabin-17", "book");
        let value = match value {
            "future" => key(Duration::from_secs(2)),
            other => other.to_owned(),
        };
        if !value.is_empty() {
            let headers = request.headers_mut();
            headers.insert("idempotency-key", value.parse().unwrap());
        }
        let response = call(address, request).await;
        assert_eq!(response.outcome(), (400, "not-run", reason));
        assert!(response.text().contains("UUIDv7"), "{}", response.text());
    }
}

#[tokio::test]
async fn two_idempotency_keys_are_refused() {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let mut request = request("POST", "/calendar/cabin-17", "book");
    for _ in 0..2 {
        let key = key(Duration::ZERO).parse().unwrap();
        request.headers_mut().append("idempotency-key", key);
    }
    let response = call(address, request).await;
    assert_eq!(
        response.outcome(),
        (400, "not-run", "idempotency-key-invalid")
    );
}

#[test_case("/", 400, "bad-request"; "no service")]
#[test_case("/calendar", 400, "bad-request"; "no key")]
#[test_case("/calendar/", 400, "bad-request"; "empty key")]
#[test_case("//cabin-17", 400, "bad-request"; "empty service")]
#[test_case("/calendar/a,,b", 400, "bad-request"; "empty key of several")]
#[test_case("/calender/cabin-17", 404, "unknown-service"; "unknown service")]
#[tokio::test]
async fn bad_path_is_refused(path: &str, status: u16, reason: &str) {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let response = call(address, get(path)).await;
    assert_eq!(response.outcome(), (status, "not-run", reason));
}

#[tokio::test]
async fn bad_deadline_is_refused() {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let mut request = get("/calendar/cabin-17");
    let headers = request.headers_mut();
    headers.insert("copperwell-deadline-ms", "soon".parse().unwrap());
    let response = call(address, request).await;
    assert_eq!(response.outcome(), (400, "not-run", "bad-request"));
    assert!(response.text().contains("copperwell-deadline-ms"));
}

#[tokio::test]
async fn too_many_keys_are_refused() {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let keys = vec!["k"; 1025].join(",");
    let response = call(address, get(&format!("/calendar/{keys}"))).await;
    assert_eq!(response.outcome(), (413, "not-run", "too-large"));
}

#[test_case("PUT /calendar/k HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 11\r\n\r\nhello world"; "announced")]
#[test_case("PUT /calendar/k HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n"; "in chunks")]
#[tokio::test]
async fn body_over_the_limit_of_the_service_is_refused(request: &str) {
    let limits = Limits {
        body: 10,
        ..Limits::default()
    };
    let fake = FakeNetwork::immediate(|_| unreachable!()).with_limits(limits);
    let response = send_raw(fake.start().await, request.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(
        response.contains("copperwell-reason: too-large"),
        "{response}"
    );
}

#[test_case(b"nonsense\r\n\r\n", 400; "no request")]
#[test_case(b"GET /calendar/k HTTP/1.1\r\nhost x\r\n\r\n", 400; "no header field")]
#[test_case(b"GET /calendar/k HTTP/1.1\r\ncontent-length: a\r\n\r\n", 400; "no length")]
#[tokio::test]
async fn malformed_head_is_refused(bytes: &[u8], status: u16) {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let response = send_raw(address, bytes).await;
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "{response}"
    );
}

#[test_case(100, 4; "many fields")]
#[test_case(2, 40_000; "long fields")]
#[tokio::test]
async fn head_over_the_limit_is_refused(fields: usize, length: usize) {
    let address = FakeNetwork::immediate(|_| unreachable!()).start().await;
    let mut request = "GET /calendar/k HTTP/1.1\r\n".to_owned();
    for field in 0..fields {
        request += &format!("x-{field}: {}\r\n", "a".repeat(length));
    }
    let response = send_raw(address, (request + "\r\n").as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
}

#[test_case(Reason::Shed, "1"; "default")]
#[test_case(Reason::Quarantined, "8"; "as the leader says")]
#[tokio::test]
async fn refusal_has_a_retry_after(reason: Reason, after: &'static str) {
    let fake = FakeNetwork::immediate(move |_| {
        let refusal = not_run(reason);
        match after {
            "1" => refusal,
            _ => refusal.with_retry_after(Duration::from_millis(7_100)),
        }
    });
    let response = call(fake.start().await, get("/calendar/cabin-17")).await;
    assert_eq!(response.outcome(), (503, "not-run", reason.as_str()));
    assert_eq!(response.header("retry-after"), after);
}
