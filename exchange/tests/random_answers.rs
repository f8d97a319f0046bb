//! Answers drawn at random: whatever bytes a peer sends, an exchange ends without a panic, and what
//! it accepts was sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::{RequestHead, ServiceConfig};
use proptest::prelude::*;
use yuccalift_exchange::{
    AnswerOwner, ExchangeAnswer, ExchangeError, ExchangeLink, LinkOptions, OutgoingRequest,
};

const LINKS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_secs(5),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};
/// Time in which an exchange with a peer that has closed the connection must have ended.
const LIMIT: Duration = Duration::from_secs(20);

/// Starts a peer that answers one request with the given bytes and closes.
fn start_peer(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the exchange connects");
        let mut head = [0; 4096];
        let _length = stream.read(&mut head).expect("a request arrives");
        // The exchange may end before all bytes are written.
        let _refused = stream.write_all(&bytes);
    });
    address
}

fn run_exchange(bytes: Vec<u8>) -> Result<ExchangeAnswer, ExchangeError> {
    let address = start_peer(bytes);
    actix_rt::System::new().block_on(async move {
        let config = ServiceConfig::default();
        let mut link = ExchangeLink::open(address, &LINKS, &config)
            .await
            .expect("the peer accepts");
        let request = OutgoingRequest::new(RequestHead::default(), None);
        let exchange = link.exchange(request, |head| match head.headers.len() % 3 {
            0 => AnswerOwner::EarlierRequest,
            1 => AnswerOwner::ThisRequest,
            _ => AnswerOwner::Unknown,
        });
        let result = tokio::time::timeout(LIMIT, exchange).await;
        result.expect("the exchange ends by itself")
    })
}

/// Returns a part of an answer: usual ones, broken ones, and bytes of any kind.
fn part() -> impl Strategy<Value = Vec<u8>> {
    let usual = prop::sample::select(vec![
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/9.9 999 \r\n",
        "Content-Length: 4\r\n",
        "Content-Length: 18446744073709551615\r\n",
        "Content-Length: -1\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n",
        "Connection: upgrade\r\nUpgrade: x\r\n",
        "Keep-Alive: timeout=5\r\n",
        "\r\n",
        "body",
        "4\r\nbody\r\n",
        "ffffffffffffffff\r\n",
        "0\r\n\r\n",
    ]);
    prop_oneof![
        6 => usual.prop_map(|text| text.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..40),
        1 => "[a-zA-Z-]{1,12}: [ -~]{0,20}\r\n".prop_map(String::into_bytes),
    ]
}

proptest! {
    #[test]
    fn any_answer_ends_the_exchange(parts in prop::collection::vec(part(), 0..12)) {
        let bytes = parts.concat();
        let sent = bytes.len();
        if let Ok(answer) = run_exchange(bytes) {
            prop_assert!(answer.body.len() <= sent, "{} of {} bytes", answer.body.len(), sent);
        }
    }
}
