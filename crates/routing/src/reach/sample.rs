//! Whether many paths are lost together, judged by samples of them.
//!
//! A daemon with few requests for each upstream would try the paths one after the other for longer than a fault lasts.
//! So once some of a group of paths are lost, it probes a few others at random. If nearly all of these are lost, the
//! rest of the group is taken to be lost too, until a later sample shows otherwise.

use std::{sync::Arc, time::Duration};

use super::{
    SILENCE, SILENT_SHARE,
    path::{Path, Silence, probe_interval},
};
use crate::{ServiceName, UpstreamId, ZoneName, registry::Upstream};
use copperwell_message::HashMap;
use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

/// The number of paths in a sample: few enough to be probed at once, and enough that chance rarely shows a group as lost
/// of which half is.
const SAMPLE_SIZE: usize = 8;

/// The share of a sample that must be lost for the whole group to be taken for lost.
const CUT_OFF_SHARE: f64 = 0.8;

/// The least share of a sample that is lost for which all paths of the group are probed.
const PARTLY_SHARE: f64 = 0.25;

/// The number of lost paths from which on the others of a group are in doubt.
const LOST_TO_DOUBT: usize = 2;

/// How long after the start of a sample the next one is due, if further paths are lost.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a sample waits for probes: longer than each may take.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Paths that one fault can take away together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Group {
    /// All paths of this daemon.
    All,
    /// The paths to the upstreams of a service.
    Service(ServiceName),
    /// The paths to the upstreams in a data centre.
    Zone(ZoneName),
}

/// What a sample has shown of a group, where it differs from what was known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The group.
    pub group: Group,
    /// Whether its paths are taken to be lost.
    pub is_cut_off: bool,
    /// How many paths of the sample were seen to be lost or usable.
    pub sampled: usize,
    /// How many of these are lost.
    pub lost: usize,
}

/// What is known of the groups.
#[derive(Debug, Default)]
pub(super) struct Groups {
    states: HashMap<Group, State>,
}

#[derive(Debug, Default)]
struct State {
    /// The sample that is under way.
    sample: Option<Sample>,
    /// When the last sample was started.
    sampled_at: Option<Instant>,
    /// When the sample was started by which the group was found to be lost.
    cut_off_since: Option<Instant>,
    /// Whether nothing answered then, though connections could be opened.
    is_cut_off_in_silence: bool,
    /// When the first of the last samples was started that showed that many paths are lost, and not nearly all.
    partly_lost_since: Option<Instant>,
}

#[derive(Debug)]
struct Sample {
    started_at: Instant,
    ids: Vec<UpstreamId>,
    /// Whether a health check is sent to each.
    asks: bool,
    /// Whether it was started because nothing answers, so that a health check without an answer counts as a loss.
    is_for_silence: bool,
}

/// A path that a sample waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Awaited<'a> {
    pub(super) group: &'a Group,
    /// Whether a health check is to be sent.
    pub(super) asks: bool,
}

/// What the paths of a group show without a sample.
#[derive(Debug, Default)]
struct Tally {
    lost: usize,
    last_lost_at: Option<Instant>,
    answered_at: Option<Instant>,
    in_use: usize,
    silent: usize,
    last_silent_at: Option<Instant>,
}

impl Group {
    /// Returns the groups that an upstream belongs to.
    fn of(upstream: &Upstream) -> [Self; 3] {
        let service = Self::Service(upstream.service.clone());
        [Self::All, service, Self::Zone(upstream.zone.clone())]
    }
}

impl Groups {
    /// Returns whether a sample is under way, or a group is taken to be lost.
    pub(super) fn are_in_doubt(&self) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.sample.is_some() || state.cut_off_since.is_some())
    }

    /// Evaluates samples and starts those that are due; returns the changed verdicts.
    pub(super) fn update(
        &mut self,
        all: &[&Arc<Upstream>],
        paths: &HashMap<UpstreamId, Path>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<Verdict> {
        let mut members: HashMap<Group, Vec<&Arc<Upstream>>> = HashMap::default();
        for upstream in all {
            for group in Group::of(upstream) {
                members.entry(group).or_default().push(upstream);
            }
        }
        self.states.retain(|group, _| members.contains_key(group));
        let mut groups: Vec<_> = members.into_iter().collect();
        groups.sort_unstable_by(|(one, _), (other, _)| one.cmp(other));
        let mut verdicts = Vec::new();
        for (group, members) in groups {
            let is_all_lost = self.is_cut_off(&Group::All);
            let state = self.states.entry(group.clone()).or_default();
            let tally = Tally::of(&members, paths, now);
            let verdict = state.finish_sample(&tally, paths, now);
            verdicts.extend(verdict.map(|(sampled, lost)| Verdict {
                group: group.clone(),
                is_cut_off: state.cut_off_since.is_some(),
                sampled,
                lost,
            }));
            // The sample of all paths also tells of the others.
            if (group == Group::All || !is_all_lost) && state.is_sample_due(&tally, now) {
                state.start_sample(&members, tally.is_silent(now), now, random);
            }
        }
        verdicts
    }

    fn is_cut_off(&self, group: &Group) -> bool {
        let state = self.states.get(group);
        state.is_some_and(|state| state.cut_off_since.is_some())
    }

    /// Returns the paths that samples wait for, of which nothing is known since, each for the first of the groups.
    pub(super) fn awaited(
        &self,
        paths: &HashMap<UpstreamId, Path>,
    ) -> HashMap<&UpstreamId, Awaited<'_>> {
        let mut awaited: HashMap<&UpstreamId, Awaited<'_>> = HashMap::default();
        for (group, state) in &self.states {
            let Some(sample) = &state.sample else {
                continue;
            };
            let one = Awaited {
                group,
                asks: sample.asks,
            };
            let is_unknown = |id: &&UpstreamId| {
                let path = paths.get(*id);
                path.is_none_or(|path| path.is_unknown_since(sample.started_at))
            };
            for id in sample.ids.iter().filter(is_unknown) {
                let first = awaited.entry(id).or_insert(one);
                *first = one.min(*first);
            }
        }
        awaited
    }

    /// Returns whether an upstream is taken to be lost with one of its groups, as nothing shows otherwise.
    pub(super) fn is_presumed_lost(&self, upstream: &Upstream, path: Option<&Path>) -> bool {
        let good_at = path.and_then(|path| path.good_at);
        Group::of(upstream).iter().any(|group| {
            let state = self.states.get(group);
            let since = state.and_then(|state| state.cut_off_since);
            since.is_some_and(|since| good_at.is_none_or(|at| at < since))
        })
    }

    /// Returns whether a path is to be probed, since many of one of its groups are lost.
    pub(super) fn is_doubted(&self, upstream: &Upstream, path: Option<&Path>) -> bool {
        let known_at = path.and_then(|path| path.good_at.max(path.bad_at));
        Group::of(upstream).iter().any(|group| {
            let state = self.states.get(group);
            let since = state.and_then(|state| state.partly_lost_since);
            since.is_some_and(|since| known_at.is_none_or(|at| at < since))
        })
    }
}

impl State {
    /// Evaluates the sample if it is complete; returns how many paths it tells of and how many of these are lost, if
    /// that changes the verdict.
    fn finish_sample(
        &mut self,
        tally: &Tally,
        paths: &HashMap<UpstreamId, Path>,
        now: Instant,
    ) -> Option<(usize, usize)> {
        let sample = self.sample.as_ref()?;
        let since = sample.started_at;
        let is_answered = tally.answered_at.is_some_and(|at| at >= since);
        let silence = match sample.is_for_silence && !is_answered {
            true => Silence::IsLoss,
            false => Silence::IsDelay,
        };
        let state_of = |id| {
            let path = paths.get(id);
            path.and_then(|path| path.is_bad_since(since, silence))
        };
        let known: Vec<bool> = sample.ids.iter().filter_map(state_of).collect();
        if known.len() < sample.ids.len() && now < since + SAMPLE_TIMEOUT {
            return None;
        }
        let is_for_silence = sample.is_for_silence;
        self.sample = None;
        let lost = known.iter().filter(|is_bad| **is_bad).count();
        let share = lost as f64 / known.len().max(1) as f64;
        let is_cut_off = lost >= LOST_TO_DOUBT && share >= CUT_OFF_SHARE;
        let is_partly_lost = !is_cut_off && share >= PARTLY_SHARE;
        self.partly_lost_since = is_partly_lost.then(|| self.partly_lost_since.unwrap_or(since));
        let was_cut_off = self.cut_off_since.is_some();
        self.cut_off_since = match is_cut_off {
            true => self.cut_off_since.or(Some(since)),
            false => None,
        };
        self.is_cut_off_in_silence = is_cut_off && is_for_silence;
        (was_cut_off != is_cut_off).then_some((known.len(), lost))
    }

    fn is_sample_due(&self, tally: &Tally, now: Instant) -> bool {
        if self.sample.is_some() {
            return false;
        }
        let is_after = |interval| self.sampled_at.is_none_or(|at| now >= at + interval);
        if let Some(since) = self.cut_off_since {
            return is_after(probe_interval(now.saturating_duration_since(since)));
        }
        is_after(SAMPLE_INTERVAL) && self.has_new_doubt(tally, now)
    }

    /// Returns whether paths were lost, or fell silent, that the last sample does not explain.
    fn has_new_doubt(&self, tally: &Tally, now: Instant) -> bool {
        let is_new = |at: Option<Instant>| at > self.sampled_at;
        (tally.lost >= LOST_TO_DOUBT && is_new(tally.last_lost_at))
            || (tally.is_silent(now) && is_new(tally.last_silent_at))
    }

    fn start_sample(
        &mut self,
        members: &[&Arc<Upstream>],
        is_silent: bool,
        now: Instant,
        random: &mut impl Rng,
    ) {
        let usable = members.iter().filter(|one| !one.is_draining);
        let sampled = usable.sample(random, SAMPLE_SIZE).into_iter();
        self.sample = Some(Sample {
            started_at: now,
            ids: sampled.map(|one| one.id.clone()).collect(),
            // A connection that opens does not show that a group is back.
            asks: is_silent || self.cut_off_since.is_some(),
            is_for_silence: match self.cut_off_since {
                Some(_) => self.is_cut_off_in_silence,
                None => is_silent,
            },
        });
        self.sampled_at = Some(now);
    }
}

impl Tally {
    fn of(members: &[&Arc<Upstream>], paths: &HashMap<UpstreamId, Path>, now: Instant) -> Self {
        let mut tally = Self::default();
        for path in members.iter().filter_map(|one| paths.get(&one.id)) {
            tally.lost += usize::from(path.lost_since.is_some());
            tally.last_lost_at = tally.last_lost_at.max(path.lost_since);
            tally.answered_at = tally.answered_at.max(path.answered_at);
            tally.in_use += usize::from(path.is_in_use());
            if path.is_silent(now) {
                tally.silent += 1;
                let silent_at = path.quiet_since.map(|since| since + SILENCE);
                tally.last_silent_at = tally.last_silent_at.max(silent_at);
            }
        }
        tally
    }

    /// Returns whether no upstream of the group answers, and most that owe an answer have owed it for long.
    fn is_silent(&self, now: Instant) -> bool {
        let is_answered = self.answered_at.is_some_and(|at| now < at + SILENCE);
        !is_answered && self.silent > 0 && self.silent as f64 >= SILENT_SHARE * self.in_use as f64
    }
}
