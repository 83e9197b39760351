//! Sends control orders to servers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::leader::Shared;
use copperwell_backend::{
    Control, Failure,
    order::{Fence, Give, Release, Renew},
};
use copperwell_keyspace::{Epoch, GroupId};
use copperwell_policy::group::message::{self, Answer, Order};
use tokio::time::timeout;

/// Sends orders for one group under one epoch.
pub(crate) struct OrderSender<C> {
    pub(crate) shared: Arc<Shared<C>>,
    pub(crate) group: GroupId,
    pub(crate) epoch: Epoch,
}

impl<C: Control> OrderSender<C> {
    /// Sends an order and returns the answer.
    ///
    /// # Errors
    ///
    /// [`message::Failure::Timeout`] if there is no answer within `order_timeout`.
    pub(crate) async fn send(
        self,
        to: SocketAddr,
        order: Order,
        order_timeout: Duration,
    ) -> Result<Answer, message::Failure> {
        let kind = kind_of(&order);
        let result = match timeout(order_timeout, self.request(to, order)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(failure)) => Err(failure_of(failure)),
            Err(_) => Err(message::Failure::Timeout),
        };
        self.shared.counters.order(kind, result_of(&result));
        result
    }

    async fn request(&self, to: SocketAddr, order: Order) -> Result<Answer, Failure> {
        let group = self.group.clone();
        let epoch = self.epoch;
        let control = &self.shared.control;
        let held = match order {
            Order::Fence => {
                let order = Fence {
                    group,
                    epoch,
                    leader: self.shared.name.clone(),
                };
                let fenced = control.fence(to, &order).await?;
                return Ok(Answer::Fenced {
                    incarnation: fenced.incarnation,
                    grants: fenced.grants,
                    draining: fenced.draining,
                    clock_ms: fenced.clock_ms,
                });
            }
            Order::Grant {
                incarnation,
                sequence,
                lease,
                until_ms,
                shards,
            } => {
                let order = Give {
                    group,
                    epoch,
                    sequence,
                    incarnation,
                    lease_ms: millis(lease),
                    until_ms,
                    shards,
                };
                control.give(to, &order).await?
            }
            Order::Renew {
                incarnation,
                lease,
                until_ms,
            } => {
                let order = Renew {
                    group,
                    epoch,
                    incarnation,
                    lease_ms: millis(lease),
                    until_ms,
                };
                control.renew(to, &order).await?
            }
            Order::Release { sequence, shards } => {
                let order = Release {
                    group,
                    epoch,
                    sequence,
                    shards,
                };
                control.release(to, &order).await?
            }
        };
        Ok(Answer::Accepted {
            incarnation: held.incarnation,
            shards: held.shards,
            digest: held.digest,
            draining: held.draining,
            clock_ms: held.clock_ms,
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn kind_of(order: &Order) -> &'static str {
    match order {
        Order::Fence => "fence",
        Order::Grant { .. } => "grant",
        Order::Renew { .. } => "renew",
        Order::Release { .. } => "release",
    }
}

fn result_of(result: &Result<Answer, message::Failure>) -> &'static str {
    match result {
        Ok(_) => "taken",
        Err(message::Failure::Refused { .. }) => "refused",
        Err(message::Failure::Unreachable) => "unreachable",
        Err(message::Failure::Timeout) => "silent",
    }
}

fn failure_of(failure: Failure) -> message::Failure {
    match failure {
        Failure::Fenced(refusal) => message::Failure::Refused {
            incarnation: refusal.incarnation,
            epoch: refusal.epoch,
        },
        Failure::Unreachable => message::Failure::Unreachable,
        // The server may have carried out the order.
        Failure::Silent | Failure::Invalid(_) => message::Failure::Timeout,
    }
}
