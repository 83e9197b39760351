//! Load balancing: chooses the keys that migrate so that all upstreams have about the same relative
//! load.

use copperwell_routing::Key;

/// The tolerated difference between the most and the least loaded upstream, as a share of the mean.
const TOLERATED_IMBALANCE: f64 = 0.15;

/// The number of standard deviations of the counted work that a difference must exceed.
const SIGNIFICANT_DEVIATIONS: f64 = 1.5;

/// The minimum share of the total load for a hot key, which may be moved without the other keys of its range.
const HOT_KEY_SHARE: f64 = 1.0 / 2_048.0;

/// The minimum number of recent requests for a hot key. With fewer, random variation makes keys look hot, and each move
/// delays the requests for the key.
const HOT_KEY_REQUESTS: f64 = 8.0;

/// The maximum load of neighbouring hot keys that are moved together, as a share of an average holder's fair load.
const HOT_RANGE_SHARE_MAX: f64 = 1.0;

/// The minimum gain for which a hot key is moved: how much lower the relative load of the next holder must be, as a
/// fraction of the relative load of the current one.
const HOT_KEY_GAIN_MIN: f64 = 0.15;

/// The share of the counted load that is added evenly over all keys.
const EVEN_SHARE: f64 = 0.05;

/// The factor by which a move may exceed the wanted load.
const OVERSHOOT_FACTOR: f64 = 1.15;

/// The smallest share of the wanted load for which a move is worth its cost.
const WORTHWHILE_SHARE: f64 = 0.1;

/// The smallest share of the wanted load for which many small moves together are worth their cost.
const WORTHWHILE_SHARE_OF_MANY: f64 = 0.5;

/// A range of keys and its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The first key.
    pub first: Key,
    /// The last key, inclusive.
    pub last: Key,
    /// The index of its holder, or of its next holder if it is migrating.
    pub holder: usize,
    /// Whether the range can start to migrate now.
    pub is_movable: bool,
}

/// A range of keys that is to migrate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The first key.
    pub first: Key,
    /// The last key, inclusive.
    pub last: Key,
    /// The index of the new holder.
    pub to: usize,
}

/// The load of each key, with the sum of any range.
#[derive(Debug, Clone)]
pub struct Loads {
    /// The total load of all keys below each key.
    prefix_sums: Vec<f64>,
    /// The hot keys and their loads, the busiest first.
    hot: Vec<(Key, f64)>,
    /// The minimum load of a hot key.
    hot_load: f64,
    /// The average load of one request.
    request_load: f64,
}

impl Loads {
    /// Creates the loads of all keys; `request_load` is the average load of one request, which
    /// tells how much counted loads differ at random.
    ///
    /// Keys without any load get a small one, so that they are spread as well.
    #[must_use]
    pub fn new(loads: &[f32], request_load: f64) -> Self {
        let total: f64 = loads.iter().map(|load| f64::from(*load)).sum();
        let even = if total > 0.0 {
            EVEN_SHARE * total / loads.len() as f64
        } else {
            1.0
        };
        let mut prefix_sums = Vec::with_capacity(loads.len() + 1);
        let mut sum = 0.0;
        prefix_sums.push(sum);
        for load in loads {
            sum += f64::from(*load) + even;
            prefix_sums.push(sum);
        }
        let hot_load = (HOT_KEY_SHARE * total)
            .max(HOT_KEY_REQUESTS * request_load)
            .max(f64::MIN_POSITIVE);
        let keys = (0..=Key::MAX).zip(loads.iter().map(|load| f64::from(*load)));
        let mut hot: Vec<_> = keys.filter(|(_, load)| *load >= hot_load).collect();
        hot.sort_by(|(_, one), (_, other)| other.total_cmp(one));
        Self {
            prefix_sums,
            hot,
            hot_load,
            request_load,
        }
    }

    fn is_hot(&self, key: Key) -> bool {
        self.sum(key, key) >= self.hot_load
    }

    /// Returns the total load of the keys from `first` to `last`.
    #[must_use]
    pub fn sum(&self, first: Key, last: Key) -> f64 {
        self.prefix_sums[usize::from(last) + 1] - self.prefix_sums[usize::from(first)]
    }
}

/// The maximum numbers of moves in one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MovesMax {
    /// The maximum number of moves of hot keys.
    pub hot: usize,
    /// The maximum number of moves of all kinds. Once hot keys have used it up, no wider ranges are moved.
    pub wide: usize,
}

/// Returns moves that balance the loads of the holders.
///
/// Hot keys are moved first and by themselves, so that few keys change their holder even if many become hot at the same
/// time. Each later move takes as much of the wanted load as it can, so that few are needed.
///
/// `weights` are the relative capacities of the holders. A segment is split if only a part of it is
/// to move.
#[must_use]
pub fn moves(segments: &[Segment], loads: &Loads, weights: &[f64], max: MovesMax) -> Vec<Move> {
    let mut balancer = Balancer::new(segments, loads, weights);
    let mut moves = balancer.move_hot_keys(max.hot);
    while moves.len() < max.wide
        && let Some(next) = balancer.balancing_move()
    {
        balancer.apply(next);
        moves.push(next);
    }
    moves
}

/// Returns the total load of each holder.
#[must_use]
pub fn totals(segments: &[Segment], loads: &Loads, holders: usize) -> Vec<f64> {
    let mut totals = vec![0.0; holders];
    for segment in segments {
        totals[segment.holder] += loads.sum(segment.first, segment.last);
    }
    totals
}

/// The segments and totals after the moves that are chosen so far.
struct Balancer<'a> {
    segments: Vec<Segment>,
    loads: &'a Loads,
    weights: &'a [f64],
    totals: Vec<f64>,
    /// The load of all holders for each unit of their weights.
    mean: f64,
}

impl<'a> Balancer<'a> {
    fn new(segments: &[Segment], loads: &'a Loads, weights: &'a [f64]) -> Self {
        let totals = totals(segments, loads, weights.len());
        let weight: f64 = weights.iter().sum();
        Self {
            segments: segments.to_vec(),
            loads,
            weights,
            mean: totals.iter().sum::<f64>() / weight.max(f64::MIN_POSITIVE),
            totals,
        }
    }

    /// Moves hot keys from overloaded holders to those that serve them best, the busiest keys first.
    fn move_hot_keys(&mut self, max_moves: usize) -> Vec<Move> {
        let mut by_key = self.segments.clone();
        by_key.sort_by_key(|segment| segment.first);
        let loads = self.loads;
        let mut moves: Vec<Move> = Vec::new();
        for (key, _) in &loads.hot {
            if moves.len() >= max_moves {
                break;
            }
            if moves.iter().any(|one| (one.first..=one.last).contains(key)) {
                continue;
            }
            let at = by_key.partition_point(|segment| segment.first <= *key);
            let segment = at.checked_sub(1).map(|at| by_key[at]);
            let segment = segment.filter(|segment| segment.is_movable && *key <= segment.last);
            let next = segment.and_then(|segment| self.hot_key_move(*key, &segment, &moves));
            if let Some(next) = next {
                self.apply(next);
                moves.push(next);
            }
        }
        moves
    }

    /// Moves a hot key to the holder that has the lowest relative load with it, if that is clearly lower than the
    /// relative load of its own holder. The hot keys that follow it
    /// directly are moved with it, up to [`HOT_RANGE_SHARE_MAX`].
    fn hot_key_move(&self, key: Key, segment: &Segment, moves: &[Move]) -> Option<Move> {
        let from = segment.holder;
        let is_moved = |key: Key| {
            moves
                .iter()
                .any(|one| (one.first..=one.last).contains(&key))
        };
        let weight = self.weights.iter().sum::<f64>() / self.weights.len() as f64;
        let fair = HOT_RANGE_SHARE_MAX * self.mean * weight;
        let mut last = key;
        while last < segment.last
            && !is_moved(last + 1)
            && self.loads.is_hot(last + 1)
            && self.loads.sum(key, last + 1) <= fair
        {
            last += 1;
        }
        let load = self.loads.sum(key, last);
        let before = self.relative(from);
        if before <= (1.0 + TOLERATED_IMBALANCE) * self.mean {
            return None;
        }
        let with_key = |to: &usize| (self.totals[*to] + load) / self.weights[*to];
        let others = (0..self.weights.len()).filter(|to| *to != from && self.weights[*to] > 0.0);
        let to = others.min_by(|one, other| with_key(one).total_cmp(&with_key(other)))?;
        let gain = before - with_key(&to);
        let is_worthwhile = gain > (HOT_KEY_GAIN_MIN * before).max(self.noise());
        is_worthwhile.then_some(Move {
            first: key,
            last,
            to,
        })
    }

    /// Moves keys from the holder with the highest relative load to the one with the lowest.
    fn balancing_move(&self) -> Option<Move> {
        let by_load =
            |one: &usize, other: &usize| self.relative(*one).total_cmp(&self.relative(*other));
        let usable = || (0..self.weights.len()).filter(|holder| self.weights[*holder] > 0.0);
        let mut busy: Vec<usize> = usable().collect();
        busy.sort_by(|one, other| by_load(other, one));
        let least = usable().min_by(by_load)?;
        // The busiest holder may have nothing that can be moved, such as a single busy key.
        busy.into_iter()
            .take_while(|holder| self.is_imbalanced(*holder, least))
            .find_map(|holder| self.best_move(holder, least))
    }

    fn is_imbalanced(&self, busiest: usize, least: usize) -> bool {
        let difference = self.relative(busiest) - self.relative(least);
        difference > (TOLERATED_IMBALANCE * self.mean).max(self.noise())
    }

    /// Returns the load of a holder for each unit of its weight.
    fn relative(&self, holder: usize) -> f64 {
        self.totals[holder] / self.weights[holder]
    }

    /// Returns the difference between relative loads that random variation can explain.
    fn noise(&self) -> f64 {
        SIGNIFICANT_DEVIATIONS * (self.mean * self.loads.request_load).sqrt()
    }

    /// Returns the movable keys of `from` with the largest load within the limit, which is
    /// [`OVERSHOOT_FACTOR`] times the wanted load.
    fn best_move(&self, from: usize, to: usize) -> Option<Move> {
        let excess = self.totals[from] - self.mean * self.weights[from];
        let lack = self.mean * self.weights[to] - self.totals[to];
        let half = (self.totals[from] - self.totals[to]) / 2.0;
        // More than a fair share would only pile the load on the next holder.
        let fair = self.mean * self.weights[to];
        let wanted = excess.max(lack).min(half).min(fair);
        let own = self
            .segments
            .iter()
            .filter(|segment| segment.holder == from && segment.is_movable);
        let parts: Vec<_> = own
            .filter_map(|segment| self.largest_part(segment, wanted))
            .collect();
        let all: f64 = parts.iter().map(|(load, _)| load).sum();
        let best = parts
            .into_iter()
            .max_by(|(one, _), (other, _)| one.total_cmp(other));
        let (load, (first, last)) = best?;
        let is_worthwhile =
            load >= WORTHWHILE_SHARE * wanted || all >= WORTHWHILE_SHARE_OF_MANY * wanted;
        (is_worthwhile && load > 0.0).then_some(Move { first, last, to })
    }

    /// Returns the larger of the longest prefix and the longest suffix of a segment whose load is
    /// within the limit, or the whole segment.
    fn largest_part(&self, segment: &Segment, wanted: f64) -> Option<(f64, (Key, Key))> {
        let limit = wanted * OVERSHOOT_FACTOR;
        let whole = self.loads.sum(segment.first, segment.last);
        if whole <= limit {
            return Some((whole, (segment.first, segment.last)));
        }
        let prefix = self.longest_prefix(segment, limit);
        let suffix = self.longest_suffix(segment, limit);
        match (prefix, suffix) {
            (Some(prefix), Some(suffix)) if suffix.0 > prefix.0 => Some(suffix),
            (Some(prefix), _) => Some(prefix),
            (None, suffix) => suffix,
        }
    }

    fn longest_prefix(&self, segment: &Segment, limit: f64) -> Option<(f64, (Key, Key))> {
        let prefix_sums = &self.loads.prefix_sums;
        let first = usize::from(segment.first);
        let prefix_ends = &prefix_sums[first + 1..=usize::from(segment.last) + 1];
        let keys = prefix_ends.partition_point(|end| end - prefix_sums[first] <= limit);
        let last = segment.first + Key::try_from(keys.checked_sub(1)?).ok()?;
        Some((self.loads.sum(segment.first, last), (segment.first, last)))
    }

    fn longest_suffix(&self, segment: &Segment, limit: f64) -> Option<(f64, (Key, Key))> {
        let prefix_sums = &self.loads.prefix_sums;
        let last = usize::from(segment.last);
        let suffix_starts = &prefix_sums[usize::from(segment.first)..=last];
        let too_heavy =
            suffix_starts.partition_point(|start| prefix_sums[last + 1] - start > limit);
        let keys = suffix_starts.len() - too_heavy;
        let first = segment.last - Key::try_from(keys.checked_sub(1)?).ok()?;
        Some((self.loads.sum(first, segment.last), (first, segment.last)))
    }

    fn apply(&mut self, next: Move) {
        let load = self.loads.sum(next.first, next.last);
        let contains_move =
            |segment: &Segment| segment.first <= next.first && next.last <= segment.last;
        let Some(index) = self.segments.iter().position(contains_move) else {
            return;
        };
        let whole = self.segments.remove(index);
        self.totals[whole.holder] -= load;
        self.totals[next.to] += load;
        // The rest of a split segment may move as well, but the moved part stays with its new
        // holder.
        if whole.first < next.first {
            let last = next.first - 1;
            self.segments.push(Segment { last, ..whole });
        }
        if next.last < whole.last {
            let first = next.last + 1;
            self.segments.push(Segment { first, ..whole });
        }
    }
}
