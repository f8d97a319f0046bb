//! An exchange accepts complete answers of a scripted peer and refuses all others.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ServiceConfig};
use yuccalift_exchange::{
    AnswerOwner, ExchangeAnswer, ExchangeError, ExchangeLink, LinkOptions, OutgoingRequest,
};
use yuccalift_testkit::cases;

const LINKS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_secs(5),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};
/// Time in which a peer on the same machine closes its connection or sends further bytes.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Starts a peer that answers the first request with the given bytes, then closes or stays
/// connected.
fn start_peer(answer: &'static [u8], closes: bool) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the exchange connects");
        let mut head = [0; 4096];
        let _length = stream.read(&mut head).expect("a request arrives");
        stream.write_all(answer).expect("the answer is written");
        if !closes {
            let _rest = stream.read(&mut head);
        }
    });
    address
}

fn run_exchange(
    answer: &'static [u8],
    closes: bool,
) -> (Result<ExchangeAnswer, ExchangeError>, bool) {
    let address = start_peer(answer, closes);
    actix_rt::System::new().block_on(async move {
        let config = ServiceConfig::default();
        let mut link = ExchangeLink::open(address, &LINKS, &config)
            .await
            .expect("the peer accepts");
        let mut head = RequestHead::default();
        head.method = Method::GET;
        head.uri = "/path?query".parse().expect("a valid path");
        let request = OutgoingRequest::new(head, None);
        let own = |head: &actix_http::ResponseHead| match head.headers.get("id") {
            Some(id) if id.as_bytes() == b"other" => AnswerOwner::EarlierRequest,
            Some(id) if id.as_bytes() == b"?" => AnswerOwner::Unknown,
            _ => AnswerOwner::ThisRequest,
        };
        let answer = link.exchange(request, own).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let is_idle = link.is_idle();
        (answer, is_idle)
    })
}

fn assert_complete(answer: &'static [u8], closes: bool, body: &[u8], reusable: bool) {
    let (result, is_idle) = run_exchange(answer, closes);
    let result = result.expect("the answer is complete");
    assert_eq!(result.body.as_ref(), body);
    assert_eq!(
        result.reusable && is_idle,
        reusable,
        "the connection is reusable"
    );
}

fn assert_rejected(answer: &'static [u8], closes: bool) {
    let (result, _) = run_exchange(answer, closes);
    assert!(
        result.is_err(),
        "the answer is incomplete or invalid: {result:?}"
    );
}

/// A head may be shared by requests to several peers; the headers that are added for one of them
/// replace those of the head.
#[test]
fn added_headers_replace_those_of_the_head() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let peer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the exchange connects");
        let mut head = [0; 4096];
        let length = stream.read(&mut head).expect("a request arrives");
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(answer).expect("the answer is written");
        String::from_utf8_lossy(&head[..length]).to_lowercase()
    });
    actix_rt::System::new().block_on(async move {
        let config = ServiceConfig::default();
        let mut link = ExchangeLink::open(address, &LINKS, &config)
            .await
            .expect("the peer accepts");
        let header = |name| HeaderName::from_static(name);
        let mut head = RequestHead::default();
        head.uri = "/path".parse().expect("a valid path");
        head.headers
            .insert(header("x-time"), HeaderValue::from_static("old"));
        head.headers
            .insert(header("x-kept"), HeaderValue::from_static("kept"));
        let mut request = OutgoingRequest::new(head, None);
        request
            .headers
            .insert(header("x-time"), HeaderValue::from_static("new"));
        let answer = link
            .exchange(request, |_head| AnswerOwner::ThisRequest)
            .await;
        answer.expect("the answer is complete");
    });
    let sent = peer.join().expect("the peer ends");
    assert!(sent.contains("x-time: new"), "{sent}");
    assert!(!sent.contains("x-time: old"), "{sent}");
    assert!(sent.contains("x-kept: kept"), "{sent}");
}

cases! {
    a_body_of_its_length_is_complete:
        assert_complete(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false, b"body", true);
    an_empty_body_is_complete:
        assert_complete(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, b"", true);
    a_chunked_body_is_complete:
        assert_complete(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            false, b"body", true);
    a_body_without_a_length_ends_with_its_connection:
        assert_complete(b"HTTP/1.1 200 OK\r\n\r\nbody", true, b"body", false);
    a_connection_that_the_peer_closes_is_not_reusable:
        assert_complete(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
            false, b"body", false);
    bytes_after_an_answer_make_the_connection_unusable:
        assert_complete(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n", false,
            b"body", false);
    an_answer_to_another_request_is_skipped:
        assert_complete(b"HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 3\r\n\r\nold\
            HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 4\r\n\r\nbody", false, b"body", true);
    an_interim_answer_is_skipped:
        assert_complete(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            false, b"body", true);
    a_truncated_body_is_refused:
        assert_rejected(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", true);
    a_truncated_chunk_is_refused:
        assert_rejected(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody", true);
    a_missing_last_chunk_is_refused:
        assert_rejected(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true);
    a_truncated_head_is_refused: assert_rejected(b"HTTP/1.1 200 OK\r\nContent-", true);
    a_close_without_an_answer_is_refused: assert_rejected(b"", true);
    bytes_outside_the_protocol_are_refused: assert_rejected(b"\x00\x01 garbage\r\n\r\n", false);
    an_answer_of_unknown_owner_is_refused:
        assert_rejected(b"HTTP/1.1 200 OK\r\nid: ?\r\nContent-Length: 3\r\n\r\nold", false);
    only_foreign_answers_are_refused:
        assert_rejected(b"HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 3\r\n\r\nold", true);
}
