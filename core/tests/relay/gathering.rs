//! Requests that are merged from the parts of several services.

use yuccalift_core::relay::{RelayAnswer, RelayRefusal, TargetOutcome};
use yuccalift_testkit::cases;

use crate::support::{LATENCY_AIM, RelayStage, TIMEOUT, gather_route, ms, success, target};

const SERVICES: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// Four services with two targets each.
fn stage(min_coverage: f64) -> RelayStage {
    let targets = SERVICES
        .iter()
        .flat_map(|service| ["a", "b"].map(|name| target(&format!("{service}-{name}"), service)));
    RelayStage::new(
        vec![gather_route(&SERVICES, min_coverage)],
        targets.collect(),
    )
}

fn record(letter: u8) -> TargetOutcome {
    success(&[letter; 16])
}

/// Ends the first attempts at some of the services with success.
fn answer_parts(stage: &mut RelayStage, parts: &[usize]) {
    for part in parts {
        let attempt = stage.sends[*part].1.attempt;
        stage.end(attempt, record(b'a' + *part as u8));
    }
}

fn parts_of(result: &Result<RelayAnswer, RelayRefusal>) -> (usize, u32, Vec<u8>) {
    match result {
        Ok(RelayAnswer::Merged {
            signatures,
            missing,
            body,
        }) => (signatures.len(), *missing, body.clone()),
        other => panic!("a merged answer is given, not {other:?}"),
    }
}

fn answers_whole_at_once() {
    let mut stage = stage(0.75);
    let request = stage.submit("gather", TIMEOUT);
    answer_parts(&mut stage, &[0, 1, 2, 3]);
    let end = stage.end_of(request);
    let (parts, missing, body) = parts_of(&end.result);
    assert_eq!((parts, missing), (4, 0));
    assert_eq!(body, [[b'd'; 16], [b'c'; 16], [b'b'; 16]].concat());
    assert_eq!(end.at, stage.now, "at once");
}

/// A part that hangs costs the answer neither its time nor the truth about what it lacks.
fn answers_in_part_in_time() {
    let mut stage = stage(0.75);
    let request = stage.submit("gather", TIMEOUT);
    let begun = stage.now;
    answer_parts(&mut stage, &[0, 1, 2]);
    assert!(!stage.has_ended(request), "the fourth part may still come");
    stage.pass(LATENCY_AIM);
    let end = stage.end_of(request);
    let (parts, missing, _) = parts_of(&end.result);
    assert_eq!((parts, missing), (3, 1));
    assert!(end.at < begun + LATENCY_AIM, "within the latency aim");
}

/// Too few parts are no answer; the first moment with enough is.
fn waits_for_enough() {
    let mut stage = stage(0.75);
    let request = stage.submit("gather", TIMEOUT);
    answer_parts(&mut stage, &[0, 1]);
    stage.pass(LATENCY_AIM * 2);
    assert!(!stage.has_ended(request), "half is too little");
    answer_parts(&mut stage, &[2]);
    assert_eq!(parts_of(&stage.end_of(request).result).0, 3);
}

fn never_answers_below_the_least() {
    let mut stage = stage(0.75);
    let request = stage.submit("gather", TIMEOUT);
    answer_parts(&mut stage, &[0, 1]);
    stage.pass(TIMEOUT + ms(1));
    assert!(matches!(
        stage.end_of(request).result,
        Err(RelayRefusal::TimedOut)
    ));
}

/// Services without targets are known before anything is sent: enough others answer without
/// them, and too few are refused at once.
fn treats_lost_services(lost: usize, served: bool) {
    let known = &SERVICES[lost..];
    let targets = known.iter().map(|service| target(service, service));
    let mut stage = RelayStage::new(vec![gather_route(&SERVICES, 0.75)], targets.collect());
    let request = stage.submit("gather", TIMEOUT);
    if !served {
        assert!(stage.sends.is_empty(), "nothing is sent in vain");
        let refused = &stage.end_of(request).result;
        assert!(matches!(refused, Err(RelayRefusal::NotRun { .. })));
        return;
    }
    answer_parts(&mut stage, &[0, 1, 2]);
    let end = stage.end_of(request);
    assert_eq!(parts_of(&end.result).1, lost as u32);
    assert_eq!(end.at, stage.now, "nobody waits for what can't come");
}

/// A service whose targets can't be reached holds up no request for the others.
fn cut_service_holds_up_nobody() {
    let mut stage = stage(0.75);
    let mut served = 0;
    for _ in 0..50 {
        let mut next = stage.sends.len();
        let request = stage.submit("gather", TIMEOUT);
        for _ in 0..10 {
            while let Some((_, order)) = stage.sends.get(next).cloned() {
                let cut = order.name.starts_with("s0");
                let outcome = if cut {
                    TargetOutcome::NotSent
                } else {
                    record(b'x')
                };
                stage.end(order.attempt, outcome);
                next += 1;
            }
            stage.pass(LATENCY_AIM / 20);
        }
        served += u32::from(stage.has_ended(request));
    }
    assert_eq!(served, 50, "each is answered long before its aim");
}

cases! {
    a_whole_answer_goes_out_at_once: answers_whole_at_once();
    an_answer_in_part_goes_out_in_time: answers_in_part_in_time();
    too_few_parts_are_waited_for: waits_for_enough();
    too_few_parts_are_never_a_success: never_answers_below_the_least();
    one_lost_service_is_left_out: treats_lost_services(1, true);
    too_many_lost_services_are_refused_at_once: treats_lost_services(2, false);
    a_cut_service_holds_up_no_request: cut_service_holds_up_nobody();
}
