//! How long idle connections are kept.

use std::time::{Duration, Instant};

use yuccalift_core::relay::IdlePolicy;
use yuccalift_testkit::cases;

use crate::support::ms;

/// The policy of a daemon that has just started; `reset` if a target has reset a new connection.
fn policy(reset: bool) -> (IdlePolicy, Instant) {
    let started = Instant::now();
    let mut policy = IdlePolicy::new(started);
    if reset {
        policy.record_reset();
    }
    (policy, started)
}

/// A target that keeps idle connections for 5 s counts those of a host that lost its power for as
/// long: until then a daemon that meets its limit gives its own back soon.
fn keeps(reset: bool, age: Duration, granted: Option<Duration>, bounds: [Duration; 2]) {
    let (policy, started) = policy(reset);
    let kept = policy.max_idle(started + age, granted);
    assert!((bounds[0]..=bounds[1]).contains(&kept), "kept for {kept:?}");
}

const GRANTED: Option<Duration> = Some(Duration::from_secs(5));

/// With 76 connections a target, 60 of which a lost fleet of 89 daemons left behind, and a request
/// from each daemon to each target every two seconds, all daemons together hold fewer than are left.
fn returning_fleet_stays_below_the_limit() {
    let (policy, started) = policy(true);
    let (free, daemons, gap) = (16.0, 89.0, 2.0);
    let used = Duration::from_millis(30);
    let kept = policy.max_idle(started + ms(500), GRANTED);
    let held = daemons * (kept + used).as_secs_f64() / gap;
    assert!(held < free, "{held} connections are held, {free} are left");
}

/// An order needs a connection that was in use just now.
fn orders_need_fresh_links(idle: Duration, at_most_once: bool, fresh: bool) {
    assert_eq!(IdlePolicy::is_fresh(idle, at_most_once), fresh);
}

cases! {
    a_young_daemon_whose_connections_are_reset_keeps_them_briefly:
        keeps(true, ms(1_000), GRANTED, [ms(50), ms(200)]);
    a_young_daemon_keeps_them_where_there_are_enough:
        keeps(false, ms(1_000), GRANTED, [ms(2_500), ms(4_000)]);
    an_old_one_keeps_them_for_most_of_the_grant:
        keeps(true, ms(6_000), GRANTED, [ms(2_500), ms(4_000)]);
    a_short_grant_is_over_soon: keeps(true, ms(1_500), Some(ms(1_000)), [ms(500), ms(800)]);
    a_shorter_grant_is_kept_to: keeps(true, ms(10), Some(ms(100)), [ms(50), ms(80)]);
    without_a_grant_the_usual_holds: keeps(true, ms(60_000), None, [ms(4_000), ms(4_000)]);
    a_returning_fleet_stays_below_the_limit: returning_fleet_stays_below_the_limit();
    an_order_takes_a_fresh_link: orders_need_fresh_links(ms(100), true, true);
    an_order_takes_no_old_link: orders_need_fresh_links(ms(900), true, false);
    what_may_repeat_takes_an_old_link: orders_need_fresh_links(ms(900), false, true);
}
