//! Tests of which daemons read the log, and which peers the others read it from.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{HashMap, Member};
use copperwell_policy::readers::{READERS_PER_DATA_CENTRE, Readers};
use tokio::time::Instant;

/// Daemons in each data centre at the fleet size that the design targets.
const DAEMONS: usize = 92;

fn members(data_centre: &str, count: usize) -> Vec<Member> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = |index| Member {
        name: format!("{data_centre}-{index}").into(),
        incarnation: 1,
        data_centre: data_centre.into(),
        control: address,
        requests: address,
        admin: address,
    };
    (0..count).map(member).collect()
}

fn readers_of<'a>(now: Instant, live: &[&'a Member]) -> Vec<&'a Member> {
    let mut readers = live.to_vec();
    readers.retain(|member| Readers::new((*member).clone()).is_reader(now, live));
    readers
}

#[test]
fn each_data_centre_has_readers_that_each_serve_a_share_of_the_others() {
    let now = Instant::now();
    let all = [members("a", DAEMONS), members("b", DAEMONS)].concat();
    let live: Vec<&Member> = all.iter().collect();
    let readers = readers_of(now, &live);
    let mut followers: HashMap<&str, usize> = HashMap::default();
    for member in &live {
        if !readers.contains(member) {
            let source = Readers::new((*member).clone()).source(now, &live).unwrap();
            assert!(readers.contains(&source));
            assert_eq!(source.data_centre, member.data_centre);
            *followers.entry(&*source.name).or_default() += 1;
        }
    }
    assert_eq!(followers.len(), 2 * READERS_PER_DATA_CENTRE);
    assert!(
        followers.values().all(|count| *count <= DAEMONS / 2),
        "{followers:?}"
    );
}

#[test]
fn a_lost_reader_is_replaced_and_the_others_remain() {
    let now = Instant::now();
    let all = members("a", DAEMONS);
    let mut live: Vec<&Member> = all.iter().collect();
    let before = readers_of(now, &live);
    live.retain(|member| *member != before[0]);
    let after = readers_of(now, &live);
    assert_eq!(after.len(), READERS_PER_DATA_CENTRE);
    assert!(before[1..].iter().all(|reader| after.contains(reader)));
}

#[test]
fn a_stale_source_is_avoided_for_a_while() {
    let now = Instant::now();
    let all = members("a", DAEMONS);
    let live: Vec<&Member> = all.iter().collect();
    let current_readers = readers_of(now, &live);
    let other = live.iter().find(|member| !current_readers.contains(member));
    let mut readers = Readers::new((**other.unwrap()).clone());
    let mut avoided = Vec::new();
    for _ in 0..READERS_PER_DATA_CENTRE {
        let source = readers.source(now, &live).unwrap();
        assert!(!avoided.contains(&source));
        readers.avoid(now, source);
        avoided.push(source);
    }
    assert!(
        current_readers
            .iter()
            .all(|reader| avoided.contains(reader))
    );
    assert!(!current_readers.contains(&readers.source(now, &live).unwrap()));
    let later = now + Duration::from_mins(5);
    assert!(current_readers.contains(&readers.source(later, &live).unwrap()));
}

#[test]
fn a_daemon_that_avoids_all_readers_becomes_one() {
    let now = Instant::now();
    let all = members("a", DAEMONS);
    let mut live: Vec<&Member> = all.iter().collect();
    let first = readers_of(now, &live);
    live.retain(|member| !first.contains(member));
    let next = readers_of(now, &live);
    let live: Vec<&Member> = all.iter().collect();
    let mut readers = Readers::new(next[0].clone());
    assert!(!readers.is_reader(now, &live));
    for reader in first {
        readers.avoid(now, reader);
    }
    assert!(readers.is_reader(now, &live));
}

#[test]
fn failed_sources_are_followed_by_one_of_another_data_centre() {
    let now = Instant::now();
    let all = [members("a", DAEMONS), members("b", 4)].concat();
    let live: Vec<&Member> = all.iter().collect();
    let mut readers = Readers::new(all[0].clone());
    let mut asked = Vec::new();
    for _ in 0..=READERS_PER_DATA_CENTRE {
        asked.push(readers.source(now, &live).unwrap());
        readers.record_failure();
    }
    assert!(asked.iter().any(|source| &*source.data_centre == "b"));
    let alone = [&all[0]];
    assert_eq!(readers.source(now, &alone), None);
}

#[test]
fn failed_readers_are_followed_by_other_daemons_of_the_data_centre() {
    let now = Instant::now();
    let all = members("a", DAEMONS);
    let live: Vec<&Member> = all.iter().collect();
    let current_readers = readers_of(now, &live);
    let mut readers = Readers::new(current_readers[0].clone());
    let mut asked = Vec::new();
    for _ in 0..READERS_PER_DATA_CENTRE {
        asked.push(readers.source(now, &live).unwrap());
        readers.record_failure();
    }
    assert!(asked.iter().any(|source| !current_readers.contains(source)));
}
