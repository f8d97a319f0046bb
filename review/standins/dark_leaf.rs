//! Stand-in for a leaf that a certain request crashes: it falls silent, as its machine does, and is
//! back some seconds later.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Link, Message, answer};
use crate::record::Record;
use crate::store::Store;

/// Time for which a crashed leaf is away.
const AWAY_TIME: Duration = Duration::from_secs(5);
/// Time after which the store drops the entry of a silent leaf: three heartbeats of 1.2 s.
const LAPSE_TIME: Duration = Duration::from_millis(3600);
/// Usual backlog of connections that wait to be accepted.
const BACKLOG: i32 = 128;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// How a leaf crashes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// Nothing crashes it.
    Never,
    /// It falls silent: no answer, no reset, and no new connection.
    Dark,
    /// Its process ends: connections are closed, and new ones are refused.
    Closed,
}

pub struct DarkLeaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub mode: CrashMode,
    /// Part of the path of a request that crashes the leaf.
    pub poison: &'static str,
    pub work: Duration,
    listener: Mutex<Option<TcpListener>>,
    is_away: AtomicBool,
    /// Counts the starts of the leaf.
    starts: AtomicU64,
    /// Arrivals of the poison: time, request id, and whether the leaf crashed by it.
    pub poisoned: Mutex<Vec<(Instant, String)>>,
    record: Record,
    store: Store,
}

impl DarkLeaf {
    pub fn start(
        id: String,
        zone: &str,
        mode: CrashMode,
        poison: &'static str,
        work: Duration,
        record: &Record,
        store: &Store,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let leaf = Arc::new(Self {
            id,
            service: "bares".to_owned(),
            zone: zone.to_owned(),
            address,
            mode,
            poison,
            work,
            listener: Mutex::new(Some(listener)),
            is_away: AtomicBool::new(false),
            starts: AtomicU64::new(1),
            poisoned: Mutex::default(),
            record: record.clone(),
            store: store.clone(),
        });
        leaf.publish();
        let serving = Arc::clone(&leaf);
        std::thread::spawn(move || serving.accept());
        leaf
    }

    fn publish(&self) {
        let born = 1_700_000_000_000 + self.starts.load(Ordering::Relaxed);
        let entry = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\"born\":{born}}}",
            self.service, self.address, self.zone
        );
        self.store
            .put(&format!("servers/{}", self.id), Some(&entry));
    }

    fn is_away(&self) -> bool {
        self.is_away.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Self>) {
        loop {
            let listener = {
                let socket = self.listener.lock().expect("the lock is sound");
                socket.as_ref().and_then(|socket| socket.try_clone().ok())
            };
            let Some(listener) = listener else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            drop(listener);
            if self.is_away() {
                self.wait_back();
                continue;
            }
            let leaf = Arc::clone(self);
            let start = self.starts.load(Ordering::SeqCst);
            std::thread::spawn(move || leaf.serve(Link::new(stream), start));
        }
    }

    fn wait_back(&self) {
        while self.is_away() {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns whether the connection belongs to a start of the leaf that has ended.
    fn is_lost(&self, start: u64) -> bool {
        self.is_away() || self.starts.load(Ordering::SeqCst) != start
    }

    fn serve(self: &Arc<Self>, mut link: Link, start: u64) {
        while let Ok(Some(request)) = link.read() {
            if self.is_lost(start) {
                break;
            }
            let bytes = self.handle(&request);
            if self.is_lost(start) || link.send(&bytes).is_err() {
                break;
            }
        }
        if self.mode == CrashMode::Dark {
            self.wait_back();
        }
    }

    fn handle(self: &Arc<Self>, request: &Message) -> Vec<u8> {
        let request_id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("X-Request-Id", request_id.clone());
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return answer(421, &[echo, ("X-Instance-Id", self.id.clone())], b"");
        }
        if request.word(1).contains(self.poison) {
            let now = Instant::now();
            self.poisoned
                .lock()
                .expect("the lock is sound")
                .push((now, request_id.clone()));
            self.record.ran(&self.id, &request_id);
            if self.mode != CrashMode::Never {
                self.crash();
                return Vec::new();
            }
        }
        std::thread::sleep(self.work);
        let stamp = ("X-Server-Stamp", format!("{}.{request_id}", self.id));
        answer(
            200,
            &[echo, stamp],
            format!("stock for {request_id}").as_bytes(),
        )
    }

    fn crash(self: &Arc<Self>) {
        if self.is_away.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.add(&format!("leaf {} crashes", self.id));
        let mut listener = self.listener.lock().expect("the lock is sound");
        let mut waiting = Vec::new();
        match (self.mode, listener.as_ref()) {
            // Connections that nobody accepts fill the queue, so that the next ones hang.
            (CrashMode::Dark, Some(socket)) => {
                // SAFETY: the socket is open and listens; only its backlog changes.
                unsafe { listen(socket.as_raw_fd(), 0) };
                let limit = Duration::from_millis(20);
                waiting.extend(
                    (0..4).filter_map(|_| TcpStream::connect_timeout(&self.address, limit).ok()),
                );
            }
            _ => {
                *listener = None;
                // Wakes the thread that accepts connections, so that it closes the socket.
                let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(20));
            }
        }
        drop(listener);
        let leaf = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(LAPSE_TIME);
            leaf.store.put(&format!("servers/{}", leaf.id), None);
            std::thread::sleep(AWAY_TIME - LAPSE_TIME);
            drop(waiting);
            leaf.come_back();
        });
    }

    fn come_back(&self) {
        let mut listener = self.listener.lock().expect("the lock is sound");
        match listener.as_ref() {
            // SAFETY: as above.
            Some(socket) => drop(unsafe { listen(socket.as_raw_fd(), BACKLOG) }),
            None => *listener = TcpListener::bind(self.address).ok(),
        }
        drop(listener);
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
        self.record.add(&format!("leaf {} is back", self.id));
        self.publish();
    }
}
