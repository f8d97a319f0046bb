//! A caller that sends tiny chunks, each of which takes time to decode, leaves the other tasks of the
//! thread their turns. Otherwise requests of others wait until all that has arrived is decoded.

use std::cell::Cell;
use std::convert::Infallible;
use std::io::Write;
use std::net::{Ipv4Addr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use futures_util::StreamExt;
use yuccalift_exchange::{
    LIBRARY_HEAD_BYTES, LinkOptions, ServeOptions, StopTokens, listen, serve,
};

const HEAD: &[u8] = b"POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK: &[u8] = b"1\r\nt\r\n";
/// Maximum number of chunks that are decoded between two turns of another task.
const MAX_CHUNKS_PER_TURN: usize = 4 * 1024;
/// Number of chunks that must have been sent for the test to show a missing turn.
const MIN_CHUNKS: usize = 3 * MAX_CHUNKS_PER_TURN;
/// Time limit, ample also on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);

const SERVE_OPTIONS: ServeOptions = ServeOptions {
    idle_timeout: LIMIT,
    head_timeout: LIMIT,
    max_connections: usize::MAX,
    max_head_bytes: LIBRARY_HEAD_BYTES,
    link: LinkOptions {
        connect_timeout: Duration::from_secs(1),
        keepalive_interval: Duration::from_secs(5),
        keepalive_probes: 3,
    },
};

/// Sends as many chunks as the buffers of the operating system hold; returns their number.
fn fill_buffers(stream: &mut TcpStream) -> usize {
    stream.write_all(HEAD).expect("the buffer has room");
    stream
        .set_nonblocking(true)
        .expect("the stream is not closed");
    let chunks = CHUNK.repeat(1024);
    let mut sent = 0;
    while let Ok(bytes) = stream.write(&chunks[sent % CHUNK.len()..]) {
        sent += bytes;
    }
    sent / CHUNK.len()
}

/// The chunks are in the buffers of the operating system before the server starts, so that only the
/// order of its turns counts, not the speed of the machine.
#[test]
fn tiny_chunks_leave_others_their_turns() {
    let decoded = Rc::new(Cell::new(0));
    let seen = Rc::clone(&decoded);
    actix_rt::System::new().block_on(async move {
        let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let mut caller = TcpStream::connect(address).expect("the backlog has room");
        let sent = fill_buffers(&mut caller);
        assert!(sent >= MIN_CHUNKS, "only {sent} chunks fit in the buffers");
        let stop = StopTokens::default();
        let handler = move |mut request: Request| {
            let seen = Rc::clone(&seen);
            async move {
                let mut payload = request.take_payload();
                while let Some(Ok(_chunk)) = payload.next().await {
                    seen.set(seen.get() + 1);
                }
                Ok::<_, Infallible>(Response::<BoxBody>::new(StatusCode::OK))
            }
        };
        let server = actix_rt::spawn(serve(listener, || SERVE_OPTIONS, stop.clone(), handler));
        let other_task = async {
            let (mut before, mut most) = (0, 0);
            while before < sent {
                tokio::task::yield_now().await;
                most = most.max(decoded.get() - before);
                before = decoded.get();
            }
            most
        };
        let most = tokio::time::timeout(LIMIT, other_task).await;
        stop.abort.cancel();
        let _ended = server.await;
        drop(caller);
        let most = most.expect("all chunks are decoded");
        assert!(
            most <= MAX_CHUNKS_PER_TURN,
            "{most} of {sent} chunks were decoded in one turn"
        );
        println!("at most {most} of {sent} chunks in one turn");
    });
}
