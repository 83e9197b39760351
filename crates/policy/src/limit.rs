//! A limit on what runs at a time, shared fairly between callers.

use std::hash::Hash;

use copperwell_message::HashMap;

/// The share of a limit above which callers are held to equal parts: one in this many is free.
const CONTENDED_PART: u32 = 2;

/// Counts what runs, in all and for each caller.
///
/// While half of the limit is free, any caller may take what it wants. Above that, a caller that
/// already has its equal part of the limit is refused, so one caller's burst leaves room for the
/// others. `K` names a caller, an address for instance.
///
/// # Examples
///
/// ```
/// use copperwell_policy::limit::{Limit, Refusal};
///
/// let mut limit = Limit::new(4);
/// assert_eq!(limit.enter("busy"), Ok(()));
/// assert_eq!(limit.enter("busy"), Ok(()));
/// assert_eq!(limit.enter("calm"), Ok(()));
/// assert_eq!(limit.enter("busy"), Err(Refusal::Share));
/// ```
#[derive(Debug, Clone)]
pub struct Limit<K> {
    most: u32,
    running: u32,
    callers: HashMap<K, u32>,
}

/// Why a [`Limit`] lets nothing in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The limit is reached.
    Full,
    /// The caller has its part of the limit.
    Share,
}

impl<K: Eq + Hash> Limit<K> {
    /// A limit of `most` at a time.
    #[must_use]
    pub fn new(most: u32) -> Self {
        Self {
            most,
            running: 0,
            callers: HashMap::default(),
        }
    }

    /// Changes the limit; what runs above it goes on.
    pub fn set_most(&mut self, most: u32) {
        self.most = most;
    }

    /// What runs now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Lets one in; each success is to be followed by one [`Limit::leave`].
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the limit, or the caller's part of it, is used up.
    pub fn enter(&mut self, caller: K) -> Result<(), Refusal> {
        if self.running >= self.most {
            return Err(Refusal::Full);
        }
        let held = self.callers.get(&caller).copied().unwrap_or(0);
        if self.is_contended() && held >= self.part(held) {
            return Err(Refusal::Share);
        }
        self.running += 1;
        *self.callers.entry(caller).or_default() += 1;
        Ok(())
    }

    /// Takes one out that was let in.
    pub fn leave(&mut self, caller: &K) {
        let Some(held) = self.callers.get_mut(caller) else {
            return;
        };
        *held -= 1;
        self.running -= 1;
        if *held == 0 {
            self.callers.remove(caller);
        }
    }

    fn is_contended(&self) -> bool {
        self.running >= self.most.div_ceil(CONTENDED_PART) && self.callers.len() > 1
    }

    /// The equal part of a caller that holds `held`.
    fn part(&self, held: u32) -> u32 {
        let newcomer = usize::from(held == 0);
        let callers = u32::try_from(self.callers.len() + newcomer).unwrap_or(u32::MAX);
        (self.most / callers).max(1)
    }
}
