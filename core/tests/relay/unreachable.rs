//! Targets that can't be reached cost no request its time once that is known.

use std::time::Duration;

use yuccalift_core::relay::{
    ProbeOutcome, RelayAnswer, RelayEvent, RelayRefusal, RepeatKind, RouteEntry, TargetOutcome,
};
use yuccalift_testkit::cases;

use crate::support::{RelayStage, TIMEOUT, forward_route, gather_route, ms, success, target};

/// After how long a connection attempt without an answer is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

fn stage() -> RelayStage {
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let targets = ["a", "b"].map(|name| target(name, "orders"));
    RelayStage::new(vec![route], targets.into())
}

/// What comes of asking a target that is there, or is dark.
fn probe_outcome(reachable: bool) -> ProbeOutcome {
    if reachable {
        ProbeOutcome::Reached
    } else {
        ProbeOutcome::NoResponse
    }
}

/// Answers the last question to a target.
fn answer_probe(stage: &mut RelayStage, reachable: bool) {
    let probe = *stage.probes.last().expect("the target is asked");
    let target = probe.target;
    stage.feed(RelayEvent::Probed {
        target,
        outcome: probe_outcome(reachable),
    });
}

/// Sends requests, which all succeed; to which targets.
fn served_by(stage: &mut RelayStage, requests: u32) -> Vec<Box<str>> {
    let mut names = Vec::new();
    for _ in 0..requests {
        stage.submit("to-orders", TIMEOUT);
        let order = stage.last_send().clone();
        stage.end(order.attempt, success(b""));
        names.push(order.name);
        stage.pass(ms(20));
    }
    names
}

/// A target that refused a connection is asked for one from time to time, and gets requests again
/// only when it has given one.
fn unreachable_gets_no_request() {
    let mut stage = stage();
    stage.submit("to-orders", TIMEOUT);
    let dark = stage.last_send().clone();
    stage.end(dark.attempt, TargetOutcome::NotSent);
    let retry = stage.last_send().attempt;
    stage.end(retry, success(b""));
    for _ in 0..4 {
        let names = served_by(&mut stage, 40);
        assert!(!names.contains(&dark.name), "it can't be reached");
        answer_probe(&mut stage, false);
    }
    let asked = stage.probes.len();
    assert!(
        (4..20).contains(&asked),
        "it was asked {asked} times in 3.2 s"
    );
    stage.pass(ms(4_000));
    answer_probe(&mut stage, true);
    let names = served_by(&mut stage, 10);
    assert!(names.contains(&dark.name), "it serves again");
}

/// A target that owes an answer for long is asked for a connection: one that is dark is found out
/// by that, and one that only takes long goes on.
fn silent_target_is_asked(reachable: bool) {
    let mut stage = stage();
    stage.warm_up("to-orders", 80, ms(5));
    let request = stage.submit("to-orders", TIMEOUT);
    let silent = stage.last_send().clone();
    stage.pass(ms(60));
    let second = stage.last_send().attempt;
    assert_ne!(second, silent.attempt, "another target is asked as well");
    stage.end(second, success(b""));
    assert!(stage.has_ended(request));
    stage.pass(ms(300));
    stage.end(silent.attempt, TargetOutcome::Abandoned { sent: true });
    answer_probe(&mut stage, reachable);
    stage.pass(ms(20_000));
    let names = served_by(&mut stage, 12);
    assert_eq!(names.contains(&silent.name), reachable);
}

/// Three targets of a data centre that was cut off, each found out at another time: the first that
/// can be reached again says that the way is back, and the others are asked at once.
fn way_back_is_told_by_the_first() {
    let services = ["s0", "s1", "s2"];
    let targets = services.map(|name| target(name, name));
    let mut stage = RelayStage::new(vec![gather_route(&services, 0.1)], targets.into());
    stage.submit("gather", TIMEOUT);
    let mut answered = 0;
    for (_, order) in stage.sends.clone() {
        stage.end(order.attempt, TargetOutcome::NotSent);
        answered = answer_probes_for(&mut stage, ms(150), answered, false);
    }
    answered = answer_probes_for(&mut stage, Duration::from_secs(6), answered, false);
    while stage.probes.len() == answered {
        stage.pass(ms(1));
    }
    let first = answered;
    answered = answer_probes_for(&mut stage, ms(5), answered, true);
    assert_eq!(
        answered - first,
        services.len(),
        "all are asked with the first"
    );
}

/// Answers all questions to targets for a time, of which some have been answered before; how many
/// have been then.
fn answer_probes_for(
    stage: &mut RelayStage,
    time: Duration,
    mut answered: usize,
    reachable: bool,
) -> usize {
    let end = stage.now + time;
    while stage.now < end {
        while let Some(probe) = stage.probes.get(answered).copied() {
            answered += 1;
            let target = probe.target;
            stage.feed(RelayEvent::Probed {
                target,
                outcome: probe_outcome(reachable),
            });
        }
        stage.pass(ms(1));
    }
    answered
}

/// The way to a data centre is cut without a word while requests are in flight there: they end as
/// soon as that is known, not at their deadline, and the next are refused at once.
fn silent_data_centre_holds_nobody(min_coverage: f64) {
    let services = ["s0", "s1", "s2"];
    let targets = services.map(|name| target(name, name));
    let route = RouteEntry {
        timeout: Duration::from_secs(10),
        ..gather_route(&services, min_coverage)
    };
    let mut stage = RelayStage::new(vec![route], targets.into());
    stage.warm_up("gather", 30, ms(15));
    let asked_before = stage.probes.len();
    let begun = stage.now;
    let request = stage.submit("gather", Duration::from_secs(3));
    let (mut answered, mut cancelled) = (asked_before, 0);
    while !stage.has_ended(request) {
        stage.pass(CONNECT_TIMEOUT);
        answered = answer_probes_for(&mut stage, ms(1), answered, false);
        while let Some(attempt) = stage.cancels.get(cancelled).copied() {
            cancelled += 1;
            stage.end(attempt, TargetOutcome::Abandoned { sent: true });
        }
    }
    let took = stage.end_of(request).at - begun;
    assert!(took <= ms(600), "it was held for {took:?}");
    let next = stage.submit("gather", Duration::from_secs(3));
    let refused = &stage.end_of(next).result;
    assert!(
        matches!(refused, Err(RelayRefusal::NotRun { .. })),
        "{refused:?}"
    );
}

/// A target that only takes long keeps its attempt.
fn slow_target_keeps_its_attempt() {
    let mut stage = RelayStage::new(
        vec![forward_route("orders", RepeatKind::Idempotent, 2)],
        vec![target("a", "orders")],
    );
    stage.warm_up("to-orders", 80, ms(5));
    let request = stage.submit("to-orders", TIMEOUT);
    let slow = stage.last_send().attempt;
    answer_probes_for(&mut stage, ms(400), 0, true);
    assert!(
        (1..=2).contains(&stage.probes.len()),
        "it is asked, not flooded"
    );
    assert!(stage.cancels.is_empty());
    stage.end(slow, success(b""));
    let result = &stage.end_of(request).result;
    assert!(matches!(result, Ok(RelayAnswer::Whole(_))), "{result:?}");
}

cases! {
    a_silent_data_centre_holds_no_request: silent_data_centre_holds_nobody(1.0);
    a_silent_data_centre_holds_none_that_may_lack_parts: silent_data_centre_holds_nobody(0.5);
    a_slow_target_keeps_its_attempt: slow_target_keeps_its_attempt();
    the_way_back_to_a_data_centre_is_told_by_the_first: way_back_is_told_by_the_first();
    an_unreachable_target_gets_no_request: unreachable_gets_no_request();
    a_silent_target_that_is_dark_is_found_out: silent_target_is_asked(false);
    a_silent_target_that_is_slow_goes_on: silent_target_is_asked(true);
}
