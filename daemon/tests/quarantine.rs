//! A request that crashes its targets is held back by every daemon, and its neighbours are not.

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
/// How long a test waits for what must happen.
const PATIENCE: Duration = Duration::from_secs(10);
const SHARDS: u32 = 6;
/// Beyond the first run on each shard, the request costs two targets.
const LOSSES_IN_TRIALS: usize = 2;
/// How often the request is sent again.
const SENDINGS: u32 = 6;

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
    let body = response.body().await.expect("the body is whole");
    (status, body.to_vec())
}

/// Sends the request that crashes targets, and returns the code of the last refusal.
fn send_poison(daemon: &Daemon, times: u32) -> RefusalCode {
    let address = daemon.addresses().caller;
    let system = actix_rt::System::new();
    let mut code = None;
    for sending in 0..times {
        let request = format!("poison-{sending}");
        let (_status, body) = system.block_on(search(address, request, CRASH_MARKER));
        let refusal: Option<Refusal> = serde_json::from_slice(&body).ok();
        code = refusal.map(|refusal| refusal.code);
    }
    code.expect("the last sending is refused")
}

fn crashes(site: &TestSite) -> usize {
    let runs = site.leafs.leafs().iter().flat_map(LeafStandin::runs);
    runs.filter(|run| run.request.starts_with("poison")).count()
}

async fn quarantines(daemon: &Daemon) -> usize {
    let url = format!("http://{}/v1/status", daemon.addresses().operator);
    let call = awc::Client::default()
        .get(url)
        .insert_header((KEY_HEADER, KEY));
    let mut response = call.send().await.expect("the daemon answers");
    let report: StatusReport = response.json().await.expect("the report is read");
    report.quarantines.len()
}

#[test]
fn a_request_that_crashes_targets_is_held_back() {
    let site = TestSite::start(SHARDS, 3);
    let daemon = site.start_daemon("entry-1");
    assert_eq!(
        send_poison(&daemon, SENDINGS),
        RefusalCode::Quarantined,
        "it is held back"
    );
    let (lost, bound) = (crashes(&site), SHARDS as usize + LOSSES_IN_TRIALS);
    assert!(lost <= bound, "{lost} targets lost, {bound} allowed");

    let address = daemon.addresses().caller;
    let innocent = search(address, "innocent".to_owned(), "ewe 4711");
    let (status, body) = actix_rt::System::new().block_on(innocent);
    assert_eq!(status, 200, "another search is answered");
    let answer: SearchAnswer = serde_json::from_slice(&body).expect("the answer is read");
    assert!(
        answer.coverage.is_whole(),
        "by every shard: {:?}",
        answer.coverage
    );
    daemon.stop();
}

#[test]
fn peers_hold_it_back_as_well() {
    let site = TestSite::start(SHARDS, 3);
    let first = site.start_daemon("entry-1");
    let second = site.start_daemon_beside("entry-2", &first);
    send_poison(&first, SENDINGS);
    let end = Instant::now() + PATIENCE;
    while actix_rt::System::new().block_on(quarantines(&second)) == 0 {
        assert!(Instant::now() < end, "the peer hears of it in time");
        std::thread::sleep(Duration::from_millis(20));
    }
    let lost = crashes(&site);
    assert_eq!(
        send_poison(&second, 1),
        RefusalCode::Quarantined,
        "the peer holds it back"
    );
    assert_eq!(crashes(&site), lost, "no target is lost any more");
    first.stop();
    second.stop();
}
