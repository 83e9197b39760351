//! Two routers on the same load: where their answers are the same, and what each difference is.

use std::collections::BTreeMap;

use crate::load::Result;
use copperwell_keyspace::HashMap;
use copperwell_message::{Reason, Verdict};
use serde::Serialize;

/// What two runs of the same load have in common.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Requests with the same answer from both.
    pub same: u64,
    /// Requests with the owner's answer from both, which is not the same.
    pub other_answer: u64,
    /// Requests that ended differently, by what each side said.
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
    for one in left {
        let Some(other) = right.get(&one.offer.number) else {
            *difference
                .named
                .entry("not offered to both".to_owned())
                .or_default() += 1;
            continue;
        };
        match (end_of(one), end_of(other)) {
            (End::Done, End::Done) if one.content == other.content => difference.same += 1,
            (End::Done, End::Done) => difference.other_answer += 1,
            (left, right) => {
                let name = format!("{} / {}", left.name(), right.name());
                *difference.named.entry(name).or_default() += 1;
            }
        }
    }
    difference
}

/// How a request ended.
enum End {
    Done,
    NotRun(Option<Reason>),
    MayHaveRun(Option<Reason>),
}

impl End {
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

fn end_of(result: &Result) -> End {
    match result.verdicts.last() {
        Some(Verdict::Done) => End::Done,
        Some(Verdict::NotRun) => End::NotRun(result.reason),
        Some(Verdict::MayHaveRun) | None => End::MayHaveRun(result.reason),
    }
}
