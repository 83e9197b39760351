//! Compares the answers of two routers to the same load, request by request.

use std::collections::BTreeMap;

use crate::load::Result;
use copperwell_keyspace::HashMap;
use copperwell_message::{Reason, Verdict};
use serde::Serialize;

/// The comparison of two runs of the same load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Requests that got the same answer in both runs.
    pub same: u64,
    /// Requests that got an answer from the owner in both runs, with different content.
    pub other_answer: u64,
    /// Requests without an answer from the owner in at least one run, by the outcomes of both runs.
    pub named: BTreeMap<String, u64>,
}

/// Compares two runs request by request.
#[must_use]
pub fn between(left: &[Result], right: &[Result]) -> Difference {
    let right: HashMap<u64, &Result> = right
        .iter()
        .map(|result| (result.offer.number, result))
        .collect();
    let mut difference = Difference::default();
    for left_result in left {
        let Some(right_result) = right.get(&left_result.offer.number) else {
            *difference
                .named
                .entry("not offered to both".to_owned())
                .or_default() += 1;
            continue;
        };
        match (outcome_of(left_result), outcome_of(right_result)) {
            (Outcome::Done, Outcome::Done) if left_result.content == right_result.content => {
                difference.same += 1
            }
            (Outcome::Done, Outcome::Done) => difference.other_answer += 1,
            (left, right) => {
                let name = format!("{} / {}", left.name(), right.name());
                *difference.named.entry(name).or_default() += 1;
            }
        }
    }
    difference
}

/// How a request ended.
enum Outcome {
    Done,
    NotRun(Option<Reason>),
    MayHaveRun(Option<Reason>),
}

impl Outcome {
    fn name(&self) -> String {
        let with = |verdict: &str, reason: &Option<Reason>| {
            format!("{verdict} ({})", reason.map_or("no answer", Reason::as_str))
        };
        match self {
            Self::Done => "done".to_owned(),
            Self::NotRun(reason) => with("not-run", reason),
            Self::MayHaveRun(reason) => with("may-have-run", reason),
        }
    }
}

fn outcome_of(result: &Result) -> Outcome {
    match result.verdicts.last() {
        Some(Verdict::Done) => Outcome::Done,
        Some(Verdict::NotRun) => Outcome::NotRun(result.reason),
        Some(Verdict::MayHaveRun) | None => Outcome::MayHaveRun(result.reason),
    }
}
