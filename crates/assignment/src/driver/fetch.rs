//! Fetches configurations that other daemons have.

use super::{Driver, Environment};
use crate::{clock::Clock, exchange::Client, order::Sender, register::Register, shared::Offer};
use spdlog::info;

impl<R: Register, S: Sender, K: Clock, E: Environment> Driver<R, S, K, E> {
    /// Fetches configurations that other daemons offer, forever.
    ///
    /// This goes on without the leader, which may be lost meanwhile.
    pub(super) async fn fetch_configurations(&self) {
        let mut offers = self.shared.offer.subscribe();
        // `self` owns the sender, so the channel stays open.
        while offers.changed().await.is_ok() {
            let offer = offers.borrow_and_update().clone();
            self.fetch_configuration(&offer).await;
        }
    }

    /// Fetches a configuration from one of its holders, the leader last.
    async fn fetch_configuration(&self, offer: &Offer) {
        for holder in &offer.holders {
            let known = self.environment.versions().0;
            if known >= offer.version {
                return;
            }
            let Some(client) = Client::connect(*holder).await else {
                self.metrics.count_transfer("unreachable");
                continue;
            };
            let on_progress = || self.environment.record_transfer();
            let encoded = client.read_configuration(known, offer.version, on_progress);
            let is_applied = match encoded.await {
                Some(encoded) => self.environment.apply_difference(&encoded),
                None => false,
            };
            let outcome = if is_applied { "done" } else { "missed" };
            self.metrics.count_transfer(outcome);
            if !is_applied {
                info!("another daemon did not pass on a configuration", kv: { event = "configuration-missed", version = offer.version, known, holder: = holder });
            }
        }
    }
}
