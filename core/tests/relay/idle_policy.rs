//! Lifetime of idle connections.

use std::time::{Duration, Instant};

use yuccalift_core::relay::IdlePolicy;
use yuccalift_testkit::cases;

use crate::support::ms;

/// Creates the policy of a daemon that has just started; with `reset`, a target has reset a
/// connection.
fn policy(reset: bool) -> (IdlePolicy, Instant) {
    let started = Instant::now();
    let mut policy = IdlePolicy::new(started);
    if reset {
        policy.record_reset();
    }
    (policy, started)
}

/// A target with an idle time-out of 5 s counts the connections of a host that lost power for as
/// long; until then, a daemon whose connections are reset closes its own early.
fn check_max_idle(reset: bool, age: Duration, advertised: Option<Duration>, bounds: [Duration; 2]) {
    let (policy, started) = policy(reset);
    let kept = policy.max_idle(started + age, advertised);
    assert!((bounds[0]..=bounds[1]).contains(&kept), "kept for {kept:?}");
}

const ADVERTISED: Option<Duration> = Some(Duration::from_secs(5));

/// Each target accepts 76 connections, 60 of which are left over from a fleet of 89 daemons that
/// lost power. With a request from each daemon to each target every two seconds, all daemons
/// together hold fewer connections than remain.
fn check_restarted_fleet() {
    let (policy, started) = policy(true);
    let (free, daemons, interval) = (16.0, 89.0, 2.0);
    let used = Duration::from_millis(30);
    let kept = policy.max_idle(started + ms(500), ADVERTISED);
    let held = daemons * (kept + used).as_secs_f64() / interval;
    assert!(held < free, "{held} connections are held, {free} are free");
}

/// A non-idempotent request needs a recently used connection.
fn check_freshness(idle: Duration, at_most_once: bool, fresh: bool) {
    assert_eq!(IdlePolicy::is_fresh(idle, at_most_once), fresh);
}

cases! {
    a_new_daemon_keeps_connections_briefly_after_a_reset:
        check_max_idle(true, ms(1_000), ADVERTISED, [ms(50), ms(200)]);
    a_new_daemon_keeps_connections_without_a_reset:
        check_max_idle(false, ms(1_000), ADVERTISED, [ms(2_500), ms(4_000)]);
    an_old_daemon_keeps_connections_for_most_of_the_advertised_time:
        check_max_idle(true, ms(6_000), ADVERTISED, [ms(2_500), ms(4_000)]);
    a_reset_has_no_effect_after_a_short_advertised_time: check_max_idle(true, ms(1_500), Some(ms(1_000)), [ms(500), ms(800)]);
    a_very_short_advertised_time_is_respected: check_max_idle(true, ms(10), Some(ms(100)), [ms(50), ms(80)]);
    without_an_advertised_time_the_default_applies: check_max_idle(true, ms(60_000), None, [ms(4_000), ms(4_000)]);
    a_restarted_fleet_stays_below_the_connection_limit: check_restarted_fleet();
    a_non_idempotent_request_uses_a_fresh_connection: check_freshness(ms(100), true, true);
    a_non_idempotent_request_uses_no_old_connection: check_freshness(ms(900), true, false);
    an_idempotent_request_uses_an_old_connection: check_freshness(ms(900), false, true);
}
