//! Searches through platform, leafs and daemons that run as separate processes.

use std::net::SocketAddr;
use std::process::Command;
use std::time::Instant;

use crate::spawned::{POLL_PERIOD, STEP_LIMIT, TestFolder, TestProcess};
use awc::Client;
use serde_json::json;
use yuccalift_core::{SearchAnswer, ShardEntry, ShardMap, TargetEntry};
use yuccalift_standins::LeafRun;
use yuccalift_wire::operator::StatusReport;

const ACCOUNTS: &str = "\
templates:
  race:
    collections: [tags]
    urgency: urgent
    deadline: 5s
    patience: 2s
    repeat: hedge
accounts:
  vets:
    template: race
";

/// Shared key of peers and operators.
const KEY: &str = "test-key-test-key";
/// Number of shards of the collection; each is on its own leaf.
const SHARDS: u32 = 3;

/// Platform and leafs that run as separate processes.
struct ProcessSite {
    _platform_process: TestProcess,
    platform: SocketAddr,
    leafs: Vec<LeafProcess>,
}

struct LeafProcess {
    process: TestProcess,
    address: SocketAddr,
}

impl ProcessSite {
    /// Starts the stand-ins; the options are added to those that every test needs.
    fn start(platform_options: &[&str], leaf_options: &[&str]) -> Self {
        let arguments = [&["standin", "platform"], platform_options].concat();
        let platform_process = TestProcess::yuccalift(&arguments);
        Self {
            platform: platform_process.wait_address("platform "),
            _platform_process: platform_process,
            leafs: (0..SHARDS)
                .map(|shard| LeafProcess::start(shard, leaf_options))
                .collect(),
        }
    }

    async fn publish(&self, client: &Client) {
        let map = serde_json::to_string(&shard_map(&self.leafs)).expect("the map is serialized");
        let fleet = json!({"daemons": 3, "daemons_per_data_centre": 3});
        put_value(client, self.platform, "accounts", ACCOUNTS.to_owned()).await;
        put_value(client, self.platform, "fleet", fleet.to_string()).await;
        put_value(client, self.platform, "map/tags", map).await;
    }
}

impl LeafProcess {
    fn start(shard: u32, options: &[&str]) -> Self {
        let shard = shard.to_string();
        let arguments = [&["standin", "leaf", "--shards", &shard], options].concat();
        let process = TestProcess::yuccalift(&arguments);
        let address = process.wait_address("leaf ");
        Self { process, address }
    }
}

fn shard_map(leafs: &[LeafProcess]) -> ShardMap {
    let targets = leafs.iter().zip(0..).map(|(leaf, target)| TargetEntry {
        target,
        address: leaf.address,
        data_centre: "dc-1".into(),
        host: format!("leaf-{target}").into(),
        slots: 3,
        connections: 30,
        connect_ms: 6,
    });
    ShardMap {
        collection: "tags".into(),
        epoch: 1,
        shards: (0..SHARDS)
            .map(|shard| ShardEntry {
                shard,
                replicas: vec![shard],
            })
            .collect(),
        targets: targets.collect(),
    }
}

fn daemon_settings(host: &str, platform: SocketAddr) -> String {
    format!(
        "host: {host}\n\
         data_centre: dc-1\n\
         listen:\n  callers: 127.0.0.1:0\n  peers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n\
         platform: [\"{platform}\"]\n\
         shared_key: {KEY}\n\
         log:\n  format: json\n  level: info\n\
         stop_timeout: 10s\n"
    )
}

async fn put_value(client: &Client, platform: SocketAddr, key: &str, value: String) {
    let url = format!("http://{platform}/admin/values/{key}");
    let response = client.put(url).send_body(value).await;
    assert!(
        response
            .expect("the platform answers")
            .status()
            .is_success(),
        "{key} is published"
    );
}

async fn wait_ready(client: &Client, daemon: SocketAddr) {
    let deadline = Instant::now() + STEP_LIMIT;
    loop {
        let response = client.get(format!("http://{daemon}/ready")).send().await;
        if response.is_ok_and(|response| response.status().is_success()) {
            return;
        }
        assert!(Instant::now() < deadline, "the daemon becomes ready");
        actix_rt::time::sleep(POLL_PERIOD).await;
    }
}

async fn search(client: &Client, daemon: SocketAddr) -> SearchAnswer {
    let body = json!({
        "request": "request-1",
        "account": "vets",
        "collection": "tags",
        "text": "ewe 4711",
    });
    let request = client
        .post(format!("http://{daemon}/v1/search"))
        .timeout(STEP_LIMIT);
    let mut response = request.send_json(&body).await.expect("the daemon answers");
    let body = response.body().await.expect("the body is read completely");
    let text = String::from_utf8_lossy(&body);
    assert!(
        response.status().is_success(),
        "the search is answered: {text}"
    );
    serde_json::from_slice(&body).expect("the answer is parsed")
}

async fn read_runs(client: &Client, leaf: &LeafProcess) -> Vec<LeafRun> {
    let admin = leaf.process.wait_address("admin ");
    let url = format!("http://{admin}/admin/runs");
    let mut response = client.get(url).send().await.expect("the leaf answers");
    let body = response.body().await.expect("the body is read completely");
    serde_json::from_slice(&body).expect("the list of executions is parsed")
}

/// Addresses on which a daemon listens.
struct DaemonListeners {
    callers: SocketAddr,
    operators: SocketAddr,
}

impl DaemonListeners {
    fn read(daemon: &TestProcess) -> Self {
        let line = daemon.wait_line(|line| {
            let line: serde_json::Value = serde_json::from_str(line).expect("a log line is JSON");
            (line["event"] == "daemon_started").then_some(line)
        });
        assert_eq!(line["number"], 101, "number of the event daemon_started");
        let address = |name: &str| {
            let text = line[name]
                .as_str()
                .expect("the log line contains the address of the listener");
            text.parse().expect("the logged address is valid")
        };
        Self {
            callers: address("callers"),
            operators: address("operators"),
        }
    }
}

async fn assert_complete_answer(client: &Client, daemon: SocketAddr) {
    let answer = search(client, daemon).await;
    assert_eq!(
        answer.request.as_ref(),
        "request-1",
        "the caller's request is answered"
    );
    assert_eq!(answer.coverage.asked, SHARDS, "every shard is queried");
    assert!(
        answer.coverage.is_complete(),
        "every shard answers: {:?}",
        answer.coverage
    );
    assert!(answer.complete, "the answer is marked as complete");
}

/// Runs a command to its end and returns its standard output.
fn run_operator_command(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccalift"));
    let output = command.args(arguments).env("YUCCALIFT_KEY", KEY).output();
    let output = output.expect("the command runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {stderr}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn search_reaches_leafs_through_processes() {
    let folder = TestFolder::new("search");
    let site = ProcessSite::start(&["--listen", "127.0.0.2:0"], &["--admin", "127.0.0.2:0"]);
    let path = folder.write("daemon.yaml", &daemon_settings("entry-1", site.platform));
    let mut daemon = TestProcess::yuccaliftd(&path);
    let listeners = DaemonListeners::read(&daemon);
    actix_rt::System::new().block_on(async {
        let client = Client::default();
        site.publish(&client).await;
        wait_ready(&client, listeners.callers).await;
        assert_complete_answer(&client, listeners.callers).await;
        for (leaf, shard) in site.leafs.iter().zip(0..) {
            let runs = read_runs(&client, leaf).await;
            let shards: Vec<u32> = runs.iter().map(|run| run.shard).collect();
            assert_eq!(shards, vec![shard], "each leaf executes its own shard once");
        }
    });
    daemon.signal("-TERM");
    assert!(
        daemon.wait_for_exit().success(),
        "the daemon exits with status 0"
    );
}

#[test]
fn operators_read_status_and_drain_daemon() {
    let folder = TestFolder::new("drain");
    let site = ProcessSite::start(&[], &[]);
    let path = folder.write("daemon.yaml", &daemon_settings("entry-1", site.platform));
    let mut daemon = TestProcess::yuccaliftd(&path);
    let listeners = DaemonListeners::read(&daemon);
    actix_rt::System::new().block_on(async {
        let client = Client::default();
        site.publish(&client).await;
        wait_ready(&client, listeners.callers).await;
        assert_complete_answer(&client, listeners.callers).await;
    });
    daemon.wait_line(|line| line.contains("\"event\":\"query_planned\"").then_some(()));

    let operator = listeners.operators.to_string();
    let report = run_operator_command(&["status", &operator, "--json"]);
    let report: StatusReport = serde_json::from_str(&report).expect("the report is parsed");
    assert!(report.ready, "the daemon reports that it is ready");
    assert!(
        report.config_version > 0,
        "the daemon reports its configuration version"
    );
    let table = run_operator_command(&["status", &operator]);
    assert!(
        table.starts_with("host entry-1 in dc-1"),
        "the output starts with the host: {table}"
    );
    run_operator_command(&["drain", &operator]);
    assert!(
        daemon.wait_for_exit().success(),
        "the daemon exits with status 0"
    );
}
