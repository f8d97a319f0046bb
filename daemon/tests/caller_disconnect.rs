//! Callers that disconnect, and daemons that stop, while requests run.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_core::SearchAnswer;
use yuccalift_standins::LeafCommand;
use yuccalift_testkit::cases;
use yuccalift_wire::caller::SearchBody;

const SERVICE_TIME: Duration = Duration::from_millis(500);
/// Delay until the caller disconnects or the daemon is stopped, while the request runs.
const INTERRUPT_DELAY: Duration = Duration::from_millis(150);
/// Maximum time until the leafs receive the cancellation.
const CANCEL_LIMIT: Duration = Duration::from_secs(5);

fn start_slow_site() -> TestSite {
    let site = TestSite::start(2, 1);
    for leaf in site.leafs.leafs() {
        leaf.command(LeafCommand::SetSlowdown(SERVICE_TIME.as_secs_f64() / 0.004));
    }
    site
}

async fn search(address: SocketAddr) -> (u16, Vec<u8>) {
    let body = SearchBody {
        request: "request-1".into(),
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        text: "ewe 4711".into(),
        limit: 2,
        time_left_ms: None,
    };
    let call = awc::Client::builder().disable_timeout().finish();
    let call = call.post(format!("http://{address}/v1/search"));
    let mut response = call.send_json(&body).await.expect("the daemon answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("the body is complete");
    (status, body.to_vec())
}

fn count_cancelled(site: &TestSite) -> u64 {
    let leafs = site.leafs.leafs().iter();
    leafs.map(|leaf| leaf.counts().cancelled).sum()
}

fn disconnect_cancels_attempts() {
    let site = start_slow_site();
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    actix_rt::System::new().block_on(async {
        let interrupted = tokio::time::timeout(INTERRUPT_DELAY, search(address)).await;
        assert!(
            interrupted.is_err(),
            "the caller disconnects before the answer"
        );
        let end = Instant::now() + CANCEL_LIMIT;
        while count_cancelled(&site) < 2 {
            assert!(Instant::now() < end, "both leafs get a cancellation");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    daemon.stop();
}

fn stop_finishes_running_requests() {
    let site = start_slow_site();
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    let stopper = std::thread::spawn(move || {
        std::thread::sleep(INTERRUPT_DELAY);
        daemon.stop()
    });
    let (status, body) = actix_rt::System::new().block_on(search(address));
    let text = String::from_utf8_lossy(&body);
    assert_eq!(status, 200, "the request is finished: {text}");
    let answer: SearchAnswer = serde_json::from_slice(&body).expect("the answer is parsed");
    assert!(answer.coverage.is_complete(), "{:?}", answer.coverage);
    let report = stopper.join().expect("the daemon stops");
    assert!(
        report.overdue.is_empty(),
        "every service stops in time: {report:?}"
    );
}

cases! {
    a_disconnected_caller_cancels_the_work_of_targets: disconnect_cancels_attempts();
    a_stop_finishes_running_requests: stop_finishes_running_requests();
}
