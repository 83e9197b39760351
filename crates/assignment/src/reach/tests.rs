//! Who should lead, and who helps, by what daemons reach.

use super::Keyed;
use copperwell_message::HashSet;
use copperwell_routing::UpstreamId;
use test_case::test_case;

fn ids(prefix: &str, count: usize) -> Vec<UpstreamId> {
    let ids = (0..count).map(|number| format!("{prefix}{number:03}").into());
    ids.collect()
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
