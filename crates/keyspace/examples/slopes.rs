//! What the agreed state costs at several sizes: one line of JSON for each size.
//!
//! `cargo run --release -p copperwell-keyspace --example slopes`

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use copperwell_keyspace::{
    GroupId, Member,
    balance::plan,
    batch::{Batch, Entry},
    manifest::{DataCentre, Fencing, Limits, Manifest, OnIsolation, Service, Upstream},
    reader::Reader,
    record::{Appoint, Body, Id, Record},
};
use copperwell_message::Class;
use serde::Serialize;

/// Data centres of the fleet.
const DATA_CENTRES: u32 = 12;
/// Upstreams of a group.
const UPSTREAMS: u32 = 4;
/// Shards of a service.
const SHARDS: u32 = 1024;
/// Services at each size; each has a group in each data centre.
const SIZES: [u32; 5] = [2, 8, 24, 48, 96];

/// The cost at one size.
#[derive(Serialize)]
struct Cost {
    services: u32,
    groups: u32,
    upstreams: u32,
    shards: u32,
    manifest_bytes: usize,
    snapshot_bytes: Option<usize>,
    manifest_us: u128,
    appoint_us: u128,
    clone_us: u128,
    plan_us: u128,
}

fn main() {
    for services in SIZES {
        let cost = measure(services);
        println!("{}", serde_json::to_string(&cost).expect("plain numbers"));
    }
}

fn measure(services: u32) -> Cost {
    let manifest = manifest(services);
    let mut log = Log::default();
    let manifest_us = log.append(Body::Manifest(manifest.clone())).as_micros();
    let mut appoint = Duration::ZERO;
    let groups = groups(&manifest);
    for (number, group) in (0..).zip(&groups) {
        appoint += log.append(appointment(group, number));
    }
    let started = Instant::now();
    let state = log.reader.state().as_ref().clone();
    let clone_us = started.elapsed().as_micros();
    let started = Instant::now();
    let shifts = plan(&state);
    let plan_us = started.elapsed().as_micros();
    assert!(shifts.is_empty(), "the first owners are balanced");
    let snapshot = Body::Snapshot(Box::new(log.reader.snapshot()));
    Cost {
        services,
        groups: groups.len() as u32,
        upstreams: services * DATA_CENTRES * UPSTREAMS,
        shards: services * SHARDS,
        manifest_bytes: encode(Body::Manifest(manifest)).map_or(0, |bytes| bytes.len()),
        snapshot_bytes: encode(snapshot).map(|bytes| bytes.len()),
        manifest_us,
        appoint_us: appoint.as_micros() / groups.len() as u128,
        clone_us,
        plan_us,
    }
}

/// A log that one reader follows record by record.
#[derive(Default)]
struct Log {
    next: u64,
    reader: Reader,
}

impl Log {
    /// Appends a record and returns the time that the reader took for it.
    fn append(&mut self, body: Body) -> Duration {
        let batch = Batch {
            first: 0,
            next: self.next + 1,
            records: vec![Entry {
                offset: self.next,
                bytes: encode_as(self.next + 1, body).expect("a record that fits"),
            }],
            relayed: None,
        };
        self.next += 1;
        let started = Instant::now();
        self.reader.take(&batch);
        started.elapsed()
    }
}

fn encode(body: Body) -> Option<Vec<u8>> {
    encode_as(1, body)
}

fn encode_as(sequence: u64, body: Body) -> Option<Vec<u8>> {
    let id = Id {
        writer: "slopes".into(),
        incarnation: 1,
        sequence,
    };
    Record { id, body }.encode().ok()
}

fn manifest(services: u32) -> Manifest {
    let data_centres = (0..DATA_CENTRES).map(|place| DataCentre {
        name: format!("region-{}-dc-{place}", place / 3).into(),
        region: format!("region-{}", place / 3).into(),
    });
    let data_centres: Vec<DataCentre> = data_centres.collect();
    let services = (0..services).map(|number| service(number, &data_centres));
    let services = services.collect();
    Manifest {
        replaces: 0,
        data_centres,
        services,
    }
}

fn service(number: u32, data_centres: &[DataCentre]) -> Service {
    let upstreams = (0..DATA_CENTRES * UPSTREAMS).map(|place| {
        let unique = number * DATA_CENTRES * UPSTREAMS + place;
        let [_, high, middle, low] = unique.to_be_bytes();
        Upstream {
            name: format!("service-{number}-up-{place}").into(),
            data_centre: data_centres[(place % DATA_CENTRES) as usize].name.clone(),
            address: SocketAddr::from(([10, high, middle, low], 9000)),
            slots: 6,
            connections: 130,
            fencing: Fencing::Checked,
            drain: false,
            part: 0,
        }
    });
    Service {
        name: format!("service-{number}").into(),
        class: Class::Interactive,
        shards: SHARDS,
        on_isolation: OnIsolation::Keep,
        lease: Duration::from_millis(1500),
        limits: Limits::default(),
        upstreams: upstreams.collect(),
    }
}

fn groups(manifest: &Manifest) -> Vec<GroupId> {
    let services = manifest.services.iter();
    services
        .flat_map(|service| manifest.groups(service))
        .map(|group| group.id)
        .collect()
}

fn appointment(group: &GroupId, number: u32) -> Body {
    let member = |number: u32| {
        let address = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7000));
        Member {
            name: format!("{}-entry-{number}", group.data_centre).into(),
            incarnation: 1_700_000_000_000,
            data_centre: group.data_centre.clone(),
            control: address,
            requests: address,
            admin: address,
        }
    };
    Body::Appoint(Appoint {
        group: group.clone(),
        replaces: 0,
        leader: member(number),
        standby: Some(member(number + 1)),
    })
}
