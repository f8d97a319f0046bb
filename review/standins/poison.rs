//! A request that crashes each leaf that runs it, and whose caller sends it again and again.

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::at_most_once::{HOSTS, ZONES, start_daemons};
use crate::dark_leaf::{CrashMode, DarkLeaf};
use crate::http::Link;
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "shop.example";
/// Leafs of the service, as of bares-app at the smaller deployment.
const LEAFS: usize = 20;
/// Time that a leaf works on a request.
const WORK: Duration = Duration::from_millis(60);
/// Path of the request that crashes leafs.
const POISON: &str = "/look/stock-77";
/// Other callers, and their pause between two requests.
const CALLERS: usize = 14;
const CALLER_PAUSE: Duration = Duration::from_millis(200);
/// Time before the first poison, in which the daemons learn the usual latency.
const LEAD_TIME: Duration = Duration::from_secs(6);
/// Number of times that the caller sends the poison, and its pause after an answer.
const SENDS: usize = 15;
const SEND_PAUSE: Duration = Duration::from_secs(1);
/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// Crashes after which the rule begins to count, and the retries that it allows then.
const COUNTED_CRASHES: usize = 3;
const ALLOWED_RETRIES: usize = 3;

pub fn play(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let mode = match std::env::var("CRASH").as_deref() {
        _ if !has_trouble => CrashMode::Never,
        Ok("closed") => CrashMode::Closed,
        _ => CrashMode::Dark,
    };
    let store = Store::start();
    let leafs: Vec<Arc<DarkLeaf>> = (0..LEAFS)
        .map(|index| {
            let zone = ZONES[index % ZONES.len()];
            DarkLeaf::start(
                format!("i-{index:02}b4d"),
                zone,
                mode,
                POISON,
                WORK,
                record,
                &store,
            )
        })
        .collect();
    store.put(
        "op/config",
        Some(&format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"r-look\",\"hostname\":\"{HOST}\",\
             \"prefix\":\"/look/\",\"route_type\":\"idempotent\",\"timeout_ms\":3000,\
             \"target_latency_ms\":800,\"priority\":2,\"backend\":\"bares\",\"attempts\":2}}],\
             \"services\":[{{\"name\":\"bares\",\"health_path\":\"/health\",\"max_conns\":35}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        )),
    );
    let daemons = match start_daemons(&store, scratch) {
        Ok(daemons) => daemons,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let fronts: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.front()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (front, record) = (fronts[index % HOSTS], record.clone());
            let (is_over, next) = (Arc::clone(&is_over), Arc::clone(&next));
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("look-{number:06}");
                    call(front, &id, &format!("/look/item-{number}"), &record);
                    std::thread::sleep(CALLER_PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(LEAD_TIME);
    for send in 0..SENDS {
        let id = format!("poison-{send:03}");
        let status = call(fronts[send % HOSTS], &id, POISON, record);
        record.add(&format!(
            "the caller of {id} got {status} and will send it again"
        ));
        std::thread::sleep(SEND_PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    judge(record, &leafs, mode)
}

/// Sends a request on a connection of its own and returns the status of the answer; 0 without one.
fn call(front: SocketAddr, id: &str, path: &str, record: &Record) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        record.answered(id, 0);
        return 0;
    };
    let mut link = Link::new(stream);
    link.set_read_timeout(Duration::from_secs(4));
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\r\n"
    );
    let sent = link.send(text.as_bytes());
    let answer = sent.and_then(|()| link.read()).ok().flatten();
    let status = answer.map_or(0, |answer| answer.status());
    record.answered(id, status);
    status
}

fn judge(record: &Record, leafs: &[Arc<DarkLeaf>], mode: CrashMode) -> Verdict {
    let mut arrivals: Vec<(Instant, String)> = Vec::new();
    for leaf in leafs {
        arrivals.extend(
            leaf.poisoned
                .lock()
                .expect("the lock is sound")
                .iter()
                .cloned(),
        );
    }
    arrivals.sort();
    let answers = record.answers();
    let served = answers
        .iter()
        .filter(|(id, status)| id.starts_with("look") && **status == 200)
        .count();
    if served == 0 || arrivals.is_empty() {
        return Verdict::CouldNotRun("nothing was served".to_owned());
    }
    let crashes = if mode == CrashMode::Never {
        0
    } else {
        arrivals.len()
    };
    let third = arrivals
        .get(COUNTED_CRASHES - 1)
        .filter(|_| crashes >= COUNTED_CRASHES);
    let mut late: Vec<&str> = Vec::new();
    if let Some((at, _)) = third {
        let counted = arrivals
            .iter()
            .filter(|(time, _)| *time > *at + STABLE_WINDOW);
        late.extend(counted.map(|(_, id)| id.as_str()));
    }
    late.dedup();
    let looks = answers.keys().filter(|id| id.starts_with("look")).count();
    record.say(&format!(
        "{served} of {looks} other requests served; the poison was sent {SENDS} times and crashed {crashes} \
         leafs; {} retries reached leafs later than 4 s after the third crash",
        late.len()
    ));
    if late.len() > ALLOWED_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
