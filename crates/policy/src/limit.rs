//! A concurrency limit that is shared fairly between callers.

use std::hash::Hash;

use copperwell_message::HashMap;

/// Callers are held to equal shares once one part in this many of the limit is in use.
const CONTENDED_DIVISOR: u32 = 2;

/// Counts what is in flight, in total and for each caller.
///
/// While half of the limit is free, it is open to any caller. Above that, a caller that already has
/// its equal share of the limit is refused, so that one caller's burst leaves capacity for the
/// others. `K` identifies a caller, for instance by its address.
///
/// # Examples
///
/// ```
/// use copperwell_policy::limit::{Limit, Refusal};
///
/// let mut limit = Limit::new(4);
/// assert_eq!(limit.acquire("busy"), Ok(()));
/// assert_eq!(limit.acquire("busy"), Ok(()));
/// assert_eq!(limit.acquire("calm"), Ok(()));
/// assert_eq!(limit.acquire("busy"), Err(Refusal::Share));
/// ```
#[derive(Debug, Clone)]
pub struct Limit<K> {
    max: u32,
    in_flight: u32,
    callers: HashMap<K, u32>,
}

/// Why a [`Limit`] refuses a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The limit is reached.
    Full,
    /// The caller has its share of the limit.
    Share,
}

impl<K: Eq + Hash> Limit<K> {
    /// Creates a limit of `max` at a time.
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            max,
            in_flight: 0,
            callers: HashMap::default(),
        }
    }

    /// Changes the limit; what is in flight above it is not interrupted.
    pub fn set_max(&mut self, max: u32) {
        self.max = max;
    }

    /// Returns the number in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Admits one for a caller. Each success must be followed by one [`Limit::release`].
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the limit, or the caller's share of it, is used up.
    pub fn acquire(&mut self, caller: K) -> Result<(), Refusal> {
        if self.in_flight >= self.max {
            return Err(Refusal::Full);
        }
        let caller_in_flight = self.callers.get(&caller).copied().unwrap_or(0);
        if self.is_contended() && caller_in_flight >= self.share(caller_in_flight) {
            return Err(Refusal::Share);
        }
        self.in_flight += 1;
        *self.callers.entry(caller).or_default() += 1;
        Ok(())
    }

    /// Releases one that was admitted for a caller.
    pub fn release(&mut self, caller: &K) {
        let Some(caller_in_flight) = self.callers.get_mut(caller) else {
            return;
        };
        *caller_in_flight -= 1;
        self.in_flight -= 1;
        if *caller_in_flight == 0 {
            self.callers.remove(caller);
        }
    }

    fn is_contended(&self) -> bool {
        self.in_flight >= self.max.div_ceil(CONTENDED_DIVISOR) && self.callers.len() > 1
    }

    /// Returns the equal share of a caller that has `caller_in_flight` in flight.
    fn share(&self, caller_in_flight: u32) -> u32 {
        let new_caller = usize::from(caller_in_flight == 0);
        let callers = u32::try_from(self.callers.len() + new_caller).unwrap_or(u32::MAX);
        (self.max / callers).max(1)
    }
}
