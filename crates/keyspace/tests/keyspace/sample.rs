//! Manifests, records and an in-memory log for tests.

use std::{net::SocketAddr, time::Duration};

use copperwell_keyspace::{
    GroupId, Member,
    batch::{Batch, Entry},
    manifest::{DataCentre, Fencing, Limits, Manifest, OnIsolation, Service, Upstream},
    record::{Appoint, Body, Id, Record},
};
use copperwell_message::Class;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Creates a test runner with a fixed seed, so that every run has the same cases.
pub(crate) fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Builds an upstream with a number, in a data centre.
pub(crate) fn upstream(number: u16, data_centre: &str) -> Upstream {
    Upstream {
        name: format!("up-{number}").into(),
        data_centre: data_centre.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        slots: 2,
        connections: 130,
        fencing: Fencing::Checked,
        drain: false,
        part: 0,
    }
}

/// Builds a service with these upstreams.
pub(crate) fn service(name: &str, shards: u32, upstreams: Vec<Upstream>) -> Service {
    Service {
        name: name.into(),
        class: Class::Interactive,
        shards,
        on_isolation: OnIsolation::Keep,
        lease: Duration::from_millis(1500),
        limits: Limits::default(),
        upstreams,
    }
}

/// Builds a manifest with the data centres `north` and `south`.
pub(crate) fn manifest(replaces: u64, services: Vec<Service>) -> Manifest {
    let data_centre = |name: &str| DataCentre {
        name: name.into(),
        region: "ro".into(),
    };
    Manifest {
        replaces,
        data_centres: vec![data_centre("north"), data_centre("south")],
        services,
    }
}

/// Builds a manifest of one service, `calendar`, with an upstream in each data centre.
pub(crate) fn simple(replaces: u64) -> Manifest {
    let upstreams = vec![upstream(1, "north"), upstream(2, "south")];
    manifest(replaces, vec![service("calendar", 8, upstreams)])
}

/// Returns the group of `calendar` in a data centre.
pub(crate) fn group(data_centre: &str) -> GroupId {
    GroupId {
        service: "calendar".into(),
        data_centre: data_centre.into(),
        part: 0,
    }
}

/// Builds a daemon of this name in `north`.
pub(crate) fn member(name: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        name: name.into(),
        incarnation: 1,
        data_centre: "north".into(),
        control: address,
        requests: address,
        admin: address,
    }
}

/// Builds a record body that appoints a leader without a standby.
pub(crate) fn appoint(group: &GroupId, replaces: u64, leader: &str) -> Body {
    Body::Appoint(Appoint {
        group: group.clone(),
        replaces,
        leader: member(leader),
        standby: None,
    })
}

/// Builds a record of a writer.
pub(crate) fn record(writer: &str, sequence: u64, body: Body) -> Record {
    let id = Id {
        writer: writer.into(),
        incarnation: 1,
        sequence,
    };
    Record { id, body }
}

/// A log in memory.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    /// The first retained offset.
    pub(crate) first: u64,
    /// The retained records.
    pub(crate) records: Vec<Vec<u8>>,
}

impl Log {
    /// Appends a record.
    pub(crate) fn append(&mut self, record: &Record) {
        self.records.push(record.encode().expect("a small record"));
    }

    /// Drops records before an offset.
    pub(crate) fn retain_from(&mut self, offset: u64) {
        let surplus = offset.saturating_sub(self.first) as usize;
        let surplus = surplus.min(self.records.len());
        self.records.drain(..surplus);
        self.first += surplus as u64;
    }

    /// Returns the answer to a read from an offset.
    pub(crate) fn read(&self, from: u64) -> Batch {
        let start = from.max(self.first);
        let skipped = (start - self.first) as usize;
        let entries = (start..).zip(self.records.iter().skip(skipped));
        Batch {
            first: self.first,
            next: self.first + self.records.len() as u64,
            records: entries
                .map(|(offset, bytes)| Entry {
                    offset,
                    bytes: bytes.clone(),
                })
                .collect(),
            relayed: None,
        }
    }
}
