//! The limits of a server's memory and connections: which connections are closed for others, and
//! which are not. Each server runs on its own thread, with an account of its own.

use std::convert::Infallible;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use bytes::BytesMut;
use futures_util::StreamExt;
use yuccalift_exchange::{
    BodyLease, LIBRARY_HEAD_BYTES, LinkOptions, ServeOptions, StopTokens, hold_with_body, listen,
    serve, set_memory_limit,
};
use yuccalift_testkit::cases;

/// Time limit of each step, ample also on a busy machine.
const LIMIT: Duration = Duration::from_secs(20);
/// Maximum number of connections of the servers.
const MAX_CONNECTIONS: usize = 4;
/// Memory limit of the servers, of which large bodies may fill a quarter.
const MEMORY_LIMIT: usize = 3 * 1024 * 1024;
/// Size of the parts in which a body is sent, in bytes.
const PART_BYTES: usize = 8 * 1024;
/// Number of requests that are sent at once, more than are read early.
const PIPELINED_REQUESTS: usize = 1_000;
/// Size of a body; two fit on the account, three don't.
const BODY_BYTES: usize = 300 * 1024;

/// Starts a server that answers a path of `/hang` never, and others after their bodies; those of
/// `/keep` are needed for ever.
fn start_server(max_connections: usize, head_timeout: Duration) -> SocketAddr {
    let options = ServeOptions {
        idle_timeout: Duration::from_secs(60),
        head_timeout,
        max_connections,
        max_head_bytes: LIBRARY_HEAD_BYTES,
        link: LinkOptions {
            connect_timeout: Duration::from_secs(1),
            keepalive_interval: Duration::from_secs(5),
            keepalive_probes: 3,
        },
    };
    let (sender, bound) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            set_memory_limit(MEMORY_LIMIT);
            let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
            sender.send(listener.local_addr()).expect("the test waits");
            serve(listener, move || options, StopTokens::default(), answer).await;
        });
    });
    let address = bound.recv().expect("the server binds its listener");
    address.expect("a bound listener has an address")
}

async fn answer(mut request: Request) -> Result<Response<BoxBody>, Infallible> {
    let lease = BodyLease::of(&request);
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        if !lease.extend(chunk.len(), body.len() + chunk.len()) {
            let refusal = Response::new(StatusCode::SERVICE_UNAVAILABLE);
            return Ok(hold_with_body(refusal, payload));
        }
        body.extend_from_slice(&chunk);
    }
    let body = lease.complete(body);
    if request.path() == "/keep" {
        actix_rt::spawn(async move {
            std::future::pending::<()>().await;
            drop(body);
        });
        return Ok(Response::new(StatusCode::OK));
    }
    if request.path() == "/hang" {
        std::future::pending::<()>().await;
    }
    if request.path() == "/wait" {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Ok(Response::new(StatusCode::OK))
}

fn connect(server: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(server).expect("the server listens");
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is valid");
    stream
}

/// Sends a head for a body of [`BODY_BYTES`], and all of it but `missing` bytes.
fn send_body(stream: &mut TcpStream, path: &str, missing: usize) {
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let body = vec![b'b'; BODY_BYTES - missing];
    let sent = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(&body));
    sent.expect("the server reads");
}

/// Returns the status line's beginning; empty if the connection was closed.
fn read_status(stream: &mut TcpStream) -> String {
    let mut status = [0; 12];
    match stream.read_exact(&mut status) {
        Ok(()) => String::from_utf8_lossy(&status).into_owned(),
        Err(_closed) => String::new(),
    }
}

/// Sends a body for which there is no room over a new connection, and returns the answer's status;
/// empty if the body was taken without an answer.
fn refused_body(server: SocketAddr) -> String {
    let mut newcomer = connect(server);
    let head = format!("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    newcomer
        .write_all(head.as_bytes())
        .expect("the server reads");
    // In parts, so that the refusal is read before a reset that more bytes would cause.
    let part_limit = Some(Duration::from_millis(20));
    newcomer
        .set_read_timeout(part_limit)
        .expect("the timeout is valid");
    let mut status = String::new();
    for _ in 0..BODY_BYTES / PART_BYTES {
        newcomer
            .write_all(&[b'b'; PART_BYTES])
            .expect("the server reads or has answered");
        status = read_status(&mut newcomer);
        if !status.is_empty() {
            break;
        }
    }
    status
}

/// Returns whether the server has closed the connection; waits until the time limit for it.
fn is_closed(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    match stream.read(&mut byte) {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Returns whether the connection is open; the server sends nothing.
fn is_open(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("the mode is valid");
    let read = stream.read(&mut [0]);
    stream.set_nonblocking(false).expect("the mode is valid");
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

fn get(stream: &mut TcpStream) -> String {
    stream
        .write_all(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the server reads");
    let status = read_status(stream);
    // The rest of the head.
    let mut rest = [0; 512];
    let _length = stream.read(&mut rest);
    status
}

/// Stalled bodies fill the account: the newcomer gets in, and one of them is closed.
fn newcomer_displaces_a_stalled_body() {
    let server = start_server(usize::MAX, LIMIT);
    let mut stalled: Vec<TcpStream> = (0..2).map(|_| connect(server)).collect();
    for stream in &mut stalled {
        send_body(stream, "/x", 1);
    }
    let mut newcomer = connect(server);
    send_body(&mut newcomer, "/x", 0);
    assert_eq!(read_status(&mut newcomer), "HTTP/1.1 200");
    let until = Instant::now() + LIMIT;
    while stalled.iter_mut().all(is_open) {
        assert!(Instant::now() < until, "a stalled body is closed");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Bodies that are needed after their connections have ended, as those of orders that must finish:
/// without their bytes on the account, a caller can send and disconnect without a limit. Bodies that
/// aren't needed any more leave it.
fn bodies_outlive_their_connections() {
    let server = start_server(usize::MAX, LIMIT);
    for _ in 0..10 {
        let mut passing = connect(server);
        send_body(&mut passing, "/x", 0);
        assert_eq!(read_status(&mut passing), "HTTP/1.1 200");
    }
    for _ in 0..2 {
        let mut kept = connect(server);
        send_body(&mut kept, "/keep", 0);
        assert_eq!(read_status(&mut kept), "HTTP/1.1 200");
    }
    assert_eq!(refused_body(server), "HTTP/1.1 503", "the account is full");
}

/// Requests that have been passed on fill the account: none is closed for a newcomer, which is told
/// that it has not run. Guards also against closing an idle connection in vain, since its bytes are
/// not enough for the newcomer's body.
fn newcomer_is_refused_if_none_can_be_ended() {
    let server = start_server(usize::MAX, LIMIT);
    let mut idle = connect(server);
    assert_eq!(get(&mut idle), "HTTP/1.1 200");
    let mut busy: Vec<TcpStream> = (0..2).map(|_| connect(server)).collect();
    for stream in &mut busy {
        send_body(stream, "/hang", 0);
    }
    std::thread::sleep(Duration::from_millis(300));
    let status = refused_body(server);
    assert_eq!(status, "HTTP/1.1 503", "the newcomer has not run");
    assert!(is_open(&mut idle), "the idle connection stays open");
    // A part of the account is reserved for small requests.
    let mut small = connect(server);
    assert_eq!(get(&mut small), "HTTP/1.1 200");
    small
        .write_all(b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
        .expect("the server reads");
    assert_eq!(read_status(&mut small), "HTTP/1.1 200");
    assert!(busy.iter_mut().all(is_open), "accepted requests go on");
}

/// At the bound of connections, the one that has been idle longest is closed, and no request ends.
fn longest_idle_connection_is_closed() {
    let server = start_server(MAX_CONNECTIONS, LIMIT);
    let mut busy = connect(server);
    busy.write_all(b"GET /hang HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the server reads");
    let mut idle: Vec<TcpStream> = (1..MAX_CONNECTIONS).map(|_| connect(server)).collect();
    for stream in &mut idle {
        assert_eq!(get(stream), "HTTP/1.1 200");
    }
    // The first is not the longest idle any more.
    assert_eq!(get(&mut idle[0]), "HTTP/1.1 200");
    let mut newcomer = connect(server);
    assert_eq!(get(&mut newcomer), "HTTP/1.1 200");
    assert!(is_closed(&mut idle[1]), "the longest idle one is closed");
    assert!(is_open(&mut idle[0]), "the first is open");
    assert!(is_open(&mut idle[2]), "the third is open");
    assert!(is_open(&mut busy), "the request goes on");
}

/// If all connections wait for answers, a newcomer is closed instead of one of them.
fn requests_are_not_closed_for_newcomers() {
    let server = start_server(MAX_CONNECTIONS, LIMIT);
    let mut busy: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(|_| connect(server)).collect();
    for stream in &mut busy {
        stream
            .write_all(b"GET /hang HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("the server reads");
    }
    std::thread::sleep(Duration::from_millis(300));
    assert!(is_closed(&mut connect(server)), "the newcomer is closed");
    assert!(busy.iter_mut().all(is_open), "accepted requests go on");
}

/// The server library limits the time of a connection's first head only.
fn second_head_has_a_time_limit() {
    let server = start_server(usize::MAX, Duration::from_millis(500));
    let mut stream = connect(server);
    assert_eq!(get(&mut stream), "HTTP/1.1 200");
    stream
        .write_all(b"GET /x HTTP/1.1\r\nHost:")
        .expect("the server reads");
    assert!(is_closed(&mut stream), "the connection is closed");
}

/// Requests that follow another one before its answer wait, also if they are more than what is read
/// early.
fn pipelined_requests_are_served() {
    let server = start_server(usize::MAX, LIMIT);
    let mut stream = connect(server);
    let request = b"GET /wait HTTP/1.1\r\nHost: x\r\nx-filler: 0123456789abcdef\r\n\r\n";
    let bytes = request.repeat(PIPELINED_REQUESTS);
    stream.write_all(&bytes).expect("the server reads");
    let mut answers = Vec::new();
    let until = Instant::now() + LIMIT;
    while answers
        .windows(12)
        .filter(|part| part == b"HTTP/1.1 200")
        .count()
        < PIPELINED_REQUESTS
    {
        assert!(Instant::now() < until, "all are answered");
        let mut part = [0; 16 * 1024];
        let length = stream.read(&mut part).expect("the server answers");
        answers.extend_from_slice(&part[..length]);
    }
}

cases! {
    a_newcomer_displaces_a_stalled_body: newcomer_displaces_a_stalled_body();
    a_body_stays_on_the_account_without_its_connection: bodies_outlive_their_connections();
    a_newcomer_is_refused_if_none_can_be_ended: newcomer_is_refused_if_none_can_be_ended();
    the_longest_idle_connection_is_closed: longest_idle_connection_is_closed();
    requests_are_not_closed_for_a_newcomer: requests_are_not_closed_for_newcomers();
    a_second_head_has_a_time_limit: second_head_has_a_time_limit();
    pipelined_requests_are_all_served: pipelined_requests_are_served();
}
