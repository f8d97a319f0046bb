//! Targets that drain, crash, recover or lose their connections while a daemon searches them.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::connection_watch::MAX_RETIRE_TIME;
use yuccalift_core::event::AttemptFailure;
use yuccalift_core::{EngineEvent, RequestKind, SearchAnswer, Snapshot};
use yuccalift_daemon::leaf::LeafClient;
use yuccalift_standins::leaf::{DrainSignal, LeafCommand, LeafOptions, LeafStandin};
use yuccalift_testkit::cases;
use yuccalift_wire::caller::SearchBody;

/// Maximum time until a draining target gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the load on a draining target continues.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Maximum time until coverage is complete again.
const FULL_COVERAGE_LIMIT: Duration = Duration::from_secs(2);
/// Time for which a crashed target is down.
const DOWNTIME: Duration = Duration::from_millis(700);
/// Connection limit that the calls of a test exhaust at once.
const SHARE: u32 = 3;

async fn search(client: &awc::Client, address: SocketAddr) -> Option<SearchAnswer> {
    let body = SearchBody {
        request: "request-1".into(),
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        text: "ewe 4711".into(),
        limit: 2,
        time_left_ms: None,
    };
    let url = format!("http://{address}/v1/search");
    let mut response = client.post(url).send_json(&body).await.ok()?;
    let body = response.body().await.ok()?;
    serde_json::from_slice(&body).ok()
}

fn plan(leaf: &LeafStandin, attempt: u64) -> AttemptPlan {
    AttemptPlan {
        attempt,
        query: attempt,
        request: "request-1".into(),
        target: 1,
        address: leaf.address(),
        shard: 0,
        kind: RequestKind::Search,
        snapshot: Snapshot {
            epoch: 1,
            version: 1,
        },
        text: "ewe 4711".into(),
        limit: 1,
        fingerprint: 1,
        deadline: Instant::now() + Duration::from_secs(5),
        cause: AttemptCause::First,
    }
}

fn start_leaf(service_time: Duration) -> LeafStandin {
    LeafStandin::start(LeafOptions {
        service_time,
        slots: 64,
        ..LeafOptions::default()
    })
    .expect("the leaf starts")
}

fn many_calls_stay_within_the_share() {
    let leaf = start_leaf(Duration::from_millis(5));
    actix_rt::System::new().block_on(async {
        let client = LeafClient::new(leaf.address(), "test/1", SHARE);
        let calls = (1..=40).map(|attempt| client.call(plan(&leaf, attempt)));
        futures_util::future::join_all(calls).await;
        client.set_limit(1);
        let calls = (41..=60).map(|attempt| client.call(plan(&leaf, attempt)));
        futures_util::future::join_all(calls).await;
        assert!(
            client.open_connections() <= 1,
            "a smaller limit is kept as well"
        );
    });
    let peak = leaf.connections().peak;
    assert!(peak <= SHARE, "the target had {peak} connections at once");
}

fn a_cancelled_attempt_frees_its_connection() {
    let leaf = start_leaf(Duration::from_millis(800));
    actix_rt::System::new().block_on(async {
        let client = LeafClient::new(leaf.address(), "test/1", 2);
        let sent_at = Instant::now();
        let canceller = Rc::clone(&client);
        let cancel = async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            canceller.cancel(1).await;
        };
        let call = client.call(plan(&leaf, 1));
        let (event, ()) = futures_util::future::join(call, cancel).await;
        assert!(
            matches!(
                event,
                EngineEvent::Failed {
                    failure: AttemptFailure::Cancelled,
                    ..
                }
            ),
            "{event:?}"
        );
        let elapsed = sent_at.elapsed();
        assert!(
            elapsed < Duration::from_millis(500),
            "the cancelled attempt ends at once: {elapsed:?}"
        );
        assert_eq!(client.open_connections(), 2, "both connections are kept");
        assert_eq!(leaf.connections().open, 2, "at the target as well");
    });
    assert_eq!(leaf.counts().cancelled, 1, "the target stopped its work");
}

/// With a limit of one connection, a cancel closes it, and a new one replaces it.
fn cancel_without_a_free_connection_closes() {
    let leaf = start_leaf(Duration::from_millis(800));
    actix_rt::System::new().block_on(async {
        let client = LeafClient::new(leaf.address(), "test/1", 1);
        let canceller = Rc::clone(&client);
        let cancel = async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            canceller.cancel(1).await;
        };
        let call = client.call(plan(&leaf, 1));
        let (event, ()) = futures_util::future::join(call, cancel).await;
        assert!(matches!(event, EngineEvent::Failed { .. }), "{event:?}");
        let again = client.call(plan(&leaf, 2)).await;
        assert!(matches!(again, EngineEvent::Reply(_)), "{again:?}");
    });
    let peak = leaf.connections().peak;
    assert!(peak <= 2, "the closed one may still be counted: {peak}");
}

/// Searches until `end`, and returns when the last answer without complete coverage came.
fn search_until(address: SocketAddr, end: Instant) -> Option<Instant> {
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder().disable_timeout().finish();
        let mut last_partial = None;
        while Instant::now() < end {
            let answer = search(&client, address).await;
            if !answer.is_some_and(|answer| answer.coverage.is_complete()) {
                last_partial = Some(Instant::now());
            }
        }
        last_partial
    })
}

fn a_draining_target_gets_no_work(signal: DrainSignal) {
    let site = TestSite::start(2, 2);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    search_until(address, Instant::now() + Duration::from_millis(500));
    let leaf = &site.leafs.leafs()[0];
    leaf.command(LeafCommand::Drain(signal));
    let last_partial = search_until(address, Instant::now() + OBSERVATION_TIME);
    assert_eq!(last_partial, None, "the other replica answers for it");
    let late = leaf.counts().work_after_drain_ms.map(Duration::from_millis);
    assert!(
        late.is_none_or(|late| late <= DRAIN_LIMIT),
        "the last work came {late:?} after the target began to drain"
    );
    daemon.stop();
}

fn crashed_target_is_used_again() {
    let site = TestSite::start(2, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    search_until(address, Instant::now() + Duration::from_millis(300));
    let leaf = &site.leafs.leafs()[0];
    leaf.command(LeafCommand::Crash { downtime: DOWNTIME });
    let back_at = Instant::now() + DOWNTIME;
    let last_partial = search_until(address, back_at + FULL_COVERAGE_LIMIT * 2);
    let late = last_partial.map(|at| at.saturating_duration_since(back_at));
    assert!(
        late.is_none_or(|late| late <= FULL_COVERAGE_LIMIT),
        "coverage was complete again only {late:?} after the target was back"
    );
    daemon.stop();
}

fn silent_connections_lose_no_shard() {
    let site = TestSite::start(2, 2);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    search_until(address, Instant::now() + Duration::from_millis(500));
    for leaf in site.leafs.leafs() {
        leaf.command(LeafCommand::Silence);
    }
    let silent_at = Instant::now();
    let last_partial = search_until(address, silent_at + MAX_RETIRE_TIME * 2);
    assert_eq!(
        last_partial, None,
        "every shard is retried within the deadline"
    );
    daemon.stop();
}

cases! {
    connections_stay_within_the_share: many_calls_stay_within_the_share();
    a_cancel_keeps_the_connections: a_cancelled_attempt_frees_its_connection();
    a_cancel_with_the_share_used_up: cancel_without_a_free_connection_closes();
    a_target_that_refuses_gets_no_work: a_draining_target_gets_no_work(DrainSignal::Refusal);
    a_target_whose_status_drains_gets_no_work: a_draining_target_gets_no_work(DrainSignal::Status);
    a_target_that_crashed_is_used_again: crashed_target_is_used_again();
    searches_survive_silent_connections: silent_connections_lose_no_shard();
}
