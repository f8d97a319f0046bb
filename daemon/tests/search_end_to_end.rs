//! A search passes from a caller through a daemon to every shard and back.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_core::{Outcome, Refusal, RefusalCode, SearchAnswer};
use yuccalift_testkit::cases;
use yuccalift_wire::caller::SearchBody;

/// Hit limit below the number of hits that one leaf returns, so that the merge must truncate.
const HIT_LIMIT: u32 = 2;

fn body(account: &str) -> SearchBody {
    SearchBody {
        request: "request-1".into(),
        account: account.into(),
        collection: COLLECTION.into(),
        text: "ewe 4711".into(),
        limit: HIT_LIMIT,
        time_left_ms: None,
    }
}

async fn post(address: std::net::SocketAddr, body: &SearchBody) -> (u16, Vec<u8>) {
    let url = format!("http://{address}/v1/search");
    let mut response = awc::Client::default()
        .post(url)
        .send_json(body)
        .await
        .expect("the daemon answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("the body is complete");
    (status, body.to_vec())
}

fn search_has_full_coverage(shards: u32, replicas: u32) {
    let site = TestSite::start(shards, replicas);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    let (status, body) = actix_rt::System::new().block_on(post(address, &body(ACCOUNT)));
    assert_eq!(
        status,
        200,
        "the search is answered: {}",
        String::from_utf8_lossy(&body)
    );
    let answer: SearchAnswer = serde_json::from_slice(&body).expect("the answer is parsed");
    assert_eq!(
        answer.request.as_ref(),
        "request-1",
        "the caller's own request is answered"
    );
    assert_eq!(answer.coverage.asked, shards, "every shard is asked");
    assert!(
        answer.coverage.is_complete(),
        "every shard answers: {:?}",
        answer.coverage
    );
    assert_eq!(
        answer.hits.len(),
        HIT_LIMIT as usize,
        "the hits are cut to the limit"
    );
    assert!(answer.complete, "the answer's end is marked");
    let runs: usize = site
        .leafs
        .leafs()
        .iter()
        .map(|leaf| leaf.runs().len())
        .sum();
    assert_eq!(runs, shards as usize, "each shard ran on just one leaf");
    daemon.stop();
}

fn unknown_account_is_refused() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    let (status, body) = actix_rt::System::new().block_on(post(address, &body("nobody")));
    let refusal: Refusal = serde_json::from_slice(&body).expect("the refusal is parsed");
    assert_eq!(status, 403, "the status is that of an unknown account");
    assert_eq!(
        refusal.code,
        RefusalCode::UnknownAccount,
        "the code is the reason"
    );
    assert_eq!(refusal.outcome, Outcome::NotRun, "nothing was sent");
    daemon.stop();
}

cases! {
    one_shard_answers: search_has_full_coverage(1, 3);
    thirty_shards_answer: search_has_full_coverage(30, 3);
    an_unknown_account_is_refused: unknown_account_is_refused();
}
