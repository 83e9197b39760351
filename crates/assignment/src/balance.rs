//! Which keys move so that no upstream has much more load than the others.

use copperwell_routing::Key;

/// A difference between the most and the least loaded upstream, as a share of the mean, that is
/// left alone.
const TOLERATED: f64 = 0.25;

/// How many standard deviations of the counted requests a difference must exceed.
const SIGNIFICANT: f64 = 2.5;

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

/// The fewest moves, at most `most`, that bring the loads of holders together.
///
/// `loads` has the load of each key, in counted requests; `weights` says how much each holder can
/// take. A piece is cut where only a part of it is to move.
#[must_use]
pub fn moves(pieces: &[Piece], loads: &[f32], weights: &[f64], most: usize) -> Vec<Move> {
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
pub fn totals(pieces: &[Piece], loads: &[f32], holders: usize) -> Vec<f64> {
    let mut totals = vec![0.0; holders];
    for piece in pieces {
        totals[piece.holder] += load_of(loads, piece.first, piece.last);
    }
    totals
}

struct State<'a> {
    pieces: Vec<Piece>,
    loads: &'a [f32],
    weights: &'a [f64],
    totals: Vec<f64>,
    mean: f64,
}

impl<'a> State<'a> {
    fn new(pieces: &[Piece], loads: &'a [f32], weights: &'a [f64]) -> Self {
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
        let noise = (2.0 * self.mean).sqrt();
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
        let whole = load_of(self.loads, piece.first, piece.last);
        if whole <= limit {
            return Some((whole, (piece.first, piece.last)));
        }
        let from_start = self.run(piece.first..=piece.last, limit);
        let from_end = self.run((piece.first..=piece.last).rev(), limit);
        let start = from_start.map(|(load, last)| (load, (piece.first, last)));
        let end = from_end.map(|(load, first)| (load, (first, piece.last)));
        match (start, end) {
            (Some(start), Some(end)) if end.0 > start.0 => Some(end),
            (Some(start), _) => Some(start),
            (None, end) => end,
        }
    }

    /// How far keys in this order go until their load exceeds `limit`, and that load.
    fn run(&self, keys: impl Iterator<Item = Key>, limit: f64) -> Option<(f64, Key)> {
        let mut reached = None;
        let mut load = 0.0;
        for key in keys {
            load += f64::from(self.loads[usize::from(key)]);
            if load > limit {
                break;
            }
            reached = Some((load, key));
        }
        reached
    }

    fn carry_out(&mut self, next: Move) {
        let load = load_of(self.loads, next.first, next.last);
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

fn load_of(loads: &[f32], first: Key, last: Key) -> f64 {
    let keys = &loads[usize::from(first)..=usize::from(last)];
    keys.iter().map(|load| f64::from(*load)).sum()
}
