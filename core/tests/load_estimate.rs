//! The estimate of a target's load from its reports.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use yuccalift_core::relay::load_estimate::LoadEstimate;
use yuccalift_core::relay::{LoadTrustChange, ReportedLoad};
use yuccalift_testkit::cases;

/// Greatest load that reports may add to a daemon's own.
const MAX_EXTRA: f64 = 0.25;
/// Greatest wait that is expected.
const MAX_WAIT: f64 = 20.0;

fn load(running: u32, waiting: u32, slots: u32, pace: f64) -> ReportedLoad {
    ReportedLoad {
        running,
        waiting,
        slots,
        pace,
    }
}

fn reported(now: Instant, load: ReportedLoad, own: usize) -> LoadEstimate {
    let mut estimate = LoadEstimate::default();
    estimate.record(now, load, own);
    estimate
}

/// Checks the extra load of a report of the given age; `own` attempts were in flight.
fn check_extra(load: ReportedLoad, own: usize, age_ms: u64, expected: Option<f64>) {
    let now = Instant::now();
    let extra = reported(now, load, own).extra_load(now + Duration::from_millis(age_ms));
    assert_eq!(extra, expected);
}

/// Checks the expected wait right after a report that arrived with `then` attempts in flight, if
/// `own` attempts are in flight now.
fn check_wait(load: ReportedLoad, then: usize, own: usize, expected: f64) {
    let now = Instant::now();
    let wait = reported(now, load, then).expected_wait(now, own);
    assert_eq!(wait, Some(expected));
}

/// Guards against estimates of targets that report nothing.
fn nothing_without_a_report() {
    let estimate = LoadEstimate::default();
    assert_eq!(estimate.extra_load(Instant::now()), None);
    assert_eq!(estimate.expected_wait(Instant::now(), 8), None);
}

/// Guards against influence that grows with age, or that lasts longer than a second.
fn influence_falls_with_age() {
    let now = Instant::now();
    let estimate = reported(now, load(8, 24, 8, 1.0), 0);
    let mut last = f64::INFINITY;
    for age_ms in (0..1_000).step_by(50) {
        let later = now + Duration::from_millis(age_ms);
        let extra = estimate.extra_load(later).expect("the report is recent");
        assert!(extra < last);
        last = extra;
    }
    assert!(last < 0.01);
    assert_eq!(estimate.extra_load(now + Duration::from_secs(1)), None);
}

/// Guards against a target that always reports a queue, although it answers as fast as usual: its
/// reports lose their influence, and regain it when response times confirm them.
fn measured_times_override_reports() {
    let mut now = Instant::now();
    let mut estimate = LoadEstimate::default();
    let mut changes = Vec::new();
    for relative_time in [[1.0; 20], [6.0; 20]].concat() {
        now += Duration::from_millis(10);
        estimate.record(now, load(4, 24, 4, 1.0), 1);
        changes.extend(estimate.compare(now, relative_time));
        if changes.is_empty() {
            continue;
        }
        let extra = estimate.extra_load(now).expect("the report is recent");
        assert!(changes.len() == 2 || extra < MAX_EXTRA * 0.71);
    }
    let expected = [LoadTrustChange::Doubted, LoadTrustChange::Believed];
    assert_eq!(changes, expected);
}

/// Guards against doubt in reports that imply no delay, which response times can't confirm.
fn reports_without_delay_are_not_doubted() {
    let mut now = Instant::now();
    let mut estimate = LoadEstimate::default();
    for _ in 0..50 {
        now += Duration::from_millis(10);
        estimate.record(now, load(4, 0, 4, 1.0), 0);
        assert_eq!(estimate.compare(now, 1.0), None);
    }
    assert_eq!(estimate.extra_load(now), Some(MAX_EXTRA));
}

/// Guards against a response time that is compared with the report of an earlier answer.
fn only_the_report_of_an_answer_is_compared() {
    let now = Instant::now();
    let mut estimate = reported(now, load(4, 24, 4, 1.0), 0);
    for _ in 0..50 {
        assert_eq!(estimate.compare(now + Duration::from_millis(1), 1.0), None);
    }
    assert_eq!(estimate.extra_load(now), Some(MAX_EXTRA));
}

cases! {
    idle_target_has_no_extra_load: check_extra(load(0, 0, 8, 1.0), 0, 0, Some(0.0));
    load_of_others_counts: check_extra(load(3, 1, 8, 1.0), 0, 0, Some(MAX_EXTRA / 2.0));
    own_attempts_count_only_once: check_extra(load(3, 1, 8, 1.0), 4, 0, Some(0.0));
    more_own_attempts_than_reported_ones: check_extra(load(1, 0, 8, 1.0), 3, 0, Some(0.0));
    slow_service_counts: check_extra(load(0, 0, 8, 1.5), 0, 0, Some(MAX_EXTRA / 2.0));
    fast_service_is_no_less_than_nothing: check_extra(load(0, 0, 8, 0.1), 0, 0, Some(0.0));
    full_queue_is_bounded: check_extra(load(8, 400, 8, 9.0), 0, 0, Some(MAX_EXTRA));
    half_a_second_leaves_a_quarter: check_extra(load(8, 0, 8, 1.0), 0, 500, Some(MAX_EXTRA / 4.0));
    report_is_forgotten_after_a_second: check_extra(load(8, 8, 8, 1.0), 0, 1_000, None);
    nothing_is_known_without_a_report: nothing_without_a_report();
    free_slots_cause_no_wait: check_wait(load(3, 0, 4, 1.0), 0, 0, 0.0);
    full_slots_cause_a_wait: check_wait(load(4, 0, 4, 1.0), 0, 0, 0.25);
    queue_causes_a_longer_wait: check_wait(load(4, 3, 4, 1.0), 0, 0, 1.0);
    slow_service_lengthens_the_wait: check_wait(load(4, 3, 4, 2.0), 0, 0, 2.0);
    own_attempts_since_the_report_count: check_wait(load(4, 3, 4, 1.0), 1, 5, 2.0);
    wait_is_bounded: check_wait(load(u32::MAX, u32::MAX, 1, 1e300), 0, 0, MAX_WAIT);
    influence_of_a_report_falls_with_its_age: influence_falls_with_age();
    measured_times_override_false_reports: measured_times_override_reports();
    reports_without_delay_stay_trusted: reports_without_delay_are_not_doubted();
    earlier_reports_are_not_compared: only_the_report_of_an_answer_is_compared();
}

proptest! {
    /// Guards against figures that make an estimate negative, infinite or too great.
    #[test]
    fn estimates_stay_in_their_bounds(
        reports in prop::collection::vec(
            (any::<u32>(), any::<u32>(), 1..=u32::MAX, f64::MIN_POSITIVE..f64::MAX, 0_usize..99, 0_u64..1_500, 0.0..1e9),
            1..30,
        ),
    ) {
        let mut now = Instant::now();
        let mut estimate = LoadEstimate::default();
        for (running, waiting, slots, pace, own, gap_ms, relative_time) in reports {
            estimate.record(now, load(running, waiting, slots, pace), own);
            estimate.compare(now, relative_time);
            now += Duration::from_millis(gap_ms);
            if let Some(extra) = estimate.extra_load(now) {
                prop_assert!((0.0..=MAX_EXTRA).contains(&extra), "{}", extra);
            }
            if let Some(wait) = estimate.expected_wait(now, own) {
                prop_assert!((0.0..=MAX_WAIT).contains(&wait), "{}", wait);
            }
        }
    }
}
