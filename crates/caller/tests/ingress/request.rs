//! What ingress makes of requests, and what it refuses.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use crate::fake::{Fake, call, get, not_run, raw, request, whole};
use copperwell_keyspace::manifest::Limits;
use copperwell_message::{Class, Head, Reason, Repeat};
use test_case::test_case;
use uuid::{NoContext, Timestamp, Uuid};

/// An idempotency key made `ahead` of the present time.
fn key(ahead: Duration) -> String {
    let made = SystemTime::now() + ahead;
    let since = made.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let stamp = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
    Uuid::new_v7(stamp).to_string()
}

/// Sends a request and gives the head that the leader saw.
async fn head_of(request: http::Request<http_body_util::Full<bytes::Bytes>>) -> Head {
    let seen = Arc::new(Mutex::new(None));
    let noted = seen.clone();
    let fake = Fake::quick(move |sent| {
        *noted.lock().unwrap() = Some(sent.request.head);
        whole("ok")
    });
    let got = call(fake.start().await, request).await;
    assert_eq!(got.outcome(), (200, "done", ""));
    seen.lock().unwrap().take().unwrap()
}

#[tokio::test]
async fn owners_answer_comes_back() {
    let fake = Fake::quick(|sent| {
        assert_eq!(sent.to, "leader");
        whole("the answer")
    });
    let got = call(fake.start().await, get("/calendar/cabin-17/slots?day=3")).await;
    assert_eq!(got.outcome(), (200, "done", ""));
    assert_eq!(got.text(), "the answer");
    assert_eq!(got.header("x-owner"), "it");
}

#[tokio::test]
async fn leader_sees_key_path_and_deadline() {
    let mut asked = get("/calendar/cabin-17/slots?day=3");
    let headers = asked.headers_mut();
    headers.insert("copperwell-deadline-ms", "1500".parse().unwrap());
    let head = head_of(asked).await;
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
async fn longest_deadline_is_the_services() {
    let mut asked = get("/calendar/cabin-17");
    let headers = asked.headers_mut();
    headers.insert("copperwell-deadline-ms", "99999999".parse().unwrap());
    let head = head_of(asked).await;
    assert!(head.deadline <= Limits::default().deadline);
}

#[tokio::test]
async fn callers_cannot_set_what_only_daemons_may() {
    let mut asked = get("/calendar/cabin-17");
    let headers = asked.headers_mut();
    for (name, value) in [
        ("copperwell-epoch", "99"),
        ("copperwell-shard", "1"),
        ("connection", "x-private"),
        ("x-private", "1"),
        ("x-public", "2"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    let head = head_of(asked).await;
    assert_eq!(head.headers, [("x-public".to_owned(), b"2".to_vec())]);
}

#[test_case("POST", Duration::ZERO; "made now")]
#[test_case("PATCH", Duration::from_millis(200); "clocks differ a little")]
#[test_case("PUT", Duration::ZERO; "idempotent method")]
#[tokio::test]
async fn idempotency_key_makes_a_request_run_at_most_once(method: &str, ahead: Duration) {
    let key = key(ahead);
    let mut asked = request(method, "/calendar/cabin-17", "book");
    let headers = asked.headers_mut();
    headers.insert("idempotency-key", key.parse().unwrap());
    let head = head_of(asked).await;
    assert_eq!(head.repeat, Repeat::Once(key.parse().unwrap()));
}

#[test_case("", "idempotency-key-missing"; "missing")]
#[test_case("17", "idempotency-key-invalid"; "no uuid")]
#[test_case("7d444840-9dc0-11d1-b245-5ffdce74fad2", "idempotency-key-invalid"; "version 1")]
#[test_case("67e55044-10b1-426f-9247-bb680e5fe0c8", "idempotency-key-invalid"; "version 4")]
#[test_case("future", "idempotency-key-invalid"; "from the future")]
#[tokio::test]
async fn request_that_may_not_repeat_needs_a_key(value: &str, reason: &str) {
    let to = Fake::quick(|_| unreachable!()).start().await;
    for method in ["POST", "PATCH"] {
        let mut asked = request(method, "/calendar/cabin-17", "book");
        let value = match value {
            "future" => key(Duration::from_secs(2)),
            other => other.to_owned(),
        };
        if !value.is_empty() {
            let headers = asked.headers_mut();
            headers.insert("idempotency-key", value.parse().unwrap());
        }
        let got = call(to, asked).await;
        assert_eq!(got.outcome(), (400, "not-run", reason));
        assert!(got.text().contains("UUIDv7"), "{}", got.text());
    }
}

#[tokio::test]
async fn two_idempotency_keys_are_refused() {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let mut asked = request("POST", "/calendar/cabin-17", "book");
    for _ in 0..2 {
        let key = key(Duration::ZERO).parse().unwrap();
        asked.headers_mut().append("idempotency-key", key);
    }
    let got = call(to, asked).await;
    assert_eq!(got.outcome(), (400, "not-run", "idempotency-key-invalid"));
}

#[test_case("/", 400, "bad-request"; "no service")]
#[test_case("/calendar", 400, "bad-request"; "no key")]
#[test_case("/calendar/", 400, "bad-request"; "empty key")]
#[test_case("//cabin-17", 400, "bad-request"; "empty service")]
#[test_case("/calendar/a,,b", 400, "bad-request"; "empty key of several")]
#[test_case("/calender/cabin-17", 404, "unknown-service"; "unknown service")]
#[tokio::test]
async fn bad_path_is_refused(path: &str, status: u16, reason: &str) {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let got = call(to, get(path)).await;
    assert_eq!(got.outcome(), (status, "not-run", reason));
}

#[tokio::test]
async fn bad_deadline_is_refused() {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let mut asked = get("/calendar/cabin-17");
    let headers = asked.headers_mut();
    headers.insert("copperwell-deadline-ms", "soon".parse().unwrap());
    let got = call(to, asked).await;
    assert_eq!(got.outcome(), (400, "not-run", "bad-request"));
    assert!(got.text().contains("copperwell-deadline-ms"));
}

#[tokio::test]
async fn too_many_keys_are_refused() {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let keys = vec!["k"; 1025].join(",");
    let got = call(to, get(&format!("/calendar/{keys}"))).await;
    assert_eq!(got.outcome(), (413, "not-run", "too-large"));
}

#[test_case("PUT /calendar/k HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 11\r\n\r\nhello world"; "announced")]
#[test_case("PUT /calendar/k HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n"; "in chunks")]
#[tokio::test]
async fn body_beyond_the_services_limit_is_refused(asked: &str) {
    let limits = Limits {
        body: 10,
        ..Limits::default()
    };
    let fake = Fake::quick(|_| unreachable!()).with_limits(limits);
    let answer = raw(fake.start().await, asked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("copperwell-reason: too-large"), "{answer}");
}

#[test_case(b"nonsense\r\n\r\n", 400; "no request")]
#[test_case(b"GET /calendar/k HTTP/1.1\r\nhost x\r\n\r\n", 400; "no header field")]
#[test_case(b"GET /calendar/k HTTP/1.1\r\ncontent-length: a\r\n\r\n", 400; "no length")]
#[tokio::test]
async fn malformed_head_is_refused(bytes: &[u8], status: u16) {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let answer = raw(to, bytes).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
}

#[test_case(100, 4; "many fields")]
#[test_case(2, 40_000; "long fields")]
#[tokio::test]
async fn head_beyond_its_limit_is_refused(fields: usize, length: usize) {
    let to = Fake::quick(|_| unreachable!()).start().await;
    let mut asked = "GET /calendar/k HTTP/1.1\r\n".to_owned();
    for field in 0..fields {
        asked += &format!("x-{field}: {}\r\n", "a".repeat(length));
    }
    let answer = raw(to, (asked + "\r\n").as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[test_case(Reason::Shed, "1"; "default")]
#[test_case(Reason::Quarantined, "8"; "as the leader says")]
#[tokio::test]
async fn refusal_says_when_to_come_back(reason: Reason, after: &'static str) {
    let fake = Fake::quick(move |_| {
        let refusal = not_run(reason);
        match after {
            "1" => refusal,
            _ => refusal.with_retry_after(Duration::from_millis(7_100)),
        }
    });
    let got = call(fake.start().await, get("/calendar/cabin-17")).await;
    assert_eq!(got.outcome(), (503, "not-run", reason.as_str()));
    assert_eq!(got.header("retry-after"), after);
}
