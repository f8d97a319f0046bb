//! Answers that end too early, at each byte: none of them passes as complete.

use std::time::Duration;

use actix_http::{RequestHead, ServiceConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yuccalift_exchange::{AnswerOwner, ExchangeLink, LinkOptions, OutgoingRequest};
use yuccalift_testkit::cases;

const OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_secs(5),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: r\r\n\
                           Content-Length: 8\r\n\r\n01234567";
const IN_CHUNKS: &str = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n\
                         4\r\n0123\r\n4\r\n4567\r\n0\r\n\r\n";
/// The body of this answer extends to the end of the connection, so only its head can be cut.
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nConnection: close\r\n\r\n";

/// How a peer ends its connection.
#[derive(Clone, Copy, Debug)]
enum EndMode {
    Close,
    Reset,
}

async fn send_and_end(mut stream: TcpStream, bytes: &[u8], mode: EndMode) {
    let mut head = [0; 1024];
    let _read = stream.read(&mut head).await.expect("a request arrives");
    stream.write_all(bytes).await.expect("the peer reads");
    if matches!(mode, EndMode::Reset) {
        stream.set_zero_linger().expect("the option is set");
    }
}

/// Returns whether the first `length` bytes of an answer pass as a complete one.
async fn is_accepted(answer: &str, length: usize, mode: EndMode) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let config = ServiceConfig::default();
    let mut link = ExchangeLink::open(address, &OPTIONS, &config)
        .await
        .expect("the peer listens");
    let (stream, _) = listener.accept().await.expect("a connection arrives");
    let request = OutgoingRequest::new(RequestHead::default(), None);
    let bytes = &answer.as_bytes()[..length];
    let exchange = link.exchange(request, |_head| AnswerOwner::ThisRequest);
    let (result, ()) = tokio::join!(exchange, send_and_end(stream, bytes, mode));
    result.is_ok()
}

fn check(answer: &'static str, mode: EndMode) {
    actix_rt::System::new().block_on(async move {
        for length in 0..answer.len() {
            let accepted = is_accepted(answer, length, mode).await;
            assert!(!accepted, "{length} bytes of {answer:?} pass as complete");
        }
        let is_whole = matches!(mode, EndMode::Close);
        let accepted = is_accepted(answer, answer.len(), mode).await;
        assert!(accepted || !is_whole, "the whole answer is complete");
    });
}

cases! {
    answer_with_a_length_that_is_closed_early: check(WITH_LENGTH, EndMode::Close);
    answer_with_a_length_that_is_reset_early: check(WITH_LENGTH, EndMode::Reset);
    answer_in_chunks_that_is_closed_early: check(IN_CHUNKS, EndMode::Close);
    answer_in_chunks_that_is_reset_early: check(IN_CHUNKS, EndMode::Reset);
    head_without_a_length_that_is_closed_early: check(WITHOUT_LENGTH, EndMode::Close);
    head_without_a_length_that_is_reset_early: check(WITHOUT_LENGTH, EndMode::Reset);
}
