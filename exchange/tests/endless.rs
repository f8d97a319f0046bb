//! Peers that send bytes without end: each exchange ends by itself, memory stays bounded with many
//! of them at once, and usual answers still arrive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use actix_http::{RequestHead, ServiceConfig};
use futures_util::future::join_all;
use yuccalift_exchange::{
    AnswerOwner, ExchangeAnswer, ExchangeError, ExchangeLink, LinkOptions, OutgoingRequest,
};
use yuccalift_testkit::cases;

const LINKS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_secs(5),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};
/// Time in which an exchange with a peer on the same machine must have ended.
const LIMIT: Duration = Duration::from_secs(20);
/// Number of connections that send bytes without end at once.
const CONNECTIONS: usize = 100;
/// Memory that these connections may take together: half of the memory of a small host.
const MAX_GROWTH_KB: usize = 80 * 1024;
/// Time in which a usual answer must arrive meanwhile.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// What a peer sends after a request, the second part again and again.
#[derive(Clone, Copy, Debug)]
struct PeerScript {
    first: &'static [u8],
    repeated: &'static [u8],
}

const USUAL: PeerScript = PeerScript {
    first: b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    repeated: b"",
};
const ENDLESS_LINE: PeerScript = PeerScript {
    first: b"HTTP/1.1 200 OK\r\nx: ",
    repeated: &[b'x'; 4096],
};
const ENDLESS_HEADERS: PeerScript = PeerScript {
    first: b"HTTP/1.1 200 OK\r\n",
    repeated: b"x-filler: 0123456789abcdef0123456789abcdef\r\n",
};
const ENDLESS_INTERIM: PeerScript = PeerScript {
    first: b"",
    repeated: b"HTTP/1.1 100 Continue\r\n\r\n",
};
const ENDLESS_CHUNKS: PeerScript = PeerScript {
    first: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    repeated: b"20\r\n0123456789abcdef0123456789abcdef\r\n",
};
const ENDLESS_CHUNK_SIZE: PeerScript = PeerScript {
    first: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    repeated: b"0000000000000000",
};
const ENDLESS_BODY: PeerScript = PeerScript {
    first: b"HTTP/1.1 200 OK\r\n\r\n",
    repeated: &[b'y'; 4096],
};
const HUGE_LENGTH: PeerScript = PeerScript {
    first: b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    repeated: &[b'z'; 4096],
};
const ENDLESS_GARBAGE: PeerScript = PeerScript {
    first: b"",
    repeated: &[0x16; 4096],
};

fn start_peer(script: PeerScript) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || play(stream, script));
        }
    });
    address
}

/// Sends the script's bytes until the other side closes the connection.
fn play(mut stream: TcpStream, script: PeerScript) {
    let mut head = [0; 4096];
    let mut sent = stream
        .read(&mut head)
        .and_then(|_length| stream.write_all(script.first));
    while sent.is_ok() && !script.repeated.is_empty() {
        sent = stream.write_all(script.repeated);
    }
    let _closed = stream.read(&mut head);
}

async fn exchange(
    address: SocketAddr,
    config: &ServiceConfig,
) -> Result<ExchangeAnswer, ExchangeError> {
    let mut link = ExchangeLink::open(address, &LINKS, config)
        .await
        .expect("the peer accepts");
    let head = RequestHead::default();
    let request = OutgoingRequest::new(head, None);
    link.exchange(request, |_head| AnswerOwner::ThisRequest)
        .await
}

fn check_one(script: PeerScript) {
    let address = start_peer(script);
    actix_rt::System::new().block_on(async move {
        let config = ServiceConfig::default();
        let result = tokio::time::timeout(LIMIT, exchange(address, &config)).await;
        let result = result.expect("the exchange ends by itself");
        assert!(result.is_err(), "no answer: {result:?}");
    });
}

/// Returns the memory that this process has in use.
fn resident_kb() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").expect("the status is readable");
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// All connections of a process send bytes without end. Another exchange gets its answer in time,
/// and the memory of all of them stays bounded.
fn check_many(script: PeerScript) {
    let (endless, usual) = (start_peer(script), start_peer(USUAL));
    actix_rt::System::new().block_on(async move {
        let config = ServiceConfig::default();
        let before = resident_kb();
        let many = join_all((0..CONNECTIONS).map(|_| exchange(endless, &config)));
        let others = async {
            let (mut slowest, mut most) = (Duration::ZERO, 0);
            for _ in 0..20 {
                let start = Instant::now();
                exchange(usual, &config).await.expect("the usual answer");
                slowest = slowest.max(start.elapsed());
                most = most.max(resident_kb());
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            (slowest, most)
        };
        let both = async { tokio::join!(many, others) };
        let (results, (slowest, most)) = tokio::time::timeout(LIMIT, both)
            .await
            .expect("all exchanges end");
        assert!(results.iter().all(Result::is_err));
        assert!(slowest < MAX_DELAY, "the slowest answer took {slowest:?}");
        let growth = most.max(resident_kb()).saturating_sub(before);
        assert!(
            growth < MAX_GROWTH_KB,
            "{growth} KB for {CONNECTIONS} connections"
        );
    });
}

cases! {
    line_of_a_head: check_one(ENDLESS_LINE);
    headers_of_a_head: check_one(ENDLESS_HEADERS);
    interim_answers: check_one(ENDLESS_INTERIM);
    chunks_of_a_body: check_one(ENDLESS_CHUNKS);
    size_of_a_chunk: check_one(ENDLESS_CHUNK_SIZE);
    body_without_a_length: check_one(ENDLESS_BODY);
    body_of_a_huge_length: check_one(HUGE_LENGTH);
    bytes_outside_the_protocol: check_one(ENDLESS_GARBAGE);
}

/// One test, since each case measures the memory of the whole process.
#[test]
fn many_connections_at_once() {
    for script in [ENDLESS_LINE, ENDLESS_CHUNKS, ENDLESS_BODY, HUGE_LENGTH] {
        check_many(script);
    }
}
