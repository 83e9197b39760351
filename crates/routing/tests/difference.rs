//! Differences between configurations, against whole ones.

use std::{collections::BTreeMap, time::Duration};

use copperwell_routing::configuration::{
    Configuration, Limits, Part, Route, Service, Warmup, difference::Difference,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// A route by its host and number, with the properties that a test changes.
type Routes = BTreeMap<(u32, u32), (u32, bool)>;

fn configuration(version: u64, routes: &Routes) -> Configuration {
    let limits = Limits {
        head_bytes: 16 << 10,
        body_bytes: version,
        head_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let service = Service {
        name: format!("s{version}").into(),
        connections: 130,
        is_keyed: false,
        health_path: version
            .is_multiple_of(2)
            .then(|| format!("/health{version}")),
        warmup: None,
    };
    let routes = routes
        .iter()
        .map(|((host, number), (weight, is_repeatable))| {
            let parts = [("cups", *weight), ("pay", 1)].map(|(service, weight)| Part {
                service: service.into(),
                weight,
            });
            let host = format!("h{host}.example");
            Route::new(format!("r{number}"), &host, format!("/{number}/"), parts)
                .with_repeatable(*is_repeatable)
        });
    Configuration::new(version, limits, [service], routes)
}

/// Returns what a configuration says of all routes that a test may make.
fn behaviour(configuration: &Configuration) -> Vec<Option<(String, bool, Vec<Part>)>> {
    let mut found = Vec::new();
    for host in 0..3 {
        for number in 0..20 {
            let route = configuration.route(&format!("h{host}.example"), &format!("/{number}/x"));
            found.push(
                route.map(|route| (route.name.clone(), route.is_repeatable, route.parts.clone())),
            );
        }
    }
    found
}

fn change(routes: &mut Routes, random: &mut SmallRng) {
    for _ in 0..random.random_range(0..12) {
        let place = (random.random_range(0..3), random.random_range(0..20));
        match random.random_range(0..3) {
            0 => routes.remove(&place),
            _ => routes.insert(place, (random.random_range(1..3), random.random())),
        };
    }
}

#[test]
fn differences_that_are_applied_give_another_configuration() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut routes = Routes::new();
        change(&mut routes, &mut random);
        let mut applied = configuration(1, &routes);
        for version in 2..12 {
            change(&mut routes, &mut random);
            let expected = configuration(version, &routes);
            let before = configuration(version - 1, &Routes::new());
            let difference = expected.difference_from(Some(&applied));
            applied = difference.apply(Some(&applied)).unwrap();
            assert_eq!(behaviour(&applied), behaviour(&expected), "seed {seed}");
            assert_eq!(
                (applied.version, applied.limits),
                (version, expected.limits)
            );
            assert!(applied.services().eq(expected.services()));
            assert!(difference.apply(None).is_none());
            assert!(difference.apply(Some(&applied)).is_none());
            let whole = expected.difference_from(None);
            for earlier in [None, Some(&before)] {
                let applied = whole.apply(earlier).unwrap();
                assert_eq!(behaviour(&applied), behaviour(&expected), "seed {seed}");
            }
        }
    }
}

/// The shares of a route's parts are kept over changes that do not concern it.
#[test_case(false, true; "another route changes")]
#[test_case(true, false; "its weights change")]
fn shares_start_anew_with_each_configuration(is_changed: bool, goes_on: bool) {
    let mut routes = Routes::from([((0, 0), (1, false)), ((0, 1), (1, false))]);
    let earlier = configuration(1, &routes);
    let place = (0, u32::from(!is_changed));
    routes.insert(place, (2, false));
    let mut later = configuration(2, &routes);
    later.share_routes(&earlier);
    let route = |configuration: &Configuration| {
        let route = configuration.route("h0.example", "/0/x");
        route.unwrap().clone()
    };
    let is_same = std::sync::Arc::ptr_eq(&route(&earlier), &route(&later));
    assert_eq!(is_same, goes_on);
}

/// Guards against properties that earlier releases do not send getting lost between daemons, or breaking those releases.
#[test_case(true; "sent by this release")]
#[test_case(false; "sent by an earlier release")]
fn warm_up_and_regions_get_lost_between_daemons(has_extension: bool) {
    let warmup = Warmup {
        duration: Duration::from_secs(3),
        rate: 4.1,
    };
    let plain = configuration(1, &Routes::from([((0, 0), (1, false))]));
    let service = Service {
        warmup: Some(warmup),
        ..plain.services().next().unwrap().clone()
    };
    let name = service.name.clone();
    let route = Route::new("r0", "h0.example", "/0/", []).with_regions(["north".into()]);
    let sent = Configuration::new(2, plain.limits, [service], [route]);
    let sent = sent.difference_from(Some(&plain));
    let bytes = bincode::serialize(&sent).unwrap();
    let mut received: Difference = bincode::deserialize(&bytes).unwrap();
    if has_extension {
        let bytes = bincode::serialize(sent.extension()).unwrap();
        received = received.with_extension(bincode::deserialize(&bytes).unwrap());
    }
    let received = received.apply(Some(&plain)).unwrap();
    let service = received.service(&name).unwrap();
    assert_eq!(service.warmup, has_extension.then_some(warmup));
    let regions = &received.route("h0.example", "/0/x").unwrap().regions;
    assert_eq!(regions.len(), usize::from(has_extension));
}
