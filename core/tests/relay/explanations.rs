//! Explanations of where requests would be sent.

use std::time::Duration;

use yuccalift_core::relay::explanation::{ExplainedChoice, ExplainedOutcome, TargetExplanation};
use yuccalift_core::relay::route::WeightedService;
use yuccalift_core::relay::{
    RelayEvent, RepeatKind, ReportedLoad, RequestExplanation, RouteDestination, SelfReport,
    TargetOutcome, TargetPhase, TargetRecord,
};
use yuccalift_testkit::cases;

use crate::support::{RelayHarness, TIMEOUT, forward_route, gather_route, ms, success, target};

const HOST: &str = "shop.example";

fn explain(harness: &RelayHarness, path: &str) -> RequestExplanation {
    harness.engine.explain(harness.now, HOST, path)
}

fn orders_harness(names: &[&str]) -> RelayHarness {
    let records = names.iter().map(|name| target(name, "orders")).collect();
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    RelayHarness::new(vec![route], records)
}

/// Returns the explanation of a target of the first service.
fn explained(explanation: &RequestExplanation, name: &str) -> TargetExplanation {
    let targets = &explanation.services[0].targets;
    let found = targets.iter().find(|target| target.name.as_ref() == name);
    found.expect("the target is explained").clone()
}

/// Guards against an explanation that differs from what is done then, or that changes it: requests
/// go where the explanation before them says, and to the same targets if nothing is explained.
fn explanations_come_true(load: Option<ReportedLoad>) {
    let sequences = [true, false].map(|is_explained| {
        let mut harness = orders_harness(&["a", "b", "c"]);
        let mut sequence = Vec::new();
        for number in 0..200 {
            let explanation = is_explained.then(|| explain(&harness, "/orders/1"));
            harness.submit("to-orders", TIMEOUT);
            let order = harness.last_send().clone();
            if let Some(explanation) = explanation {
                let expected = ExplainedChoice::Target(order.name.clone());
                assert_eq!(explanation.services[0].choice, expected);
                assert_eq!(explanation.outcome, ExplainedOutcome::Sent);
            }
            harness.advance(ms(3 + number % 7));
            let outcome = match number % 11 {
                10 => TargetOutcome::Rejected,
                _ => success(b"0123456789abcdef"),
            };
            let report = SelfReport {
                load,
                ..SelfReport::default()
            };
            harness.end_with_report(order.attempt, outcome, Some(report));
            let last = harness.last_send().attempt;
            if last != order.attempt {
                // The rejected request was sent to another target.
                harness.advance(ms(5));
                harness.end_with_report(last, success(b"0123456789abcdef"), Some(report));
            }
            harness.advance(ms(1));
            sequence.push(order.name);
        }
        sequence
    });
    assert_eq!(sequences[0], sequences[1]);
}

/// Guards against an explanation that counts as a request of a split.
fn next_service_of_a_split_is_told() {
    let weighted = ["s1", "s2"].map(|service| WeightedService {
        service: service.into(),
        weight: 1.0,
    });
    let mut route = forward_route("s1", RepeatKind::Idempotent, 1);
    route.destination = RouteDestination::Split(weighted.into());
    let records = vec![target("a", "s1"), target("b", "s2")];
    let mut harness = RelayHarness::new(vec![route], records);
    for _ in 0..10 {
        let explanation = explain(&harness, "/s1/x");
        let next = explanation
            .services
            .iter()
            .filter(|service| service.is_next);
        let choices: Vec<_> = next.map(|service| service.choice.clone()).collect();
        harness.submit("to-s1", TIMEOUT);
        let order = harness.last_send().clone();
        assert_eq!(choices, [ExplainedChoice::Target(order.name)]);
        harness.end(order.attempt, success(b"0123456789abcdef"));
    }
}

/// Guards against an explanation of a refusal that differs from the refusal.
fn refusal_is_told() {
    let mut harness = orders_harness(&["a"]);
    harness.submit("to-orders", TIMEOUT);
    let attempt = harness.last_send().attempt;
    let report = SelfReport {
        pause: Some(ms(150)),
        ..SelfReport::default()
    };
    harness.end_with_report(attempt, success(b"0123456789abcdef"), Some(report));
    let explanation = explain(&harness, "/orders/1");
    let expected = ExplainedOutcome::Refused {
        cause: "no_target".into(),
        retry_after_ms: 150,
    };
    assert_eq!(explanation.outcome, expected);
    let held = explained(&explanation, "a");
    assert_eq!(held.held_by.as_deref(), Some("paused"));
    assert_eq!(held.held_ms, Some(150));
    let request = harness.submit("to-orders", TIMEOUT);
    let refusal = harness.end_of_request(request).result.clone();
    let refusal = refusal.expect_err("the request is refused");
    let text = format!("{refusal:?}");
    assert!(
        text.contains("NoTarget") && text.contains("150ms"),
        "{text}"
    );
}

/// Guards against a request that is said to be sent although all targets are full.
fn wait_is_told() {
    let mut harness = orders_harness(&["a"]);
    let limit = explained(&explain(&harness, "/orders/1"), "a").limit;
    for _ in 0..limit {
        harness.submit("to-orders", TIMEOUT);
    }
    let explanation = explain(&harness, "/orders/1");
    assert!(matches!(
        explanation.outcome,
        ExplainedOutcome::Waits { .. }
    ));
    assert_eq!(explanation.services[0].choice, ExplainedChoice::Wait);
    assert_eq!(explained(&explanation, "a").in_flight, limit);
    let sent = harness.sends.len();
    harness.submit("to-orders", TIMEOUT);
    assert_eq!(harness.sends.len(), sent);
}

/// Guards against states of targets that are told falsely.
fn states_are_told() {
    let mut harness = orders_harness(&["a", "b", "c"]);
    harness.feed(RelayEvent::TargetListed(TargetRecord {
        phase: TargetPhase::Draining,
        data_centre: "there".into(),
        ..target("b", "orders")
    }));
    harness.feed(RelayEvent::TargetUnlisted { name: "c".into() });
    harness.submit("to-orders", TIMEOUT);
    let order = harness.last_send().clone();
    assert_ne!(order.name.as_ref(), "b");
    harness.end(order.attempt, TargetOutcome::NotSent);
    let explanation = explain(&harness, "/orders/1");
    assert_eq!(explained(&explanation, "b").listing.as_ref(), "leaving");
    assert_eq!(explained(&explanation, "c").listing.as_ref(), "unlisted");
    let failed = explained(&explanation, &order.name);
    assert!(!failed.is_reachable);
    assert!(failed.suspended_ms.is_some_and(|left| left > 0));
    harness.advance(Duration::from_secs(10));
    let text = serde_json::to_string(&explain(&harness, "/orders/1"));
    let text = text.expect("an explanation has a JSON form");
    let decoded: RequestExplanation = serde_json::from_str(&text).expect("it can be read");
    assert_eq!(decoded.route.as_deref(), Some("to-orders"));
}

/// Guards against an explanation of a request that no route serves, or of one without its services.
fn check_services(path: &str, expected: &[&str]) {
    let services = ["s1", "s2", "s3"];
    let records = services.iter().map(|name| target(name, name)).collect();
    let harness = RelayHarness::new(vec![gather_route(&services, 0.6)], records);
    let explanation = explain(&harness, path);
    assert_eq!(explanation.version, 1);
    let names: Vec<&str> = explanation
        .services
        .iter()
        .map(|service| service.name.as_ref())
        .collect();
    assert_eq!(names, expected);
    assert!(explanation.services.iter().all(|service| service.is_next));
    let is_unserved = explanation.outcome == ExplainedOutcome::NoRoute;
    assert_eq!(is_unserved, expected.is_empty());
}

const REPORTED: ReportedLoad = ReportedLoad {
    running: 5,
    waiting: 0,
    slots: 8,
    pace: 1.0,
};

cases! {
    requests_go_where_explanations_say: explanations_come_true(None);
    requests_go_where_explanations_with_reports_say: explanations_come_true(Some(REPORTED));
    explanation_tells_the_next_service_of_a_split: next_service_of_a_split_is_told();
    explanation_tells_a_refusal: refusal_is_told();
    explanation_tells_a_wait: wait_is_told();
    explanation_tells_states_of_targets: states_are_told();
    explanation_names_all_merged_services: check_services("/gather/x", &["s1", "s2", "s3"]);
    explanation_without_a_route: check_services("/nowhere/x", &[]);
}
