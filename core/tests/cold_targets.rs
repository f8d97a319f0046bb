//! Requests that daemons send to a cold target, all daemons together.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64;
use yuccalift_core::relay::target_hold::{ColdLimit, TargetHold};
use yuccalift_core::relay::{ColdTolerance, HoldChange, SelfReport};
use yuccalift_testkit::cases;

/// Time for which targets are cold.
const COLD_TIME: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(50);
/// Usual tolerances.
const TOLERANCE: ColdTolerance = ColdTolerance {
    overage: 1.5,
    slack: 5.0,
};

fn limit(rate: f64) -> ColdLimit {
    ColdLimit {
        rate: TOLERANCE.usable_rate(rate),
        time: COLD_TIME,
    }
}

/// Returns the holds of a fleet that learns within half a second that a target is cold.
fn told_fleet(begun: Instant, daemons: u32) -> Vec<TargetHold> {
    let told = (0..daemons).map(|daemon| {
        let mut hold = TargetHold::new(xxh3_64(&daemon.to_le_bytes()));
        let at = begun + Duration::from_millis(u64::from(daemon) * 37 % 500);
        hold.record_cold(at, at, COLD_TIME);
        hold
    });
    told.collect()
}

/// Guards against daemons that together send a cold target more than it tolerates in any second, at
/// a demand far above its rate. `is_busy` tells when there is demand.
fn fleet_keeps_the_rate(daemons: u32, rate: f64, is_busy: impl Fn(Duration) -> bool) {
    let begun = Instant::now();
    let mut holds = told_fleet(begun, daemons);
    let mut sent: Vec<Instant> = Vec::new();
    for step in 10..390 {
        let now = begun + STEP * step;
        if !is_busy(now - begun) {
            continue;
        }
        for hold in &mut holds {
            for _ in 0..3 {
                if hold.earliest_cold_send(now, daemons, limit(rate)) > now {
                    break;
                }
                hold.count_send(now);
                sent.push(now);
            }
        }
    }
    let in_a_second = sent.iter().enumerate().map(|(first, at)| {
        let end = sent.partition_point(|other| *other < *at + Duration::from_secs(1));
        end - first
    });
    let most = in_a_second.max().unwrap_or(0);
    let tolerated = TOLERANCE.overage * rate + TOLERANCE.slack;
    assert!(
        most as f64 <= tolerated,
        "{most} in a second of {tolerated}"
    );
    assert!(!sent.is_empty(), "a cold target is used");
}

/// Words of a target about its cold time, each with its time and that of the request, and whether it
/// is held after a burst of requests at the end.
fn words_hold_the_target(words: &[(u64, u64, u64)], at_ms: u64, is_held: bool) {
    let begun = Instant::now();
    let at = |ms| begun + Duration::from_millis(ms);
    let mut hold = TargetHold::new(1);
    for (now, sent_at, cold_left) in words {
        let report = SelfReport {
            cold_left: Some(Duration::from_millis(*cold_left)),
            ..SelfReport::default()
        };
        hold.record(at(*now), at(*sent_at), &report, &mut Vec::new());
    }
    let now = at(at_ms);
    for _ in 0..100 {
        hold.count_send(now);
    }
    assert_eq!(hold.earliest_cold_send(now, 1, limit(4.0)) > now, is_held);
}

/// Guards against a cold time that is not published, or can't be read, and switches the limit off,
/// and against one that holds a target for ever.
fn own_word_counts_without_a_published_time(cold_left: Duration, at: Duration, is_held: bool) {
    let now = Instant::now();
    let mut hold = TargetHold::new(1);
    hold.record_cold(now, now, cold_left);
    for _ in 0..100 {
        hold.count_send(now + at);
    }
    let unpublished = ColdLimit {
        time: Duration::ZERO,
        ..limit(4.0)
    };
    assert_eq!(
        hold.earliest_cold_send(now + at, 1, unpublished) > now + at,
        is_held
    );
}

/// Guards against a presumption without a published time, which nothing justifies, and against one
/// that lasts for a published time of any length.
fn presumption_lasts(published: Duration, at: Duration, is_held: bool) {
    let now = Instant::now();
    let mut hold = TargetHold::new(1);
    hold.presume_cold(now);
    for _ in 0..100 {
        hold.count_send(now + at);
    }
    let limit = ColdLimit {
        time: published,
        ..limit(4.0)
    };
    assert_eq!(
        hold.earliest_cold_send(now + at, 1, limit) > now + at,
        is_held
    );
}

/// Guards against a tolerance that is stricter or wider than usual and changes nothing, or too much.
fn tolerance_gives_rate(overage: f64, slack: f64, expected: f64) {
    let rate = ColdTolerance { overage, slack }.usable_rate(10.0);
    assert!((rate - expected).abs() < 1e-9, "{rate}");
}

cases! {
    one_daemon_keeps_the_rate: fleet_keeps_the_rate(1, 12.0, |_elapsed| true);
    few_daemons_keep_the_rate: fleet_keeps_the_rate(9, 4.0, |_elapsed| true);
    eighty_daemons_keep_a_low_rate: fleet_keeps_the_rate(80, 4.0, |_elapsed| true);
    eighty_daemons_keep_a_high_rate: fleet_keeps_the_rate(80, 40.0, |_elapsed| true);
    many_daemons_keep_the_rate: fleet_keeps_the_rate(300, 8.0, |_elapsed| true);
    very_many_daemons_keep_the_rate: fleet_keeps_the_rate(3_500, 8.0, |_elapsed| true);
    a_burst_after_a_rest_keeps_the_rate: fleet_keeps_the_rate(80, 8.0, |elapsed| elapsed.as_secs() % 5 == 4);
    a_cold_target_is_held: words_hold_the_target(&[(0, 0, 3_000)], 1_000, true);
    a_target_is_warm_after_its_time: words_hold_the_target(&[(0, 0, 3_000)], 3_000, false);
    a_target_that_says_it_is_warm_is_free: words_hold_the_target(&[(0, 0, 3_000), (200, 100, 0)], 1_000, false);
    an_older_answer_does_not_end_the_cold_time: words_hold_the_target(&[(100, 100, 3_000), (200, 50, 0)], 1_000, true);
    an_older_answer_does_not_shorten_the_cold_time: words_hold_the_target(&[(100, 100, 3_000), (200, 50, 1)], 1_000, true);
    a_later_answer_shortens_the_cold_time: words_hold_the_target(&[(100, 100, 3_000), (200, 150, 1)], 1_000, false);
    an_older_answer_may_extend_the_cold_time: words_hold_the_target(&[(100, 100, 300), (200, 50, 3_000)], 1_000, true);
    a_target_may_become_cold_again: words_hold_the_target(&[(0, 0, 500), (900, 900, 3_000)], 1_000, true);
    a_time_of_years_ends_with_the_cold_time: words_hold_the_target(&[(0, 0, u64::MAX / 2_000)], 20_000, false);
    a_word_without_a_published_time_counts: own_word_counts_without_a_published_time(COLD_TIME, COLD_TIME / 2, true);
    a_word_without_a_published_time_ends: own_word_counts_without_a_published_time(COLD_TIME, COLD_TIME, false);
    a_word_of_years_without_a_published_time_ends: own_word_counts_without_a_published_time(Duration::from_secs(u64::from(u32::MAX)), Duration::from_secs(3_600), false);
    a_presumption_lasts_for_the_published_time: presumption_lasts(COLD_TIME, COLD_TIME / 2, true);
    a_presumption_ends_with_the_published_time: presumption_lasts(COLD_TIME, COLD_TIME, false);
    a_presumption_needs_a_published_time: presumption_lasts(Duration::ZERO, Duration::from_secs(1), false);
    a_presumption_of_weeks_ends: presumption_lasts(Duration::from_secs(2_592_000), Duration::from_secs(3_600), false);
    the_usual_tolerance_gives_the_whole_rate: tolerance_gives_rate(1.5, 5.0, 10.0);
    a_wide_tolerance_gives_the_whole_rate: tolerance_gives_rate(9.0, 50.0, 10.0);
    a_strict_tolerance_gives_a_part: tolerance_gives_rate(1.0, 0.0, 5.0);
    no_tolerance_gives_nothing: tolerance_gives_rate(0.0, 0.0, 0.0);
}

#[test]
fn only_changes_are_told() {
    let now = Instant::now();
    let mut hold = TargetHold::new(1);
    let changes =
        [0, 3_000, 2_900, 0, 0].map(|ms| hold.record_cold(now, now, Duration::from_millis(ms)));
    let cold = HoldChange::Cold(Duration::from_secs(3));
    assert_eq!(
        changes,
        [None, Some(cold), None, Some(HoldChange::Warm), None]
    );
}

proptest! {
    /// Guards against words that hold a target for longer than its cold time, or for ever.
    #[test]
    fn any_words_hold_for_the_cold_time_at_most(
        words in prop::collection::vec((0_u64..3_000, any::<u64>()), 1..40),
        daemons in prop_oneof![Just(0_u32), 1_u32..4_000, Just(u32::MAX)],
        rate in prop_oneof![Just(f64::MIN_POSITIVE), 0.1..50.0, Just(f64::MAX)],
    ) {
        let mut now = Instant::now();
        let mut hold = TargetHold::new(1);
        for (gap, cold_left) in words {
            now += Duration::from_millis(gap);
            hold.record_cold(now, now, Duration::from_millis(cold_left));
            hold.count_send(now);
            prop_assert!(hold.earliest_cold_send(now, daemons, limit(rate)) <= now + COLD_TIME);
        }
        let later = now + COLD_TIME;
        prop_assert_eq!(hold.earliest_cold_send(later, daemons, limit(rate)), later);
    }
}
