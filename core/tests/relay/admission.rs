//! Admission control: which requests are refused before anything is sent, and the order of those
//! that wait.

use std::time::Duration;

use proptest::prelude::*;
use yuccalift_core::relay::admission::admitted_share;
use yuccalift_core::relay::{
    AdmissionMode, AttemptKey, RefusalCause, RelayDecision, RelayEvent, RelayRefusal, RepeatKind,
    TargetOutcome,
};
use yuccalift_testkit::cases;

use crate::support::{
    RelayHarness, TIMEOUT, failure, forward_route, gather_route, ms, success, target, tuning,
};

/// Usual duration of an attempt.
const USUAL: Duration = ms(10);
/// Duration of an attempt at a slow target, longer than the latency aim.
const SLOW: Duration = ms(180);

/// Creates a relay with three targets that knows the usual latency.
fn warm_harness(admission: AdmissionMode) -> RelayHarness {
    let targets = ["a", "b", "c"].map(|name| target(name, "orders"));
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], targets.to_vec());
    harness.feed(RelayEvent::TuningChanged(tuning(admission)));
    harness.warm_up("to-orders", 100, USUAL);
    harness
}

/// Answers requests one after the other; attempts at `slow` targets take [`SLOW`].
fn answer_slowly(harness: &mut RelayHarness, requests: u32, slow: &[&str]) {
    for _ in 0..requests {
        let from = harness.sends.len();
        harness.submit("to-orders", TIMEOUT);
        // Attempts may be hedged at any time; those at fast targets end within the usual time.
        for _ in 0..SLOW.as_millis() / USUAL.as_millis() {
            harness.advance(USUAL);
            end_attempts(harness, from, |name| !slow.contains(&name));
        }
        end_attempts(harness, from, |name| slow.contains(&name));
    }
}

/// Answers the attempts from the given one on that were sent to the selected targets.
fn end_attempts(harness: &mut RelayHarness, from: usize, is_selected: impl Fn(&str) -> bool) {
    let sends = harness.sends[from..].iter();
    let selected = sends.filter(|(_, order)| is_selected(&order.name));
    let attempts: Vec<AttemptKey> = selected.map(|(_, order)| order.attempt).collect();
    for attempt in attempts {
        harness.end(attempt, success(b"0123456789abcdef"));
    }
}

/// Creates a relay whose targets have all become slow.
fn pressed_harness(admission: AdmissionMode) -> RelayHarness {
    let mut harness = warm_harness(admission);
    answer_slowly(&mut harness, 12, &["a", "b", "c"]);
    harness
}

/// Returns the `retry_after` of each request refused for overload from the given end on.
fn shed_after(harness: &RelayHarness, from: usize) -> Vec<Duration> {
    let ends = harness.ends[from..].iter();
    let shed = ends.filter_map(|end| match &end.result {
        Err(RelayRefusal::NotRun { retry_after, cause }) => {
            (*cause == RefusalCause::Overload).then_some(*retry_after)
        }
        Ok(_) | Err(_) => None,
    });
    shed.collect()
}

/// Submits requests at once and returns the `retry_after` of those refused for overload.
fn shed_of(harness: &mut RelayHarness, requests: u32) -> Vec<Duration> {
    let from = harness.ends.len();
    for _ in 0..requests {
        harness.submit("to-orders", TIMEOUT);
    }
    shed_after(harness, from)
}

/// Guards against a refusal as not run of a request that was sent, and against callers that return
/// together.
fn refusal_is_early_and_spread() {
    let mut harness = pressed_harness(AdmissionMode::Adaptive);
    let sends = harness.sends.len();
    let mut shed = shed_of(&mut harness, 40);
    assert!(shed.len() >= 30, "{} are refused", shed.len());
    let sent = harness.sends[sends..].iter();
    let sent: Vec<u64> = sent.map(|(_, order)| order.request).collect();
    for end in &harness.ends {
        let is_shed = matches!(
            end.result,
            Err(RelayRefusal::NotRun {
                cause: RefusalCause::Overload,
                ..
            })
        );
        assert!(!is_shed || !sent.contains(&end.request));
    }
    assert!(shed.iter().all(|wait| *wait <= TIMEOUT / 4));
    shed.sort();
    shed.dedup();
    assert!(shed.len() >= 20, "the times to retry differ");
}

/// Guards against a relay that refuses everything for ever, since it gets no new answers.
fn remainder_is_admitted() {
    let mut harness = pressed_harness(AdmissionMode::Adaptive);
    let sends = harness.sends.len();
    for _ in 0..300 {
        harness.submit("to-orders", TIMEOUT);
        harness.advance(ms(10));
    }
    assert!(harness.sends.len() > sends);
}

/// Guards against refusals long after the targets have recovered.
fn all_are_admitted_after_recovery() {
    let mut harness = pressed_harness(AdmissionMode::Adaptive);
    for _ in 0..150 {
        answer_slowly(&mut harness, 1, &[]);
    }
    assert_eq!(shed_of(&mut harness, 6), []);
}

/// Guards against refusals for a cause that has no part in the load on the targets.
fn check_nothing_is_shed(mut harness: RelayHarness) {
    assert_eq!(shed_of(&mut harness, 6), []);
}

/// A single slow target is avoided, and nothing is refused for it.
fn harness_with_one_slow_target() -> RelayHarness {
    let mut harness = warm_harness(AdmissionMode::Adaptive);
    answer_slowly(&mut harness, 40, &["a"]);
    harness
}

/// The times measured before a pause of the process do not count.
fn paused_harness() -> RelayHarness {
    let mut harness = pressed_harness(AdmissionMode::Adaptive);
    harness.feed(RelayEvent::Paused);
    harness
}

/// The first requests after a start take longer, since their connections are new.
fn started_harness() -> RelayHarness {
    let targets = ["a", "b", "c"].map(|name| target(name, "orders"));
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], targets.to_vec());
    harness.feed(RelayEvent::TuningChanged(tuning(AdmissionMode::Adaptive)));
    answer_slowly(&mut harness, 12, &["a", "b", "c"]);
    harness
}

/// Creates a relay whose targets usually take this long, one of which has rejected an attempt.
fn usually_slow_harness(usual: Duration) -> RelayHarness {
    let targets = ["a", "b", "c"].map(|name| target(name, "orders"));
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], targets.to_vec());
    harness.feed(RelayEvent::TuningChanged(tuning(AdmissionMode::Adaptive)));
    harness.warm_up("to-orders", 100, usual);
    harness.submit("to-orders", TIMEOUT);
    let rejected = harness.last_send().attempt;
    harness.end(rejected, TargetOutcome::Rejected);
    harness.advance(usual);
    let repeated = harness.last_send().attempt;
    harness.end(repeated, success(b"0123456789abcdef"));
    harness
}

/// Guards against a target of an evacuated data centre that counts as fast, since it gets nothing:
/// the others are slow, and requests would be admitted as if they were sent to it.
fn evacuated_target_relieves_nothing() {
    let mut targets = ["a", "b", "c"].map(|name| target(name, "orders"));
    targets[2].data_centre = "south".into();
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], targets.to_vec());
    harness.feed(RelayEvent::TuningChanged(tuning(AdmissionMode::Adaptive)));
    harness.warm_up("to-orders", 100, USUAL);
    harness.feed(RelayEvent::EvacuationChanged {
        data_centre: "south".into(),
        active: true,
    });
    answer_slowly(&mut harness, 12, &["a", "b"]);
    let shed = shed_of(&mut harness, 40);
    assert!(shed.len() >= 30, "{} are refused", shed.len());
}

/// Guards against a log that grows with the number of refused requests.
fn refusals_are_logged_once_a_second() {
    let mut harness = pressed_harness(AdmissionMode::Adaptive);
    let before = shed_lines(&harness);
    for _ in 0..100 {
        harness.submit("to-orders", TIMEOUT);
        harness.advance(ms(10));
    }
    let lines = shed_lines(&harness) - before;
    assert!((1..=2).contains(&lines), "{lines} lines");
}

fn shed_lines(harness: &RelayHarness) -> usize {
    let is_shed = |decision: &&RelayDecision| matches!(decision, RelayDecision::Shed { service, .. } if service.as_ref() == "orders");
    harness.decisions.iter().filter(is_shed).count()
}

/// Guards against work for a merged request that has fallen below its coverage.
fn legs_are_cancelled_below_the_coverage() {
    let services = ["s0", "s1", "s2"];
    let targets = services.map(|service| target(&format!("{service}-a"), service));
    let mut route = gather_route(&services, 1.0);
    route.attempts = 1;
    let mut harness = RelayHarness::new(vec![route], targets.to_vec());
    let request = harness.submit("gather", TIMEOUT);
    let attempts: Vec<AttemptKey> = harness
        .sends
        .iter()
        .map(|(_, order)| order.attempt)
        .collect();
    harness.end(attempts[0], failure(500));
    assert!(harness.has_ended(request));
    assert_eq!(harness.cancels, attempts[1..]);
}

/// Guards against a queue that serves late requests first, so that all become late. Of two legs
/// that wait, the first one can no longer be in time.
fn check_parked_order(admission: AdmissionMode, is_late_first: bool) {
    let services = ["s0", "s1"];
    let targets = services.map(|service| target(&format!("{service}-a"), service));
    let mut harness = RelayHarness::new(vec![gather_route(&services, 1.0)], targets.to_vec());
    harness.feed(RelayEvent::TuningChanged(tuning(admission)));
    for _ in 0..3 {
        harness.submit("gather", TIMEOUT);
    }
    end_attempts(&mut harness, 0, |name| name == "s1-a");
    let late = harness.submit("gather", TIMEOUT);
    harness.advance(ms(55));
    let recent = harness.submit("gather", TIMEOUT);
    let running = harness
        .sends
        .iter()
        .find(|(_, order)| order.name.as_ref() == "s0-a");
    let running = running.expect("an attempt runs").1.attempt;
    let from = harness.sends.len();
    harness.end(running, success(b"0123456789abcdef"));
    harness.advance(ms(1_000));
    let next = harness.sends[from..].iter();
    let mut next = next.filter(|(_, order)| order.name.as_ref() == "s0-a");
    let expected = if is_late_first { late } else { recent };
    let next = next.next().expect("a waiting leg is sent");
    assert_eq!(next.1.request, expected);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a decision that oscillates: the admitted share falls steadily, by no more than
    /// the rise of the pressure warrants, and is never 0.
    #[test]
    fn the_admitted_share_falls_smoothly(
        pressure in 0.0..20.0_f64, rise in 0.0..0.05_f64, is_saturated: bool
    ) {
        let share = |pressure| admitted_share(pressure, is_saturated);
        let (before, after) = (share(pressure), share(pressure + rise));
        prop_assert!(after > 0.0 && after <= before && before <= 1.0);
        prop_assert!(before - after <= rise * 8.0 + 1e-9);
        let full = if is_saturated { 0.3 } else { 0.5 };
        prop_assert!(pressure > full || before >= 1.0);
    }
}

cases! {
    a_refused_request_was_not_sent: refusal_is_early_and_spread();
    a_remainder_is_always_admitted: remainder_is_admitted();
    all_requests_are_admitted_after_recovery: all_are_admitted_after_recovery();
    nothing_is_shed_without_admission_control: check_nothing_is_shed(pressed_harness(AdmissionMode::Off));
    nothing_is_shed_for_one_slow_target: check_nothing_is_shed(harness_with_one_slow_target());
    nothing_is_shed_after_a_pause: check_nothing_is_shed(paused_harness());
    nothing_is_shed_after_a_start: check_nothing_is_shed(started_harness());
    nothing_is_shed_for_a_rejection: check_nothing_is_shed(usually_slow_harness(ms(40)));
    nothing_is_shed_near_the_latency_aim: check_nothing_is_shed(usually_slow_harness(ms(80)));
    nothing_is_shed_above_the_latency_aim: check_nothing_is_shed(usually_slow_harness(SLOW));
    evacuated_targets_relieve_nothing: evacuated_target_relieves_nothing();
    refusals_are_logged_at_a_bounded_rate: refusals_are_logged_once_a_second();
    remaining_legs_are_cancelled: legs_are_cancelled_below_the_coverage();
    a_leg_that_is_in_time_goes_first: check_parked_order(AdmissionMode::Adaptive, false);
    the_first_leg_goes_first_without_admission_control: check_parked_order(AdmissionMode::Off, true);
}
