//! Measurements and violations of a run.

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

/// Longest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Number of significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Maximum number of violations that a report lists. All are counted.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Data recorded during a run, from which the report is computed.
#[derive(Debug)]
pub struct RunRecord {
    /// Results that callers received and executions that leafs recorded.
    pub evidence: RunEvidence,
    /// A hash of each shard request that reached a leaf, sorted; repeated requests have equal
    /// hashes.
    pub arrivals: Vec<u64>,
    /// Counters of the calls that the platform received.
    pub platform: PlatformCalls,
    /// Time from the start of the load to its last answer.
    pub elapsed: Duration,
    /// Streams of the load.
    pub streams: Vec<LoadStream>,
    /// Processor time that the daemons used during the load.
    pub daemon_cpu_time: Duration,
}

/// A named number of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportField {
    /// Name of the field in the JSON form and in tables.
    pub name: &'static str,
    /// Measured value.
    pub value: f64,
}

impl ReportField {
    /// Creates a field.
    pub fn new(name: &'static str, value: f64) -> Self {
        Self { name, value }
    }
}

/// Number of missing shards or unanswered requests with one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReasonCount {
    /// Reason as the report prints it.
    pub reason: Box<str>,
    /// Number of occurrences.
    pub count: u64,
}

/// Report of one run, which is printed as text or JSON.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Name of the case.
    pub experiment: Box<str>,
    /// Seed of the load and the leafs.
    pub seed: u64,
    /// Name of the daemons' policy.
    pub policy: &'static str,
    /// Number of requests in the load.
    pub queries: u64,
    /// Median latency of searches, measured from their scheduled time.
    pub p50_ms: f64,
    /// 99th percentile of the latency of searches.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of searches.
    pub p999_ms: f64,
    /// Mean share of shards that answered a search; 0 for a search without an answer.
    pub coverage_mean: f64,
    /// Share of searches that every shard answered.
    pub whole_share: f64,
    /// Number of repeated shard requests divided by the number of distinct shard requests.
    pub extra_load: f64,
    /// Processor time of the daemons per shard request, in microseconds.
    pub daemon_us_per_shard_request: f64,
    /// Maximum number of simultaneous connections of any target.
    pub connections_peak: u32,
    /// Maximum number of connections that a target accepts.
    pub connections_limit: u32,
    /// Number of shards missing from answers, by reason.
    pub missing: Vec<ReasonCount>,
    /// Number of refused or lost requests, by reason.
    pub unanswered: Vec<ReasonCount>,
    /// Fields that only this case reports.
    #[serde(flatten, serialize_with = "write_fields")]
    pub fields: Vec<ReportField>,
    /// Number of violated guarantees.
    pub violations_total: usize,
    /// The first [`MAX_LISTED_VIOLATIONS`] violations.
    pub violations: Vec<Box<str>>,
}

impl RunRecord {
    /// Returns the results of all searches.
    pub fn searches(&self) -> impl Iterator<Item = &CallRecord> {
        self.calls_of(|stream| stream.kind == CallKind::Search)
    }

    /// Returns the results of the requests in the streams that `predicate` selects.
    pub fn calls_of(
        &self,
        predicate: impl Fn(&LoadStream) -> bool,
    ) -> impl Iterator<Item = &CallRecord> {
        let calls = self.evidence.calls.iter();
        calls.filter(move |call| predicate(&self.streams[call.stream]))
    }

    /// Returns the share of requests that every shard answered before their callers stopped
    /// waiting.
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
            served += u32::from(in_time && is_complete(call));
        }
        f64::from(served) / f64::from(total.max(1))
    }

    /// Returns the latency that a request counts with in statistics: the measured latency, or at
    /// least the caller's timeout if there was no answer.
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

/// Returns whether a search was answered by every shard.
pub fn is_complete(call: &CallRecord) -> bool {
    matches!(&call.result, CallResult::Answered(answer) if answer.missing.is_empty())
}

/// Returns whether a request was answered, possibly with missing shards.
pub fn is_answered(call: &CallRecord) -> bool {
    matches!(
        call.result,
        CallResult::Answered(_) | CallResult::Executed { .. }
    )
}

/// Returns the histogram of the latencies of some requests, in microseconds.
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

/// Computes the report of a run.
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
                .map(|call| f64::from(u8::from(is_complete(call)))),
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

/// Returns the name of a policy on the command line and in reports.
pub fn policy_name(policy: PolicyKind) -> &'static str {
    match policy {
        PolicyKind::Full => "full",
        PolicyKind::Baseline => "baseline",
    }
}

/// Serializes report fields as entries of a map, so that they can be flattened into a report.
pub fn write_fields<S: Serializer>(
    fields: &[ReportField],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_map(fields.iter().map(|field| (field.name, field.value)))
}

impl RunReport {
    /// Returns all numbers of the report by name; the fields of the case come last.
    pub fn all_fields(&self) -> Vec<ReportField> {
        let mut fields = vec![
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
        fields.extend(self.fields.iter().cloned());
        fields
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, policy {}",
            self.experiment, self.seed, self.policy
        )?;
        for ReportField { name, value } in self.all_fields() {
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
