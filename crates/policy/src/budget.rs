//! A budget of retries as a share of traffic.

/// Hundredths of a retry that one retry costs.
const RETRY_COST: u32 = 100;

/// Retries that a budget saves up at most.
const SAVED_MAX: u32 = 10;

/// A token bucket that first tries fill and retries empty.
///
/// It starts empty, so at every moment the retries made are at most the given share of the first
/// tries made, and a burst of retries is at most ten more than its own time pays for.
///
/// # Examples
///
/// ```
/// use copperwell_policy::budget::Budget;
///
/// let mut budget = Budget::new();
/// assert!(!budget.retry());
/// for _ in 0..10 {
///     budget.first_try(10);
/// }
/// assert!(budget.retry());
/// assert!(!budget.retry());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Budget {
    saved: u32,
}

impl Budget {
    /// An empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first try, which pays for `percent` hundredths of a retry.
    pub fn first_try(&mut self, percent: u8) {
        self.saved = (self.saved + u32::from(percent)).min(SAVED_MAX * RETRY_COST);
    }

    /// Takes a retry out of the budget; `false` if it does not pay for one.
    pub fn retry(&mut self) -> bool {
        let paid = self.saved >= RETRY_COST;
        if paid {
            self.saved -= RETRY_COST;
        }
        paid
    }
}
