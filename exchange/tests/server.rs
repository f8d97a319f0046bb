//! A server that is told to end: each request that it has received is answered, connections without
//! one are closed, and no further ones are accepted.

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use futures_util::StreamExt;
use socket2::{Domain, SockRef, Socket, Type};
use yuccalift_exchange::{
    LIBRARY_HEAD_BYTES, LinkOptions, ServeOptions, StopTokens, listen, serve,
};
use yuccalift_testkit::cases;

const SERVE_OPTIONS: ServeOptions = ServeOptions {
    idle_timeout: Duration::from_secs(60),
    head_timeout: Duration::from_secs(10),
    max_connections: usize::MAX,
    max_head_bytes: LIBRARY_HEAD_BYTES,
    link: LinkOptions {
        connect_timeout: Duration::from_secs(1),
        keepalive_interval: Duration::from_secs(5),
        keepalive_probes: 3,
    },
};
/// Time after which a server that has not ended waits for something.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Time in which a server ends once it has nothing left to wait for.
const LIMIT: Duration = Duration::from_secs(20);
/// Size of an answer that the buffers of a connection do not hold.
const LARGE_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Size of an answer that the server library copies to its buffer at once.
const COPIED_ANSWER_BYTES: usize = 28 * 1024;
/// Size of socket buffers that do not hold such an answer.
const SMALL_BUFFER_BYTES: usize = 4 * 1024;

struct ServerUnderTest {
    address: SocketAddr,
    stop: StopTokens,
    thread: JoinHandle<()>,
}

impl ServerUnderTest {
    /// Starts a server that answers a request with a body of `answer_bytes` once it has read the
    /// request's body.
    fn start(answer_bytes: usize) -> Self {
        let stop = StopTokens::default();
        let server_stop = stop.clone();
        let (sender, bound) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
                if answer_bytes == COPIED_ANSWER_BYTES {
                    // The connections that are accepted inherit it.
                    SockRef::from(&listener)
                        .set_send_buffer_size(SMALL_BUFFER_BYTES)
                        .expect("the size is valid");
                }
                sender.send(listener.local_addr()).expect("the test waits");
                let handler = move |request| answer(request, answer_bytes);
                serve(listener, || SERVE_OPTIONS, server_stop, handler).await;
            });
        });
        let address = bound.recv().expect("the server binds its listener");
        Self {
            address: address.expect("a bound listener has an address"),
            stop,
            thread,
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the server accepts");
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("the timeout is valid");
        stream
    }

    fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }

    fn wait_for_end(&self) {
        let until = Instant::now() + LIMIT;
        while !self.has_ended() {
            assert!(Instant::now() < until, "the server ends");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

async fn answer(
    mut request: Request,
    answer_bytes: usize,
) -> Result<Response<BoxBody>, Infallible> {
    let mut payload = request.take_payload();
    while let Some(Ok(_chunk)) = payload.next().await {}
    let body = vec![b'y'; answer_bytes];
    Ok(Response::build(StatusCode::OK)
        .body(body)
        .map_into_boxed_body())
}

/// Reads until the server closes the connection.
fn read_to_end(mut stream: &TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .expect("the connection closes in order");
    bytes
}

/// A request whose body is still arriving when the server drains has been accepted.
fn body_in_transit_is_awaited() {
    let server = ServerUnderTest::start(4);
    let mut stream = server.connect();
    let head = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n1234";
    stream.write_all(head).expect("the server reads");
    std::thread::sleep(SETTLE_TIME);
    server.stop.drain.cancel();
    std::thread::sleep(SETTLE_TIME);
    assert!(!server.has_ended(), "the request has no answer");
    stream.write_all(b"5678").expect("the server reads");
    let answer = read_to_end(&stream);
    assert!(answer.starts_with(b"HTTP/1.1 200"), "{answer:?}");
    assert!(answer.ends_with(b"yyyy"), "{answer:?}");
    server.wait_for_end();
}

/// A caller that reads slowly gets the whole answer.
fn answer_in_transit_is_completed() {
    let server = ServerUnderTest::start(LARGE_ANSWER_BYTES);
    let mut stream = server.connect();
    let head = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream.write_all(head).expect("the server reads");
    std::thread::sleep(SETTLE_TIME);
    server.stop.drain.cancel();
    std::thread::sleep(SETTLE_TIME);
    assert!(!server.has_ended(), "the answer is not complete");
    let answer = read_to_end(&stream);
    assert!(answer.len() > LARGE_ANSWER_BYTES, "{} bytes", answer.len());
    server.wait_for_end();
}

/// An answer is complete when it has been written: the library drops the body of a small one once it
/// has been copied to the buffer of the connection. A drain then must not cut a connection whose
/// buffers take only a part of it.
fn copied_answer_in_transit_is_completed() {
    let server = ServerUnderTest::start(COPIED_ANSWER_BYTES);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is opened");
    socket
        .set_recv_buffer_size(SMALL_BUFFER_BYTES)
        .expect("the size is valid");
    socket
        .connect(&server.address.into())
        .expect("the server accepts");
    let mut stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is valid");
    let head = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
    stream.write_all(head).expect("the server reads");
    std::thread::sleep(SETTLE_TIME);
    server.stop.drain.cancel();
    std::thread::sleep(SETTLE_TIME);
    assert!(!server.has_ended(), "the answer is not complete");
    let answer = read_to_end(&stream);
    assert!(answer.len() > COPIED_ANSWER_BYTES, "{} bytes", answer.len());
    server.wait_for_end();
}

/// A connection that has had its answers is closed, so that it delays the end of nobody.
fn idle_connections_are_closed() {
    let server = ServerUnderTest::start(4);
    let unused = server.connect();
    let mut used = server.connect();
    used.write_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the server reads");
    std::thread::sleep(SETTLE_TIME);
    server.stop.drain.cancel();
    server.wait_for_end();
    assert!(read_to_end(&used).ends_with(b"yyyy"));
    assert!(read_to_end(&unused).is_empty());
    TcpStream::connect(server.address).expect_err("the server accepts no connection");
}

/// An abort waits for nothing.
fn abort_ends_at_once() {
    let server = ServerUnderTest::start(4);
    let mut stream = server.connect();
    let head = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n1234";
    stream.write_all(head).expect("the server reads");
    std::thread::sleep(SETTLE_TIME);
    server.stop.drain.cancel();
    server.stop.abort.cancel();
    server.wait_for_end();
}

cases! {
    a_body_in_transit_is_awaited: body_in_transit_is_awaited();
    an_answer_in_transit_is_completed: answer_in_transit_is_completed();
    a_copied_answer_in_transit_is_completed: copied_answer_in_transit_is_completed();
    idle_connections_are_closed_at_once: idle_connections_are_closed();
    an_abort_ends_at_once: abort_ends_at_once();
}
