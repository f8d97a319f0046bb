//! Time limits of transfers, with a peer that sends its answer in pieces.

use std::time::Duration;

use actix_http::{RequestHead, ServiceConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yuccalift_exchange::{
    AnswerOwner, ExchangeLink, LinkOptions, OutgoingRequest, TransferLimit, TransferProgress,
};
use yuccalift_testkit::cases;

const OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_secs(1),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};
const LIMIT: TransferLimit = TransferLimit {
    stall: Duration::from_millis(500),
    total: Duration::from_secs(3),
};
const PIECE: [u8; 100] = [b'a'; 100];

/// Answers one request with `pieces` pieces of a body, one each `gap`.
async fn answer_in_pieces(listener: TcpListener, pieces: usize, gap: Duration) {
    let (mut stream, _) = listener.accept().await.expect("a connection arrives");
    let mut head = [0; 1024];
    let _read = stream.read(&mut head).await.expect("a request arrives");
    let length = pieces * PIECE.len();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("it is open");
    for _ in 0..pieces {
        tokio::time::sleep(gap).await;
        if stream.write_all(&PIECE).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Returns the length of the body that was received within [`LIMIT`].
fn received(pieces: usize, gap: Duration) -> Option<usize> {
    actix_rt::System::new().block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        actix_rt::spawn(answer_in_pieces(listener, pieces, gap));
        let progress = TransferProgress::default();
        let call = async {
            let link = ExchangeLink::open(address, &OPTIONS, &ServiceConfig::default()).await;
            let mut link = link.expect("the peer listens").counting(progress.clone());
            let request = OutgoingRequest::new(RequestHead::default(), None);
            link.exchange(request, |_head| AnswerOwner::ThisRequest)
                .await
        };
        let answer = progress.run(LIMIT, call).await?;
        Some(answer.expect("the answer is complete").body.len())
    })
}

fn check(pieces: usize, gap_ms: u64, is_received: bool) {
    let expected = is_received.then_some(pieces * PIECE.len());
    assert_eq!(received(pieces, Duration::from_millis(gap_ms)), expected);
}

cases! {
    long_answer_that_makes_progress_is_received: check(10, 100, true);
    answer_that_stalls_is_given_up: check(2, 1_500, false);
    answer_without_end_is_given_up: check(1_000, 100, false);
}
