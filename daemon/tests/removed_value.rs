//! A published value is no longer in effect after its removal.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of the support"
)]

mod support;

use std::time::{Duration, Instant};

use support::{TestSite, search_status};

/// Maximum time until the removal is in effect.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn removed_accounts_are_refused() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    let system = actix_rt::System::new();
    assert_eq!(
        system.block_on(search_status(address)),
        200,
        "the account is known"
    );
    site.platform.remove_value("accounts");
    let end = Instant::now() + WAIT_LIMIT;
    while system.block_on(search_status(address)) != 403 {
        assert!(Instant::now() < end, "the account is unknown in time");
        std::thread::sleep(Duration::from_millis(20));
    }
    daemon.stop();
}
