//! Checks of a run from both ends: what callers got, held against what targets ran.
//!
//! Nothing here asks a daemon what it did; so a daemon that is wrong about itself is found out.

use std::fmt;

use serde::{Deserialize, Serialize};
use yuccalift_core::Outcome;
use yuccalift_core::ids::{MapEpoch, RequestId, ShardId};

use crate::callers::{AnsweredSearch, CallRecord, CallResult};
use crate::gate::GateCounts;
use crate::leaf::{LeafCounts, LeafRun, RunEnd, RunKind};

/// How long after the start of its drain a target may still get new work.
pub const DRAIN_GRACE_MS: u64 = 3_000;

/// A promise that a run broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckKind {
    /// A non-idempotent request ran more than once.
    DoubledRun,
    /// A request that was refused as not run has run.
    FalseNotRun,
    /// A non-idempotent request that was answered as run has not run.
    FalseRan,
    /// An answer mixes index versions, or names another than its hits are from.
    MixedVersions,
    /// An answer's coverage is not what the targets did.
    UntrueCoverage,
    /// An answer belongs to another request.
    ForeignAnswer,
    /// A request got neither an answer nor a typed refusal.
    Dropped,
    /// A request was refused though nothing that happened excuses that.
    Unexcused,
    /// A draining target got new work after the grace.
    WorkAfterDrain,
    /// A target's connections passed its limit.
    ConnectionsAboveLimit,
}

/// One breach, with what is needed to look into it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckViolation {
    /// What was broken.
    pub kind: CheckKind,
    /// The request or the target.
    pub subject: Box<str>,
    /// What was seen.
    pub detail: Box<str>,
}

impl fmt::Display for CheckViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.kind, self.subject, self.detail)
    }
}

/// What one target recorded.
#[derive(Clone, Debug)]
pub struct LeafRecord {
    /// A name for the target.
    pub name: Box<str>,
    /// Its limit of connections.
    pub connections_limit: u32,
    /// Its runs.
    pub runs: Vec<LeafRun>,
    /// What it counted of requests.
    pub counts: LeafCounts,
    /// What it counted of connections.
    pub connections: GateCounts,
}

/// The shards that a published map has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EpochShards {
    /// The map's epoch.
    pub epoch: MapEpoch,
    /// Its shards, sorted.
    pub shards: Vec<ShardId>,
}

/// Everything that the checks of one run need.
#[derive(Clone, Debug)]
pub struct RunEvidence {
    /// What callers got.
    pub calls: Vec<CallRecord>,
    /// What targets recorded.
    pub leafs: Vec<LeafRecord>,
    /// The maps that were published during the run.
    pub epochs: Vec<EpochShards>,
    /// Whether faults or the load excuse refusals; planned stops and changes do not.
    pub excuses_refusals: bool,
}

impl RunEvidence {
    /// Every violation, sorted.
    pub fn check(&self) -> Vec<CheckViolation> {
        let runs = SortedRuns::new(&self.leafs);
        let mut violations = Vec::new();
        for call in &self.calls {
            if !self.excuses_refusals {
                check_answered(call, &mut violations);
            }
            check_call(
                call,
                runs.of_request(&call.request),
                &self.epochs,
                &mut violations,
            );
        }
        for leaf in &self.leafs {
            check_leaf(leaf, &mut violations);
        }
        violations.sort();
        violations
    }
}

/// All targets' runs, sorted by request.
struct SortedRuns<'a> {
    runs: Vec<&'a LeafRun>,
}

impl<'a> SortedRuns<'a> {
    fn new(leafs: &'a [LeafRecord]) -> Self {
        let mut runs: Vec<&LeafRun> = leafs.iter().flat_map(|leaf| &leaf.runs).collect();
        runs.sort_by(|left, right| left.request.cmp(&right.request));
        Self { runs }
    }

    fn of_request(&self, request: &RequestId) -> &[&'a LeafRun] {
        let from = self.runs.partition_point(|run| run.request < *request);
        let until = self.runs.partition_point(|run| run.request <= *request);
        &self.runs[from..until]
    }
}

fn check_call(
    call: &CallRecord,
    runs: &[&LeafRun],
    epochs: &[EpochShards],
    violations: &mut Vec<CheckViolation>,
) {
    let mut report = |kind: CheckKind, detail: String| {
        violations.push(CheckViolation {
            kind,
            subject: call.request.clone(),
            detail: detail.into(),
        });
    };
    let executed = runs
        .iter()
        .filter(|run| run.kind == RunKind::Execute)
        .count();
    if executed > 1 {
        report(CheckKind::DoubledRun, format!("{executed} runs"));
    }
    if let Some(step) = find_false_not_run(call, runs) {
        report(
            CheckKind::FalseNotRun,
            format!("refused at {step}, {} runs", runs.len()),
        );
    }
    match &call.result {
        CallResult::Answered(answer) => {
            for Finding { kind, detail } in check_answer(answer, runs, epochs) {
                report(kind, detail);
            }
        }
        CallResult::Executed { foreign, .. } => {
            if *foreign {
                report(
                    CheckKind::ForeignAnswer,
                    "the result is another request's".to_owned(),
                );
            }
            if executed == 0 {
                report(CheckKind::FalseRan, "no target has a run of it".to_owned());
            }
        }
        CallResult::Lost { step, message } => {
            report(CheckKind::Dropped, format!("at {step}: {message}"));
        }
        CallResult::Refused(_) => {}
    }
}

fn check_answered(call: &CallRecord, violations: &mut Vec<CheckViolation>) {
    if let CallResult::Refused(refusal) = &call.result {
        violations.push(CheckViolation {
            kind: CheckKind::Unexcused,
            subject: call.request.clone(),
            detail: refusal.to_string().into(),
        });
    }
}

/// The step of a refusal that says `not_run` of a request that ran.
///
/// A search that was sent more than once is passed over: an earlier sending that was lost may
/// have run. A non-idempotent request is one request however often it is sent.
fn find_false_not_run<'a>(call: &'a CallRecord, runs: &[&LeafRun]) -> Option<&'a str> {
    let is_search = runs.iter().any(|run| run.kind == RunKind::Search);
    if runs.is_empty() || is_search && call.sends > 1 {
        return None;
    }
    let refusal = call
        .refusals
        .iter()
        .find(|refusal| refusal.outcome == Outcome::NotRun)?;
    Some(&refusal.step)
}

/// A violation whose subject is known from its place.
struct Finding {
    kind: CheckKind,
    detail: String,
}

impl Finding {
    fn new(kind: CheckKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

fn check_answer(
    answer: &AnsweredSearch,
    runs: &[&LeafRun],
    epochs: &[EpochShards],
) -> Vec<Finding> {
    let mut findings = Vec::new();
    if answer.foreign || answer.foreign_hits > 0 {
        let detail = format!("{} hits are another request's", answer.foreign_hits);
        findings.push(Finding::new(CheckKind::ForeignAnswer, detail));
    }
    let own_version = |version: &u64| *version == answer.snapshot.version;
    if !answer.hit_versions.iter().all(own_version) {
        let detail = format!(
            "hits are from {:?}, the answer names {}",
            answer.hit_versions, answer.snapshot.version
        );
        findings.push(Finding::new(CheckKind::MixedVersions, detail));
    }
    if let Some(detail) = check_coverage(answer, epochs) {
        findings.push(Finding::new(CheckKind::UntrueCoverage, detail));
    }
    if let Some(shard) = find_unrun_shard(answer, runs) {
        let version = answer.snapshot.version;
        let detail = format!("shard {shard} is said to have answered at {version} and never ran");
        findings.push(Finding::new(CheckKind::UntrueCoverage, detail));
    }
    findings
}

/// What is wrong with the lists of an answer's coverage, if anything is.
fn check_coverage(answer: &AnsweredSearch, epochs: &[EpochShards]) -> Option<String> {
    let mut stated: Vec<ShardId> = answer.answered.clone();
    stated.extend(answer.missing.iter().map(|missing| missing.shard));
    stated.sort_unstable();
    if stated.len() as u32 != answer.asked {
        return Some(format!("asked {}, stated {}", answer.asked, stated.len()));
    }
    let epoch = answer.snapshot.epoch;
    let Some(published) = epochs.iter().find(|published| published.epoch == epoch) else {
        return Some(format!("epoch {epoch} was never published"));
    };
    if stated != published.shards {
        return Some(format!("the shards stated are not those of epoch {epoch}"));
    }
    let unasked = answer
        .hit_shards
        .iter()
        .find(|shard| answer.answered.binary_search(shard).is_err());
    unasked.map(|shard| format!("a hit is from shard {shard}, which is not listed as answered"))
}

/// A shard that an answer lists as answered though no target ran it to its end at its version.
fn find_unrun_shard(answer: &AnsweredSearch, runs: &[&LeafRun]) -> Option<ShardId> {
    let mut done: Vec<ShardId> = runs
        .iter()
        .filter(|run| run.end == RunEnd::Done && run.version == answer.snapshot.version)
        .map(|run| run.shard)
        .collect();
    done.sort_unstable();
    answer
        .answered
        .iter()
        .copied()
        .find(|shard| done.binary_search(shard).is_err())
}

fn check_leaf(leaf: &LeafRecord, violations: &mut Vec<CheckViolation>) {
    let mut report = |kind: CheckKind, detail: String| {
        violations.push(CheckViolation {
            kind,
            subject: leaf.name.clone(),
            detail: detail.into(),
        });
    };
    let last_work = leaf.counts.work_after_drain_ms;
    if let Some(after) = last_work.filter(|after| *after > DRAIN_GRACE_MS) {
        report(
            CheckKind::WorkAfterDrain,
            format!("new work after {after} ms"),
        );
    }
    let peak = leaf.connections.peak;
    if peak > leaf.connections_limit {
        let detail = format!(
            "{peak} connections, the limit is {}",
            leaf.connections_limit
        );
        report(CheckKind::ConnectionsAboveLimit, detail);
    }
}
