//! Measures the cost of the replayed state at several sizes: one line of JSON per size.
//!
//! `cargo run --release -p copperwell-keyspace --example slopes`

use std::{
    alloc::{GlobalAlloc, Layout, System},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use copperwell_keyspace::{
    GroupId, Member,
    balance::plan,
    batch::{Batch, Entry},
    manifest::{DataCentre, Fencing, Limits, Manifest, OnIsolation, Service, Upstream},
    reader::Reader,
    record::{Appoint, Body, Id, Record},
    replay::State,
};
use copperwell_message::Class;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The number of data centres.
const DATA_CENTRES: u32 = 12;
/// The number of upstreams in a group.
const UPSTREAMS: u32 = 24;
/// The number of shards of a service: 16 per upstream.
const SHARDS: u32 = 16 * DATA_CENTRES * UPSTREAMS;
/// The number of services at each size, up to the target; each has a group in each data centre.
const SIZES: [u32; 6] = [1, 4, 12, 23, 46, 92];

/// The cost of the state at one size.
#[derive(Serialize)]
struct Cost {
    services: u32,
    groups: u32,
    upstreams: u32,
    shards: u32,
    /// The size of the record with the whole manifest.
    manifest_bytes: usize,
    snapshot_bytes: Option<usize>,
    /// The size of a snapshot after every shard has moved to a random group.
    scattered_bytes: Option<usize>,
    yaml_bytes: usize,
    /// The size of the record that changes one upstream, as a difference.
    change_bytes: usize,
    /// The size of the manifest that is checked against its limit.
    plain_bytes: u64,
    /// The heap of a manifest decoded from a record.
    manifest_heap: usize,
    /// The heap of the rest of the state: owners, appointments, writers.
    state_heap: usize,
    /// As `state_heap`, after every shard has moved.
    scattered_heap: usize,
    /// The peak of additional heap while a snapshot is read and compared with the state.
    compare_peak: usize,
    compare_us: u128,
    encode_us: u128,
    decode_us: u128,
    manifest_us: u128,
    change_us: u128,
    appoint_us: u128,
    clone_us: u128,
    plan_us: u128,
}

/// An allocator that counts allocated bytes.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: Both functions pass their arguments on to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let before = ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        PEAK.fetch_max(before + layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`, which is the same.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`, which is the same.
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Runs `make` and returns its value with the size of the heap that the value occupies.
fn heap_of<T>(make: impl FnOnce() -> T) -> (T, usize) {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let value = make();
    let after = ALLOCATED.load(Ordering::Relaxed);
    (value, after.saturating_sub(before))
}

fn main() {
    for services in SIZES {
        match measure(services) {
            Some(cost) => println!("{}", serde_json::to_string(&cost).expect("plain numbers")),
            None => println!("{services} services: the manifest is rejected"),
        }
    }
}

/// Measures the cost at a size; `None` if the manifest is too large or invalid.
fn measure(services: u32) -> Option<Cost> {
    let manifest = manifest(services);
    let bytes = encode(Body::Manifest(manifest.clone()))?;
    let (_decoded, manifest_heap) = heap_of(|| Record::decode(&bytes).expect("a record"));
    manifest.check().ok()?;
    let mut log = Log::default();
    let manifest_us = log.append(Body::Manifest(manifest.clone())).as_micros();
    let mut next = manifest.clone();
    next.replaces = manifest.version();
    next.services[0].upstreams[0].drain = true;
    let change = Body::publication(Some(&manifest), &next);
    let change_bytes = encode(change.clone())?.len();
    let change_us = log.append(change).as_micros();
    assert_eq!(log.reader.state().manifest.as_deref(), Some(&next));
    let mut appoint = Duration::ZERO;
    let groups = groups(&manifest);
    for (number, group) in (0..).zip(&groups) {
        appoint += log.append(appointment(group, number));
    }
    let started = Instant::now();
    let state = log.reader.state().as_ref().clone();
    let clone_us = started.elapsed().as_micros();
    let snapshot = Body::Snapshot(Box::new(log.reader.snapshot()));
    let snapshot_bytes = encode(snapshot);
    let snapshot_heap = decoded_heap(snapshot_bytes.as_deref());
    let mut scattered = log.reader.snapshot();
    scatter(&mut scattered.state, &groups);
    let started = Instant::now();
    let scattered_bytes = encode(Body::Snapshot(Box::new(scattered)));
    let encode_us = started.elapsed().as_micros();
    let started = Instant::now();
    let scattered_heap = decoded_heap(scattered_bytes.as_deref());
    let decode_us = started.elapsed().as_micros();
    let compared = Body::Snapshot(Box::new(log.reader.snapshot()));
    let before = ALLOCATED.load(Ordering::Relaxed);
    PEAK.store(before, Ordering::Relaxed);
    let compare_us = log.append(compared).as_micros();
    let compare_peak = PEAK.load(Ordering::Relaxed) - before;
    let started = Instant::now();
    let planned_moves = plan(&state);
    let plan_us = started.elapsed().as_micros();
    assert!(planned_moves.is_empty(), "the first owners are balanced");
    Some(Cost {
        services,
        groups: groups.len() as u32,
        upstreams: services * DATA_CENTRES * UPSTREAMS,
        shards: services * SHARDS,
        manifest_bytes: bytes.len(),
        snapshot_bytes: snapshot_bytes.map(|bytes| bytes.len()),
        scattered_bytes: scattered_bytes.map(|bytes| bytes.len()),
        yaml_bytes: serde_norway::to_string(&manifest)
            .expect("plain data")
            .len(),
        plain_bytes: bincode::serialized_size(&manifest).expect("plain data"),
        manifest_heap,
        state_heap: snapshot_heap.saturating_sub(manifest_heap),
        scattered_heap: scattered_heap.saturating_sub(manifest_heap),
        compare_peak,
        compare_us,
        encode_us,
        decode_us,
        change_bytes,
        manifest_us,
        change_us,
        appoint_us: appoint.as_micros() / groups.len() as u128,
        clone_us,
        plan_us,
    })
}

/// Returns the size of the heap of a decoded record; zero if there is none.
fn decoded_heap(bytes: Option<&[u8]>) -> usize {
    let decode = |bytes| Record::decode(bytes).expect("a record");
    bytes.map_or(0, |bytes| heap_of(|| decode(bytes)).1)
}

/// Moves each shard to a random group, with four moves per group.
fn scatter(state: &mut State, groups: &[GroupId]) {
    for (service, owners) in &mut state.owners {
        let own = groups.iter().filter(|group| group.service == *service);
        let own: Vec<&GroupId> = own.collect();
        let indices = 0..owners.len() as usize;
        let scattered = indices.clone();
        let salt = xxh3_64(service.as_bytes()) as u32;
        let scattered = scattered.map(|shard| {
            let index = hash(salt ^ shard as u32) as usize % own.len();
            own[index].clone()
        });
        *owners = Arc::new(scattered.collect());
        let moves = 4 * own.len() as u32;
        let stamps = indices.map(|shard| {
            let moved = hash(!salt ^ shard as u32) % moves;
            u64::from(hash(moved)) << 12 | 1
        });
        state
            .moved
            .insert(service.clone(), Arc::new(stamps.collect()));
    }
}

/// A log that one reader replays record by record.
#[derive(Default)]
struct Log {
    next: u64,
    reader: Reader,
}

impl Log {
    /// Appends a record and returns the time that the reader needed for it.
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
        self.reader.apply_batch(&batch);
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
    let data_centres = (0..DATA_CENTRES).map(|index| DataCentre {
        name: format!("region-{}-dc-{index}", index / 3).into(),
        region: format!("region-{}", index / 3).into(),
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
    let upstreams = (0..DATA_CENTRES * UPSTREAMS).map(|index| {
        let unique = number * DATA_CENTRES * UPSTREAMS + index;
        let suffix = hash(unique);
        // An odd factor gives each upstream a unique address, in no order.
        let [_, high, middle, low] = unique.wrapping_mul(0x9e_3779).to_be_bytes();
        Upstream {
            name: format!("service-{number}-{suffix:08x}").into(),
            data_centre: data_centres[(index % DATA_CENTRES) as usize].name.clone(),
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

/// Returns a uniformly distributed hash of a number, the same in every run.
fn hash(number: u32) -> u32 {
    xxh3_64(&number.to_be_bytes()) as u32
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
