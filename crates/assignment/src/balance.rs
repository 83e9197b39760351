//! Which keys move so that no upstream has much more load than the others.

use copperwell_routing::Key;

/// A difference between the most and the least loaded upstream, as a share of the mean, that is
/// left alone.
const TOLERATED: f64 = 0.15;

/// How many standard deviations of the counted work a difference must exceed.
const SIGNIFICANT: f64 = 1.5;

/// How many times as strong a holder must be to get a key that is too busy for its own.
const STRONGER: f64 = 1.2;

/// The share of all load that is taken to lie evenly on all keys, besides what was counted.
const EVEN_SHARE: f64 = 0.05;

/// How far a move may overshoot what it is meant to even out.
const OVERSHOOT: f64 = 1.15;

/// The least share of the wanted load that makes a move worthwhile.
const WORTHWHILE: f64 = 0.1;

/// A range of keys and who holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Piece {
    /// The first key.
    pub first: Key,
    /// The last key.
    pub last: Key,
    /// The index of its holder, or of the one that it goes to.
    pub holder: usize,
    /// Whether it may move now.
    pub is_movable: bool,
}

/// Keys that are to move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// The first key.
    pub first: Key,
    /// The last key.
    pub last: Key,
    /// The index of the new holder.
    pub to: usize,
}

/// The load of any range of keys.
#[derive(Debug, Clone)]
pub struct Loads {
    /// The load of all keys below each key.
    below: Vec<f64>,
    /// The key with the most load, and that load.
    busiest: Option<(Key, f64)>,
    /// The load that a single request brings.
    grain: f64,
}

impl Loads {
    /// The loads of keys, of which a request brings about `grain`.
    ///
    /// Keys without any load count a little, so that they are spread too.
    #[must_use]
    pub fn new(loads: &[f32], grain: f64) -> Self {
        let total: f64 = loads.iter().map(|load| f64::from(*load)).sum();
        let even = if total > 0.0 {
            EVEN_SHARE * total / loads.len() as f64
        } else {
            1.0
        };
        let mut below = Vec::with_capacity(loads.len() + 1);
        let mut sum = 0.0;
        below.push(sum);
        for load in loads {
            sum += f64::from(*load) + even;
            below.push(sum);
        }
        let by_load = |one: &(usize, &f32), other: &(usize, &f32)| one.1.total_cmp(other.1);
        let busiest = loads.iter().enumerate().max_by(by_load);
        let busiest = busiest.filter(|(_, load)| **load > 0.0);
        Self {
            below,
            busiest: busiest
                .and_then(|(key, load)| Some((Key::try_from(key).ok()?, f64::from(*load)))),
            grain,
        }
    }

    fn busiest(&self) -> Option<(Key, f64)> {
        self.busiest
    }

    /// The load of the keys from `first` to `last`.
    #[must_use]
    pub fn of(&self, first: Key, last: Key) -> f64 {
        self.below[usize::from(last) + 1] - self.below[usize::from(first)]
    }
}

/// The fewest moves, at most `most`, that bring the loads of holders together.
///
/// `weights` says how much each holder can take. A piece is cut where only a part of it is to move.
#[must_use]
pub fn moves(pieces: &[Piece], loads: &Loads, weights: &[f64], most: usize) -> Vec<Move> {
    let mut state = State::new(pieces, loads, weights);
    let mut moves = Vec::new();
    while moves.len() < most
        && let Some(next) = state.next_move()
    {
        state.carry_out(next);
        moves.push(next);
    }
    moves
}

/// The load of each holder.
#[must_use]
pub fn totals(pieces: &[Piece], loads: &Loads, holders: usize) -> Vec<f64> {
    let mut totals = vec![0.0; holders];
    for piece in pieces {
        totals[piece.holder] += loads.of(piece.first, piece.last);
    }
    totals
}

struct State<'a> {
    pieces: Vec<Piece>,
    loads: &'a Loads,
    weights: &'a [f64],
    totals: Vec<f64>,
    mean: f64,
}

impl<'a> State<'a> {
    fn new(pieces: &[Piece], loads: &'a Loads, weights: &'a [f64]) -> Self {
        let totals = totals(pieces, loads, weights.len());
        let weight: f64 = weights.iter().sum();
        Self {
            pieces: pieces.to_vec(),
            loads,
            weights,
            mean: totals.iter().sum::<f64>() / weight.max(f64::MIN_POSITIVE),
            totals,
        }
    }

    fn next_move(&self) -> Option<Move> {
        self.lone_key().or_else(|| self.evening())
    }

    /// Moves the busiest key to the strongest holder, if it alone is more than a fair share.
    fn lone_key(&self) -> Option<Move> {
        let (key, load) = self.loads.busiest()?;
        let piece = self
            .pieces
            .iter()
            .find(|piece| piece.first <= key && key <= piece.last)?;
        let weight = self.weights[piece.holder];
        if !piece.is_movable || load <= self.mean * weight {
            return None;
        }
        let by_weight =
            |one: &usize, other: &usize| self.weights[*one].total_cmp(&self.weights[*other]);
        let to = (0..self.weights.len()).max_by(by_weight)?;
        let is_stronger = self.weights[to] > STRONGER * weight;
        is_stronger.then_some(Move {
            first: key,
            last: key,
            to,
        })
    }

    fn evening(&self) -> Option<Move> {
        let relative = |holder: &usize| self.totals[*holder] / self.weights[*holder];
        let by_load = |one: &usize, other: &usize| relative(one).total_cmp(&relative(other));
        let usable = || (0..self.weights.len()).filter(|holder| self.weights[*holder] > 0.0);
        let mut busy: Vec<usize> = usable().collect();
        busy.sort_by(|one, other| by_load(other, one));
        let least = usable().min_by(by_load)?;
        // The busiest may have nothing that can move, such as one single busy key.
        busy.into_iter()
            .take_while(|holder| self.is_uneven(*holder, least))
            .find_map(|holder| self.piece_for(holder, least))
    }

    fn is_uneven(&self, most: usize, least: usize) -> bool {
        let difference =
            self.totals[most] / self.weights[most] - self.totals[least] / self.weights[least];
        let noise = (self.mean * self.loads.grain).sqrt();
        difference > (TOLERATED * self.mean).max(SIGNIFICANT * noise)
    }

    /// The part of `from`'s keys whose load is nearest to what `to` lacks.
    fn piece_for(&self, from: usize, to: usize) -> Option<Move> {
        let excess = self.totals[from] - self.mean * self.weights[from];
        let lack = self.mean * self.weights[to] - self.totals[to];
        let half = (self.totals[from] - self.totals[to]) / 2.0;
        let wanted = excess.max(lack).min(half);
        let own = self
            .pieces
            .iter()
            .filter(|piece| piece.holder == from && piece.is_movable);
        let parts = own.filter_map(|piece| self.part_of(piece, wanted));
        let best = parts.max_by(|(one, _), (other, _)| one.total_cmp(other));
        let (load, (first, last)) = best?;
        (load >= WORTHWHILE * wanted && load > 0.0).then_some(Move { first, last, to })
    }

    /// The longest start of a piece whose load is at most what is wanted.
    fn part_of(&self, piece: &Piece, wanted: f64) -> Option<(f64, (Key, Key))> {
        let limit = wanted * OVERSHOOT;
        let whole = self.loads.of(piece.first, piece.last);
        if whole <= limit {
            return Some((whole, (piece.first, piece.last)));
        }
        let start = self.longest_start(piece, limit);
        let end = self.longest_end(piece, limit);
        match (start, end) {
            (Some(start), Some(end)) if end.0 > start.0 => Some(end),
            (Some(start), _) => Some(start),
            (None, end) => end,
        }
    }

    fn longest_start(&self, piece: &Piece, limit: f64) -> Option<(f64, (Key, Key))> {
        let below = &self.loads.below;
        let first = usize::from(piece.first);
        let ends = &below[first + 1..=usize::from(piece.last) + 1];
        let keys = ends.partition_point(|end| end - below[first] <= limit);
        let last = piece.first + Key::try_from(keys.checked_sub(1)?).ok()?;
        Some((self.loads.of(piece.first, last), (piece.first, last)))
    }

    fn longest_end(&self, piece: &Piece, limit: f64) -> Option<(f64, (Key, Key))> {
        let below = &self.loads.below;
        let last = usize::from(piece.last);
        let starts = &below[usize::from(piece.first)..=last];
        let heavy = starts.partition_point(|start| below[last + 1] - start > limit);
        let keys = starts.len() - heavy;
        let first = piece.last - Key::try_from(keys.checked_sub(1)?).ok()?;
        Some((self.loads.of(first, piece.last), (first, piece.last)))
    }

    fn carry_out(&mut self, next: Move) {
        let load = self.loads.of(next.first, next.last);
        let is_cut = |piece: &Piece| piece.first <= next.first && next.last <= piece.last;
        let Some(at) = self.pieces.iter().position(is_cut) else {
            return;
        };
        let whole = self.pieces.remove(at);
        self.totals[whole.holder] -= load;
        self.totals[next.to] += load;
        // What is left of a piece may move too, but what has moved stays.
        if whole.first < next.first {
            let last = next.first - 1;
            self.pieces.push(Piece { last, ..whole });
        }
        if next.last < whole.last {
            let first = next.last + 1;
            self.pieces.push(Piece { first, ..whole });
        }
    }
}
