//! A request that crashes each server that begins to run it comes again at all machines.

#[path = "site.rs"]
mod site;

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::*;

const SERVICE: &str = "kafi81c";
const STABLE_WINDOW_MS: u64 = 4_000;
const ALLOWED_RETRIES: usize = 3;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (root, folder) = (arguments.next().expect("root"), arguments.next().expect("folder"));
    let seconds: u64 = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(85);
    let pause = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(500);
    let root = Path::new(&root);
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let scratch = Scratch::create("yuccalift-crasher");
    let trouble = has_trouble();
    record.say(&format!("trouble: {trouble}"));

    let store = Store::start();
    let config = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-invoice\",\"hostname\":\"{HOST}\",\"prefix\":\"/goka902/\",\"route_type\":\"idempotent\",\
         \"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":2,\"backend\":\"{SERVICE}\",\"attempts\":2}},\
         {{\"name\":\"r-order\",\"hostname\":\"{HOST}\",\"prefix\":\"/order/\",\"route_type\":\"non_idempotent\",\
         \"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,\"backend\":\"{SERVICE}\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    );
    store.put("op/config", Some(&config));
    // Each arrival of the crashing request at a server: time, id, server.
    let arrivals: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let seen = Arc::clone(&arrivals);
    let log = Arc::clone(&record);
    let behaviour: Behaviour = Arc::new(move |server: &Server, request: &Message| {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.word(1).contains("crash") {
            log.line(&format!("server {} begins {id} and crashes", server.id));
            lock(&seen).push((log.now_ms(), id, server.id.clone()));
            return Reply::Crash(Duration::from_secs(3));
        }
        thread::sleep(Duration::from_millis(120));
        server.success(b"done")
    });
    let zones = ["vn-south-a", "vn-south-b", "vn-south-c"];
    let _servers: Vec<Arc<Server>> = (0..7)
        .map(|number| {
            let id = format!("i-{number}f3a91c2");
            Server::start(&store, &id, SERVICE, zones[number % 3], 6, Arc::clone(&behaviour))
        })
        .collect();
    let specs = daemon_specs(&[(zones[0], 3), (zones[1], 3), (zones[2], 3)]);
    let seeds = [specs[0].peers, specs[3].peers, specs[6].peers];
    let daemons: Vec<Daemon> = specs
        .iter()
        .map(|spec| start_daemon(root, &scratch.0, store.address, &seeds, spec))
        .collect();
    if !wait_ready(&daemons, Duration::from_secs(12)) {
        record.say("the daemons don't become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(6));
    record.say("all machines are ready; clients start");
    let stop = Arc::new(AtomicBool::new(false));
    // Orders that were refused (they have not run), served, and lost.
    let served = Arc::new([const { AtomicU64::new(0) }; 3]);
    let mut clients = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        let (callers, name) = (daemon.spec.callers, daemon.spec.name.clone());
        let (stop, record) = (Arc::clone(&stop), Arc::clone(&record));
        let served = Arc::clone(&served);
        if trouble {
            let (stop, record, name) = (Arc::clone(&stop), Arc::clone(&record), name.clone());
            clients.push(thread::spawn(move || {
                // Clients differ in phase.
                thread::sleep(Duration::from_millis(index as u64 * pause / 9));
                while !stop.load(Ordering::Relaxed) {
                    let id = new_id("crash");
                    let answer = call(callers, get("/goka902/crash", &id, 3_000).as_bytes(), Duration::from_secs(4));
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.line(&format!("client sent {id} to {name}, answered {status}"));
                    thread::sleep(Duration::from_millis(pause));
                }
            }));
        }
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = new_id("order");
                let path = format!("/order/{index}/{number}");
                let answer = call(callers, get(&path, &id, 3_000).as_bytes(), Duration::from_secs(4));
                let status = answer.as_ref().map_or(0, Message::status);
                let outcome = match status {
                    200 => 1,
                    429 | 503 => 0,
                    _ => 2,
                };
                served[outcome].fetch_add(1, Ordering::Relaxed);
                if status != 200 {
                    record.line(&format!("client sent {id} to {name}, answered {status}"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _panicked = client.join();
    }
    let all = lock(&arrivals).clone();
    record.say(&format!(
        "orders: {} served, {} refused, {} lost; arrivals of the crashing request at servers: {}",
        served[1].load(Ordering::Relaxed),
        served[0].load(Ordering::Relaxed),
        served[2].load(Ordering::Relaxed),
        all.len()
    ));
    if served[1].load(Ordering::Relaxed) == 0 {
        return ExitCode::from(2);
    }
    let Some((third_ms, ..)) = all.get(2) else {
        record.say("held: it crashed fewer than three servers");
        return ExitCode::from(if trouble { 2 } else { 0 });
    };
    let from_ms = third_ms + STABLE_WINDOW_MS;
    let mut late: Vec<&str> = all
        .iter()
        .filter(|(at, ..)| *at > from_ms)
        .map(|(_, id, _)| id.as_str())
        .collect();
    late.sort_unstable();
    late.dedup();
    record.say(&format!(
        "third crash at {third_ms} ms; retries that reached servers later than {STABLE_WINDOW_MS} ms after it: {} ({late:?}), {ALLOWED_RETRIES} are allowed",
        late.len()
    ));
    if late.len() > ALLOWED_RETRIES {
        record.say("BROKEN: BUDGET");
        return ExitCode::from(1);
    }
    record.say("held");
    ExitCode::SUCCESS
}
