use std::net::{IpAddr, Ipv4Addr};

use super::Identity;
use copperwell_routing::quarantine::Fingerprint;
use http::Request;
use test_case::test_case;

impl From<Fingerprint> for Identity {
    fn from(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            caller: Ipv4Addr::LOCALHOST.into(),
            target: 0,
            body: 0,
        }
    }
}

/// A request of which a test changes some parts.
#[derive(Debug, Clone, Copy)]
struct Sample {
    caller: &'static str,
    method: &'static str,
    target: &'static str,
    fields: &'static [(&'static str, &'static str)],
    body: &'static str,
}

const FIRST: Sample = Sample {
    caller: "10.1.0.7",
    method: "POST",
    target: "/cups/7?day=3",
    fields: &[("host", "app.example"), ("id", "1")],
    body: "two cups",
};

fn fingerprint(sample: Sample) -> u64 {
    let caller: IpAddr = sample.caller.parse().unwrap();
    let mut request = Request::builder().method(sample.method).uri(sample.target);
    for (name, value) in sample.fields {
        request = request.header(*name, *value);
    }
    let (parts, ()) = request.body(()).unwrap().into_parts();
    Identity::new(caller, &parts, sample.body.as_bytes()).fingerprint
}

#[test_case(Sample { fields: &[("host", "app.example"), ("id", "2")], ..FIRST }; "another id")]
#[test_case(Sample { fields: &[("host", "app.example"), ("key", "9")], ..FIRST }; "with a key")]
#[test_case(Sample { fields: &[("host", "app.example:80")], ..FIRST }; "with a port")]
#[test_case(Sample { target: "http://app.example/cups/7?day=3", fields: &[], ..FIRST }; "host in the target")]
#[test_case(Sample { caller: "::ffff:10.1.0.7", ..FIRST }; "caller at a mapped address")]
#[test_case(Sample { caller: "10.2.0.8", ..FIRST }; "caller at another address")]
fn resent_request_is_not_recognised(resent: Sample) {
    assert_eq!(fingerprint(resent), fingerprint(FIRST));
}

#[test_case(Sample { method: "PUT", ..FIRST }; "method")]
#[test_case(Sample { target: "/cups/8?day=3", ..FIRST }; "path")]
#[test_case(Sample { target: "/cups/7?day=4", ..FIRST }; "query")]
#[test_case(Sample { fields: &[("host", "other.example")], ..FIRST }; "host")]
#[test_case(Sample { body: "one cup", ..FIRST }; "body")]
fn requests_that_differ_are_taken_for_one(other: Sample) {
    assert_ne!(fingerprint(other), fingerprint(FIRST));
}
