//! Who should lead, and who helps, by what daemons reach.

use super::{HELPERS_MAX, Helper, Keyed, Reports};
use copperwell_message::HashSet;
use copperwell_routing::UpstreamId;
use test_case::test_case;

fn ids(prefix: &str, count: usize) -> Vec<UpstreamId> {
    let ids = (0..count).map(|number| format!("{prefix}{number:03}").into());
    ids.collect()
}

fn helper(name: &str, zone: &str, lost: Vec<UpstreamId>) -> Helper {
    Helper {
        name: name.into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: zone.into(),
        lost,
        leaving: Vec::new(),
    }
}

#[test_case("keyed", 20, 0, true; "all of a small service with keys")]
#[test_case("keyed", 20, 12, false; "others lose many of it too")]
#[test_case("keyed", 4, 0, false; "a few of it")]
#[test_case("other", 200, 0, false; "a service without keys")]
fn leader_keeps_the_lead_without_a_service_that_has_few_of_all_upstreams(
    prefix: &str,
    own: usize,
    other: usize,
    is_worse: bool,
) {
    let services = [("keyed", 20), ("large", 100)];
    let keyed = Keyed::new(services.map(|(prefix, count)| -> HashSet<UpstreamId> {
        ids(prefix, count).into_iter().collect()
    }));
    let own = keyed.count(&ids(prefix, own));
    let other = keyed.count(&ids(prefix, other));
    assert_eq!(keyed.is_much_worse(&own, &other), is_worse);
}

#[test]
fn the_same_few_daemons_help_all_others() {
    let mut reports = Reports::default();
    for number in 0..40 {
        let lost = match number % 2 {
            0 => ids("u", 100),
            // A few are lost at some daemons only.
            _ => ids("u", number % 3),
        };
        reports.add(helper(&format!("d{number}"), "here", lost));
    }
    let mut named: HashSet<String> = HashSet::default();
    for _ in 0..60 {
        let helpers = reports.helpers(&"here".into(), 100, |_| true);
        assert_eq!(helpers.len(), HELPERS_MAX);
        assert!(helpers.iter().all(|helper| helper.lost.len() < 3));
        named.extend(helpers.iter().map(|helper| helper.name.to_string()));
    }
    assert!(named.len() > 2 * HELPERS_MAX, "{named:?}");
}
