//! A request that crashes its targets is held back by every daemon, and its neighbours are not.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of the support"
)]

mod support;

use std::net::SocketAddr;

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_core::{Refusal, RefusalCode, SearchAnswer};
use yuccalift_standins::LeafStandin;
use yuccalift_standins::leaf::options::CRASH_MARK;
use yuccalift_wire::caller::SearchBody;

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

#[test]
fn a_request_that_crashes_targets_is_held_back() {
    let site = TestSite::start(SHARDS, 3);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    let system = actix_rt::System::new();
    let mut last = None;
    for sending in 0..SENDINGS {
        let request = format!("poison-{sending}");
        last = Some(system.block_on(search(address, request, CRASH_MARK)));
    }
    let (status, body) = last.expect("it was sent");
    let refusal: Refusal = serde_json::from_slice(&body).expect("the refusal is typed");
    assert_eq!(
        refusal.code,
        RefusalCode::Quarantined,
        "it is held back: {status}"
    );

    let runs = site.leafs.leafs().iter().flat_map(LeafStandin::runs);
    let crashes = runs.filter(|run| run.request.starts_with("poison")).count();
    let bound = SHARDS as usize + LOSSES_IN_TRIALS;
    assert!(crashes <= bound, "{crashes} targets lost, {bound} allowed");

    let request = "innocent".to_owned();
    let (status, body) = system.block_on(search(address, request, "ewe 4711"));
    assert_eq!(status, 200, "another search is answered");
    let answer: SearchAnswer = serde_json::from_slice(&body).expect("the answer is read");
    assert!(
        answer.coverage.is_whole(),
        "by every shard: {:?}",
        answer.coverage
    );
    daemon.stop();
}
