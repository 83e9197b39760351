//! A load on a cluster, which runs until it is ended.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use super::SERVICE_TIME;
use copperwell_rig::{
    load::{self, Caller, Entries},
    probe,
    scenario::{self, Scenario, User},
    schedule,
};
use tokio::{
    task::{JoinHandle, JoinSet},
    time::interval,
};

/// The duration of one slice of the load.
const SLICE_DURATION: Duration = Duration::from_millis(500);

/// The size of the range of offer numbers reserved for one slice of the load.
const NUMBERS_PER_SLICE: u64 = 1 << 20;

/// The number of seeds reserved for one load.
///
/// Loads share no seed, so that callers share no idempotency key.
const SEEDS_PER_LOAD: u64 = 1 << 24;

/// The number of loads started so far.
static LOAD_COUNT: AtomicU64 = AtomicU64::new(0);

/// The number of shards of the service.
const SHARDS: u32 = 20;

/// The request rate of each service, per second.
const RATE: f64 = 100.0;

/// A load that runs until it is ended.
pub(crate) struct Load {
    is_ended: Arc<AtomicBool>,
    task: JoinHandle<Vec<load::Result>>,
}

impl Load {
    /// Starts a load on these daemons.
    pub(crate) fn start(entries: Entries) -> Self {
        let is_ended = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(offer(entries, is_ended.clone()));
        Self { is_ended, task }
    }

    /// Ends the load and waits for the responses.
    pub(crate) async fn end(self) -> Vec<load::Result> {
        self.is_ended.store(true, Ordering::Release);
        self.task.await.unwrap()
    }
}

/// Offers slice after slice; in every other one, callers resend requests without a response.
async fn offer(entries: Entries, is_ended: Arc<AtomicBool>) -> Vec<load::Result> {
    let mut slices = JoinSet::new();
    let mut ticks = interval(SLICE_DURATION);
    let mut seed = LOAD_COUNT.fetch_add(1, Ordering::Relaxed) * SEEDS_PER_LOAD;
    while !is_ended.load(Ordering::Acquire) {
        ticks.tick().await;
        seed += 1;
        let mut offers = schedule::offers(&slice(), seed);
        for offer in &mut offers {
            // Every shard gets the same load, so that rebalancing moves none.
            let index = u32::try_from(offer.number % u64::from(SHARDS)).unwrap();
            offer.key = probe::key_of(index, SHARDS);
            offer.number += seed * NUMBERS_PER_SLICE;
        }
        let caller = Caller {
            deadline: Duration::from_secs(2),
            resends: if seed.is_multiple_of(2) { 2 } else { 0 },
        };
        slices.spawn(load::run(offers, entries.clone(), caller));
    }
    slices.join_all().await.into_iter().flatten().collect()
}

fn slice() -> Scenario {
    Scenario {
        name: "piece".to_owned(),
        user: User::Abraziv,
        duration: SLICE_DURATION,
        daemons: 2,
        load: vec![scenario::Load {
            service: "calendar".to_owned(),
            rate: RATE,
            keys: 200,
            skew: 0.0,
            hot_keys_change: None,
            once: 0.5,
            service_time: SERVICE_TIME,
            burst: None,
        }],
        faults: Vec::new(),
    }
}
