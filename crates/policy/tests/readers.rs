//! Who reads the log, and from whom the others read it.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{HashMap, Member};
use copperwell_policy::readers::{READERS, Readers};
use tokio::time::Instant;

/// Daemons of a data centre at the scale target.
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
fn each_data_centre_has_its_readers_and_each_of_them_a_share_of_the_others() {
    let now = Instant::now();
    let all = [members("a", DAEMONS), members("b", DAEMONS)].concat();
    let live: Vec<&Member> = all.iter().collect();
    let readers = readers_of(now, &live);
    let mut peers: HashMap<&str, usize> = HashMap::default();
    for member in &live {
        if !readers.contains(member) {
            let source = Readers::new((*member).clone()).source(now, &live).unwrap();
            assert!(readers.contains(&source));
            assert_eq!(source.data_centre, member.data_centre);
            *peers.entry(&*source.name).or_default() += 1;
        }
    }
    assert_eq!(peers.len(), 2 * READERS);
    assert!(
        peers.values().all(|count| *count <= DAEMONS / 2),
        "{peers:?}"
    );
}

#[test]
fn a_lost_reader_is_replaced_and_the_others_stay() {
    let now = Instant::now();
    let all = members("a", DAEMONS);
    let mut live: Vec<&Member> = all.iter().collect();
    let before = readers_of(now, &live);
    live.retain(|member| *member != before[0]);
    let after = readers_of(now, &live);
    assert_eq!(after.len(), READERS);
    assert!(before[1..].iter().all(|reader| after.contains(reader)));
}

#[test]
fn a_source_without_news_is_passed_over_for_a_while() {
    let now = Instant::now();
    let all = members("a", DAEMONS);
    let live: Vec<&Member> = all.iter().collect();
    let reading = readers_of(now, &live);
    let other = live.iter().find(|member| !reading.contains(member));
    let mut readers = Readers::new((**other.unwrap()).clone());
    let mut avoided = Vec::new();
    for _ in 0..READERS {
        let source = readers.source(now, &live).unwrap();
        assert!(!avoided.contains(&source));
        readers.avoid(now, source);
        avoided.push(source);
    }
    assert!(reading.iter().all(|reader| avoided.contains(reader)));
    assert!(!reading.contains(&readers.source(now, &live).unwrap()));
    let later = now + Duration::from_mins(5);
    assert!(reading.contains(&readers.source(later, &live).unwrap()));
}

#[test]
fn whoever_avoids_all_readers_takes_its_turn_as_one() {
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
fn sources_that_fail_lead_to_another_data_centre_within_a_round() {
    let now = Instant::now();
    let all = [members("a", DAEMONS), members("b", 4)].concat();
    let live: Vec<&Member> = all.iter().collect();
    let mut readers = Readers::new(all[0].clone());
    let mut asked = Vec::new();
    for _ in 0..=READERS {
        asked.push(readers.source(now, &live).unwrap());
        readers.fail();
    }
    assert!(asked.iter().any(|source| &*source.data_centre == "b"));
    let alone = [&all[0]];
    assert_eq!(readers.source(now, &alone), None);
}

#[test]
fn readers_that_fail_lead_to_those_who_may_have_taken_their_place() {
    let now = Instant::now();
    let all = members("a", DAEMONS);
    let live: Vec<&Member> = all.iter().collect();
    let reading = readers_of(now, &live);
    let mut readers = Readers::new(reading[0].clone());
    let mut asked = Vec::new();
    for _ in 0..READERS {
        asked.push(readers.source(now, &live).unwrap());
        readers.fail();
    }
    assert!(asked.iter().any(|source| !reading.contains(source)));
}
