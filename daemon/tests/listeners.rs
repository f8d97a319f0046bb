//! Calls that the listeners refuse; a refusal does not affect the daemon otherwise.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use support::{TestSite, wait_ready};
use yuccalift_core::{Outcome, Refusal, RefusalCode};
use yuccalift_daemon::Daemon;
use yuccalift_testkit::cases;
use yuccalift_wire::operator::{KEY_HEADER, StatusReport};

const KEY: &str = "test-key-test-key";
/// Smallest body limit that settings allow, in bytes.
const BODY_LIMIT: usize = 1024;
/// Maximum time for the daemon of these tests to receive a head, and to receive a body.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for an expected result.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Listener that a call is sent to.
#[derive(Clone, Copy)]
enum Listener {
    Caller,
    Operator,
}

/// Call to a listener.
struct TestCall {
    listener: Listener,
    method: awc::http::Method,
    path: &'static str,
    key: Option<&'static str>,
    body: Vec<u8>,
}

fn start_daemon(site: &TestSite) -> Daemon {
    let mut settings = site.settings("entry-1");
    settings.limits.body_bytes = BODY_LIMIT;
    settings.limits.header_timeout = HEADER_TIMEOUT;
    let daemon = Daemon::start(settings).expect("the daemon starts");
    wait_ready(daemon.addresses().caller);
    daemon
}

fn address(daemon: &Daemon, listener: Listener) -> SocketAddr {
    match listener {
        Listener::Caller => daemon.addresses().caller,
        Listener::Operator => daemon.addresses().operator,
    }
}

fn send(address: SocketAddr, call: TestCall) -> (u16, Vec<u8>) {
    actix_rt::System::new().block_on(async move {
        let url = format!("http://{address}{}", call.path);
        let mut request = awc::Client::default().request(call.method, url);
        if let Some(key) = call.key {
            request = request.insert_header((KEY_HEADER, key));
        }
        let mut response = request
            .send_body(call.body)
            .await
            .expect("the daemon answers");
        let body = response.body().await.expect("the body is complete");
        (response.status().as_u16(), body.to_vec())
    })
}

fn status(daemon: &Daemon) -> StatusReport {
    let call = TestCall {
        listener: Listener::Operator,
        method: awc::http::Method::GET,
        path: "/v1/status",
        key: Some(KEY),
        body: Vec::new(),
    };
    let (status, body) = send(address(daemon, call.listener), call);
    assert_eq!(status, 200, "the operators' listener accepts the key");
    serde_json::from_slice(&body).expect("the report is parsed")
}

fn call_is_refused(call: TestCall, expected: u16, code: RefusalCode) {
    let site = TestSite::start(1, 1);
    let daemon = start_daemon(&site);
    let (status_code, body) = send(address(&daemon, call.listener), call);
    assert_eq!(status_code, expected, "the status fits the refusal");
    let refusal: Refusal = serde_json::from_slice(&body).expect("the refusal is parsed");
    assert_eq!(refusal.code, code, "the code is the reason");
    assert_eq!(refusal.outcome, Outcome::NotRun, "nothing ran");
    assert!(status(&daemon).ready, "the daemon is still ready");
    daemon.stop();
}

fn call(listener: Listener, path: &'static str, key: Option<&'static str>) -> TestCall {
    TestCall {
        listener,
        method: awc::http::Method::POST,
        path,
        key,
        body: b"{}".to_vec(),
    }
}

fn oversized_call(path: &'static str) -> TestCall {
    TestCall {
        body: vec![b' '; BODY_LIMIT + 1],
        ..call(Listener::Caller, path, None)
    }
}

cases! {
    malformed_body: call_is_refused(call(Listener::Caller, "/v1/search", None), 400, RefusalCode::BadRequest);
    large_body: call_is_refused(oversized_call("/v1/search"), 413, RefusalCode::BadRequest);
    unknown_path: call_is_refused(call(Listener::Caller, "/v2/search", None), 404, RefusalCode::BadRequest);
    wrong_method: call_is_refused(call(Listener::Caller, "/ready", None), 404, RefusalCode::BadRequest);
    missing_key: call_is_refused(call(Listener::Operator, "/v1/drain", None), 403, RefusalCode::KeyInvalid);
    wrong_key: call_is_refused(call(Listener::Operator, "/v1/drain", Some("test-key-test-kez")), 403, RefusalCode::KeyInvalid);
    short_key: call_is_refused(call(Listener::Operator, "/v1/drain", Some("test")), 403, RefusalCode::KeyInvalid);
}

/// Sends an incomplete call and nothing more; the daemon ends the call by itself.
fn incomplete_call_is_ended(part: &str, answer: &str) {
    let site = TestSite::start(1, 1);
    let daemon = start_daemon(&site);
    let mut stream =
        TcpStream::connect(daemon.addresses().caller).expect("the daemon accepts a connection");
    stream
        .set_read_timeout(Some(WAIT_LIMIT))
        .expect("a timeout can be set");
    stream.write_all(part.as_bytes()).expect("the part is sent");
    let mut received = Vec::new();
    let _closed_or_reset = stream.read_to_end(&mut received);
    let received = String::from_utf8_lossy(&received);
    assert!(
        received.starts_with(answer),
        "the answer starts with {answer}: {received}"
    );
    assert!(status(&daemon).ready, "the daemon is still ready");
    daemon.stop();
}

cases! {
    truncated_head: incomplete_call_is_ended("POST /v1/search HTTP/1.1\r\nHo", "HTTP/1.1 408");
    truncated_body: incomplete_call_is_ended(
        "POST /v1/search HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 9\r\n\r\n{",
        "HTTP/1.1 408",
    );
    not_http: incomplete_call_is_ended("\u{1}\u{2}\u{3}\r\n\r\n", "HTTP/1.1 400");
}

#[test]
fn calls_beyond_the_rate_are_refused() {
    let site = TestSite::start(1, 1);
    let mut settings = site.settings("entry-1");
    settings.limits.requests_per_second = 1;
    let daemon = Daemon::start(settings).expect("the daemon starts");
    wait_ready(daemon.addresses().caller);
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let (status, body) = send(
            daemon.addresses().caller,
            call(Listener::Caller, "/v1/search", None),
        );
        if status == 429 {
            let refusal: Refusal = serde_json::from_slice(&body).expect("the refusal is parsed");
            assert_eq!(
                refusal.code,
                RefusalCode::RateLimited,
                "the code is the reason"
            );
            break;
        }
        assert!(Instant::now() < end, "the limit is reached in time");
    }
    wait_ready(daemon.addresses().caller);
    daemon.stop();
}

#[test]
fn drain_stops_the_daemon() {
    let site = TestSite::start(1, 1);
    let daemon = start_daemon(&site);
    let drain = call(Listener::Operator, "/v1/drain", Some(KEY));
    let (status_code, _body) = send(daemon.addresses().operator, drain);
    assert_eq!(status_code, 202, "the drain is accepted");
    let report = daemon.join();
    assert!(
        report.overdue.is_empty(),
        "every service stops in time: {report:?}"
    );
}

#[test]
fn metrics_reach_the_statsd_address() {
    let site = TestSite::start(1, 1);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket can be opened");
    socket
        .set_read_timeout(Some(WAIT_LIMIT))
        .expect("a timeout can be set");
    let mut settings = site.settings("entry-1");
    settings.statsd = socket.local_addr().ok();
    let daemon = Daemon::start(settings).expect("the daemon starts");
    let mut packet = [0; 1500];
    let mut received = String::new();
    while !received.contains("yuccalift.config.version:") {
        let length = socket.recv(&mut packet).expect("a packet arrives in time");
        received.push_str(&String::from_utf8_lossy(&packet[..length]));
    }
    daemon.stop();
}

/// With the platform down and no peer, the daemon refuses because it has no configuration yet.
fn unconfigured_daemon_refuses(path: &'static str) {
    let mut site = TestSite::start(1, 1);
    site.platform.stop();
    let daemon = Daemon::start(site.settings("entry-1")).expect("the daemon starts");
    let request = call(Listener::Caller, path, None);
    let (status_code, body) = send(daemon.addresses().caller, request);
    assert_eq!(status_code, 503, "the caller may try another daemon");
    let refusal: Refusal = serde_json::from_slice(&body).expect("the refusal is parsed");
    assert_eq!(
        refusal.code,
        RefusalCode::NotReady,
        "the code is the reason"
    );
    assert_eq!(refusal.outcome, Outcome::NotRun, "nothing ran");
    assert!(
        !status(&daemon).ready,
        "the daemon reports that it is not ready"
    );
    daemon.stop();
}

cases! {
    search_without_configuration: unconfigured_daemon_refuses("/v1/search");
    ticket_without_configuration: unconfigured_daemon_refuses("/v1/tickets");
    execute_without_configuration: unconfigured_daemon_refuses("/v1/execute");
}
