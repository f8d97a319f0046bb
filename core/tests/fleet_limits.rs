//! Fleet-wide limits on connections and platform calls, which must hold even if daemons cannot
//! reach each other.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use yuccalift_core::TargetEntry;
use yuccalift_core::control::call_budget::{PlatformCallRate, max_fleet_polls};
use yuccalift_core::control::connection_share::mean_admitted_daemons;
use yuccalift_core::control::reader_election::{max_fleet_readers, reader_count, reader_rank};
use yuccalift_core::control::{CallBudget, DaemonLocation, FleetBounds, connection_shares};
use yuccalift_testkit::cases;

/// Calls per second that the platform can answer, over all daemons.
const PLATFORM_LIMIT: PlatformCallRate = 2_000;

fn target(number: u32, connections: u32, data_centre: &str) -> TargetEntry {
    TargetEntry {
        target: number,
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        data_centre: data_centre.into(),
        host: "leaf".into(),
        slots: 3,
        connections,
        connect_ms: 6,
    }
}

/// Returns as many daemons as the bounds allow; data centres are filled one by one from `dc0`.
fn full_fleet(bounds: &FleetBounds) -> Vec<DaemonLocation> {
    (0..bounds.daemons)
        .map(|number| DaemonLocation {
            host: format!("entry-{number}").into(),
            data_centre: format!("dc{}", number / bounds.daemons_per_data_centre).into(),
        })
        .collect()
}

fn total_shares(bounds: &FleetBounds, entry: &TargetEntry) -> u32 {
    full_fleet(bounds)
        .iter()
        .map(|location| {
            connection_shares(location, bounds, std::slice::from_ref(entry))[0].connections
        })
        .sum()
}

proptest! {
    #[test]
    fn shares_of_a_full_fleet_stay_within_the_limit(
        daemons in 1..60_u32,
        per_data_centre in 1..60_u32,
        connections in 1..200_u32,
    ) {
        let bounds = FleetBounds {
            daemons,
            daemons_per_data_centre: per_data_centre.min(daemons),
        };
        let total = total_shares(&bounds, &target(1, connections, "dc0"));
        prop_assert!(total <= connections, "{} of {} connections", total, connections);
    }

    /// In a fleet partitioned into views of any one size, the readers stay within their bound.
    #[test]
    fn readers_of_a_partitioned_fleet_stay_within_the_bound(
        daemons in 1..5_000_u32,
        view in 1..300_u32,
        platform_calls in 100..60_000_u32,
    ) {
        let bounds = FleetBounds { daemons, daemons_per_data_centre: daemons };
        let views = daemons / view;
        let readers = views as usize * reader_count(view as usize, &bounds, platform_calls);
        prop_assert!(readers <= max_fleet_readers(platform_calls) as usize);
    }
}

/// Returns how many calls one daemon makes in ten seconds if it tries every millisecond.
fn calls_in_ten_seconds(
    bounds: &FleetBounds,
    platform_calls: PlatformCallRate,
    is_reader: bool,
) -> u32 {
    let start = Instant::now();
    let mut budget = CallBudget::new(start);
    budget.set_rate(start, bounds, platform_calls, is_reader);
    (0..10_000_u64)
        .filter(|&millisecond| budget.take(start + Duration::from_millis(millisecond)))
        .count() as u32
}

/// A fleet in which every daemon sees only itself and calls as often as its budget allows.
fn isolated_fleet_stays_under_the_limit(daemons: u32, platform_calls: PlatformCallRate) {
    let bounds = FleetBounds {
        daemons,
        daemons_per_data_centre: daemons.min(206),
    };
    assert_eq!(
        reader_count(1, &bounds, platform_calls),
        0,
        "a single daemon in its view is not a reader"
    );
    let calls = f64::from(daemons * calls_in_ten_seconds(&bounds, platform_calls, false)) / 10.0;
    assert!(
        calls <= 2.5 * max_fleet_polls(platform_calls),
        "{calls} calls a second"
    );
    assert!(calls < f64::from(platform_calls) / 2.0);
}

/// The maximum number of readers, each calling as often as its budget allows.
fn busy_readers_stay_under_the_limit(platform_calls: PlatformCallRate) {
    let calls = calls_in_ten_seconds(&FleetBounds::default(), platform_calls, true);
    let fleet = f64::from(max_fleet_readers(platform_calls) * calls) / 10.0;
    assert!(
        fleet < f64::from(platform_calls) / 2.0,
        "{fleet} calls a second"
    );
}

/// A small data centre has its readers also if the platform serves a large fleet, of which it may
/// be a partitioned part.
fn small_view_has_readers(view: usize, readers: usize, platform_calls: PlatformCallRate) {
    let bounds = FleetBounds {
        daemons: platform_calls / 10,
        daemons_per_data_centre: platform_calls / 10,
    };
    assert_eq!(reader_count(view, &bounds, platform_calls), readers);
}

/// Hashing admits no more daemons to any of 500 targets than its limit, and on average as many as
/// intended.
fn hashing_keeps_the_limit(connections: u32) {
    let bounds = FleetBounds {
        daemons: 3_500,
        daemons_per_data_centre: 206,
    };
    let locations: Vec<DaemonLocation> = full_fleet(&bounds).into_iter().take(206).collect();
    let targets: Vec<TargetEntry> = (0..500)
        .map(|number| target(number, connections, "dc0"))
        .collect();
    let mut totals = vec![0; targets.len()];
    for location in &locations {
        for share in connection_shares(location, &bounds, &targets) {
            totals[share.target as usize] += share.connections;
        }
    }
    let worst = totals.iter().max().copied().unwrap_or(0);
    assert!(worst <= connections, "{worst} of {connections} connections");
    let mean = f64::from(totals.iter().sum::<u32>()) / 500.0;
    let intended = mean_admitted_daemons(connections);
    assert!(
        (mean - intended).abs() < intended / 10.0,
        "{mean} daemons admitted, {intended} intended"
    );
}

cases! {
    isolated_fleet_of_250_daemons: isolated_fleet_stays_under_the_limit(250, PLATFORM_LIMIT);
    isolated_fleet_of_3500_daemons: isolated_fleet_stays_under_the_limit(3_500, PLATFORM_LIMIT);
    isolated_fleet_of_a_large_platform: isolated_fleet_stays_under_the_limit(3_500, 16_000);
    readers_of_a_small_platform: busy_readers_stay_under_the_limit(PLATFORM_LIMIT);
    readers_of_a_large_platform: busy_readers_stay_under_the_limit(16_000);
    small_data_centre_of_a_small_platform: small_view_has_readers(3, 2, PLATFORM_LIMIT);
    small_data_centre_of_a_large_platform: small_view_has_readers(4, 2, 16_000);
    lone_daemon_of_a_large_platform: small_view_has_readers(1, 1, 16_000);
    hashing_with_30_connections: hashing_keeps_the_limit(30);
    hashing_with_110_connections: hashing_keeps_the_limit(110);
}

#[test]
fn next_rank_takes_over_when_a_reader_is_gone() {
    let hosts: Vec<String> = (0..20).map(|number| format!("entry-{number}")).collect();
    let rank = |host: &str, gone: &str| {
        let others = hosts.iter().map(String::as_str);
        reader_rank(
            host,
            others.filter(|other| *other != host && *other != gone),
        )
    };
    let mut ranks: Vec<usize> = hosts.iter().map(|host| rank(host, "")).collect();
    ranks.sort_unstable();
    assert_eq!(
        ranks,
        (0..20).collect::<Vec<_>>(),
        "each rank is assigned once"
    );
    let first = hosts.iter().find(|host| rank(host, "") == 0);
    let third = hosts.iter().find(|host| rank(host, "") == 2);
    let (first, third) = (
        first.expect("a daemon has rank 0"),
        third.expect("a daemon has rank 2"),
    );
    assert_eq!(
        rank(third, first),
        1,
        "the third daemon moves up to the second rank"
    );
}
