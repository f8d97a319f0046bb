//! A server whose connections are busy accepts the next ones without a turn of all others for each.
//! Otherwise a caller waits behind all those that connected before it, also if their requests are
//! tiny chunks that take long to decode.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io::Write;
use std::net::{Ipv4Addr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use yuccalift_exchange::{
    LIBRARY_HEAD_BYTES, LinkOptions, ServeOptions, StopTokens, listen, serve,
};

/// Number of connections that wait to be accepted.
const CONNECTIONS: usize = 96;
/// Maximum number of turns that the first request may have had before the last one begins.
const MAX_TURNS: usize = CONNECTIONS / 4;
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

/// The requests that have begun.
#[derive(Debug, Default)]
struct BusyRequests {
    begun: Cell<usize>,
    /// Number of turns that the first request had when each one began.
    turns_at_begin: RefCell<Vec<usize>>,
    /// Number of turns that the first request has had.
    turns: Cell<usize>,
}

impl BusyRequests {
    /// Takes a turn of the thread again and again until all requests have begun.
    async fn run(&self) {
        let number = self.begun.replace(self.begun.get() + 1);
        self.turns_at_begin.borrow_mut().push(self.turns.get());
        while self.begun.get() < CONNECTIONS {
            tokio::task::yield_now().await;
            if number == 0 {
                self.turns.set(self.turns.get() + 1);
            }
        }
    }
}

/// All connections and their requests are in the buffers of the operating system before the server
/// starts, so that only the order of its turns counts, not the speed of the machine.
#[test]
fn busy_connections_do_not_delay_accepting() {
    let requests = Rc::new(BusyRequests::default());
    let seen = Rc::clone(&requests);
    actix_rt::System::new().block_on(async move {
        let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let callers: Vec<TcpStream> = (0..CONNECTIONS)
            .map(|_| {
                let mut stream = TcpStream::connect(address).expect("the backlog has room");
                stream
                    .write_all(b"GET / HTTP/1.1\r\nHost: test\r\n\r\n")
                    .expect("the buffer has room");
                stream
            })
            .collect();
        let stop = StopTokens::default();
        let handler = move |_request: Request| {
            let requests = Rc::clone(&seen);
            async move {
                requests.run().await;
                Ok::<_, Infallible>(Response::<BoxBody>::new(StatusCode::OK))
            }
        };
        let server = actix_rt::spawn(serve(listener, || SERVE_OPTIONS, stop.clone(), handler));
        let all_begun = async {
            while requests.begun.get() < CONNECTIONS {
                tokio::task::yield_now().await;
            }
        };
        let begun = tokio::time::timeout(LIMIT, all_begun).await;
        stop.abort.cancel();
        let _ended = server.await;
        drop(callers);
        assert_eq!(begun, Ok(()), "all requests begin");
        let turns = requests.turns_at_begin.borrow();
        let last = turns.last().copied().unwrap_or_default();
        assert!(
            last <= MAX_TURNS,
            "the last request began after {last} turns of the first"
        );
    });
}
