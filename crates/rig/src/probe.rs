//! Finds out whether every shard is served, by a request to each.

use std::{io, time::Duration};

use crate::{
    load::{self, Caller, Entries},
    schedule::{Offer, Once},
};
use copperwell_keyspace::{
    HashMap,
    manifest::{Manifest, Service},
    shard,
};
use copperwell_message::Verdict;
use tokio::time::{Instant, sleep};

/// The deadline of a probe.
const DEADLINE: Duration = Duration::from_secs(2);

/// The pause before shards without an answer are asked again.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks every shard of every service, those without an answer again, until each has answered.
///
/// Each probe is a fresh request that is not repeatable.
///
/// # Errors
///
/// An error if an answer is another request's, or shards are without an answer at `until`.
pub async fn wait(manifest: &Manifest, entries: &Entries, until: Instant) -> io::Result<()> {
    let mut offers: Vec<Offer> = manifest.services.iter().flat_map(offers_of).collect();
    let caller = Caller {
        deadline: DEADLINE,
        resends: 0,
    };
    loop {
        let results = load::run(offers, entries.clone(), caller.clone()).await;
        if let Some(wrong) = results.iter().find(|result| result.wrong) {
            return Err(io::Error::other(format!("a wrong answer: {wrong:?}")));
        }
        let missing = results
            .into_iter()
            .filter(|result| result.verdicts.last() != Some(&Verdict::Done));
        let missing: Vec<load::Result> = missing.collect();
        let Some(first) = missing.first() else {
            return Ok(());
        };
        if Instant::now() >= until {
            let count = missing.len();
            let text = format!("{count} shards without an answer, such as {first:?}");
            return Err(io::Error::other(text));
        }
        sleep(PAUSE).await;
        offers = missing
            .into_iter()
            .map(|result| again(result.offer))
            .collect();
    }
}

/// One offer for each shard of a service.
fn offers_of(service: &Service) -> Vec<Offer> {
    let mut keys = HashMap::default();
    let mut number = 0;
    while keys.len() < service.shards as usize {
        let key = format!("probe-{number}");
        number += 1;
        keys.entry(shard::index_of(&key, service.shards))
            .or_insert(key);
    }
    let numbered = keys.into_values().zip(0..);
    let offers = numbered.map(|(key, number)| Offer {
        at: Duration::ZERO,
        service: service.name.to_string(),
        key,
        number,
        once: Some(Once::new(&mut rand::rng())),
    });
    offers.collect()
}

fn again(offer: Offer) -> Offer {
    Offer {
        once: Some(Once::new(&mut rand::rng())),
        ..offer
    }
}
