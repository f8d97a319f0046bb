//! Stand-ins for the cases of this review: the platform's store, servers, clients, and daemons that
//! run as processes. They use the standard library only.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "leno12.example";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which the store keeps its changes, `history_s`.
pub const HISTORY: Duration = Duration::from_secs(20);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Lines of `record.txt`, each with the milliseconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("create the record")),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        let _unwritten = lock(&self.file).write_all(line.as_bytes());
    }

    /// Writes a line and shows it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Returns a free port of an address.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("find a free port");
    listener.local_addr().expect("read the port").port()
}

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a body with a length or in chunks. An answer without either extends to the end of the
/// connection if `until_end` is set.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, until_end: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    if let Some(length) = length {
        message.body.resize(length, 0);
        return reader.read_exact(&mut message.body);
    }
    if until_end {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                text.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3).filter(|_| bytes[index] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Revision of the creation and the text of each item.
    items: BTreeMap<String, (u64, Arc<str>)>,
    /// Each change of the last [`HISTORY`].
    changes: VecDeque<StoreChange>,
    /// Revision up to which changes have been dropped.
    dropped: u64,
}

struct StoreChange {
    revision: u64,
    key: String,
    /// The event that watches get.
    event: Arc<str>,
    made_at: Instant,
}

/// The platform's store: linearizable reads, watches, nothing lost.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    pub calls: AtomicU64,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 9, 1), 0)).expect("bind the store");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("read the address"),
            state: Mutex::default(),
            changed: Condvar::new(),
            calls: AtomicU64::new(0),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a value, or removes it; returns the revision.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let encoded = value.map(|text| base64(text.as_bytes()));
        self.put_encoded(key, encoded.as_deref())
    }

    /// Writes a value that is encoded already, or removes it; returns the revision.
    pub fn put_encoded(&self, key: &str, encoded: Option<&str>) -> u64 {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        let event: Arc<str> = match encoded {
            Some(encoded) => {
                let created = state.items.get(key).map_or(revision, |item| item.0);
                let text: Arc<str> = format!(
                    "{{\"key\":\"{key}\",\"value\":\"{encoded}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}"
                )
                .into();
                state.items.insert(key.to_owned(), (created, Arc::clone(&text)));
                text
            }
            None => {
                state.items.remove(key);
                format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}").into()
            }
        };
        let made_at = Instant::now();
        state.changes.push_back(StoreChange { revision, key: key.to_owned(), event, made_at });
        while state.changes.front().is_some_and(|first| first.made_at.elapsed() > HISTORY) {
            if let Some(first) = state.changes.pop_front() {
                state.dropped = first.revision;
            }
        }
        self.changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _best_effort = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_head(&mut reader) {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = self.answer(request.word(1));
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(other, _)| *other == name)
                .map(|(_, value)| percent_decode(value))
        };
        let number = |name: &str| parameter(name).and_then(|text| text.parse::<u64>().ok());
        match path {
            "/-/kv-key" => self.read_key(&parameter("key").unwrap_or_default()),
            "/-/kv-range" => {
                let prefix = parameter("prefix").unwrap_or_default();
                self.read_range(&prefix, &parameter("after").unwrap_or_default())
            }
            "/-/kv-watch" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                self.watch(&parameter("prefix").unwrap_or_default(), number("after").unwrap_or(0), wait)
            }
            _ => (404, String::from("{}")),
        }
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        let state = lock(&self.state);
        match state.items.get(key) {
            Some((_, text)) => {
                let text = text.trim_end_matches('}');
                (200, format!("{text},\"as_of\":{}}}", state.revision))
            }
            None => (404, String::from("{}")),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 500;
        const PAGE_BYTES: usize = 1_000_000;
        let state = lock(&self.state);
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (_, text)) in state.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            if items.len() >= PAGE || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += text.len();
            items.push(Arc::clone(text));
        }
        let revision = state.revision;
        drop(state);
        let text = format!("{{\"items\":[{}],\"has_more\":{has_more},\"as_of\":{revision}}}", items.join(","));
        (200, text)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            if after < state.dropped {
                return (410, String::from("{}"));
            }
            let events: Vec<Arc<str>> = state
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(prefix))
                .map(|change| Arc::clone(&change.event))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                drop(state);
                return (200, format!("{{\"events\":[{}],\"as_of\":{revision}}}", events.join(",")));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

/// What a server does with a request.
pub enum Reply {
    /// Answers it; the headers follow the usual ones.
    Answer { status: u16, headers: String, body: Vec<u8> },
    /// Ends the server's process: all connections break, and nothing listens for this time.
    Crash(Duration),
}

pub type Behaviour = Arc<dyn Fn(&Server, &Message) -> Reply + Send + Sync>;

/// A server that registers itself in the store.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    behaviour: Behaviour,
    store: Arc<Store>,
    connections: Mutex<Vec<TcpStream>>,
    down_until: Mutex<Option<Instant>>,
    /// Start of the present incarnation, in Unix milliseconds.
    born: AtomicU64,
    sequence: AtomicU64,
    pub is_registered: AtomicBool,
    answers: AtomicU64,
}

impl Server {
    pub fn start(store: &Arc<Store>, id: &str, service: &str, zone: &str, slots: u32, behaviour: Behaviour) -> Arc<Self> {
        let ip = Ipv4Addr::new(127, 0, 8, 1);
        let listener = TcpListener::bind((ip, 0)).expect("bind a server");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.local_addr().expect("read the address"),
            behaviour,
            store: Arc::clone(store),
            connections: Mutex::default(),
            down_until: Mutex::new(None),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(1),
            is_registered: AtomicBool::new(true),
            answers: AtomicU64::new(0),
        });
        server.register();
        let served = Arc::clone(&server);
        thread::spawn(move || served.accept(listener));
        let beating = Arc::clone(&server);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.is_registered.load(Ordering::Relaxed) && lock(&beating.down_until).is_none() {
                    beating.register();
                }
            }
        });
        server
    }

    pub fn register(&self) {
        self.put_state("ready");
    }

    /// Writes the server's entry with a state.
    pub fn put_state(&self, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let entry = format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.born.load(Ordering::Relaxed)
        );
        self.store.put(&format!("servers/{}", self.id), Some(&entry));
    }

    pub fn is_down(&self) -> bool {
        lock(&self.down_until).is_some()
    }

    /// A signature that differs between answers.
    pub fn stamp(&self) -> String {
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number:x}", self.id)
    }

    /// The usual successful answer.
    pub fn success(&self, body: &[u8]) -> Reply {
        Reply::Answer {
            status: 200,
            headers: format!("X-Server-Stamp: {}\r\n", self.stamp()),
            body: body.to_vec(),
        }
    }

    fn accept(self: Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            let down_until = *lock(&self.down_until);
            if let Some(until) = down_until {
                listener = None;
                if Instant::now() < until {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                self.born.store(unix_ms(), Ordering::Relaxed);
                self.sequence.store(1, Ordering::Relaxed);
                *lock(&self.down_until) = None;
                listener = TcpListener::bind(self.address).ok();
                self.register();
            }
            let Some(listener) = &listener else {
                return;
            };
            let _best_effort = listener.set_nonblocking(true);
            match listener.accept() {
                Ok((stream, _)) => {
                    let _best_effort = stream.set_nonblocking(false);
                    let _best_effort = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        lock(&self.connections).push(copy);
                    }
                    let server = Arc::clone(&self);
                    thread::spawn(move || server.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_micros(300)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, false).is_err() || self.is_down() {
                return;
            }
            let request_id = request.header("x-request-id").unwrap_or("").to_owned();
            let is_foreign = request.header("x-expect-instance").is_some_and(|id| id != self.id);
            let reply = if is_foreign {
                Reply::Answer { status: 421, headers: String::from("X-Not-Executed: 1\r\n"), body: Vec::new() }
            } else {
                (self.behaviour)(self, &request)
            };
            match reply {
                Reply::Answer { status, headers, body } => {
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{headers}Content-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let mut bytes = head.into_bytes();
                    bytes.extend_from_slice(&body);
                    if self.is_down() || writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Reply::Crash(down) => {
                    self.crash(down);
                    return;
                }
            }
        }
    }

    /// Ends the server for a time: the listener closes first, then every connection breaks.
    pub fn crash(&self, down: Duration) {
        let mut down_until = lock(&self.down_until);
        if down_until.is_some() {
            return;
        }
        *down_until = Some(Instant::now() + down);
        drop(down_until);
        thread::sleep(Duration::from_millis(8));
        for stream in lock(&self.connections).drain(..) {
            let _already_closed = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Where a daemon listens.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

/// A `yuccaliftd` process; killed when dropped.
pub struct Daemon {
    pub spec: DaemonSpec,
    pub settings: PathBuf,
    pub child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _already_ended = self.child.kill();
        let _already_reaped = self.child.wait();
    }
}

/// Returns the places of daemons in zones, each with an address of its own.
pub fn daemon_specs(zones: &[(&str, usize)]) -> Vec<DaemonSpec> {
    let mut specs = Vec::new();
    for (zone_index, (zone, count)) in zones.iter().enumerate() {
        for number in 1..=*count {
            let ip = Ipv4Addr::new(127, 0, zone_index as u8 + 1, number as u8);
            let place = || SocketAddr::from((ip, free_port(ip)));
            specs.push(DaemonSpec {
                name: format!("frontend-{zone}-{number}"),
                zone: (*zone).to_owned(),
                callers: place(),
                readiness: place(),
                peers: place(),
                metrics: place(),
            });
        }
    }
    specs
}

/// Starts a daemon as the deploy file does, with the settings of its template.
pub fn start_daemon(root: &Path, folder: &Path, store: SocketAddr, seeds: &[SocketAddr], spec: &DaemonSpec) -> Daemon {
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    let text = format!(
        "host: \"{}\"\ndata_centre: \"{}\"\nlisten:\n  callers: {}\n  readiness: {}\n  peers: {}\n  metrics: {}\n\
         store: {store}\nstore_calls_per_second: 2000\nseed_peers: [{}]\ndrain_time: 3000ms\nretries:\n  share: 0.2\n  window: 10s\n\
         overload:\n  admission: adaptive\nstop_timeout: 6s\nmemory_limit: 260\ndescriptor_limit: 4100\nlog:\n  format: json\n  level: info\n",
        spec.name, spec.zone, spec.callers, spec.readiness, spec.peers, spec.metrics, seeds.join(",")
    );
    let settings = folder.join(format!("{}.yaml", spec.name));
    std::fs::write(&settings, text).expect("write settings");
    let log = File::create(folder.join(format!("{}.log", spec.name))).expect("create a log");
    let child = Command::new(root.join("target/release/yuccaliftd"))
        .arg("--relay")
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log))
        .stderr(Stdio::null())
        .spawn()
        .expect("start yuccaliftd");
    note_process(child.id());
    Daemon { spec: spec.clone(), settings, child }
}

/// Notes the id of a process that `run.sh` ends if this one was killed.
fn note_process(id: u32) {
    if let Ok(path) = std::env::var("PIDS")
        && let Ok(mut file) = File::options().append(true).create(true).open(path)
    {
        let _unwritten = writeln!(file, "{id}");
    }
}

/// Returns whether a daemon answers its readiness check with 200.
pub fn is_ready(spec: &DaemonSpec) -> bool {
    let request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    call(spec.readiness, request.as_bytes(), Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
}

/// Waits until all daemons are ready; returns false if that takes too long.
pub fn wait_ready(daemons: &[Daemon], limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if daemons.iter().all(|daemon| is_ready(&daemon.spec)) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let Some(mut answer) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request id that no other attempt has.
pub fn new_id(kind: &str) -> String {
    format!("{kind}-{:06x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// The text of a request without a body.
pub fn get(path: &str, id: &str, deadline_ms: u64) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n")
}

/// A folder for settings and logs that is removed when dropped.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("create a temporary folder");
        Self(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _left_behind = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
