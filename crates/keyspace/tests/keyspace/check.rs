//! Tests of invalid manifests: each error gives the field, its value and a remedy.

use std::time::Duration;

use crate::sample::{manifest, record, service, simple, upstream};
use copperwell_keyspace::{
    check::Invalid,
    manifest::{Manifest, OnIsolation},
    record::Body,
    replay::{Outcome, State},
};
use test_case::test_case;

type Change = fn(&mut Manifest);

fn first_fault(result: Result<(), error_stack::Report<Invalid>>) -> String {
    let report = result.expect_err("the manifest is invalid");
    report.current_context().faults[0].to_string()
}

#[test_case(|m| m.services.clear(), "services: `0 entries`"; "no service")]
#[test_case(|m| m.data_centres.clear(), "data_centres: `0 entries`"; "no data centre")]
#[test_case(|m| m.services[0].shards = 0, "services[0].shards: `0`"; "no shard")]
#[test_case(|m| m.services[0].shards = 1, "services[0].shards: `1`: give at least one"; "fewer shards than upstreams")]
#[test_case(|m| m.services[0].upstreams.clear(), "services[0].upstreams: `0 entries`"; "shards of no upstream")]
#[test_case(|m| m.services[0].name = "a b".into(), "services[0].name: `a b`"; "bad name")]
#[test_case(|m| m.services.push(m.services[0].clone()), "services[1].name: `calendar`: used twice"; "two services of one name")]
#[test_case(|m| m.data_centres[1].name = "north".into(), "data_centres[1].name: `north`: used twice"; "two data centres of one name")]
#[test_case(|m| m.services[0].upstreams[1].name = "up-1".into(), "services[0].upstreams[1].name: `up-1`: used twice"; "two upstreams of one name")]
#[test_case(|m| m.services[0].upstreams[1].address = m.services[0].upstreams[0].address, "services[0].upstreams[1].address: `127.0.0.1:1001`: used twice"; "address clash")]
#[test_case(|m| m.services[0].upstreams[1].address.set_port(0), "services[0].upstreams[1].address: `127.0.0.1:0`"; "no port")]
#[test_case(|m| m.services[0].upstreams[1].data_centre = "west".into(), "services[0].upstreams[1].data_centre: `west`: declare it"; "unknown data centre")]
#[test_case(|m| m.services[0].upstreams[1].connections = 1, "services[0].upstreams[1].connections: `1`: each slot"; "fewer connections than slots")]
#[test_case(|m| m.services[0].upstreams[1].slots = 0, "services[0].upstreams[1].slots: `0`"; "no slot")]
#[test_case(|m| m.services[0].upstreams.iter_mut().for_each(|u| u.drain = true), "services[0].upstreams: `drain`"; "all drain")]
#[test_case(|m| m.services[0].lease = Duration::from_millis(199), "services[0].lease: `199ms`"; "lease too short")]
#[test_case(|m| m.services[0].lease = Duration::from_secs(11), "services[0].lease: `11s`"; "lease too long")]
#[test_case(|m| m.services[0].limits.deadline = Duration::ZERO, "services[0].limits.deadline: `0ns`"; "no deadline")]
#[test_case(|m| m.services[0].limits.window = Duration::from_secs(1), "services[0].limits.window: `1s`"; "window below deadline")]
#[test_case(|m| m.services[0].limits.queue = 0, "services[0].limits.queue: `0`"; "no queue")]
#[test_case(|m| { m.services[0].on_isolation = OnIsolation::Release; m.services[0].limits.isolation = Duration::from_millis(9); }, "services[0].limits.isolation: `9ms`"; "releases before a lease")]
#[test_case(|m| m.services[0].upstreams.extend((10..40).map(|n| upstream(n, "north"))), "services[0].shards: `8`"; "more upstreams than shards")]
#[test_case(|m| { m.services[0].shards = 64; m.services[0].upstreams.extend((10..40).map(|n| upstream(n, "north"))); }, "services[0].upstreams: `31 upstreams in calendar/north/0`"; "a group too large")]
fn an_invalid_manifest_is_rejected_with_its_fault(change: Change, prefix: &str) {
    let mut invalid = simple(0);
    change(&mut invalid);
    let fault = first_fault(invalid.check());
    assert!(fault.starts_with(prefix), "{fault}");
    let outcome = State::default().apply(0, &record("one", 1, Body::Manifest(invalid)));
    assert_eq!(outcome, Outcome::Void);
}

#[test_case(|m| m.services[0].shards = 16, "services[0].shards: `16`: the number of shards is fixed at 8"; "another number of shards")]
#[test_case(|m| m.services[0].upstreams[0].address.set_port(77), "services[0].upstreams[0].address: `127.0.0.1:77`: this name belongs"; "a name moves to another server")]
#[test_case(|m| m.services[0].upstreams[0].data_centre = "south".into(), "services[0].upstreams[0].name: `up-1`: this name belongs to a server of calendar/north/0"; "a name moves to another group")]
#[test_case(|m| m.services[0].upstreams[0].name = "new".into(), "services[0].upstreams[0].address: `127.0.0.1:1001`: upstream `up-1` has this address"; "a server gets another name")]
fn an_invalid_change_is_rejected_with_its_fault(change: Change, prefix: &str) {
    let mut state = State::default();
    state.apply(0, &record("one", 1, Body::Manifest(simple(0))));
    let mut invalid = simple(1);
    change(&mut invalid);
    let fault = first_fault(invalid.check_after(&state));
    assert!(fault.starts_with(prefix), "{fault}");
    let outcome = state.apply(1, &record("one", 2, Body::Manifest(invalid)));
    assert_eq!(outcome, Outcome::Void);
}

#[test]
fn a_manifest_too_large_for_the_log_is_rejected() {
    let upstreams = |service: u16| (0..250).map(move |n| service * 250 + n).collect::<Vec<_>>();
    let services = (0..120).map(|number| {
        let list = upstreams(number).into_iter().map(|index| {
            let mut large = upstream(index, "north");
            large.name = format!("{index:060}").into();
            large.part = index / 24;
            large
        });
        service(&format!("service-{number}"), 256, list.collect())
    });
    let large = manifest(0, services.collect());
    let fault = first_fault(large.check());
    assert!(fault.starts_with("manifest: `"), "{fault}");
}

const YAML: &str = "
replaces: 0
data_centres:
  - { name: north, region: ro }
services:
  - name: calendar
    class: interactive
    shards: 8
    upstreams:
      - { name: one, data_centre: north, address: 127.0.0.1:80, slots: 2, connections: 130 }
";

#[test]
fn yaml_is_parsed() {
    let parsed = Manifest::from_yaml(YAML).expect("a manifest");
    assert!(parsed.check().is_ok());
    assert_eq!(parsed.services[0].lease, Duration::from_millis(1500));
}

#[test_case("shards: 8", "shard: 8", &["unknown field `shard`", "line 8"]; "unknown field")]
#[test_case("shards: 8", "shards: many", &["services[0].shards", "line 8"]; "wrong type")]
#[test_case("shards: 8", "shards: -1", &["services[0].shards", "line 8"]; "negative number")]
#[test_case("127.0.0.1:80", "localhost", &["services[0].upstreams[0].address", "line 10"]; "no address")]
#[test_case("class: interactive", "class: fast", &["unknown variant `fast`", "line 7"]; "unknown class")]
#[test_case("    shards: 8\n", "", &["missing field `shards`", "line 6"]; "missing field")]
#[test_case("shards: 8", "shards: 8\n    shards: 9", &["duplicate field `shards`", "line 6"]; "field twice")]
fn invalid_yaml_is_rejected_with_its_position(old: &str, new: &str, parts: &[&str]) {
    let text = YAML.replace(old, new);
    let report = Manifest::from_yaml(&text).expect_err("bad YAML");
    let shown = format!("{report:?}");
    for part in parts {
        assert!(shown.contains(part), "{part} is not in {shown}");
    }
}
