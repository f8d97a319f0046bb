//! Control planes in one to three data centres, over TCP: changes, platform outages, stale values,
//! killed readers, pauses, network partitions and announcements.

mod control_site;

use std::time::{Duration, Instant};

use control_site::{
    ControlSite, LARGE_FLEET_SPREAD_LIMIT, PartitionKind, SETTLE_LIMIT, SPREAD_LIMIT,
};
use yuccalift_core::control::AnnouncementKind;
use yuccalift_daemon::control::Announce;
use yuccalift_standins::PlatformMode;
use yuccalift_testkit::cases;

const DAEMONS: usize = 9;
const DATA_CENTRES: usize = 3;
/// Limit of the platform in calls per second, over all daemons.
const PLATFORM_LIMIT: u32 = 2_000;
/// Time during which an expected state must not change.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

fn start_site() -> ControlSite {
    let site = ControlSite::start(DAEMONS, DATA_CENTRES);
    site.wait_for_members();
    site
}

#[test]
fn change_is_in_effect_everywhere_in_time() {
    let site = start_site();
    for round in 0..3 {
        let version = site.publish(&format!("account{round}"));
        site.assert_spreads(version, SPREAD_LIMIT);
    }
    let hashes: Vec<u64> = site.probe.snapshots().iter().map(|one| one.hash).collect();
    assert!(
        hashes.windows(2).all(|pair| pair[0] == pair[1]),
        "all have the same configuration"
    );
}

#[test]
fn fresh_daemon_learns_from_peers_while_the_platform_is_down() {
    let mut site = start_site();
    let version = site.publish("vets");
    site.assert_spreads(version, SPREAD_LIMIT);
    site.platform.set_mode(PlatformMode::Down);
    site.probe.restart(0);
    site.assert_spreads(version, SPREAD_LIMIT);
    site.wait_all("is ready", |site, position| site.probe.is_ready(position));
}

#[test]
fn daemon_that_knows_no_configuration_is_not_ready() {
    let site = ControlSite::start_without_waiting(1, 1);
    site.platform.set_mode(PlatformMode::Down);
    std::thread::sleep(OBSERVATION_TIME);
    assert!(
        !site.probe.is_ready(0),
        "a daemon without a configuration is not ready"
    );
    site.platform.set_mode(PlatformMode::Normal);
    site.wait_all("is ready", |site, position| site.probe.is_ready(position));
}

#[test]
fn stale_platform_reverts_no_value() {
    let mut site = start_site();
    let old = site.publish("vets");
    site.assert_spreads(old, SPREAD_LIMIT);
    let new = site.publish("farmers");
    site.assert_spreads(new, SPREAD_LIMIT);
    site.platform.set_mode(PlatformMode::Stale(old));
    for position in 0..DATA_CENTRES {
        site.probe.restart(position);
    }
    // A restarted daemon may read the old values first; it must not accept requests with them.
    let end = Instant::now() + SETTLE_LIMIT;
    while !(0..DAEMONS).all(|position| site.probe.is_ready(position)) {
        for position in 0..DAEMONS {
            if site.probe.is_ready(position) {
                let version = site.snapshot(position).version;
                assert!(version >= new, "ready with version {version}, not {new}");
            }
        }
        assert!(Instant::now() < end, "the restarted daemons become ready");
        std::thread::sleep(POLL);
    }
    site.platform.set_mode(PlatformMode::Normal);
    let next = site.publish("dealers");
    site.assert_spreads(next, SPREAD_LIMIT);
}

/// The readers of data centre 0 are killed just before a change. With one data centre these are all
/// readers.
fn change_spreads_without_its_readers(daemons: usize, data_centres: usize, limit: Duration) {
    let site = ControlSite::start(daemons, data_centres);
    site.wait_for_members();
    let readers: Vec<usize> = (0..daemons)
        .filter(|&position| site.snapshot(position).is_reader)
        .collect();
    assert!(!readers.is_empty(), "there is a reader");
    for &reader in readers.iter().filter(|&&reader| reader % data_centres == 0) {
        site.probe.kill(reader);
    }
    let version = site.publish("vets");
    site.assert_spreads(version, limit);
}

#[test]
fn fleet_that_restarts_at_once_stays_under_the_platform_limit() {
    let mut site = start_site();
    let version = site.publish("vets");
    site.assert_spreads(version, SPREAD_LIMIT);
    site.platform.set_mode(PlatformMode::Down);
    for position in 0..DAEMONS {
        site.probe.restart(position);
    }
    std::thread::sleep(OBSERVATION_TIME);
    assert!(
        (0..DAEMONS).all(|position| !site.probe.is_ready(position)),
        "no daemon knows the version"
    );
    site.platform.set_mode(PlatformMode::Normal);
    site.assert_spreads(version, LARGE_FLEET_SPREAD_LIMIT);
    let calls = site.platform.calls();
    assert!(calls.peak_per_second < PLATFORM_LIMIT / 10, "{calls:?}");
    assert_eq!(calls.refused, 0, "no call was over the limit");
}

/// A change is published while a data centre is partitioned. Once the partition is healed, all
/// daemons have the same version.
fn partition_heals_to_one_version(kind: PartitionKind, change_spreads_anyway: bool) {
    let site = start_site();
    let before = site.publish("vets");
    site.assert_spreads(before, SPREAD_LIMIT);
    site.partition_data_centre(0, kind);
    let during = site.publish("farmers");
    if change_spreads_anyway {
        site.assert_spreads(during, LARGE_FLEET_SPREAD_LIMIT);
    } else {
        std::thread::sleep(OBSERVATION_TIME);
        for position in site.positions(0) {
            let snapshot = site.snapshot(position);
            assert_eq!(
                snapshot.version, before,
                "a daemon keeps its version while it is cut off"
            );
            assert!(snapshot.ready, "a daemon stays ready while it is cut off");
        }
    }
    site.heal();
    site.assert_spreads(during, LARGE_FLEET_SPREAD_LIMIT);
    let after = site.publish("dealers");
    site.assert_spreads(after, LARGE_FLEET_SPREAD_LIMIT);
    site.wait_for_members();
}

/// A data centre splits into two parts that consider each other gone. Once healed, each daemon knows
/// all members again, although no daemon has a reason to contact a member that is gone.
#[test]
fn split_data_centre_knows_its_members_again() {
    let site = ControlSite::start(6, 1);
    site.wait_for_members();
    site.split(&[0, 1, 2]);
    site.wait_all("considers the other part gone", |site, position| {
        let snapshot = site.snapshot(position);
        snapshot
            .peers
            .iter()
            .filter(|peer| peer.state.name() == "gone")
            .count()
            == 3
    });
    let version = site.publish("vets");
    site.assert_spreads(version, LARGE_FLEET_SPREAD_LIMIT);
    site.heal();
    site.wait_for_members();
}

#[test]
fn paused_daemon_suspects_no_peer_and_becomes_ready_again() {
    let site = start_site();
    site.probe.pause(0, Duration::from_secs(60));
    site.wait_all("is ready", |site, position| site.probe.is_ready(position));
    std::thread::sleep(OBSERVATION_TIME);
    site.wait_for_members();
    for position in 1..DAEMONS {
        let refuted = site.snapshot(position).own.refutation;
        assert_eq!(refuted, 0, "no daemon had to refute a suspicion");
    }
}

#[test]
fn replaced_daemon_is_distinguished_and_leaving_daemon_is_known() {
    let mut site = start_site();
    site.probe.restart(3);
    site.wait_for_members();
    site.probe.leave(6);
    site.wait_all("knows the leaving daemon", |site, position| {
        let snapshot = site.snapshot(position);
        let members = snapshot.peers.iter().chain([&snapshot.own]);
        let states = members.filter(|peer| peer.host.as_ref() == "entry-0006");
        position % DATA_CENTRES != 0
            || states
                .into_iter()
                .all(|peer| peer.state.name() == "leaving")
    });
}

#[test]
fn bad_value_is_refused_by_key_and_the_last_good_one_stays() {
    let mut site = start_site();
    let good = site.publish("vets");
    site.assert_spreads(good, SPREAD_LIMIT);
    let bad = site.platform.put_value("accounts", "accounts: 7");
    site.wait_all("refuses the bad value", |site, position| {
        let snapshot = site.snapshot(position);
        snapshot.version == bad && snapshot.refused.len() == 1
    });
    site.probe.restart(0);
    site.assert_spreads(good, SPREAD_LIMIT);
    let refused = site.snapshot(1).refused;
    assert_eq!(refused[0].key.as_ref(), "accounts");
    let better = site.publish("farmers");
    site.assert_spreads(better, SPREAD_LIMIT);
    assert!(site.snapshot(0).refused.is_empty());
}

#[test]
fn announcement_of_a_draining_target_reaches_all_in_time() {
    let site = start_site();
    let kind = AnnouncementKind::Draining(4);
    let lifetime = ANNOUNCEMENT_LIFETIME;
    site.probe.announce(0, Announce { kind, lifetime });
    let end = Instant::now() + SPREAD_LIMIT;
    let knows = |position: usize| {
        let announcements = site.snapshot(position).announcements;
        announcements.iter().any(|entry| entry.0 == kind)
    };
    while !(0..DAEMONS).all(knows) {
        assert!(
            Instant::now() < end,
            "the announcement is everywhere in {SPREAD_LIMIT:?}"
        );
        std::thread::sleep(POLL);
    }
}

cases! {
    change_while_the_readers_of_a_data_centre_are_killed:
        change_spreads_without_its_readers(DAEMONS, DATA_CENTRES, SPREAD_LIMIT);
    change_while_the_only_readers_are_killed: change_spreads_without_its_readers(5, 1, LARGE_FLEET_SPREAD_LIMIT);
    partition_both_ways_heals: partition_heals_to_one_version(PartitionKind::Both, false);
    partition_of_own_calls_heals: partition_heals_to_one_version(PartitionKind::Outward, true);
    partition_of_calls_from_others_heals: partition_heals_to_one_version(PartitionKind::Inward, true);
    partition_from_the_platform_heals: partition_heals_to_one_version(PartitionKind::Platform, true);
}
