//! Refusals of the peers' listener: calls without the right key, and malformed messages.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of the support"
)]

mod support;

use support::{TestSite, search_status};
use yuccalift_testkit::cases;
use yuccalift_wire::operator::KEY_HEADER;

const KEY: &str = "test-key-test-key";
/// Size in bytes above the limit of any message.
const OVERSIZED_BODY_BYTES: usize = 4 * 1024 * 1024;

async fn post(address: std::net::SocketAddr, key: Option<&str>, body: Vec<u8>) -> u16 {
    let mut request = awc::Client::default().post(format!("http://{address}/peer/v1/exchange"));
    if let Some(key) = key {
        request = request.insert_header((KEY_HEADER, key));
    }
    let response = request.send_body(body).await;
    response.expect("the daemon answers").status().as_u16()
}

/// The daemon answers a bad call with an error status, and still serves callers.
fn bad_call_is_refused(key: Option<&str>, length: usize, expected: u16) {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let body = vec![0xC1; length];
    let system = actix_rt::System::new();
    let status = system.block_on(post(daemon.addresses().peer, key, body));
    assert_eq!(status, expected, "the status fits the refusal");
    let status = system.block_on(search_status(daemon.addresses().caller));
    assert_eq!(status, 200, "a search is answered as before");
    assert_eq!(site.leafs.leafs()[0].runs().len(), 1, "the search ran once");
    daemon.stop();
}

cases! {
    a_call_without_a_key_is_refused: bad_call_is_refused(None, 10, 403);
    a_call_with_another_key_is_refused: bad_call_is_refused(Some("test-key-test-kez"), 10, 403);
    a_call_with_a_part_of_the_key_is_refused: bad_call_is_refused(Some("test-key"), 10, 403);
    a_garbled_message_is_refused: bad_call_is_refused(Some(KEY), 10, 400);
    a_message_that_is_too_large_is_refused: bad_call_is_refused(Some(KEY), OVERSIZED_BODY_BYTES, 413);
}
