//! Which keys move, and how soon the loads of all holders are level.

use copperwell_assignment::balance::{Loads, MovesMax, Segment, moves, totals};
use copperwell_routing::Key;
use test_case::test_case;

const HOLDERS: usize = 17;

/// The keys of a segment.
const SEGMENT_KEYS: Key = 512;

/// The most moves of one round.
const MOVES_MAX: MovesMax = MovesMax { hot: 8, wide: 8 };

/// The rounds in ten seconds.
const ROUNDS: usize = 20;

/// The load of one request.
const REQUEST_LOAD: f64 = 350.0;

/// Returns the load of the busiest holder, as a multiple of the mean.
fn imbalance(segments: &[Segment], loads: &Loads) -> f64 {
    let totals = totals(segments, loads, HOLDERS);
    let mean = totals.iter().sum::<f64>() / HOLDERS as f64;
    totals.into_iter().fold(0.0, f64::max) / mean
}

/// Moves the keys `first` to `last` to the holder `to`.
fn apply(segments: &mut Vec<Segment>, first: Key, last: Key, to: usize) {
    let at = segments
        .iter()
        .position(|segment| segment.first <= first && last <= segment.last)
        .unwrap();
    let whole = segments.remove(at);
    if whole.first < first {
        segments.push(Segment {
            last: first - 1,
            ..whole
        });
    }
    if last < whole.last {
        segments.push(Segment {
            first: last + 1,
            ..whole
        });
    }
    segments.push(Segment {
        first,
        last,
        holder: to,
        is_movable: true,
    });
}

#[test_case(0.0; "evenly busy keys")]
#[test_case(0.3; "three tenths of the load on neighbouring keys")]
fn keys_stay_piled_on_one_holder(hot_share: f64) {
    let count = usize::from(Key::MAX) + 1;
    let total = 190_000.0;
    let mut demand = vec![((1.0 - hot_share) * total / count as f64) as f32; count];
    for load in &mut demand[27_000..28_000] {
        *load += (hot_share * total / 1_000.0) as f32;
    }
    let loads = Loads::new(&demand, REQUEST_LOAD);
    let firsts = (0..=Key::MAX).step_by(usize::from(SEGMENT_KEYS));
    let mut segments: Vec<Segment> = firsts
        .map(|first| Segment {
            first,
            last: first + (SEGMENT_KEYS - 1),
            holder: 0,
            is_movable: true,
        })
        .collect();
    let mut needed = 0;
    for _ in 0..ROUNDS {
        let next = moves(&segments, &loads, &[2.0; HOLDERS], MOVES_MAX);
        needed += next.len();
        for one in next {
            apply(&mut segments, one.first, one.last, one.to);
        }
    }
    let imbalance = imbalance(&segments, &loads);
    assert!(
        imbalance <= 1.3,
        "{imbalance} times the mean after {needed} moves"
    );
}

/// How many times the mean load a holder can serve if a little more than half of all slots are in use on average.
const SPARE: f64 = 1.8;

/// The holders of a service with many upstreams, of three speeds.
const MANY_HOLDERS: usize = 240;

/// Guards against hot keys that wait for one another to move while their holders are overloaded: sixty keys that each
/// fill a holder become hot at once, next to each other, and are served for four seconds.
#[test_case(60, 0.36; "sixty keys with 36 percent of the load")]
#[test_case(200, 0.4; "two hundred keys with 40 percent of the load")]
fn hot_keys_stay_together_on_overloaded_holders(hot_keys: usize, hot_share: f64) {
    const ROUNDS: usize = 6;
    let count = usize::from(Key::MAX) + 1;
    const REQUEST_LOAD: f64 = 210.0;
    let total = 1_260_000.0;
    let mut demand = vec![((1.0 - hot_share) * total / count as f64) as f32; count];
    for load in &mut demand[27_000..27_000 + hot_keys] {
        *load += (hot_share * total / hot_keys as f64) as f32;
    }
    let loads = Loads::new(&demand, REQUEST_LOAD);
    let weights: Vec<f64> = (0..MANY_HOLDERS)
        .map(|holder| 3.0 * [0.6, 1.0, 1.4][holder % 3])
        .collect();
    let all: f64 = weights.iter().sum();
    let first_of = |holder: usize| {
        let before: f64 = weights[..holder].iter().sum();
        (before / all * count as f64) as usize
    };
    let mut segments: Vec<Segment> = (0..MANY_HOLDERS)
        .map(|holder| Segment {
            first: first_of(holder) as Key,
            last: (first_of(holder + 1) - 1) as Key,
            holder,
            is_movable: true,
        })
        .collect();
    let max = MovesMax {
        hot: MANY_HOLDERS / 8,
        wide: 8,
    };
    let mut moved_keys = 0;
    for _ in 0..ROUNDS {
        for one in moves(&segments, &loads, &weights, max) {
            moved_keys += u32::from(one.last - one.first) + 1;
            apply(&mut segments, one.first, one.last, one.to);
        }
    }
    let totals = totals(&segments, &loads, MANY_HOLDERS);
    let relative = totals
        .iter()
        .zip(&weights)
        .map(|(total, weight)| total / weight);
    let mean = total / weights.iter().sum::<f64>();
    let worst = relative.fold(0.0, f64::max) / mean;
    assert!(worst <= SPARE, "{worst} times the mean load");
    // What a hot key leaves no room for moves away, and no more.
    let moved = f64::from(moved_keys) / count as f64;
    assert!(
        moved < hot_share / 2.0,
        "{moved} of all keys have another holder"
    );
}
