//! A request that crashes its targets is quarantined by its daemon and by the peers; other requests
//! are not.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_core::{MissingReason, SearchAnswer};
use yuccalift_standins::leaf::options::CRASH_MARKER;
use yuccalift_testkit::cases;
use yuccalift_wire::caller::SearchBody;

/// Number of times that the caller sends the request that crashes targets.
const SENDS: usize = 12;
/// Maximum number of runs, each of which crashes a target: those of the first send, and two more.
const MAX_RUNS: usize = 4;
/// Maximum time until a peer quarantines the request.
const ANNOUNCEMENT_LIMIT: Duration = Duration::from_secs(10);

async fn search(address: SocketAddr, text: &str) -> (u16, Vec<u8>) {
    let body = SearchBody {
        request: "request-1".into(),
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        text: text.into(),
        limit: 2,
        time_left_ms: Some(700),
    };
    let call = awc::Client::builder().disable_timeout().finish();
    let call = call.post(format!("http://{address}/v1/search"));
    let mut response = call.send_json(&body).await.expect("the daemon answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("the body is complete");
    (status, body.to_vec())
}

/// Returns whether the answer or the refusal reports the quarantine.
fn is_quarantined(reply: &(u16, Vec<u8>)) -> bool {
    if reply.0 != 200 {
        return String::from_utf8_lossy(&reply.1).contains("quarantined");
    }
    let answer: SearchAnswer = serde_json::from_slice(&reply.1).expect("the answer is parsed");
    let missing = &answer.coverage.missing;
    missing
        .iter()
        .any(|shard| shard.reason == MissingReason::Quarantined)
}

fn count_runs(site: &TestSite) -> usize {
    let leafs = site.leafs.leafs().iter();
    leafs.map(|leaf| leaf.runs().len()).sum()
}

fn crash_request_loses_few_targets() {
    let site = TestSite::start(1, 4);
    let daemon = site.start_daemon("entry-1");
    let other = site.start_daemon_with_seed("entry-2", &daemon);
    let address = daemon.addresses().caller;
    actix_rt::System::new().block_on(async {
        for _ in 0..SENDS {
            search(address, CRASH_MARKER).await;
        }
        let runs = count_runs(&site);
        assert!(runs <= MAX_RUNS, "it ran {runs} times");
        assert!(is_quarantined(&search(address, CRASH_MARKER).await));
        let end = Instant::now() + ANNOUNCEMENT_LIMIT;
        while !is_quarantined(&search(other.addresses().caller, CRASH_MARKER).await) {
            assert!(Instant::now() < end, "the peer quarantines the request");
        }
        let (status, body) = search(address, "ewe 4711").await;
        let text = String::from_utf8_lossy(&body).into_owned();
        assert_eq!(status, 200, "others are answered: {text}");
    });
    other.stop();
    daemon.stop();
}

cases! {
    a_request_that_crashes_targets_is_quarantined: crash_request_loses_few_targets();
}
