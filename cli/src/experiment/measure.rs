//! The figures and violations of a run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Serialize, Serializer};
use yuccalift_core::{PolicyKind, Refusal};
use yuccalift_standins::platform::PlatformCalls;
use yuccalift_standins::{
    CallKind, CallRecord, CallResult, CheckViolation, LoadStream, RunEvidence,
};

use crate::experiment::case::ExperimentCase;
use crate::experiment::runner::RunOptions;

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;
/// How many violations a report lists; it counts them all.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// What a run left, for the figures of all cases and of one.
#[derive(Debug)]
pub struct RunRecord {
    /// What both ends recorded.
    pub evidence: RunEvidence,
    /// A hash for each shard request that arrived at a leaf, sorted.
    pub arrivals: Vec<u64>,
    /// What the platform counted.
    pub platform: PlatformCalls,
    /// How long the load ran, its last answers included.
    pub elapsed: Duration,
    /// The load.
    pub streams: Vec<LoadStream>,
    /// The processor time that the daemons used.
    pub daemon_cpu_time: Duration,
}

/// One figure that belongs to a case.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportField {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
}

impl ReportField {
    /// Makes a field.
    pub fn new(name: &'static str, value: f64) -> Self {
        Self { name, value }
    }
}

/// How often a reason was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReasonCount {
    /// The reason.
    pub reason: Box<str>,
    /// How often.
    pub count: u64,
}

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// The case.
    pub experiment: Box<str>,
    /// The seed.
    pub seed: u64,
    /// Which decisions the daemons made.
    pub policy: &'static str,
    /// How many requests were due.
    pub queries: u64,
    /// The median latency of searches, from when each was due.
    pub p50_ms: f64,
    /// The latency that 99 in 100 searches keep.
    pub p99_ms: f64,
    /// The latency that 999 in 1000 searches keep.
    pub p999_ms: f64,
    /// The mean share of shards that answered; 0 for a search without an answer.
    pub coverage_mean: f64,
    /// The share of searches whose answer was whole.
    pub whole_share: f64,
    /// Shard requests beyond one a shard, as a share.
    pub extra_load: f64,
    /// Processor time of the daemons for each shard request, in microseconds.
    pub daemon_us_per_shard_request: f64,
    /// The most connections that any target had at once.
    pub connections_peak: u32,
    /// How many it accepts.
    pub connections_limit: u32,
    /// How many shards were missing from answers, for each reason.
    pub missing: Vec<ReasonCount>,
    /// How many requests were refused or lost, for each reason.
    pub unanswered: Vec<ReasonCount>,
    /// What belongs to the case.
    #[serde(flatten, serialize_with = "write_fields")]
    pub fields: Vec<ReportField>,
    /// How many promises were broken.
    pub violations_total: usize,
    /// The first of them.
    pub violations: Vec<Box<str>>,
}

impl RunRecord {
    /// The searches, with the stream of each.
    pub fn searches(&self) -> impl Iterator<Item = &CallRecord> {
        self.calls_of(|stream| stream.kind == CallKind::Search)
    }

    /// The requests of the streams that a test selects.
    pub fn calls_of(
        &self,
        predicate: impl Fn(&LoadStream) -> bool,
    ) -> impl Iterator<Item = &CallRecord> {
        let calls = self.evidence.calls.iter();
        calls.filter(move |call| predicate(&self.streams[call.stream]))
    }

    /// The share of requests that were answered whole while their callers waited.
    pub fn served_share(
        &self,
        calls: impl Iterator<Item = impl std::borrow::Borrow<CallRecord>>,
    ) -> f64 {
        let mut total = 0_u32;
        let mut served = 0_u32;
        for call in calls {
            let call = call.borrow();
            total += 1;
            let in_time = call.latency <= self.streams[call.stream].wait;
            served += u32::from(in_time && is_whole(call));
        }
        f64::from(served) / f64::from(total.max(1))
    }

    /// The wait that a request counts with: its latency, or all of its caller's patience if it
    /// got no answer.
    pub fn effective_latency(&self, call: &CallRecord) -> Duration {
        if is_answered(call) {
            call.latency
        } else {
            call.latency.max(self.streams[call.stream].wait)
        }
    }

    fn extra_load(&self) -> f64 {
        let mut distinct = self.arrivals.clone();
        distinct.dedup();
        let extra = self.arrivals.len() - distinct.len();
        extra as f64 / distinct.len().max(1) as f64
    }
}

/// Whether a search was answered and its answer lacks nothing.
pub fn is_whole(call: &CallRecord) -> bool {
    matches!(&call.result, CallResult::Answered(answer) if answer.missing.is_empty())
}

/// Whether a request got an answer, whole or not.
pub fn is_answered(call: &CallRecord) -> bool {
    matches!(
        call.result,
        CallResult::Answered(_) | CallResult::Executed { .. }
    )
}

/// The latencies of some requests.
pub fn latency_histogram<'a>(
    record: &RunRecord,
    calls: impl Iterator<Item = &'a CallRecord>,
) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        .expect("the bounds of the histogram are constant and valid");
    for call in calls {
        let latency = record.effective_latency(call);
        histogram.saturating_record((latency.as_micros() as u64).max(1));
    }
    histogram
}

/// Makes the report of a run.
pub fn make_report(case: &ExperimentCase, options: RunOptions, record: &RunRecord) -> RunReport {
    let histogram = latency_histogram(record, record.searches());
    let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    let violations = record.evidence.check();
    let leafs = &record.evidence.leafs;
    let fields = case.specs.iter().flat_map(|spec| (spec.fields)(record));
    RunReport {
        experiment: case.name.clone(),
        seed: options.seed,
        policy: policy_name(options.policy),
        queries: record.evidence.calls.len() as u64,
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        p999_ms: quantile_ms(0.999),
        coverage_mean: mean(record.searches().map(coverage_share)),
        whole_share: mean(
            record
                .searches()
                .map(|call| f64::from(u8::from(is_whole(call)))),
        ),
        extra_load: record.extra_load(),
        daemon_us_per_shard_request: record.daemon_cpu_time.as_secs_f64() * 1e6
            / record.arrivals.len().max(1) as f64,
        connections_peak: leafs
            .iter()
            .map(|leaf| leaf.connections.peak)
            .max()
            .unwrap_or(0),
        connections_limit: leafs
            .iter()
            .map(|leaf| leaf.connections_limit)
            .max()
            .unwrap_or(0),
        missing: count_reasons(missing_reasons(record)),
        unanswered: count_reasons(unanswered_reasons(record)),
        fields: fields.collect(),
        violations_total: violations.len(),
        violations: list_violations(&violations),
    }
}

fn missing_reasons(record: &RunRecord) -> Vec<Box<str>> {
    let answers = record.searches().filter_map(|call| match &call.result {
        CallResult::Answered(answer) => Some(answer),
        _ => None,
    });
    let missing = answers.flat_map(|answer| &answer.missing);
    missing
        .map(|missing| format!("{:?}", missing.reason).into())
        .collect()
}

fn unanswered_reasons(record: &RunRecord) -> Vec<Box<str>> {
    let calls = record.evidence.calls.iter();
    let reason = |call: &CallRecord| -> Option<Box<str>> {
        match &call.result {
            CallResult::Answered(_) | CallResult::Executed { .. } => None,
            CallResult::Lost { step, .. } => Some(format!("lost at {step}").into()),
            CallResult::Refused(refusal) => {
                let Refusal {
                    outcome,
                    code,
                    step,
                    ..
                } = refusal;
                Some(format!("{code:?} {outcome:?} at {step}").into())
            }
        }
    };
    calls.filter_map(reason).collect()
}

fn count_reasons(mut reasons: Vec<Box<str>>) -> Vec<ReasonCount> {
    reasons.sort_unstable();
    let groups = reasons.chunk_by(|left, right| left == right);
    let counts = groups.map(|group| ReasonCount {
        reason: group[0].clone(),
        count: group.len() as u64,
    });
    counts.collect()
}

fn list_violations(violations: &[CheckViolation]) -> Vec<Box<str>> {
    let listed = violations.iter().take(MAX_LISTED_VIOLATIONS);
    listed
        .map(|violation| violation.to_string().into())
        .collect()
}

fn coverage_share(call: &CallRecord) -> f64 {
    match &call.result {
        CallResult::Answered(answer) => answer.share(),
        _ => 0.0,
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let mut count = 0_u32;
    let mut sum = 0.0;
    for value in values {
        count += 1;
        sum += value;
    }
    sum / f64::from(count.max(1))
}

/// The name of a policy on the command line and in reports.
pub fn policy_name(policy: PolicyKind) -> &'static str {
    match policy {
        PolicyKind::Full => "full",
        PolicyKind::Baseline => "baseline",
    }
}

/// Writes figures as fields of the object that they stand in.
pub fn write_fields<S: Serializer>(
    fields: &[ReportField],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_map(fields.iter().map(|field| (field.name, field.value)))
}

impl RunReport {
    /// Every figure by its name, those of the case last.
    pub fn figures(&self) -> Vec<ReportField> {
        let mut figures = vec![
            ReportField::new("queries", self.queries as f64),
            ReportField::new("p50_ms", self.p50_ms),
            ReportField::new("p99_ms", self.p99_ms),
            ReportField::new("p999_ms", self.p999_ms),
            ReportField::new("coverage_mean", self.coverage_mean),
            ReportField::new("whole_share", self.whole_share),
            ReportField::new("extra_load", self.extra_load),
            ReportField::new(
                "daemon_us_per_shard_request",
                self.daemon_us_per_shard_request,
            ),
            ReportField::new("connections_peak", f64::from(self.connections_peak)),
            ReportField::new("connections_limit", f64::from(self.connections_limit)),
            ReportField::new("violations_total", self.violations_total as f64),
        ];
        figures.extend(self.fields.iter().cloned());
        figures
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, policy {}",
            self.experiment, self.seed, self.policy
        )?;
        for ReportField { name, value } in self.figures() {
            writeln!(f, "  {name:28} {value:12.3}")?;
        }
        for ReasonCount { reason, count } in &self.missing {
            writeln!(f, "  {count} shards missing: {reason}")?;
        }
        for ReasonCount { reason, count } in &self.unanswered {
            writeln!(f, "  {count} requests unanswered: {reason}")?;
        }
        for violation in &self.violations {
            writeln!(f, "  {violation}")?;
        }
        Ok(())
    }
}
