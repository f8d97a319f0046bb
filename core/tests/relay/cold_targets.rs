//! Cold targets, and targets that are presumed cold after an evacuation.

use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccalift_core::relay::route::{CallerLimits, ServiceEntry};
use yuccalift_core::relay::{
    AdmissionMode, ColdTolerance, HoldChange, RefusalCause, RelayDecision, RelayEvent,
    RelayRefusal, RelayTuning, RepeatKind, RouteTable, SelfReport, TargetRecord,
};
use yuccalift_testkit::cases;

use crate::support::{
    RelayHarness, TIMEOUT, forward_route, gather_route, ms, success, target, tuning,
};

const COLD_TIME: Duration = Duration::from_secs(8);
/// Requests a second that a cold target accepts from all daemons.
const COLD_RATE: f64 = 4.0;

/// Creates one daemon with one target, in front of which it is alone.
fn relay_with(is_in_force: bool, record: TargetRecord) -> RelayHarness {
    let mut harness = unconfigured_relay("entry-1");
    publish_rate(&mut harness, COLD_RATE);
    set_tolerance(&mut harness, is_in_force);
    harness.feed(RelayEvent::DaemonCountChanged(1));
    harness.feed(RelayEvent::TargetListed(record));
    harness
}

/// Creates a daemon that knows neither targets nor limits.
fn unconfigured_relay(host: &str) -> RelayHarness {
    let route = forward_route("s0", RepeatKind::Idempotent, 2);
    RelayHarness::on_host(host, vec![route], Vec::new())
}

fn publish_rate(harness: &mut RelayHarness, cold_rate: f64) {
    let route = forward_route("s0", RepeatKind::Idempotent, 2);
    let service = ServiceEntry {
        name: "s0".into(),
        connections: 80,
        cold_rate,
        cold_time: COLD_TIME,
    };
    let table = RouteTable::new(2, vec![route], vec![service], CallerLimits::default());
    harness.feed(RelayEvent::RoutesChanged(Arc::new(table)));
}

fn set_tolerance(harness: &mut RelayHarness, is_in_force: bool) {
    harness.feed(RelayEvent::TuningChanged(RelayTuning {
        cold: is_in_force.then_some(ColdTolerance {
            overage: 1.5,
            slack: 5.0,
        }),
        ..tuning(AdmissionMode::Off)
    }));
}

/// Sends requests one after the other for a second, and returns the number that was sent.
fn sent_in_a_second(harness: &mut RelayHarness, report: SelfReport) -> usize {
    let before = harness.sends.len();
    let end = harness.now + Duration::from_secs(1);
    while harness.now < end {
        let sent = harness.sends.len();
        harness.submit("to-s0", TIMEOUT);
        harness.advance(ms(10));
        if harness.sends.len() > sent {
            let attempt = harness.last_send().attempt;
            harness.end_with_report(attempt, success(b"0123456789abcdef"), Some(report));
        }
    }
    harness.sends.len() - before
}

fn cold_record() -> TargetRecord {
    TargetRecord {
        cold_left: COLD_TIME,
        ..target("a", "s0")
    }
}

fn evacuate_and_return(harness: &mut RelayHarness) {
    for active in [true, false] {
        harness.feed(RelayEvent::EvacuationChanged {
            data_centre: "here".into(),
            active,
        });
        harness.advance(ms(100));
    }
}

/// Guards against more requests to a cold target than it tolerates.
fn cold_target_is_spared(record: TargetRecord, prepare: impl Fn(&mut RelayHarness)) {
    let mut harness = relay_with(true, record);
    prepare(&mut harness);
    for _ in 0..5 {
        let sent = sent_in_a_second(&mut harness, SelfReport::default());
        assert!((1..=11).contains(&sent), "{sent} requests in a second");
    }
}

/// Lists the next incarnation of the target, which says nothing of a cold time.
fn restart(harness: &mut RelayHarness) {
    harness.feed(RelayEvent::TargetListed(TargetRecord {
        started_ms: Some(2),
        ..target("a", "s0")
    }));
}

/// Lists the target again with an entry that gives nearly no remaining cold time.
fn list_as_nearly_warm(harness: &mut RelayHarness) {
    harness.feed(RelayEvent::TargetListed(TargetRecord {
        cold_left: ms(1),
        ..target("a", "s0")
    }));
    harness.advance(ms(2));
}

/// Guards against a target that is not presumed cold after an evacuation if what limits it, or the
/// target itself, becomes known only after the end.
fn late_knowledge_limits_the_target(learn: impl Fn(&mut RelayHarness)) {
    let mut harness = unconfigured_relay("entry-1");
    harness.feed(RelayEvent::DaemonCountChanged(1));
    learn(&mut harness);
    for _ in 0..5 {
        let sent = sent_in_a_second(&mut harness, SelfReport::default());
        assert!((1..=11).contains(&sent), "{sent} requests in a second");
    }
}

fn learn_targets_last(harness: &mut RelayHarness) {
    publish_rate(harness, COLD_RATE);
    set_tolerance(harness, true);
    evacuate_and_return(harness);
    harness.feed(RelayEvent::TargetListed(target("a", "s0")));
}

fn learn_routes_last(harness: &mut RelayHarness) {
    set_tolerance(harness, true);
    harness.feed(RelayEvent::TargetListed(target("a", "s0")));
    evacuate_and_return(harness);
    publish_rate(harness, COLD_RATE);
}

fn learn_settings_last(harness: &mut RelayHarness) {
    publish_rate(harness, COLD_RATE);
    harness.feed(RelayEvent::TargetListed(target("a", "s0")));
    evacuate_and_return(harness);
    set_tolerance(harness, true);
}

/// Guards against daemons that together send more than a cold target tolerates in a second when
/// they are cut off from each other: each part of the fleet counts only its own daemons.
fn divided_fleet_keeps_the_rate() {
    const DAEMONS: u32 = 40;
    const RATE: f64 = 40.0;
    let begun = Instant::now();
    let mut fleet: Vec<RelayHarness> = (0..DAEMONS)
        .map(|number| {
            let mut harness = unconfigured_relay(&format!("entry-{number}"));
            harness.now = begun;
            publish_rate(&mut harness, RATE);
            set_tolerance(&mut harness, true);
            harness.feed(RelayEvent::DaemonCountChanged(DAEMONS));
            harness.feed(RelayEvent::TargetListed(cold_record()));
            harness
        })
        .collect();
    for step in 0..140 {
        for harness in &mut fleet {
            if step == 40 {
                harness.feed(RelayEvent::DaemonCountChanged(DAEMONS / 2));
            }
            for _ in 0..3 {
                let sent = harness.sends.len();
                harness.submit("to-s0", TIMEOUT);
                if harness.sends.len() > sent {
                    let attempt = harness.last_send().attempt;
                    harness.end(attempt, success(b"0123456789abcdef"));
                }
            }
            harness.advance(ms(50));
        }
    }
    let sends = fleet.iter().flat_map(|harness| &harness.sends);
    let mut times: Vec<Instant> = sends.map(|(at, _)| *at).collect();
    times.sort_unstable();
    let counts = times.iter().enumerate().map(|(first, at)| {
        times.partition_point(|other| *other < *at + Duration::from_secs(1)) - first
    });
    let most = counts.max().unwrap_or(0);
    let tolerated = 1.5 * RATE + 5.0;
    assert!(
        (1.0..=tolerated).contains(&(most as f64)),
        "{most} in a second of {tolerated}"
    );
}

/// Guards against a fleet that has become smaller and goes on to use a small part of the rate.
fn former_count_is_forgotten() {
    let mut harness = relay_with(true, target("a", "s0"));
    harness.feed(RelayEvent::DaemonCountChanged(3_500));
    harness.feed(RelayEvent::DaemonCountChanged(1));
    harness.advance(Duration::from_secs(59));
    harness.feed(RelayEvent::TargetListed(cold_record()));
    assert_eq!(sent_in_a_second(&mut harness, SelfReport::default()), 0);
    assert!(sent_in_a_second(&mut harness, SelfReport::default()) > 0);
}

/// Guards against an entry that says that a target is cold without a line of the log, and against a
/// line for each target after an evacuation, whose end has one.
fn cold_targets_are_logged(prepare: impl Fn(&mut RelayHarness), expected: &[HoldChange]) {
    let mut harness = relay_with(true, target("a", "s0"));
    prepare(&mut harness);
    say_warm(&mut harness);
    let changes = harness.decisions.iter().filter_map(|decision| {
        let RelayDecision::HoldChanged { change, .. } = decision else {
            return None;
        };
        Some(*change)
    });
    assert_eq!(changes.collect::<Vec<_>>(), expected);
}

fn list_as_cold(harness: &mut RelayHarness) {
    harness.feed(RelayEvent::TargetListed(cold_record()));
}

fn list_restarted_as_cold(harness: &mut RelayHarness) {
    harness.feed(RelayEvent::TargetListed(TargetRecord {
        started_ms: Some(2),
        ..cold_record()
    }));
}

/// Guards against a limit that applies where it is not called for, or for too long.
fn target_is_not_limited(is_in_force: bool, prepare: impl Fn(&mut RelayHarness)) {
    let mut harness = relay_with(is_in_force, cold_record());
    prepare(&mut harness);
    let sent = sent_in_a_second(&mut harness, SelfReport::default());
    assert!(sent > 50, "{sent} requests in a second");
}

/// Answers a request with the target's word that it is warm.
fn say_warm(harness: &mut RelayHarness) {
    harness.advance(ms(10));
    let warm = SelfReport {
        cold_left: Some(Duration::ZERO),
        ..SelfReport::default()
    };
    sent_in_a_second(harness, warm);
}

fn become_cold(harness: &mut RelayHarness) {
    harness.submit("to-s0", TIMEOUT);
    let attempt = harness.last_send().attempt;
    let cold = SelfReport {
        cold_left: Some(COLD_TIME),
        ..SelfReport::default()
    };
    harness.end_with_report(attempt, success(b"0123456789abcdef"), Some(cold));
}

/// Guards against callers that wait while the rate of cold targets is used up, or that are told
/// another cause or time.
fn excess_is_refused_at_once() {
    let mut harness = relay_with(true, cold_record());
    let request = loop {
        let sent = harness.sends.len();
        let request = harness.submit("to-s0", TIMEOUT);
        if harness.sends.len() == sent {
            break request;
        }
    };
    let end = harness.end_of_request(request);
    assert_eq!(end.at, harness.now);
    let Err(RelayRefusal::NotRun { retry_after, cause }) = end.result else {
        panic!("{:?} instead of a refusal", end.result);
    };
    assert_eq!(cause, RefusalCause::Cold);
    assert!(retry_after > Duration::ZERO && retry_after <= TIMEOUT / 4);
}

/// Guards against an explanation that does not tell why a cold target gets nothing now, or until when.
fn explanation_tells_the_cold_target() {
    let mut harness = relay_with(true, cold_record());
    let explain = |harness: &RelayHarness| {
        let explanation = harness.engine.explain(harness.now, "shop.example", "/s0/1");
        explanation.services[0].targets[0].clone()
    };
    assert_eq!(explain(&harness).held_by, None);
    for _ in 0..20 {
        harness.submit("to-s0", TIMEOUT);
    }
    let held = explain(&harness);
    assert_eq!(held.held_by.as_deref(), Some("cold"));
    assert!(held.held_ms.is_some_and(|left| (1..=8_000).contains(&left)));
    harness.advance(COLD_TIME);
    assert_eq!(explain(&harness).held_by, None);
}

/// Guards against a cause that depends on the order of the services, or on whether the request was
/// sent already: an evacuation is told rather than a cold target.
fn evacuation_is_told_rather_than_cold_targets(services: &[&str]) {
    let mut harness = unconfigured_relay("entry-1");
    let route = gather_route(services, 1.0);
    let entries = services.iter().map(|name| ServiceEntry {
        name: (*name).into(),
        connections: 80,
        cold_rate: COLD_RATE,
        cold_time: COLD_TIME,
    });
    let table = RouteTable::new(2, vec![route], entries.collect(), CallerLimits::default());
    harness.set_table(table);
    set_tolerance(&mut harness, true);
    harness.feed(RelayEvent::DaemonCountChanged(1));
    harness.feed(RelayEvent::TargetListed(TargetRecord {
        data_centre: "south".into(),
        ..cold_record()
    }));
    harness.feed(RelayEvent::TargetListed(target("b", "s1")));
    let cause = |harness: &mut RelayHarness| {
        let request = harness.submit("gather", TIMEOUT);
        harness.ends.iter().find_map(|end| match &end.result {
            Err(RelayRefusal::NotRun { cause, .. }) if end.request == request => Some(*cause),
            _ => None,
        })
    };
    let first = (0..20).find_map(|_| cause(&mut harness));
    assert_eq!(first, Some(RefusalCause::Cold));
    harness.feed(RelayEvent::EvacuationChanged {
        data_centre: "here".into(),
        active: true,
    });
    assert_eq!(cause(&mut harness), Some(RefusalCause::Evacuated));
}

cases! {
    an_explanation_tells_the_cold_target: explanation_tells_the_cold_target();
    an_evacuated_second_service_is_told: evacuation_is_told_rather_than_cold_targets(&["s0", "s1"]);
    an_evacuated_first_service_is_told: evacuation_is_told_rather_than_cold_targets(&["s1", "s0"]);
    a_target_restarted_after_an_evacuation_is_spared: cold_target_is_spared(target("a", "s0"), |harness| {
        evacuate_and_return(harness);
        restart(harness);
    });
    a_target_listed_after_an_evacuation_is_spared: late_knowledge_limits_the_target(learn_targets_last);
    routes_after_an_evacuation_limit_the_target: late_knowledge_limits_the_target(learn_routes_last);
    settings_after_an_evacuation_limit_the_target: late_knowledge_limits_the_target(learn_settings_last);
    a_target_restarted_long_after_an_evacuation_is_not_limited: target_is_not_limited(true, |harness| {
        evacuate_and_return(harness);
        harness.advance(COLD_TIME);
        restart(harness);
    });
    an_entry_does_not_shorten_a_presumed_cold_time: cold_target_is_spared(target("a", "s0"), |harness| {
        evacuate_and_return(harness);
        list_as_nearly_warm(harness);
    });
    an_entry_does_not_shorten_a_known_cold_time: cold_target_is_spared(cold_record(), list_as_nearly_warm);
    a_divided_fleet_keeps_the_rate: divided_fleet_keeps_the_rate();
    a_count_of_more_than_a_minute_ago_is_forgotten: former_count_is_forgotten();
    an_entry_of_a_cold_target_is_logged: cold_targets_are_logged(list_as_cold, &[HoldChange::Cold(COLD_TIME), HoldChange::Warm]);
    an_entry_of_a_restarted_cold_target_is_logged: cold_targets_are_logged(list_restarted_as_cold, &[HoldChange::Cold(COLD_TIME), HoldChange::Warm]);
    a_presumed_cold_target_is_not_logged: cold_targets_are_logged(evacuate_and_return, &[]);
    a_target_whose_entry_says_cold_is_spared: cold_target_is_spared(cold_record(), |_harness| {});
    a_target_whose_answer_says_cold_is_spared: cold_target_is_spared(target("a", "s0"), become_cold);
    a_target_is_spared_after_an_evacuation: cold_target_is_spared(target("a", "s0"), evacuate_and_return);
    a_relay_without_the_setting_limits_nothing: target_is_not_limited(false, evacuate_and_return);
    a_target_is_not_limited_after_its_cold_time: target_is_not_limited(true, |harness| harness.advance(COLD_TIME));
    a_target_that_says_it_is_warm_is_not_limited: target_is_not_limited(true, say_warm);
    a_request_beyond_the_rate_is_refused_at_once: excess_is_refused_at_once();
}
