//! A retry budget as a share of the traffic.

/// Tokens that one retry costs.
const TOKENS_PER_RETRY: u32 = 100;

/// Maximum number of retries that the bucket holds tokens for.
const RETRIES_MAX: u32 = 10;

/// A token bucket that first attempts fill and retries drain.
///
/// It starts empty, so the retries made so far never exceed the given share of the first attempts
/// made so far. A burst of retries exceeds the share of its own period by at most ten.
///
/// # Examples
///
/// ```
/// use copperwell_policy::budget::Budget;
///
/// let mut budget = Budget::new();
/// assert!(!budget.withdraw());
/// for _ in 0..10 {
///     budget.record_first_attempt(10);
/// }
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Budget {
    tokens: u32,
}

impl Budget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a first attempt, which adds `percent` tokens.
    pub fn record_first_attempt(&mut self, percent: u8) {
        self.tokens = (self.tokens + u32::from(percent)).min(RETRIES_MAX * TOKENS_PER_RETRY);
    }

    /// Withdraws one retry; returns `false` if the budget has too few tokens.
    pub fn withdraw(&mut self) -> bool {
        let has_tokens = self.tokens >= TOKENS_PER_RETRY;
        if has_tokens {
            self.tokens -= TOKENS_PER_RETRY;
        }
        has_tokens
    }
}
