//! Complete answers stay on the memory account as long as their bytes are in use. Each test runs on
//! its own thread, with an account of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::{RequestHead, ServiceConfig};
use bytes::Bytes;
use yuccalift_exchange::{AnswerOwner, ExchangeLink, LinkOptions, OutgoingRequest, account_counts};
use yuccalift_testkit::cases;

const LINKS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_secs(20),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};

/// How a peer tells the end of its answer's body.
#[derive(Clone, Copy, Debug)]
enum BodyEnd {
    Length,
    Connection,
}

/// Starts a peer that answers one request on each connection.
fn start_peer(size: usize, end: BodyEnd) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr();
    std::thread::spawn(move || {
        let length = match end {
            BodyEnd::Length => format!("Content-Length: {size}\r\n"),
            BodyEnd::Connection => String::new(),
        };
        let mut bytes = format!("HTTP/1.1 200 OK\r\n{length}\r\n").into_bytes();
        bytes.resize(bytes.len() + size, b'b');
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _head = stream
                .read(&mut [0; 4096])
                .and_then(|_length| stream.write_all(&bytes));
        }
    });
    address.expect("a bound listener has an address")
}

async fn receive(peer: SocketAddr) -> Bytes {
    let link = ExchangeLink::open(peer, &LINKS, &ServiceConfig::default()).await;
    let request = OutgoingRequest::new(RequestHead::default(), None);
    let mut link = link.expect("the peer accepts");
    let answer = link.exchange(request, |_head| AnswerOwner::ThisRequest);
    answer.await.expect("the answer is complete").body
}

/// Guards against parts of a merged answer that wait for the slowest one without being counted, and
/// against a lease that is not returned.
fn waiting_answers_are_counted(size: usize, end: BodyEnd) {
    const ANSWERS: usize = 5;
    let peer = start_peer(size, end);
    actix_rt::System::new().block_on(async move {
        let mut bodies = Vec::new();
        for received in 1..=ANSWERS {
            bodies.push(receive(peer).await);
            let held = account_counts().held_bytes;
            assert!(held >= received * size, "{held} bytes for {received}");
        }
        let all = account_counts().held_bytes;
        let kept = bodies[0].slice(..1);
        bodies.clear();
        let one = account_counts().held_bytes;
        assert!(one >= size && one < all, "{one} of {all} bytes");
        drop(kept);
        assert_eq!(account_counts().held_bytes, 0);
    });
}

cases! {
    small_answers_with_a_length: waiting_answers_are_counted(3_000, BodyEnd::Length);
    small_answers_up_to_the_end: waiting_answers_are_counted(3_000, BodyEnd::Connection);
    large_answers_with_a_length: waiting_answers_are_counted(1_000_000, BodyEnd::Length);
    large_answers_up_to_the_end: waiting_answers_are_counted(1_000_000, BodyEnd::Connection);
}
