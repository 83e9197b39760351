//! Waits until a cluster reaches a state.

use std::{io, time::Duration};

use super::Cluster;
use crate::{load::Entries, probe};
use copperwell_keyspace::GroupId;
use tokio::time::{Instant, sleep};

/// How long to wait for the cluster to reach a state, such as all shards served.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// How often [`Cluster::wait`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Cluster {
    /// Waits until every shard of every service has an owner.
    ///
    /// # Errors
    ///
    /// Returns an error if shards are without an owner after the timeout.
    pub async fn wait_owned(&self) -> io::Result<()> {
        self.wait("every shard to have an owner", || {
            self.held() >= self.shards()
        })
        .await
    }

    /// Waits until every shard has an owner and serves a new request that is not repeatable.
    ///
    /// A new leader answers "may have run" for idempotency keys made before its term, so keys made
    /// after this call are known to be accepted by the present leaders.
    ///
    /// # Errors
    ///
    /// Returns an error if a shard is not served after the timeout, or if an answer belongs to
    /// another request.
    pub async fn wait_ready(&self) -> io::Result<()> {
        self.wait_owned().await?;
        self.wait_served(&self.entries).await
    }

    /// Waits until every shard of every service is served through the given daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if a shard is not served after the timeout, or if an answer belongs to
    /// another request.
    pub async fn wait_served(&self, entries: &Entries) -> io::Result<()> {
        self.wait_groups_served(|_| true, entries).await
    }

    /// Waits until every shard that the selected groups own initially is served through the given
    /// daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if a shard is not served after the timeout, or if an answer belongs to
    /// another request.
    pub async fn wait_groups_served(
        &self,
        groups: impl Fn(&GroupId) -> bool,
        entries: &Entries,
    ) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        probe::wait_served(&self.manifest, groups, entries, until).await
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error that names `description` if the condition does not hold before the timeout.
    pub async fn wait(&self, description: &str, condition: impl Fn() -> bool) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while !condition() {
            if Instant::now() >= until {
                return Err(io::Error::other(format!(
                    "timed out waiting for: {description}"
                )));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}
