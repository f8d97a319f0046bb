//! Measures the processor time that a daemon spends on each leaf request, over the whole path.
//!
//! One daemon and the stand-ins of the platform and the leafs run in this process, each on its own
//! threads; the daemon's threads are identified by their names. The results go into
//! `docs/CAPACITY.md`. Run it with
//! `cargo run --release -p yuccalift-daemon --example leaf_request_cost`.

#[allow(dead_code, reason = "the site is shared with the tests")]
#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::time::{Duration, Instant};

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_core::SearchAnswer;
use yuccalift_wire::caller::SearchBody;

/// Number of shards that a query asks.
const SHARDS: u32 = 30;
/// Number of concurrent callers; each sends one query after the other.
const CALLERS: usize = 6;
/// Time under load before the measurement begins.
const WARM_UP: Duration = Duration::from_secs(1);
/// Duration of the measurement.
const MEASURED: Duration = Duration::from_secs(6);

/// Processor time of one thread since its start.
struct ThreadTime {
    thread: u64,
    name: String,
    busy: Duration,
}

fn main() {
    let site = TestSite::start(SHARDS, 3);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    let load = std::thread::Builder::new().name("callers".into());
    let load = load.spawn(move || {
        actix_rt::System::new().block_on(async move {
            let callers = (0..CALLERS).map(|_| call(address));
            futures_util::future::join_all(callers).await
        })
    });
    let load = load.expect("a thread can be started");
    std::thread::sleep(WARM_UP);
    let before = read_threads();
    let sent_before = leaf_requests(&site);
    let start = Instant::now();
    std::thread::sleep(MEASURED);
    let elapsed = start.elapsed();
    let after = read_threads();
    let sent = leaf_requests(&site) - sent_before;
    report(&before, &after, sent, elapsed);
    let complete: usize = load.join().expect("callers end").iter().sum();
    println!("complete answers: {complete}");
    daemon.stop();
}

async fn call(address: std::net::SocketAddr) -> usize {
    let client = awc::Client::default();
    let end = Instant::now() + WARM_UP + MEASURED + WARM_UP;
    let mut complete = 0;
    while Instant::now() < end {
        let body = SearchBody {
            request: "request-1".into(),
            account: ACCOUNT.into(),
            collection: COLLECTION.into(),
            text: "ewe 4711".into(),
            limit: 20,
            time_left_ms: None,
        };
        let url = format!("http://{address}/v1/search");
        let Ok(mut response) = client.post(url).send_json(&body).await else {
            continue;
        };
        let Ok(body) = response.body().await else {
            continue;
        };
        let answer = serde_json::from_slice::<SearchAnswer>(&body);
        complete += usize::from(answer.is_ok_and(|answer| answer.coverage.is_complete()));
    }
    complete
}

fn leaf_requests(site: &TestSite) -> u64 {
    let leafs = site.leafs.leafs().iter();
    leafs.map(|leaf| leaf.counts().received).sum()
}

fn read_threads() -> Vec<ThreadTime> {
    let tasks = fs::read_dir("/proc/self/task").expect("the threads of the process are listed");
    let mut threads: Vec<ThreadTime> = tasks
        .filter_map(|task| {
            let path = task.ok()?.path();
            let name = fs::read_to_string(path.join("comm")).ok()?;
            let times = fs::read_to_string(path.join("schedstat")).ok()?;
            let busy = times.split_whitespace().next()?.parse().ok()?;
            Some(ThreadTime {
                thread: path.file_name()?.to_str()?.parse().ok()?,
                name: name.trim().into(),
                busy: Duration::from_nanos(busy),
            })
        })
        .collect();
    threads.sort_by_key(|time| time.thread);
    threads
}

fn report(before: &[ThreadTime], after: &[ThreadTime], sent: u64, elapsed: Duration) {
    let mut total = Duration::ZERO;
    let mut busiest = Duration::ZERO;
    for time in after {
        let known = before.binary_search_by_key(&time.thread, |known| known.thread);
        let used = known.map_or(time.busy, |position| {
            time.busy.saturating_sub(before[position].busy)
        });
        if time.name.starts_with("actix") || time.name.starts_with("daemon") {
            total += used;
            busiest = busiest.max(used);
        }
    }
    let each = |time: Duration| time.as_secs_f64() * 1e6 / sent.max(1) as f64;
    println!(
        "{sent} leaf requests in {:.1} s, {:.0} a second",
        elapsed.as_secs_f64(),
        sent as f64 / elapsed.as_secs_f64()
    );
    println!("daemon: {:.1} us for each leaf request", each(total));
    println!("lane: {:.1} us for each leaf request", each(busiest));
}
