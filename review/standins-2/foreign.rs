//! Another writer puts values into the store that aren't for this system.

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

use load::*;
use site::*;

const ORDINARY: u64 = 12;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (root, folder) = (arguments.next().expect("root"), arguments.next().expect("folder"));
    let entries: usize = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(300);
    let prefix = arguments.next().unwrap_or_else(|| "servers/w-".to_owned());
    let size: usize = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1_000_000);
    let root = Path::new(&root);
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let scratch = Scratch::create("yuccalift-foreign");
    let trouble = has_trouble();
    record.say(&format!("trouble: {trouble}"));
    let store = Store::start();
    store.put("op/config", Some(&config()));
    let begun: Arc<Mutex<Vec<String>>> = Arc::default();
    let _servers = start_servers(&store, &begun);
    let specs = daemon_specs(&ZONES.map(|zone| (zone, 1)));
    let seeds: Vec<SocketAddr> = specs.iter().map(|spec| spec.peers).collect();
    let mut daemons: Vec<Daemon> = specs
        .iter()
        .map(|spec| start_daemon(root, &scratch.0, store.address, &seeds, spec))
        .collect();
    if !wait_ready(&daemons, Duration::from_secs(12)) {
        record.say("the daemons don't become ready");
        return ExitCode::from(2);
    }
    record.say("all machines are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let (served, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for index in 0..ORDINARY {
        let callers = specs[index as usize % specs.len()].callers;
        let (stop, record, begun) = (Arc::clone(&stop), Arc::clone(&record), Arc::clone(&begun));
        let (served, lost) = (Arc::clone(&served), Arc::clone(&lost));
        clients.push(thread::spawn(move || {
            ordinary_client(callers, index, &stop, &record, &begun, &served, &lost);
        }));
    }
    thread::sleep(Duration::from_secs(6));
    if trouble {
        let (store, record) = (Arc::clone(&store), Arc::clone(&record));
        record.say(&format!("another writer puts {entries} values of {size} bytes under {prefix}"));
        thread::spawn(move || {
            let mut seed: u64 = 88_172_645_463_325_252;
            for number in 0..entries {
                let mut text = String::with_capacity(size + 64);
                text.push_str("{\"note\":\"");
                while text.len() < size {
                    seed ^= seed << 13;
                    seed ^= seed >> 7;
                    seed ^= seed << 17;
                    text.push_str(&format!("{seed:016x}"));
                }
                text.push_str("\"}");
                store.put(&format!("{prefix}{number}"), Some(&text));
                thread::sleep(Duration::from_millis(100));
            }
            record.line("all values are written");
        });
    }
    let end = Instant::now() + Duration::from_secs(60);
    let mut ended = vec![false; daemons.len()];
    let mut peaks = vec![0; daemons.len()];
    let mut noted = Instant::now();
    while Instant::now() < end && !ended.iter().all(|ended| *ended) {
        let note = noted.elapsed() > Duration::from_secs(1);
        for (index, daemon) in daemons.iter_mut().enumerate() {
            if ended[index] {
                continue;
            }
            let held = held_kb(daemon.child.id());
            peaks[index] = held.max(peaks[index]);
            if note {
                record.line(&format!("{} holds {held} KB", daemon.spec.name));
            }
            if held > MEMORY_LIMIT_KB {
                record.say(&format!("{} holds {held} KB, more than {MEMORY_LIMIT_KB}: the platform ends it", daemon.spec.name));
                let _already_ended = daemon.child.kill();
                let _already_reaped = daemon.child.wait();
                ended[index] = true;
            }
        }
        if note {
            noted = Instant::now();
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _panicked = client.join();
    }
    let (served, lost) = (served.load(Ordering::Relaxed), lost.load(Ordering::Relaxed));
    record.say(&format!(
        "peaks {peaks:?} KB; ordinary requests on kept connections: {served} served; {lost} were passed on to a sound server and lost with the connection, {ALLOWED_LOSSES} are allowed"
    ));
    if served == 0 {
        return ExitCode::from(2);
    }
    if lost > ALLOWED_LOSSES {
        record.say("BROKEN: LOST");
        return ExitCode::from(1);
    }
    record.say("held");
    ExitCode::SUCCESS
}
