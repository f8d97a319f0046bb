//! A published value that is removed is no longer in force.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of the support"
)]

mod support;

use std::time::{Duration, Instant};

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_wire::caller::SearchBody;

/// How long the change may take.
const PATIENCE: Duration = Duration::from_secs(10);

async fn search(address: std::net::SocketAddr) -> u16 {
    let body = SearchBody {
        request: "request-1".into(),
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        text: "ewe 4711".into(),
        limit: 1,
        time_left_ms: None,
    };
    let request = awc::Client::default().post(format!("http://{address}/v1/search"));
    let response = request.send_json(&body).await;
    response.expect("the daemon answers").status().as_u16()
}

#[test]
fn removed_accounts_are_refused() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    let system = actix_rt::System::new();
    assert_eq!(
        system.block_on(search(address)),
        200,
        "the account is known"
    );
    site.platform.remove_value("accounts");
    let end = Instant::now() + PATIENCE;
    while system.block_on(search(address)) != 403 {
        assert!(Instant::now() < end, "the account is unknown in time");
        std::thread::sleep(Duration::from_millis(20));
    }
    daemon.stop();
}
