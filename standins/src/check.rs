//! Checks of a run that compare the results of callers with the runs of targets.
//!
//! The checks use no data from daemons, so they detect a daemon that misreports what it did.

use std::fmt;

use serde::{Deserialize, Serialize};
use yuccalift_core::Outcome;
use yuccalift_core::ids::{MapEpoch, RequestId, ShardId};

use crate::callers::{AnsweredSearch, CallRecord, CallResult};
use crate::gate::GateCounts;
use crate::leaf::{LeafCounts, LeafRun, RunKind, RunStatus};

/// Time after the start of its drain during which a target may still get new work, in milliseconds.
pub const DRAIN_GRACE_MS: u64 = 3_000;

/// Guarantee that a run violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckKind {
    /// A non-idempotent request ran more than once.
    DoubledRun,
    /// A request was refused as `not_run` although it ran.
    FalseNotRun,
    /// A non-idempotent request was answered as executed although no target ran it.
    FalseRan,
    /// The hits of an answer are from several index versions or from one that the answer does not
    /// name.
    MixedVersions,
    /// The coverage of an answer contradicts the runs of the targets or the published maps.
    UntrueCoverage,
    /// An answer belongs to another request.
    ForeignAnswer,
    /// A request got neither an answer nor a typed refusal.
    Dropped,
    /// A request was refused in a run that does not allow refusals.
    Unexcused,
    /// A draining target got new work later than [`DRAIN_GRACE_MS`] after the start of the drain.
    WorkAfterDrain,
    /// The connections of a target exceeded its limit.
    ConnectionsAboveLimit,
}

/// A violated guarantee with the details that are needed to investigate it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckViolation {
    /// The violated guarantee.
    pub kind: CheckKind,
    /// Request id or target name.
    pub subject: Box<str>,
    /// Observation that violates the guarantee.
    pub detail: Box<str>,
}

impl fmt::Display for CheckViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}: {}", self.kind, self.subject, self.detail)
    }
}

/// Runs and counters of one target.
#[derive(Clone, Debug)]
pub struct LeafRecord {
    /// Name of the target in violations.
    pub name: Box<str>,
    /// Maximum number of connections that the target accepts.
    pub connections_limit: u32,
    /// Runs of the target, oldest first.
    pub runs: Vec<LeafRun>,
    /// Request counters of the target.
    pub counts: LeafCounts,
    /// Connection counters of the target.
    pub connections: GateCounts,
}

/// Shards of a published shard map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EpochShards {
    /// Epoch of the map.
    pub epoch: MapEpoch,
    /// Shards of the map, sorted.
    pub shards: Vec<ShardId>,
}

/// Records of one run that the checks compare.
#[derive(Clone, Debug)]
pub struct RunEvidence {
    /// Results of the callers' requests.
    pub calls: Vec<CallRecord>,
    /// Records of the targets.
    pub leafs: Vec<LeafRecord>,
    /// Shard maps that were published during the run.
    pub epochs: Vec<EpochShards>,
    /// Whether faults or overload in the run justify refusals; planned stops and changes do not.
    pub allows_refusals: bool,
}

impl RunEvidence {
    /// Runs all checks and returns the violations, sorted.
    pub fn check(&self) -> Vec<CheckViolation> {
        let runs = SortedRuns::new(&self.leafs);
        let mut violations = Vec::new();
        for call in &self.calls {
            if !self.allows_refusals {
                check_not_refused(call, &mut violations);
            }
            check_call(
                call,
                runs.for_request(&call.request),
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

/// Runs of all targets, sorted by request.
struct SortedRuns<'a> {
    runs: Vec<&'a LeafRun>,
}

impl<'a> SortedRuns<'a> {
    fn new(leafs: &'a [LeafRecord]) -> Self {
        let mut runs: Vec<&LeafRun> = leafs.iter().flat_map(|leaf| &leaf.runs).collect();
        runs.sort_by(|left, right| left.request.cmp(&right.request));
        Self { runs }
    }

    fn for_request(&self, request: &RequestId) -> &[&'a LeafRun] {
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
            format!("refused as not run at {step}, but has {} runs", runs.len()),
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
                    "the result belongs to another request".to_owned(),
                );
            }
            if executed == 0 {
                report(CheckKind::FalseRan, "no target ran the request".to_owned());
            }
        }
        CallResult::Lost { step, message } => {
            report(CheckKind::Dropped, format!("at {step}: {message}"));
        }
        CallResult::Refused(_) => {}
    }
}

fn check_not_refused(call: &CallRecord, violations: &mut Vec<CheckViolation>) {
    if let CallResult::Refused(refusal) = &call.result {
        violations.push(CheckViolation {
            kind: CheckKind::Unexcused,
            subject: call.request.clone(),
            detail: refusal.to_string().into(),
        });
    }
}

/// Returns the step of a refusal that claims `not_run` for a request that ran.
///
/// A search that was sent more than once is not checked, since an earlier send whose connection was
/// lost may have run. A non-idempotent request counts as one request however often it is sent.
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

/// A violation without its subject, which the caller adds.
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
        let detail = format!(
            "the answer or its hits belong to another request ({} hits)",
            answer.foreign_hits
        );
        findings.push(Finding::new(CheckKind::ForeignAnswer, detail));
    }
    let own_version = |version: &u64| *version == answer.snapshot.version;
    if !answer.hit_versions.iter().all(own_version) {
        let detail = format!(
            "the hits are from index versions {:?}, the answer names {}",
            answer.hit_versions, answer.snapshot.version
        );
        findings.push(Finding::new(CheckKind::MixedVersions, detail));
    }
    if let Some(detail) = check_coverage(answer, epochs) {
        findings.push(Finding::new(CheckKind::UntrueCoverage, detail));
    }
    if let Some(shard) = find_unexecuted_shard(answer, runs) {
        let version = answer.snapshot.version;
        let detail = format!(
            "shard {shard} is listed as answered, but no target completed a run of it at version {version}"
        );
        findings.push(Finding::new(CheckKind::UntrueCoverage, detail));
    }
    findings
}

/// Describes the first contradiction in the coverage of an answer, if there is one.
fn check_coverage(answer: &AnsweredSearch, epochs: &[EpochShards]) -> Option<String> {
    let mut listed: Vec<ShardId> = answer.answered.clone();
    listed.extend(answer.missing.iter().map(|missing| missing.shard));
    listed.sort_unstable();
    if listed.len() as u32 != answer.asked {
        return Some(format!(
            "{} shards were queried, {} are listed",
            answer.asked,
            listed.len()
        ));
    }
    let epoch = answer.snapshot.epoch;
    let Some(published) = epochs.iter().find(|published| published.epoch == epoch) else {
        return Some(format!("epoch {epoch} was never published"));
    };
    if listed != published.shards {
        return Some(format!("the listed shards are not those of epoch {epoch}"));
    }
    let unlisted = answer
        .hit_shards
        .iter()
        .find(|shard| answer.answered.binary_search(shard).is_err());
    unlisted.map(|shard| format!("a hit is from shard {shard}, which is not listed as answered"))
}

/// Finds a shard that an answer lists as answered although no target completed a run of it at the
/// answer's index version.
fn find_unexecuted_shard(answer: &AnsweredSearch, runs: &[&LeafRun]) -> Option<ShardId> {
    let mut done: Vec<ShardId> = runs
        .iter()
        .filter(|run| run.end == RunStatus::Done && run.version == answer.snapshot.version)
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
            format!("new work {after} ms after the start of the drain"),
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
