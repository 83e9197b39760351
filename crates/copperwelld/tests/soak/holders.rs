//! Watches whether two servers hold a key at the same time.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::standin::server::State;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// How often the servers are looked at.
const INTERVAL: Duration = Duration::from_millis(50);

/// For how long two servers may hold a key.
const OVERLAP_MAX: Duration = Duration::from_millis(500);

/// Every so many keys, one is looked at.
const KEY_STEP: usize = 4_001;

/// The servers that run now.
pub(crate) type Servers = Arc<Mutex<Vec<Arc<State>>>>;

/// Two servers that held a key for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Overlap {
    pub(crate) key: u64,
    pub(crate) since: Instant,
}

/// Looks at the servers until it is dropped.
pub(crate) struct Watch {
    task: JoinHandle<()>,
    overlaps: Arc<Mutex<Vec<Overlap>>>,
}

impl Watch {
    pub(crate) fn start(servers: Servers) -> Self {
        let overlaps = Arc::default();
        let task = tokio::spawn(watch(servers, Arc::clone(&overlaps)));
        Self { task, overlaps }
    }

    pub(crate) fn overlaps(&self) -> Vec<Overlap> {
        self.overlaps.lock().unwrap().clone()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch(servers: Servers, overlaps: Arc<Mutex<Vec<Overlap>>>) {
    let mut since: HashMap<u64, Instant> = HashMap::new();
    loop {
        let now = Instant::now();
        let running = servers.lock().unwrap().clone();
        for key in (0..=u64::from(u16::MAX)).step_by(KEY_STEP) {
            let holders = running.iter().filter(|one| one.holds(key).is_some());
            if holders.count() < 2 {
                since.remove(&key);
                continue;
            }
            let since = *since.entry(key).or_insert(now);
            let overlap = Overlap { key, since };
            let mut overlaps = overlaps.lock().unwrap();
            if now > since + OVERLAP_MAX && !overlaps.contains(&overlap) {
                overlaps.push(overlap);
            }
        }
        sleep(INTERVAL).await;
    }
}
