//! A request that crashes its targets is held back, here and at the peers; others are not.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_core::{MissingReason, SearchAnswer};
use yuccalift_standins::leaf::options::CRASH_MARKER;
use yuccalift_testkit::cases;
use yuccalift_wire::caller::SearchBody;

/// How often the caller sends the request that crashes targets.
const SENDINGS: usize = 12;
/// The most targets that it may cost: those of the first sending, and two more.
const MOST_RUNS: usize = 4;
/// How long a peer may take to hear of it.
const NEWS_LIMIT: Duration = Duration::from_secs(10);

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
    let body = response.body().await.expect("the body is whole");
    (status, body.to_vec())
}

/// Whether the answer or the refusal names the quarantine.
fn is_held_back(reply: &(u16, Vec<u8>)) -> bool {
    if reply.0 != 200 {
        return String::from_utf8_lossy(&reply.1).contains("quarantined");
    }
    let answer: SearchAnswer = serde_json::from_slice(&reply.1).expect("the answer is read");
    let missing = &answer.coverage.missing;
    missing
        .iter()
        .any(|shard| shard.reason == MissingReason::Quarantined)
}

fn runs_of(site: &TestSite) -> usize {
    let leafs = site.leafs.leafs().iter();
    leafs.map(|leaf| leaf.runs().len()).sum()
}

fn a_crash_request_costs_few_targets() {
    let site = TestSite::start(1, 4);
    let daemon = site.start_daemon("entry-1");
    let other = site.start_daemon_beside("entry-2", &daemon);
    let address = daemon.addresses().caller;
    actix_rt::System::new().block_on(async {
        for _ in 0..SENDINGS {
            search(address, CRASH_MARKER).await;
        }
        let runs = runs_of(&site);
        assert!(runs <= MOST_RUNS, "it ran {runs} times");
        assert!(is_held_back(&search(address, CRASH_MARKER).await));
        let end = Instant::now() + NEWS_LIMIT;
        while !is_held_back(&search(other.addresses().caller, CRASH_MARKER).await) {
            assert!(Instant::now() < end, "the peer hears of it");
        }
        let (status, body) = search(address, "ewe 4711").await;
        let text = String::from_utf8_lossy(&body).into_owned();
        assert_eq!(status, 200, "others are answered: {text}");
    });
    other.stop();
    daemon.stop();
}

cases! {
    a_request_that_crashes_targets_is_held_back: a_crash_request_costs_few_targets();
}
