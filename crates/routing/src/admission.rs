//! Load shedding for an upstream that cannot serve all requests for its keys.
//!
//! A hot key may get more requests than its only holder can serve. Without load shedding the holder's
//! queue stays full and every response is late. With it, admitted requests are answered in time and the
//! others are refused at once with a time to retry.
//!
//! The leader publishes the share of the required work that a holder can do. Requests are grouped into classes by
//! priority and work, and that work is allocated to the classes in order, with a minimum for each.

use std::time::Duration;

/// The weight of a new request in the exponential moving averages of the classes.
const WEIGHT: f64 = 0.01;

/// The share of requests below which a class is removed.
const CLASS_SHARE_MIN: f64 = 1e-4;

/// The minimum admitted share of a class, as a fraction of the admitted share of all requests.
///
/// The requirement is that no class is served less than a quarter as often as all. The margin covers random variation
/// and the requests that the upstream refuses.
const FLOOR_RATIO: f64 = 0.27;

/// The fraction of the admitted work that is left unused, taken from less urgent and longer requests.
///
/// The leader admits enough work to occupy all slots, so that admitted requests still queue at the upstream, in the
/// order of arrival. Without headroom, urgent short requests would wait there behind long ones until their deadline.
const HEADROOM: f64 = 0.3;

/// Less urgent requests are reduced for the headroom only if their mean work exceeds that of the first class by this
/// factor.
const LONG_RATIO: f64 = 2.0;

/// The minimum work that is distinguished. Shorter work counts as this.
const WORK_MIN: Duration = Duration::from_millis(1);

/// The number of bisection steps by which the minimum admitted share is found; the error is below 1 in 10,000.
const BISECTIONS: u32 = 14;

/// The properties of a request by which it is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// The priority among requests for the same service; the lowest number goes first.
    pub priority: u32,
    /// The expected service time of the request at an upstream.
    pub work: Duration,
}

/// Admission control for the requests of one service at one daemon.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    /// The classes, in the order in which they are admitted.
    classes: Vec<Observed>,
}

/// The observed requests of one class: of one priority, and of work within a factor of two.
#[derive(Debug, Clone, Copy)]
struct Observed {
    priority: u32,
    /// The binary logarithm of the work in milliseconds.
    magnitude: u32,
    /// The moving average of its share of all requests.
    share: f64,
    /// The moving average of its work, in seconds per request of any class.
    work_s: f64,
}

impl Admission {
    /// Returns whether a request is admitted to an upstream that can do only `admitted_share` of the required work.
    ///
    /// Classes are admitted in the order of priority, then of work, since more short requests than long ones are
    /// answered with the same work. Every class keeps a minimum share. `draw` is a uniformly distributed random number
    /// from 0 to 1.
    pub fn admit(&mut self, class: Class, admitted_share: f64, draw: f64) -> bool {
        self.observe(class);
        admitted_share >= 1.0 || draw < self.share_of(class, admitted_share)
    }

    fn observe(&mut self, class: Class) {
        for known in &mut self.classes {
            known.share *= 1.0 - WEIGHT;
            known.work_s *= 1.0 - WEIGHT;
        }
        self.classes.retain(|known| known.share > CLASS_SHARE_MIN);
        let order = order_of(class);
        let known = self.classes.binary_search_by_key(&order, Observed::order);
        let index = known.unwrap_or_else(|index| {
            let (priority, magnitude) = order;
            let observed = Observed {
                priority,
                magnitude,
                share: 0.0,
                work_s: 0.0,
            };
            self.classes.insert(index, observed);
            index
        });
        self.classes[index].share += WEIGHT;
        self.classes[index].work_s += WEIGHT * class.work.max(WORK_MIN).as_secs_f64();
    }

    /// Returns the admitted share of an observed class.
    fn share_of(&self, class: Class, admitted_share: f64) -> f64 {
        // A higher floor moves work to long requests, so that fewer requests are admitted overall. Bisection therefore
        // finds the one floor that is `FLOOR_RATIO` of the admitted share of all requests.
        let (mut low, mut high) = (0.0, admitted_share.max(0.0));
        for _ in 0..BISECTIONS {
            let floor = f64::midpoint(low, high);
            let shares = self.shares(admitted_share, floor);
            let requests: f64 = self.classes.iter().map(|known| known.share).sum();
            let admitted: f64 = self
                .classes
                .iter()
                .zip(&shares)
                .map(|(known, share)| known.share * share)
                .sum();
            match admitted * FLOOR_RATIO > floor * requests {
                true => low = floor,
                false => high = floor,
            }
        }
        let order = order_of(class);
        let index = self.classes.binary_search_by_key(&order, Observed::order);
        let shares = self.shares(admitted_share, high);
        index.map_or(admitted_share, |index| shares[index])
    }

    /// Returns the admitted share of each class if each gets at least `floor`.
    fn shares(&self, admitted_share: f64, floor: f64) -> Vec<f64> {
        let total_s: f64 = self.classes.iter().map(|known| known.work_s).sum();
        let mut left_s = (admitted_share - floor).max(0.0) * total_s;
        let mut headroom_s = HEADROOM * admitted_share * total_s;
        let first = self.classes.first();
        let shares = self.classes.iter().map(|known| {
            let is_long = first.is_some_and(|first| {
                known.priority > first.priority && known.mean_s() > LONG_RATIO * first.mean_s()
            });
            if is_long {
                let unused_s = headroom_s.min(left_s);
                left_s -= unused_s;
                headroom_s = 0.0;
            }
            let wanted_s = (1.0 - floor) * known.work_s;
            let spent_s = wanted_s.min(left_s);
            left_s -= spent_s;
            floor + spent_s / known.work_s
        });
        shares.collect()
    }
}

impl Observed {
    fn order(&self) -> (u32, u32) {
        (self.priority, self.magnitude)
    }

    fn mean_s(&self) -> f64 {
        self.work_s / self.share
    }
}

/// Returns the sort key of a class: its priority and the binary logarithm of its work in milliseconds.
fn order_of(class: Class) -> (u32, u32) {
    let work_ms = class.work.max(WORK_MIN).as_millis();
    (class.priority, work_ms.ilog2())
}
