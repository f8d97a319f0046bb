//! Targets that report their load in their answers.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use yuccalift_core::relay::{
    RelayEvent, RepeatKind, ReportedLoad, SelfReport, TargetPhase, TargetRecord,
};
use yuccalift_testkit::cases;

use crate::load::{LoadReporting, LoadSimulation};
use crate::support::{RelayHarness, TIMEOUT, forward_route, ms, success, target};

const DAEMONS: usize = 5;
const TARGETS: usize = 6;
const SLOTS: usize = 4;

/// Guards against a change of the choice among targets that report nothing: the sequence of targets
/// in a fixed simulation is the one of the code that did not know reports.
fn choice_without_reports(expected: u64) {
    let names: Vec<String> = (0..TARGETS).map(|number| format!("t{number}")).collect();
    let targets: Vec<_> = names.iter().map(|name| target(name, "orders")).collect();
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut load = LoadSimulation::new(DAEMONS, &[route], &targets, SLOTS);
    load.target("t1").slowdown = 3.0;
    load.target("t2").reject_share = 0.2;
    load.submit_evenly("to-orders", ms(1), Duration::from_secs(1));
    load.advance(TIMEOUT);
    assert_eq!(xxh3_64(load.sequence().as_bytes()), expected);
}

/// Returns the target that gets the next request, whose answer carries `report`.
fn answer_one(harness: &mut RelayHarness, report: SelfReport) -> Box<str> {
    harness.submit("to-orders", TIMEOUT);
    let order = harness.last_send().clone();
    harness.advance(ms(5));
    harness.end_with_report(order.attempt, success(b"0123456789abcdef"), Some(report));
    order.name
}

/// Guards against a report of a target that can't be chosen, since it is leaving, and that changes
/// the choice among the others: they take turns as without reports.
fn report_of_a_leaving_target_is_ignored() {
    let names = ["a", "b", "c", "d"];
    let targets = names.map(|name| target(name, "orders")).to_vec();
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], targets);
    let report = SelfReport {
        load: Some(FULL),
        ..SelfReport::default()
    };
    // Requests at the same time, so that all targets get some.
    for _ in 0..5 {
        let from = harness.sends.len();
        for _ in names {
            harness.submit("to-orders", TIMEOUT);
        }
        harness.advance(ms(5));
        let sent = harness.sends[from..].iter();
        let orders: Vec<_> = sent.map(|(_, order)| order.clone()).collect();
        for order in orders {
            let said = Some(report).filter(|_| order.name.as_ref() == "d");
            harness.end_with_report(order.attempt, success(b"0123456789abcdef"), said);
        }
    }
    harness.feed(RelayEvent::TargetListed(TargetRecord {
        phase: TargetPhase::Draining,
        ..target("d", "orders")
    }));
    let served: Vec<Box<str>> = (0..30)
        .map(|_| answer_one(&mut harness, SelfReport::default()))
        .collect();
    for turn in served.windows(3) {
        assert!(
            turn[0] != turn[1] && turn[1] != turn[2] && turn[0] != turn[2],
            "{served:?}"
        );
    }
}

/// Guards against reports that keep their influence after a target has ceased to report: from a
/// second later, the choice is the same as that of a daemon that got no reports.
fn choice_after_reports_end() {
    let names = ["a", "b", "c"];
    let choices = [None, Some(FULL)].map(|load| {
        let targets = names.map(|name| target(name, "orders")).to_vec();
        let route = forward_route("orders", RepeatKind::Idempotent, 2);
        let mut harness = RelayHarness::new(vec![route], targets);
        for _ in 0..3 {
            let report = SelfReport {
                load,
                ..SelfReport::default()
            };
            answer_one(&mut harness, report);
        }
        harness.advance(ms(1_000));
        let mut served: Vec<Box<str>> = Vec::new();
        for _ in 0..30 {
            served.push(answer_one(&mut harness, SelfReport::default()));
        }
        // Turns may begin with another target.
        let counts = names.map(|name| served.iter().filter(|other| ***other == *name).count());
        (counts, served.len())
    });
    assert_eq!(choices[0], choices[1]);
}

/// Guards against reports that are decoded but not used: a target that reports that its slots are
/// taken gets far less than its share of the requests of a daemon.
fn loaded_target_gets_less() {
    let targets = ["a", "b", "c"].map(|name| target(name, "orders")).to_vec();
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut harness = RelayHarness::new(vec![route], targets);
    let mut loaded = 0;
    for _ in 0..300 {
        let name = answer_one(&mut harness, SelfReport::default());
        loaded += usize::from(name.as_ref() == "a");
    }
    assert!(
        (80..=120).contains(&loaded),
        "{loaded} of 300 without reports"
    );
    loaded = 0;
    for _ in 0..300 {
        harness.submit("to-orders", TIMEOUT);
        let order = harness.last_send().clone();
        harness.advance(ms(5));
        let is_loaded = order.name.as_ref() == "a";
        loaded += usize::from(is_loaded);
        let report = SelfReport {
            load: Some(if is_loaded { TAKEN } else { EMPTY }),
            ..SelfReport::default()
        };
        harness.end_with_report(order.attempt, success(b"0123456789abcdef"), Some(report));
    }
    assert!((1..60).contains(&loaded), "{loaded} of 300 requests");
}

/// Number of daemons that share targets where many daemons might choose the same one.
const MANY_DAEMONS: usize = 30;
/// Requests of all daemons over the capacity of the targets.
const UTILIZATION: f64 = 0.75;
/// Mean duration of an attempt at a target of normal speed, in milliseconds.
const MEAN_WORK_MS: f64 = 15.0;
const SEEDS: [u64; 6] = [11, 12, 13, 14, 15, 16];
const FULL: ReportedLoad = ReportedLoad {
    running: 4,
    waiting: 24,
    slots: 4,
    pace: 1.0,
};
const TAKEN: ReportedLoad = ReportedLoad { waiting: 0, ..FULL };
const EMPTY: ReportedLoad = ReportedLoad {
    running: 0,
    waiting: 0,
    ..FULL
};

/// Which targets are slow during a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlowTargets {
    None,
    /// Two targets are three times slower than usual.
    Two,
}

/// How a simulation went.
#[derive(Clone, Copy, Debug)]
struct SharedLoad {
    mean_ms: f64,
    tail_ms: f64,
    /// Mean difference between the most and the least loaded target, in requests.
    spread: f64,
}

/// Lets many daemons send requests to the same targets; the first `reporting` ones report.
fn share_targets(
    seed: u64,
    data_centres: usize,
    slow: SlowTargets,
    reporting: usize,
    kind: LoadReporting,
) -> SharedLoad {
    let hosts: Vec<String> = (0..MANY_DAEMONS)
        .map(|number| format!("h{number}"))
        .collect();
    let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let names: Vec<String> = (0..TARGETS).map(|number| format!("t{number}")).collect();
    let targets = |daemon: usize| {
        let records = names.iter().enumerate().map(|(index, name)| TargetRecord {
            data_centre: if index % data_centres == daemon % data_centres {
                "here".into()
            } else {
                "there".into()
            },
            ..target(name, "orders")
        });
        records.collect()
    };
    let route = forward_route("orders", RepeatKind::Idempotent, 2);
    let mut load = LoadSimulation::on_hosts(&hosts, &[route], targets, SLOTS);
    load.seed(seed);
    for target in &mut load.targets[..reporting] {
        target.reporting = kind;
    }
    let mut capacity = TARGETS as f64;
    if slow == SlowTargets::Two {
        for target in &mut load.targets[..2] {
            target.slowdown = 3.0;
        }
        capacity -= 2.0 * (1.0 - 1.0 / 3.0);
    }
    let interval_ms = MEAN_WORK_MS / (SLOTS as f64 * capacity * UTILIZATION);
    let interval = Duration::from_secs_f64(interval_ms / 1_000.0);
    let requests = load.submit_randomly("to-orders", interval, Duration::from_secs(3));
    let spread = load.mean_spread();
    load.advance(TIMEOUT);
    let times = load.response_times(&requests);
    SharedLoad {
        mean_ms: times.iter().sum::<f64>() / times.len() as f64,
        tail_ms: times[times.len() * 99 / 100],
        spread,
    }
}

/// Returns the means over several simulations.
fn mean_of_seeds(
    data_centres: usize,
    slow: SlowTargets,
    reporting: usize,
    kind: LoadReporting,
) -> SharedLoad {
    let runs: Vec<SharedLoad> = SEEDS
        .map(|seed| share_targets(seed, data_centres, slow, reporting, kind))
        .into();
    let mean =
        |figure: fn(&SharedLoad) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
    SharedLoad {
        mean_ms: mean(|run| run.mean_ms),
        tail_ms: mean(|run| run.tail_ms),
        spread: mean(|run| run.spread),
    }
}

/// Greatest permitted ratio of each figure of a simulation with reports to the one without: the
/// figures of one simulation vary by a few percent with its random numbers.
const MAX_RATIO: f64 = 1.1;

/// Guards against daemons that all choose the target that reported the least load, and against
/// false reports: no figure may be much worse than without reports.
fn check_no_harm(data_centres: usize, slow: SlowTargets, reporting: usize, kind: LoadReporting) {
    let without = mean_of_seeds(data_centres, slow, 0, LoadReporting::Silent);
    let with = mean_of_seeds(data_centres, slow, reporting, kind);
    let figures = format!("{with:?} with, {without:?} without");
    assert!(with.mean_ms <= without.mean_ms * MAX_RATIO, "{figures}");
    assert!(with.tail_ms <= without.tail_ms * MAX_RATIO, "{figures}");
    assert!(with.spread <= without.spread * MAX_RATIO, "{figures}");
}

cases! {
    a_report_of_a_leaving_target_is_ignored: report_of_a_leaving_target_is_ignored();
    true_loads_do_no_harm: check_no_harm(1, SlowTargets::None, TARGETS, LoadReporting::Delayed(ms(0)));
    loads_of_100_ms_ago_do_no_harm: check_no_harm(1, SlowTargets::None, TARGETS, LoadReporting::Delayed(ms(100)));
    loads_of_500_ms_ago_do_no_harm: check_no_harm(1, SlowTargets::None, TARGETS, LoadReporting::Delayed(ms(500)));
    empty_loads_do_no_harm: check_no_harm(1, SlowTargets::None, TARGETS, LoadReporting::Fixed(EMPTY));
    full_loads_do_no_harm: check_no_harm(1, SlowTargets::None, TARGETS, LoadReporting::Fixed(FULL));
    empty_loads_of_one_target_do_no_harm: check_no_harm(1, SlowTargets::None, 1, LoadReporting::Fixed(EMPTY));
    full_loads_of_one_target_do_no_harm: check_no_harm(1, SlowTargets::None, 1, LoadReporting::Fixed(FULL));
    true_loads_do_no_harm_beside_slow_targets: check_no_harm(1, SlowTargets::Two, TARGETS, LoadReporting::Delayed(ms(0)));
    loads_of_100_ms_ago_do_no_harm_beside_slow_targets: check_no_harm(1, SlowTargets::Two, TARGETS, LoadReporting::Delayed(ms(100)));
    loads_of_500_ms_ago_do_no_harm_beside_slow_targets: check_no_harm(1, SlowTargets::Two, TARGETS, LoadReporting::Delayed(ms(500)));
    empty_loads_of_slow_targets_do_no_harm: check_no_harm(1, SlowTargets::Two, 2, LoadReporting::Fixed(EMPTY));
    full_loads_of_one_slow_target_do_no_harm: check_no_harm(1, SlowTargets::Two, 1, LoadReporting::Fixed(FULL));
}

cases! {
    true_loads_do_no_harm_in_three_data_centres: check_no_harm(3, SlowTargets::None, TARGETS, LoadReporting::Delayed(ms(0)));
    loads_of_100_ms_ago_do_no_harm_in_three_data_centres: check_no_harm(3, SlowTargets::None, TARGETS, LoadReporting::Delayed(ms(100)));
    loads_of_500_ms_ago_do_no_harm_in_three_data_centres: check_no_harm(3, SlowTargets::None, TARGETS, LoadReporting::Delayed(ms(500)));
    full_loads_do_no_harm_in_three_data_centres: check_no_harm(3, SlowTargets::None, 2, LoadReporting::Fixed(FULL));
    empty_loads_do_no_harm_in_three_data_centres: check_no_harm(3, SlowTargets::None, 2, LoadReporting::Fixed(EMPTY));
    true_loads_do_no_harm_beside_slow_targets_elsewhere: check_no_harm(3, SlowTargets::Two, TARGETS, LoadReporting::Delayed(ms(0)));
    loads_of_100_ms_ago_do_no_harm_beside_slow_targets_elsewhere: check_no_harm(3, SlowTargets::Two, TARGETS, LoadReporting::Delayed(ms(100)));
    loads_of_500_ms_ago_do_no_harm_beside_slow_targets_elsewhere: check_no_harm(3, SlowTargets::Two, TARGETS, LoadReporting::Delayed(ms(500)));
    target_that_reports_load_gets_less: loaded_target_gets_less();
    reports_have_no_influence_after_a_second: choice_after_reports_end();
    targets_without_reports_are_chosen_as_before: choice_without_reports(9_895_034_744_223_834_542);
}
