//! Another writer puts a few dozen values into the store at once; then the configuration changes and a
//! server leaves.

#[path = "load.rs"]
mod load;
#[path = "site.rs"]
mod site;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use site::*;

const CONFIG_APPLY_MS: u64 = 3_000;
const DRAIN_MS: u64 = 3_000;
/// Writes in a second that the store accepts.
const WRITES_PER_SECOND: u64 = 400;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (root, folder) = (arguments.next().expect("root"), arguments.next().expect("folder"));
    let values: usize = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(30);
    let prefix = arguments.next().unwrap_or_else(|| "servers/w-".to_owned());
    let size: usize = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1_000_000);
    let root = Path::new(&root);
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let scratch = Scratch::create("yuccalift-burst");
    let trouble = has_trouble();
    record.say(&format!("trouble: {trouble}"));
    let store = Store::start();
    store.put("op/config", Some(&config(7, "cobranza")));
    // Time, id and server of each request that a server has begun.
    let begun: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let (seen, log) = (Arc::clone(&begun), Arc::clone(&record));
    let behaviour: Behaviour = Arc::new(move |server: &Server, request: &Message| {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        lock(&seen).push((log.now_ms(), id, server.id.clone()));
        thread::sleep(Duration::from_millis(20));
        server.success(server.service.as_bytes())
    });
    let start = |service: &str, number: usize| {
        let id = format!("i-{service}{number}");
        Server::start(&store, &id, service, load::ZONES[number % 3], 2, Arc::clone(&behaviour))
    };
    let servers: Vec<Arc<Server>> = (0..6).map(|number| start("cobranza", number)).collect();
    let _others: Vec<Arc<Server>> = (0..6).map(|number| start("bares", number)).collect();
    let specs = daemon_specs(&load::ZONES.map(|zone| (zone, 2)));
    let seeds: Vec<SocketAddr> = specs.iter().step_by(2).map(|spec| spec.peers).collect();
    let daemons: Vec<Daemon> = specs
        .iter()
        .map(|spec| start_daemon(root, &scratch.0, store.address, &seeds, spec))
        .collect();
    if !wait_ready(&daemons, Duration::from_secs(12)) {
        record.say("the daemons don't become ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(6));
    record.say("all machines are ready and in touch");
    let stop = Arc::new(AtomicBool::new(false));
    // Time at which each answered request was sent, its id, its machine, its route and the answer.
    let answers: Arc<Mutex<Vec<(u64, String, String, bool, String)>>> = Arc::default();
    let failed = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for spec in &specs {
        let (callers, name) = (spec.callers, spec.name.clone());
        let (stop, record, answers, failed) =
            (Arc::clone(&stop), Arc::clone(&record), Arc::clone(&answers), Arc::clone(&failed));
        clients.push(thread::spawn(move || {
            let mut moves = false;
            while !stop.load(Ordering::Relaxed) {
                moves = !moves;
                let path = if moves { "/goka902/x" } else { "/stays/x" };
                let (id, sent_at) = (new_id("r"), record.now_ms());
                let answer = call(callers, get(path, &id, 3_000).as_bytes(), Duration::from_secs(4));
                match answer {
                    Ok(answer) if answer.status() == 200 => {
                        let service = String::from_utf8_lossy(&answer.body).into_owned();
                        record.line(&format!("{id} sent to {name} at {sent_at}, {path} run by {service}"));
                        lock(&answers).push((sent_at, id, name.clone(), moves, service));
                    }
                    _ => {
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
                thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        record.say(&format!("another writer puts {values} values of {size} bytes under {prefix}"));
        let text = format!("{{\"note\":\"{}\"}}", "x".repeat(size - 12));
        let encoded = base64(text.as_bytes());
        for number in 0..values {
            store.put_encoded(&format!("{prefix}{number}"), Some(&encoded));
            thread::sleep(Duration::from_millis(1_000 / WRITES_PER_SECOND));
        }
        record.say("all values are written");
    }
    thread::sleep(Duration::from_millis(300));
    store.put("op/config", Some(&config(9, "bares")));
    let config_ms = record.now_ms();
    record.say(&format!("version 9 is acknowledged at {config_ms}: /goka902/ moves from cobranza to bares"));
    let leaving = &servers[0];
    leaving.is_registered.store(false, Ordering::Relaxed);
    leaving.put_state("draining");
    let drain_ms = record.now_ms();
    record.say(&format!("{} is acknowledged as draining at {drain_ms}; it serves on", leaving.id));
    let end = Instant::now() + Duration::from_secs(28);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _panicked = client.join();
    }
    let answers = lock(&answers);
    let stale: Vec<_> = answers
        .iter()
        .filter(|(sent_at, _, _, moves, service)| {
            *moves && *sent_at > config_ms + CONFIG_APPLY_MS && service == "cobranza"
        })
        .collect();
    let mut machines: Vec<&str> = stale.iter().map(|(_, _, name, ..)| name.as_str()).collect();
    machines.sort_unstable();
    machines.dedup();
    let last = stale.iter().map(|(sent_at, ..)| sent_at - config_ms).max().unwrap_or(0);
    let late = lock(&begun)
        .iter()
        .filter(|(at, _, server)| *at > drain_ms + DRAIN_MS && *server == leaving.id)
        .count();
    let fresh = answers.iter().filter(|(.., moves, service)| *moves && service == "bares").count();
    record.say(&format!(
        "{} answers, {} failures, {fresh} by the new service; requests sent later than {CONFIG_APPLY_MS} ms after version 9 and run by the old service: {}, at {machines:?}, the last {last} ms after it; requests that reached the leaving server later than {DRAIN_MS} ms: {late}",
        answers.len(),
        failed.load(Ordering::Relaxed),
        stale.len()
    ));
    if answers.is_empty() {
        return ExitCode::from(2);
    }
    if !stale.is_empty() || late > 0 {
        record.say("BROKEN: CONFIG, DRAIN");
        return ExitCode::from(1);
    }
    record.say("held");
    ExitCode::SUCCESS
}

fn config(version: u64, service: &str) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"{prefix}\",\"route_type\":\"idempotent\",\"timeout_ms\":3000,\
             \"target_latency_ms\":800,\"priority\":2,\"backend\":\"{service}\",\"attempts\":2}}"
        )
    };
    let service_text = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":35,\"protocol\":\"h1\",\"tls\":false}}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("r-moves", "/goka902/", service),
        route("r-stays", "/stays/", "cobranza"),
        service_text("cobranza"),
        service_text("bares")
    )
}
