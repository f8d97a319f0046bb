//! Requests that daemons send to a target that names a limit, all daemons together.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64;
use yuccalift_core::relay::target_hold::{SendVerdict, TargetHold};
use yuccalift_core::relay::{HoldChange, ReportedRate, SelfReport};
use yuccalift_testkit::cases;

/// Length of the window in which a target counts requests.
const WINDOW: Duration = Duration::from_secs(4);
const LAST_RESORT_TIME: Duration = Duration::from_millis(900);
const STEP: Duration = Duration::from_millis(50);

fn limited(rate: f64) -> SelfReport {
    SelfReport {
        rate_limit: ReportedRate::Limited(rate),
        ..SelfReport::default()
    }
}

/// Returns the holds of a fleet whose daemons learn of the limit within half a second.
fn told_fleet(begun: Instant, daemons: u32, rate: f64) -> Vec<TargetHold> {
    let told = (0..daemons).map(|daemon| {
        let mut hold = TargetHold::new(xxh3_64(&daemon.to_le_bytes()));
        let at = begun + Duration::from_millis(u64::from(daemon) * 37 % 500);
        hold.record(at, at, &limited(rate), &mut Vec::new());
        hold
    });
    told.collect()
}

/// Returns the times at which a fleet sends requests, if each daemon wants to send `demand` requests
/// in each step at which `is_busy` holds.
fn sent_by(
    holds: &mut [TargetHold],
    begun: Instant,
    demand: u32,
    is_busy: impl Fn(Duration) -> bool,
) -> Vec<Instant> {
    let daemons = holds.len() as u32;
    let mut sent = Vec::new();
    for step in 10..800 {
        let now = begun + STEP * step;
        if !is_busy(now - begun) {
            continue;
        }
        for hold in &mut *holds {
            for _ in 0..demand {
                if hold.verdict(now, daemons, LAST_RESORT_TIME) != SendVerdict::Free {
                    break;
                }
                hold.count_send(now);
                sent.push(now);
            }
        }
    }
    sent
}

/// Returns the greatest number of requests in a window.
fn most_in_window(sent: &[Instant]) -> usize {
    let in_window = sent.iter().enumerate().map(|(first, at)| {
        let end = sent.partition_point(|other| *other < *at + WINDOW);
        end - first
    });
    in_window.max().unwrap_or(0)
}

fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// All daemons always have requests for the target.
fn check_steady_demand(daemons: u32, rate: f64) {
    let begun = Instant::now();
    let mut holds = told_fleet(begun, daemons, rate);
    let sent = sent_by(&mut holds, begun, 3, |_elapsed| true);
    let most = most_in_window(&sent);
    assert!(most <= allowed(rate), "{most} of {}", allowed(rate));
    let mean = sent.len() as f64 / 39.5;
    assert!(mean > 0.8 * rate, "{mean} a second of {rate} are used");
}

/// After a while without requests, all daemons have some at the same moment.
fn check_burst_after_rest(daemons: u32, rate: f64) {
    let begun = Instant::now();
    let mut holds = told_fleet(begun, daemons, rate);
    let sent = sent_by(&mut holds, begun, 3, |elapsed| elapsed.as_secs() % 10 == 9);
    let most = most_in_window(&sent);
    assert!(most <= allowed(rate), "{most} of {}", allowed(rate));
}

cases! {
    small_fleet_keeps_a_limit: check_steady_demand(7, 25.0);
    one_daemon_keeps_a_limit: check_steady_demand(1, 12.9);
    large_fleet_keeps_a_low_limit: check_steady_demand(89, 10.0);
    huge_fleet_keeps_a_low_limit: check_steady_demand(3_500, 8.0);
    small_fleet_keeps_a_limit_after_a_rest: check_burst_after_rest(7, 25.0);
    large_fleet_keeps_a_low_limit_after_a_rest: check_burst_after_rest(89, 10.0);
    huge_fleet_keeps_a_low_limit_after_a_rest: check_burst_after_rest(3_500, 8.0);
}

#[test]
fn target_that_accepts_nothing_is_still_asked_at_times() {
    let begun = Instant::now();
    let mut holds = told_fleet(begun, 7, 0.0);
    let sent = sent_by(&mut holds, begun, 1, |_elapsed| true);
    assert!(!sent.is_empty() && most_in_window(&sent) <= allowed(0.0));
}

/// What an answer says about the limit after it has been named.
fn check_later_word(word: ReportedRate, sent_after_ms: u64, is_lifted: bool) {
    let begun = Instant::now();
    let mut hold = TargetHold::new(1);
    let named_at = begun + Duration::from_secs(1);
    hold.record(named_at, begun, &limited(0.0), &mut Vec::new());
    let report = SelfReport {
        rate_limit: word,
        ..SelfReport::default()
    };
    let sent_at = begun + Duration::from_millis(sent_after_ms);
    let now = begun + Duration::from_secs(3);
    let mut changes = Vec::new();
    hold.record(now, sent_at, &report, &mut changes);
    assert_eq!(changes == [HoldChange::Unlimited], is_lifted);
    let verdict = hold.verdict(now, 1_000, LAST_RESORT_TIME);
    assert_eq!(verdict == SendVerdict::Free, is_lifted);
}

cases! {
    limit_that_is_no_longer_named_is_lifted: check_later_word(ReportedRate::Unlimited, 2_000, true);
    answer_from_before_the_limit_lifts_nothing: check_later_word(ReportedRate::Unlimited, 500, false);
    unreadable_limit_changes_nothing: check_later_word(ReportedRate::Unreadable, 2_000, false);
}

/// Words of a target, and what they mean for a request after some time.
fn check_words(reports: &[(u64, SelfReport)], after_ms: u64, expected: &str) {
    let begun = Instant::now();
    let mut hold = TargetHold::new(1);
    for (at_ms, report) in reports {
        let at = begun + Duration::from_millis(*at_ms);
        hold.record(at, at, report, &mut Vec::new());
    }
    let now = begun + Duration::from_millis(after_ms);
    let verdict = match hold.verdict(now, 7, LAST_RESORT_TIME) {
        SendVerdict::Free => "free".to_owned(),
        SendVerdict::LastResort => "last resort".to_owned(),
        SendVerdict::Held { until: None } => "held".to_owned(),
        SendVerdict::Held { until: Some(until) } => {
            format!("held until {}", (until - begun).as_millis())
        }
    };
    assert_eq!(verdict, expected);
}

fn paused(ms: u64) -> SelfReport {
    SelfReport {
        pause: Some(Duration::from_millis(ms)),
        ..SelfReport::default()
    }
}

const LEAVING: SelfReport = SelfReport {
    is_leaving: true,
    pause: None,
    rate_limit: ReportedRate::Unlimited,
    load: None,
    cold_left: None,
};
const USUAL: SelfReport = SelfReport {
    is_leaving: false,
    pause: None,
    rate_limit: ReportedRate::Unlimited,
    load: None,
    cold_left: None,
};

cases! {
    silent_target_is_free: check_words(&[(0, USUAL)], 0, "free");
    paused_target_is_held: check_words(&[(0, paused(2_000))], 1_999, "held until 2000");
    paused_target_is_free_after_its_time: check_words(&[(0, paused(2_000))], 2_000, "free");
    pause_is_not_lifted_by_an_answer: check_words(&[(0, paused(2_000)), (100, USUAL)], 200, "held until 2000");
    shorter_pause_does_not_end_a_longer_one: check_words(&[(0, paused(2_000)), (100, paused(500))], 700, "held until 2000");
    longer_pause_extends_a_shorter_one: check_words(&[(0, paused(500)), (100, paused(2_000))], 700, "held until 2100");
    pause_of_years_ends_after_a_minute: check_words(&[(0, paused(u64::MAX))], 60_000, "free");
    pause_of_no_time_is_none: check_words(&[(0, paused(0))], 0, "free");
    leaving_target_is_the_last_resort: check_words(&[(0, LEAVING)], 899, "last resort");
    leaving_target_is_held_soon: check_words(&[(0, LEAVING)], 900, "held");
    leaving_target_does_not_return: check_words(&[(0, LEAVING), (500, USUAL)], 60_000, "held");
    target_that_never_leaves_is_used_again: check_words(&[(0, LEAVING)], 600_000, "free");
    target_that_never_leaves_may_say_so_again: check_words(&[(0, LEAVING), (600_000, LEAVING)], 601_000, "held");
    leaving_target_that_pauses_is_held: check_words(&[(0, LEAVING), (0, paused(300))], 200, "held");
}

proptest! {
    #[test]
    fn time_of_the_next_request_is_true(
        seed: u64,
        rate in prop_oneof![Just(0.0), 0.1..50.0, Just(f64::MAX)],
        daemons in prop_oneof![Just(0_u32), 1_u32..4_000, Just(u32::MAX)],
        steps in prop::collection::vec((0_u64..3_000, prop::option::of(0_u64..5_000)), 1..40),
    ) {
        let mut now = Instant::now();
        let mut hold = TargetHold::new(seed);
        hold.record(now, now, &limited(rate), &mut Vec::new());
        for (gap, pause) in steps {
            now += Duration::from_millis(gap);
            if let Some(pause) = pause {
                let report = SelfReport {
                    rate_limit: ReportedRate::Unreadable,
                    ..paused(pause)
                };
                hold.record(now, now, &report, &mut Vec::new());
            }
            match hold.verdict(now, daemons, LAST_RESORT_TIME) {
                SendVerdict::Free => hold.count_send(now),
                SendVerdict::Held { until: Some(until) } => {
                    prop_assert!(until > now && until <= now + Duration::from_secs(71));
                    if until <= now + Duration::from_secs(9) {
                        let then = hold.verdict(until, daemons, LAST_RESORT_TIME);
                        prop_assert_eq!(then, SendVerdict::Free);
                        now = until;
                        hold.count_send(now);
                    }
                }
                other => prop_assert!(false, "{:?}", other),
            }
        }
    }
}
