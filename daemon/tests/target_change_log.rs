//! Lines about targets that change at the same time are coalesced, and no change is lost.

use std::time::{Duration, Instant};

use yuccalift_daemon::relay::target_change_log::{COALESCE_INTERVAL, ChangeLine, TargetChangeLog};

fn line(state: &'static str, targets: &[&str]) -> ChangeLine {
    ChangeLine {
        state,
        targets: targets.iter().map(|target| Box::from(*target)).collect(),
    }
}

#[test]
fn a_lone_change_is_written_at_once() {
    let mut log = TargetChangeLog::default();
    let now = Instant::now();
    assert_eq!(log.record(now, "a", "listed"), [line("listed", &["a"])]);
    assert_eq!(log.next_due(), None, "nothing waits");
    let later = now + COALESCE_INTERVAL;
    assert_eq!(log.record(later, "a", "leaving"), [line("leaving", &["a"])]);
}

#[test]
fn changes_of_an_interval_share_a_line_for_each_state() {
    let mut log = TargetChangeLog::default();
    let now = Instant::now();
    log.record(now, "first", "listed");
    let soon = now + Duration::from_millis(1);
    for (target, state) in [("c", "listed"), ("a", "listed"), ("b", "leaving")] {
        assert_eq!(log.record(soon, target, state), [], "{target} waits");
    }
    assert_eq!(log.next_due(), Some(now + COALESCE_INTERVAL));
    assert_eq!(log.take_due(soon), [], "the interval is not over");
    assert_eq!(
        log.take_due(now + COALESCE_INTERVAL),
        [line("leaving", &["b"]), line("listed", &["a", "c"])]
    );
    assert_eq!(log.next_due(), None, "nothing waits any more");
}

#[test]
fn both_changes_of_a_target_are_written_in_their_order() {
    let mut log = TargetChangeLog::default();
    let now = Instant::now();
    log.record(now, "first", "listed");
    log.record(now, "a", "leaving");
    assert_eq!(
        log.record(now, "a", "forgotten"),
        [line("leaving", &["a"])],
        "the former change is written before"
    );
    assert_eq!(log.take_all(), [line("forgotten", &["a"])]);
}

#[test]
fn a_change_after_the_interval_writes_those_before_it() {
    let mut log = TargetChangeLog::default();
    let now = Instant::now();
    log.record(now, "first", "listed");
    log.record(now, "a", "listed");
    let later = now + COALESCE_INTERVAL;
    assert_eq!(
        log.record(later, "b", "leaving"),
        [line("listed", &["a"]), line("leaving", &["b"])]
    );
}

/// The load of a fleet's start: each daemon learns of all targets at once.
#[test]
fn a_large_list_needs_few_lines() {
    const TARGETS: usize = 570;
    const MAX_LINES: usize = 20;
    let mut log = TargetChangeLog::default();
    let now = Instant::now();
    let mut lines = Vec::new();
    for number in 0..TARGETS {
        lines.extend(log.record(now, &format!("t{number}"), "listed"));
    }
    lines.extend(log.take_due(now + COALESCE_INTERVAL));
    let written: usize = lines.iter().map(|line| line.targets.len()).sum();
    assert_eq!(written, TARGETS, "each change is written once");
    assert!(lines.len() <= MAX_LINES, "{} lines", lines.len());
}
