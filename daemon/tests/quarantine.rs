//! A request that crashes its targets is quarantined by every daemon; other requests are answered.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of the support"
)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_core::{Refusal, RefusalCode, SearchAnswer};
use yuccalift_daemon::Daemon;
use yuccalift_standins::LeafStandin;
use yuccalift_standins::leaf::options::CRASH_MARKER;
use yuccalift_wire::caller::SearchBody;
use yuccalift_wire::operator::{KEY_HEADER, StatusReport};

const KEY: &str = "test-key-test-key";
/// Maximum time for an expected result.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
const SHARDS: u32 = 6;
/// Maximum number of targets lost beyond the first run on each shard.
const MAX_TRIAL_LOSSES: usize = 2;
/// Number of times that the request is sent.
const SENDS: u32 = 6;

async fn search(address: SocketAddr, request: String, text: &str) -> (u16, Vec<u8>) {
    let body = SearchBody {
        request: request.into(),
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        text: text.into(),
        limit: 1,
        time_left_ms: None,
    };
    let post = awc::Client::default().post(format!("http://{address}/v1/search"));
    let mut response = post.send_json(&body).await.expect("the daemon answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("the body is complete");
    (status, body.to_vec())
}

/// Sends the request that crashes targets, and returns the code of the last refusal.
fn send_crash_request(daemon: &Daemon, times: u32) -> RefusalCode {
    let address = daemon.addresses().caller;
    let system = actix_rt::System::new();
    let mut code = None;
    for index in 0..times {
        let request = format!("crash-{index}");
        let (_status, body) = system.block_on(search(address, request, CRASH_MARKER));
        let refusal: Option<Refusal> = serde_json::from_slice(&body).ok();
        code = refusal.map(|refusal| refusal.code);
    }
    code.expect("the last request is refused")
}

fn count_crashes(site: &TestSite) -> usize {
    let runs = site.leafs.leafs().iter().flat_map(LeafStandin::runs);
    runs.filter(|run| run.request.starts_with("crash")).count()
}

async fn quarantines(daemon: &Daemon) -> usize {
    let url = format!("http://{}/v1/status", daemon.addresses().operator);
    let call = awc::Client::default()
        .get(url)
        .insert_header((KEY_HEADER, KEY));
    let mut response = call.send().await.expect("the daemon answers");
    let report: StatusReport = response.json().await.expect("the report is parsed");
    report.quarantines.len()
}

#[test]
fn a_request_that_crashes_targets_is_quarantined() {
    let site = TestSite::start(SHARDS, 3);
    let daemon = site.start_daemon("entry-1");
    assert_eq!(
        send_crash_request(&daemon, SENDS),
        RefusalCode::Quarantined,
        "the request is quarantined"
    );
    let (lost_targets, max_lost) = (count_crashes(&site), SHARDS as usize + MAX_TRIAL_LOSSES);
    assert!(
        lost_targets <= max_lost,
        "{lost_targets} targets lost, {max_lost} allowed"
    );

    let address = daemon.addresses().caller;
    let other_search = search(address, "other".to_owned(), "ewe 4711");
    let (status, body) = actix_rt::System::new().block_on(other_search);
    assert_eq!(status, 200, "another search is answered");
    let answer: SearchAnswer = serde_json::from_slice(&body).expect("the answer is parsed");
    assert!(
        answer.coverage.is_complete(),
        "every shard answers: {:?}",
        answer.coverage
    );
    daemon.stop();
}

#[test]
fn peers_quarantine_the_request_too() {
    let site = TestSite::start(SHARDS, 3);
    let first = site.start_daemon("entry-1");
    let second = site.start_daemon_with_seed("entry-2", &first);
    send_crash_request(&first, SENDS);
    let end = Instant::now() + WAIT_LIMIT;
    while actix_rt::System::new().block_on(quarantines(&second)) == 0 {
        assert!(
            Instant::now() < end,
            "the peer quarantines the request in time"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    let lost_targets = count_crashes(&site);
    assert_eq!(
        send_crash_request(&second, 1),
        RefusalCode::Quarantined,
        "the peer refuses the request"
    );
    assert_eq!(
        count_crashes(&site),
        lost_targets,
        "no further target is lost"
    );
    first.stop();
    second.stop();
}
