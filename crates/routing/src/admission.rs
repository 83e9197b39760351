//! Which requests go to an upstream that cannot take all that are asked of it.
//!
//! It answers the load of one key, or a few, that are asked for more often than their only holder can
//! serve. Without it the holder's queue stays full and every answer is late; with it, those that are
//! let in are in time and the others hear at once when to come back.

/// The weight of a new request in the decayed share of urgent ones.
const WEIGHT: f64 = 0.02;

/// The requests of one service, as a daemon sees them.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    /// The lowest priority number that was seen, which is the most urgent.
    urgent: Option<u32>,
    /// The decayed share of requests with it.
    share: f64,
}

impl Admission {
    /// Whether a request goes to an upstream that can take the share `admits`; urgent ones go first.
    ///
    /// `draw` is evenly random from 0 to 1.
    pub fn admit(&mut self, priority: u32, admits: f64, draw: f64) -> bool {
        let urgent = *self.urgent.get_or_insert(priority);
        if priority < urgent {
            self.urgent = Some(priority);
            self.share = 0.0;
        }
        let is_urgent = Some(priority) == self.urgent;
        self.share += WEIGHT * (f64::from(u8::from(is_urgent)) - self.share);
        if admits >= 1.0 {
            return true;
        }
        let share = self.share.clamp(WEIGHT, 1.0);
        let chance = if is_urgent {
            admits / share
        } else {
            (admits - share).max(0.0) / (1.0 - share).max(WEIGHT)
        };
        draw < chance
    }
}
