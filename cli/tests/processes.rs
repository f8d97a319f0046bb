//! A search through a daemon and stand-ins that are processes of their own.

mod support;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

use support::{PATIENCE, POLL, ReadOutput, TestProcess, yuccalift, yuccaliftd};
use yuccalift_core::{SearchAnswer, ShardEntry, ShardMap, TargetEntry};
use yuccalift_wire::caller::SearchBody;
use yuccalift_wire::operator::StatusReport;

const KEY: &str = "a-key-for-this-test-only";
const SHARDS: u32 = 3;

const ACCOUNTS: &str = "
templates:
  race: {collections: [tags], urgency: urgent, deadline: 5s, repeat: retry}
accounts:
  vets: {template: race}
";

const FLEET: &str = r#"{"daemons": 3, "daemons_per_data_centre": 3}"#;

/// The processes of one site.
struct ProcessSite {
    platform: SocketAddr,
    leafs: Vec<SocketAddr>,
    /// Kept until the test is done, since they end with their owner.
    processes: Vec<TestProcess>,
}

impl ProcessSite {
    fn start() -> Self {
        let platform = TestProcess::start(&yuccalift(), &["standin", "platform"], ReadOutput::Out);
        let mut site = Self {
            platform: address_after(&platform, "platform "),
            leafs: Vec::new(),
            processes: vec![platform],
        };
        for shard in 0..SHARDS {
            let arguments = ["standin", "leaf", "--shards", &shard.to_string()];
            let leaf = TestProcess::start(&yuccalift(), &arguments, ReadOutput::Out);
            site.leafs.push(address_after(&leaf, "leaf "));
            site.processes.push(leaf);
        }
        site
    }

    fn publish(&self) {
        let map = serde_json::to_string(&self.shard_map()).expect("a map has a JSON form");
        for (key, value) in [
            ("map/tags", map.as_str()),
            ("accounts", ACCOUNTS),
            ("fleet", FLEET),
        ] {
            let url = format!("http://{}/admin/values/{key}", self.platform);
            let value = value.to_owned();
            actix_rt::System::new().block_on(async move {
                let response = awc::Client::default().put(url).send_body(value).await;
                let status = response.expect("the platform answers").status();
                assert!(status.is_success(), "the value is published: {status}");
            });
        }
    }

    fn shard_map(&self) -> ShardMap {
        let shards = (0..SHARDS).map(|shard| ShardEntry {
            shard,
            replicas: vec![shard],
        });
        let targets = (0..)
            .zip(&self.leafs)
            .map(|(target, &address)| TargetEntry {
                target,
                address,
                data_centre: "dc-1".into(),
                host: format!("leaf-{target}").into(),
                slots: 3,
                connections: 30,
                connect_ms: 6,
            });
        ShardMap {
            collection: "tags".into(),
            epoch: 1,
            shards: shards.collect(),
            targets: targets.collect(),
        }
    }

    fn write_settings(&self, name: &str) -> PathBuf {
        let text = format!(
            "host: entry-1\ndata_centre: dc-1\n\
             listen: {{callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0'}}\n\
             platform: ['{}']\nshared_key: {KEY}\nlog: {{format: json, level: info}}\n\
             stop_timeout: 10s\n",
            self.platform
        );
        write_file(name, &text)
    }
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file is written");
    path
}

fn address_after(process: &TestProcess, word: &str) -> SocketAddr {
    let line = process.line_with(word);
    let text = line
        .strip_prefix(word)
        .expect("the address follows its name");
    text.parse().expect("an address is printed")
}

/// The addresses of callers and operators, from the daemon's first log line.
fn listeners(daemon: &TestProcess) -> [SocketAddr; 2] {
    let line = daemon.line_with("\"event\":\"daemon_started\"");
    let line: serde_json::Value = serde_json::from_str(&line).expect("a log line is JSON");
    assert_eq!(line["number"], 101, "the line has its number");
    ["callers", "operators"].map(|name| {
        let text = line[name].as_str().expect("the line names the listener");
        text.parse().expect("an address is logged")
    })
}

async fn is_ready(address: SocketAddr) -> bool {
    let url = format!("http://{address}/ready");
    let response = awc::Client::default().get(url).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

async fn search(address: SocketAddr) -> SearchAnswer {
    let body = SearchBody {
        request: "request-1".into(),
        account: "vets".into(),
        collection: "tags".into(),
        text: "ewe 4711".into(),
        limit: 10,
        time_left_ms: None,
    };
    let request = awc::Client::default().post(format!("http://{address}/v1/search"));
    let mut response = request.send_json(&body).await.expect("the daemon answers");
    let body = response.body().await.expect("the body is whole");
    let text = String::from_utf8_lossy(&body);
    assert!(
        response.status().is_success(),
        "the search is answered: {text}"
    );
    serde_json::from_slice(&body).expect("the answer is read")
}

fn operate(arguments: &[&str]) -> String {
    let mut command = Command::new(yuccalift());
    let output = command.args(arguments).env("YUCCALIFT_KEY", KEY).output();
    let output = output.expect("the command runs");
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {said}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_search_goes_throughprocesses_and_a_drain_ends_the_daemon() {
    let site = ProcessSite::start();
    site.publish();
    let settings = site.write_settings("processes-entry-1.yaml");
    let file = settings.to_str().expect("the path is text");
    let mut daemon = TestProcess::start(&yuccaliftd(), &[file], ReadOutput::Err);
    let [caller, operator] = listeners(&daemon);
    let answer = actix_rt::System::new().block_on(async {
        let end = Instant::now() + PATIENCE;
        while !is_ready(caller).await {
            assert!(Instant::now() < end, "the daemon gets ready in time");
            std::thread::sleep(POLL);
        }
        search(caller).await
    });
    assert_eq!(
        answer.request.as_ref(),
        "request-1",
        "the caller's own request"
    );
    assert_eq!(answer.coverage.asked, SHARDS, "every shard is asked");
    assert!(
        answer.coverage.is_whole(),
        "every shard answers: {:?}",
        answer.coverage
    );
    assert!(answer.complete, "the answer's end is marked");
    daemon.line_with("\"event\":\"query_planned\"");

    let operator = operator.to_string();
    let report = operate(&["status", &operator, "--json"]);
    let report: StatusReport = serde_json::from_str(&report).expect("the report is read");
    assert!(report.ready, "the daemon says that it is ready");
    assert!(
        report.config_version > 0,
        "it says which configuration it has"
    );
    let table = operate(&["status", &operator]);
    assert!(
        table.starts_with("host entry-1 in dc-1"),
        "a table names the host: {table}"
    );
    operate(&["drain", &operator]);
    assert!(daemon.wait().success(), "the daemon ends well");
}

/// Runs the daemon's program to its end.
fn daemon_ends(arguments: &[&str], status: i32, said: &str) {
    let output = Command::new(yuccaliftd())
        .args(arguments)
        .output()
        .expect("it runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    assert_eq!(
        output.status.code(),
        Some(status),
        "the exit status, with {text}"
    );
    assert!(text.contains(said), "{said:?} is said in {text}");
}

fn repository(path: &str) -> String {
    format!("{}/../{path}", env!("CARGO_MANIFEST_DIR"))
}

fn daemon_refuses(path: &str, said: &str) {
    daemon_ends(&[&repository(path)], 2, said);
    daemon_ends(&["--check", &repository(path)], 2, said);
}

fn daemon_checks(path: &str) {
    daemon_ends(
        &["--check", &repository(path)],
        0,
        "valid settings of a daemon",
    );
}

yuccalift_testkit::cases! {
    daemon_help: daemon_ends(&["--help"], 0, "Usage: yuccaliftd");
    daemon_version: daemon_ends(&["--version"], 0, "yuccaliftd 0.");
    daemon_without_a_file: daemon_ends(&[], 2, "the settings file is missing");
    daemon_with_an_unknown_option: daemon_ends(&["--fly"], 2, "--fly");
    daemon_with_a_missing_file: daemon_ends(&["/no/such/file.yaml"], 2, "read settings, file /no/such/file.yaml");
    daemon_refuses_unknown_fields: daemon_refuses("settings/tests/broken/01-unknown-fields.yaml", ":12: colour: found");
    daemon_refuses_bad_addresses: daemon_refuses("settings/tests/broken/03-bad-addresses.yaml", ":4: listen.callers: found");
    daemon_checks_an_example: daemon_checks("examples/vn-south/daemons/entry-mekong-a-1.yaml");
}
