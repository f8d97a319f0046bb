//! Clients that nobody controls send many bodies at once, in very small chunks, on a connection without
//! waiting for the answers, beside ordinary clients. The platform ends a process that exceeds its memory.

#[path = "load.rs"]
mod load;
#[path = "site.rs"]
mod site;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use load::*;
use site::*;

/// As many as the site file has clients in the zone of the machine.
const UNCONTROLLED: usize = 47;
/// Requests that each of them sends at once, of about 150 bytes each.
const PIPELINED: usize = 4_000;
const ORDINARY: u64 = 32;
/// Time for which the uncontrolled clients are there.
const TROUBLE_TIME: Duration = Duration::from_secs(45);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (root, folder) = (arguments.next().expect("root"), arguments.next().expect("folder"));
    let root = Path::new(&root);
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let scratch = Scratch::create("yuccalift-pipeline");
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
    let callers = specs[0].callers;
    let process = daemons[0].child.id();
    record.say(&format!("all machines are ready; {} holds {} KB", specs[0].name, held_kb(process)));

    let stop = Arc::new(AtomicBool::new(false));
    let (served, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for index in 0..ORDINARY {
        let (stop, record, begun) = (Arc::clone(&stop), Arc::clone(&record), Arc::clone(&begun));
        let (served, lost) = (Arc::clone(&served), Arc::clone(&lost));
        clients.push(thread::spawn(move || {
            ordinary_client(callers, index, &stop, &record, &begun, &served, &lost);
        }));
    }
    // The machine is in touch once its process has run for the stable window.
    thread::sleep(Duration::from_secs(8));
    let pipelined = Arc::new(AtomicU64::new(0));
    if trouble {
        record.say(&format!("{UNCONTROLLED} clients send {PIPELINED} chunked bodies each on a connection"));
        for index in 0..UNCONTROLLED {
            let answered = Arc::clone(&pipelined);
            thread::spawn(move || pipelining_client(callers, index, &answered));
        }
    }
    let end = Instant::now() + TROUBLE_TIME;
    let mut peak = 0;
    let mut ended = false;
    let mut noted = Instant::now();
    while Instant::now() < end && !ended {
        let held = held_kb(process);
        peak = peak.max(held);
        if noted.elapsed() > Duration::from_millis(500) {
            noted = Instant::now();
            record.line(&format!(
                "{} holds {held} KB; uncontrolled clients have {} bytes of answers",
                specs[0].name,
                pipelined.load(Ordering::Relaxed)
            ));
        }
        if held > MEMORY_LIMIT_KB {
            record.say(&format!("{} holds {held} KB, more than {MEMORY_LIMIT_KB}: the platform ends it", specs[0].name));
            let _already_ended = daemons[0].child.kill();
            let _already_reaped = daemons[0].child.wait();
            ended = true;
        }
        if let Ok(Some(status)) = daemons[0].child.try_wait()
            && !ended
        {
            record.say(&format!("the process ended by itself: {status}"));
            ended = true;
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
        "peak {peak} KB; ordinary requests on kept connections: {served} served; {lost} were passed on to a sound server and lost with the connection, {ALLOWED_LOSSES} are allowed"
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

/// Sends all requests at once and reads the answers as they come.
fn pipelining_client(callers: SocketAddr, index: usize, answered: &AtomicU64) {
    let Ok(mut stream) = TcpStream::connect_timeout(&callers, Duration::from_secs(1)) else {
        return;
    };
    let text: String = (0..PIPELINED)
        .map(|number| {
            format!(
                "POST /goka902/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: many-{index:02}-{number:04}\r\n\
                 X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\ny\r\n0\r\n\r\n"
            )
        })
        .collect();
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    thread::spawn(move || {
        let _may_be_closed = writer.write_all(text.as_bytes());
        thread::sleep(Duration::from_secs(60));
    });
    let mut part = [0; 64 * 1024];
    while let Ok(read) = stream.read(&mut part) {
        if read == 0 {
            return;
        }
        answered.fetch_add(read as u64, Ordering::Relaxed);
    }
}
