//! A caller's port that is used again while the server has not noticed that the earlier connection
//! from it has ended.

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use yuccalift_exchange::{
    LIBRARY_HEAD_BYTES, LinkOptions, ServeOptions, StopTokens, listen, serve,
};

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
/// Time that the server works on a slow request.
const WORK: Duration = Duration::from_secs(1);
/// Time in which the server ends once it has nothing left to wait for; below its idle timeout.
const LIMIT: Duration = Duration::from_secs(20);
/// Number of requests that are sent ahead, so many that the server stops reading the connection.
const REQUESTS_AHEAD: usize = 8_000;

async fn answer(request: Request) -> Result<Response<BoxBody>, Infallible> {
    if request.path() == "/slow" {
        actix_rt::time::sleep(WORK).await;
    }
    Ok(Response::new(StatusCode::OK))
}

/// Connects from the address `own`, whose port may be 0.
fn connect_from(own: SocketAddr, server: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP));
    let socket = socket.expect("a socket is free");
    socket.set_reuse_address(true).expect("the option is valid");
    socket
        .bind(&SockAddr::from(own))
        .expect("the port may be used again");
    socket
        .connect(&SockAddr::from(server))
        .expect("the server accepts");
    let stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout is valid");
    stream
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes()
}

/// Guards against a server that can't end because it has forgotten an open connection when an
/// earlier one from the same port ended.
#[test]
fn an_idle_connection_from_a_reused_port_is_closed() {
    let stop = StopTokens::default();
    let server_stop = stop.clone();
    let (sender, bound) = std::sync::mpsc::channel();
    let server = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
            sender.send(listener.local_addr()).expect("the test waits");
            serve(listener, || SERVE_OPTIONS, server_stop, answer).await;
        });
    });
    let address = bound.recv().expect("the server binds its listener");
    let address = address.expect("a bound listener has an address");

    let mut earlier = connect_from((Ipv4Addr::LOCALHOST, 0).into(), address);
    let own = earlier.local_addr().expect("the stream is connected");
    let requests = [get("/slow"), get("/next").repeat(REQUESTS_AHEAD)].concat();
    earlier.write_all(&requests).expect("the server reads");
    std::thread::sleep(WORK / 10);
    // Resets the connection, so that its port is free at once.
    let socket = Socket::from(earlier);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("the option is valid");
    drop(socket);

    let mut later = connect_from(own, address);
    later.write_all(&get("/next")).expect("the server reads");
    let mut answer = [0; 15];
    later.read_exact(&mut answer).expect("the server answers");
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    std::thread::sleep(WORK * 2);
    stop.drain.cancel();
    let until = Instant::now() + LIMIT;
    while !server.is_finished() {
        assert!(Instant::now() < until, "the server ends");
        std::thread::sleep(Duration::from_millis(5));
    }
}
