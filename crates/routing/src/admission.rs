//! Load shedding for an upstream that cannot serve all requests for its keys.
//!
//! A hot key may get more requests than its only holder can serve. Without load shedding the holder's
//! queue stays full and every response is late. With it, admitted requests are answered in time and the
//! others are refused at once with a time to retry.

/// The weight of a new request in the exponential moving average of the share of urgent requests.
const WEIGHT: f64 = 0.02;

/// Admission control for the requests of one service at one daemon.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    /// The lowest priority number seen so far, which is the most urgent.
    urgent_priority: Option<u32>,
    /// The moving average of the share of requests with that priority.
    urgent_share: f64,
}

impl Admission {
    /// Returns whether a request is admitted to an upstream that can serve only `admitted_share` of the
    /// requests.
    ///
    /// Requests of the most urgent priority are preferred. `draw` is a uniformly distributed random number
    /// from 0 to 1.
    pub fn admit(&mut self, priority: u32, admitted_share: f64, draw: f64) -> bool {
        let urgent_priority = *self.urgent_priority.get_or_insert(priority);
        if priority < urgent_priority {
            self.urgent_priority = Some(priority);
            self.urgent_share = 0.0;
        }
        let is_urgent = Some(priority) == self.urgent_priority;
        self.urgent_share += WEIGHT * (f64::from(u8::from(is_urgent)) - self.urgent_share);
        if admitted_share >= 1.0 {
            return true;
        }
        let urgent_share = self.urgent_share.clamp(WEIGHT, 1.0);
        let probability = if is_urgent {
            admitted_share / urgent_share
        } else {
            (admitted_share - urgent_share).max(0.0) / (1.0 - urgent_share).max(WEIGHT)
        };
        draw < probability
    }
}
