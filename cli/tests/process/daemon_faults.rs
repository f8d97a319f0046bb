//! Daemons in separate processes are paused and killed under a load of searches and orders. The
//! results that callers received are compared with what the leafs executed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::spawned::{POLL_PERIOD, STEP_LIMIT, TestFolder, TestProcess};
use serde_json::json;
use yuccalift_core::{ShardEntry, ShardMap, TargetEntry};
use yuccalift_standins::{
    CallKind, CallRecord, CallResult, CallerLoad, CheckKind, CheckViolation, DaemonList,
    EpochShards, LeafFleet, LeafOptions, LeafRecord, LoadStream, PlatformOptions, PlatformStandin,
    RateStep, RunEvidence, StreamText,
};

const ACCOUNTS: &str = "\
templates:
  race:
    collections: [tags]
    urgency: urgent
    deadline: 4s
    patience: 2s
    repeat: hedge
  order:
    collections: [tags]
    urgency: urgent
    deadline: 4s
    patience: 2s
    repeat: never
accounts:
  vets:
    template: race
  farms:
    template: order
";

/// Number of shards of the collection.
const SHARDS: u32 = 3;
/// Number of leafs that hold each shard.
const REPLICAS: u32 = 2;
/// Maximum number of connections of a leaf.
const CONNECTIONS: u32 = 30;
/// Time during which requests are sent.
const DURATION: Duration = Duration::from_secs(5);
/// Time of the fault since the start of the load.
const FAULT_AT: Duration = Duration::from_secs(1);
/// Duration of a pause; longer than the maximum age of the state that a daemon relies on.
const PAUSE_TIME: Duration = Duration::from_millis(2_500);
/// Maximum time that a caller waits.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Fault that is injected into the first daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DaemonFault {
    /// The process is stopped for [`PAUSE_TIME`] and then continues.
    Paused,
    /// The process is killed and does not announce its end.
    Killed,
    /// The process is stopped, and killed as soon as it continues.
    PausedThenKilled,
}

struct TestSite {
    leafs: LeafFleet,
    daemons: Vec<TestProcess>,
    addresses: Vec<SocketAddr>,
    _platform: PlatformStandin,
    _folder: TestFolder,
}

impl TestSite {
    fn start(name: &str) -> Self {
        let options = (0..SHARDS * REPLICAS).map(|position| LeafOptions {
            shards: vec![position / REPLICAS],
            connections: CONNECTIONS,
            seed: u64::from(position),
            ..LeafOptions::default()
        });
        let leafs = LeafFleet::start(options.collect(), 1).expect("the leafs start");
        let platform =
            PlatformStandin::start(PlatformOptions::default()).expect("the platform starts");
        let map = serde_json::to_string(&shard_map(&leafs)).expect("the map is serialized");
        let fleet = json!({"daemons": 3, "daemons_per_data_centre": 3});
        platform.put_value("map/tags", &map);
        platform.put_value("accounts", ACCOUNTS);
        platform.put_value("fleet", &fleet.to_string());
        let folder = TestFolder::new(name);
        let daemons: Vec<TestProcess> = ["entry-1", "entry-2"]
            .iter()
            .map(|host| {
                let file = format!("{host}.yaml");
                TestProcess::yuccaliftd(
                    &folder.write(&file, &daemon_settings(host, platform.address())),
                )
            })
            .collect();
        let addresses = daemons.iter().map(read_caller_address).collect();
        let site = Self {
            leafs,
            daemons,
            addresses,
            _platform: platform,
            _folder: folder,
        };
        site.wait_ready();
        site
    }

    fn wait_ready(&self) {
        let deadline = Instant::now() + STEP_LIMIT;
        actix_rt::System::new().block_on(async {
            let client = awc::Client::default();
            for address in &self.addresses {
                let url = format!("http://{address}/ready");
                loop {
                    let response = client.get(&url).send().await;
                    if response.is_ok_and(|response| response.status().is_success()) {
                        break;
                    }
                    assert!(Instant::now() < deadline, "the daemon becomes ready");
                    actix_rt::time::sleep(POLL_PERIOD).await;
                }
            }
        });
    }

    fn inject(&self, fault: DaemonFault) {
        match fault {
            DaemonFault::Paused => self.pause(),
            DaemonFault::Killed => self.daemons[0].signal("-KILL"),
            DaemonFault::PausedThenKilled => {
                self.pause();
                self.daemons[0].signal("-KILL");
            }
        }
    }

    fn pause(&self) {
        self.daemons[0].signal("-STOP");
        std::thread::sleep(PAUSE_TIME);
        self.daemons[0].signal("-CONT");
    }

    fn evidence(&self, calls: Vec<CallRecord>) -> RunEvidence {
        let leafs = self.leafs.leafs().iter().enumerate();
        RunEvidence {
            calls,
            leafs: leafs
                .map(|(position, leaf)| LeafRecord {
                    name: format!("leaf-{position}").into(),
                    connections_limit: CONNECTIONS,
                    runs: leaf.runs(),
                    counts: leaf.counts(),
                    connections: leaf.connections(),
                })
                .collect(),
            epochs: vec![EpochShards {
                epoch: 1,
                shards: (0..SHARDS).collect(),
            }],
            allows_refusals: true,
        }
    }
}

fn read_caller_address(daemon: &TestProcess) -> SocketAddr {
    daemon.wait_line(|line| {
        let event: serde_json::Value = serde_json::from_str(line).ok()?;
        event.get("callers")?.as_str()?.parse().ok()
    })
}

fn daemon_settings(host: &str, platform: SocketAddr) -> String {
    format!(
        "host: {host}\n\
         data_centre: dc-1\n\
         listen:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n\
         platform: [\"{platform}\"]\n\
         shared_key: test-key-test-key\n\
         log:\n  format: json\n  level: info\n"
    )
}

fn shard_map(leafs: &LeafFleet) -> ShardMap {
    let targets = leafs.leafs().iter().zip(0..);
    let targets = targets.map(|(leaf, target)| TargetEntry {
        target,
        address: leaf.address(),
        data_centre: "dc-1".into(),
        host: format!("leaf-{target}").into(),
        slots: 3,
        connections: CONNECTIONS,
        connect_ms: 6,
    });
    let shards = (0..SHARDS).map(|shard| ShardEntry {
        shard,
        replicas: (shard * REPLICAS..(shard + 1) * REPLICAS).collect(),
    });
    ShardMap {
        collection: "tags".into(),
        epoch: 1,
        shards: shards.collect(),
        targets: targets.collect(),
    }
}

fn load_stream(account: &str, kind: CallKind, per_second: f64) -> LoadStream {
    LoadStream {
        account: account.into(),
        collection: "tags".into(),
        kind,
        text: StreamText::Unique,
        rates: vec![RateStep {
            from: Duration::ZERO,
            per_second,
        }],
        wait: CALLER_TIMEOUT,
        max_resends: 3,
    }
}

/// Runs the load with a fault and returns the violations. Lost requests are not included, because a
/// killed daemon may lose requests.
fn violations_with(fault: DaemonFault) -> Vec<CheckViolation> {
    let site = TestSite::start(&format!("{fault:?}"));
    let shards: Vec<u32> = (0..SHARDS).collect();
    let orders = CallKind::Execute { shards, copies: 2 };
    let load = CallerLoad {
        daemons: DaemonList::new(&site.addresses),
        streams: vec![
            load_stream("vets", CallKind::Search, 30.0),
            load_stream("farms", orders, 60.0),
        ],
        seed: 11,
        duration: DURATION,
    };
    let running = load.start().expect("the load starts");
    std::thread::sleep(FAULT_AT);
    site.inject(fault);
    let calls = running.join();
    let is_executed = |call: &&CallRecord| matches!(call.result, CallResult::Executed { .. });
    assert!(
        calls.iter().filter(is_executed).count() > 50,
        "more than 50 orders are executed"
    );
    let mut violations = site.evidence(calls).check();
    violations.retain(|violation| violation.kind != CheckKind::Dropped);
    violations
}

fn assert_no_violations(fault: DaemonFault) {
    let violations = violations_with(fault);
    assert!(violations.is_empty(), "{violations:#?}");
}

yuccalift_testkit::cases! {
    paused_daemon_causes_no_violations: assert_no_violations(DaemonFault::Paused);
    killed_daemon_causes_no_violations: assert_no_violations(DaemonFault::Killed);
    daemon_killed_on_resume_causes_no_violations:
        assert_no_violations(DaemonFault::PausedThenKilled);
}
