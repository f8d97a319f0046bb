//! The load of a small deployment: its configuration, its servers and its ordinary clients.

#![allow(dead_code)]

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::site::*;

pub const ZONES: [&str; 3] = ["norte", "centro", "valle"];
pub const MEMORY_LIMIT_KB: u64 = 260 * 1024;
/// Number of requests that may be lost, by LOST.
pub const ALLOWED_LOSSES: u64 = 3;

/// Starts three servers of each of ten shards, and forty that take 220 ms for an invoice. The
/// ids of the invoice requests that a server has begun are added to `begun`.
pub fn start_servers(store: &Arc<Store>, begun: &Arc<Mutex<Vec<String>>>) -> Vec<Arc<Server>> {
    let seen = Arc::clone(begun);
    let behaviour: Behaviour = Arc::new(move |server: &Server, request: &Message| {
        let id = request.header("x-request-id").unwrap_or("");
        if request.word(1).starts_with("/goka902/") {
            lock(&seen).push(id.to_owned());
            thread::sleep(Duration::from_millis(220));
        } else {
            thread::sleep(Duration::from_millis(28));
        }
        server.success(&[7; 208])
    });
    let mut servers = Vec::new();
    for shard in 0..10 {
        for (number, zone) in ZONES.iter().enumerate() {
            let id = format!("i-{shard}{number}c0de");
            servers.push(Server::start(store, &id, &format!("despacho{shard}"), zone, 5, Arc::clone(&behaviour)));
        }
    }
    for number in 0..40 {
        let id = format!("i-b{number}c0de");
        servers.push(Server::start(store, &id, "cobranza", ZONES[number % 3], 2, Arc::clone(&behaviour)));
    }
    servers
}

pub fn config() -> String {
    let shards: Vec<String> = (0..10).map(|shard| format!("despacho{shard}")).collect();
    let gather: Vec<String> = shards.iter().map(|name| format!("\"{name}\"")).collect();
    let services: Vec<String> = shards
        .iter()
        .map(|name| (name.as_str(), 41))
        .chain([("cobranza", 35)])
        .map(|(name, limit)| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":{limit},\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-pedidos\",\"hostname\":\"{HOST}\",\"prefix\":\"/rany330/\",\"route_type\":\"idempotent\",\
         \"timeout_ms\":3000,\"target_latency_ms\":200,\"priority\":1,\"gather\":[{}],\"attempts\":2,\"top_k\":10,\"min_coverage\":0.89}},\
         {{\"name\":\"r-factura\",\"hostname\":\"{HOST}\",\"prefix\":\"/goka902/\",\"route_type\":\"idempotent\",\
         \"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":2,\"backend\":\"cobranza\",\"attempts\":2}}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        gather.join(","),
        services.join(",")
    )
}

/// Returns the anonymous memory of a process, without the pages of its program.
pub fn held_kb(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let mut lines = text.lines().filter_map(|line| line.strip_prefix("RssAnon:"));
    let word = lines.next().and_then(|rest| rest.split_whitespace().next());
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Sends one request after the other on a kept connection.
pub fn ordinary_client(
    callers: SocketAddr,
    index: u64,
    stop: &AtomicBool,
    record: &Record,
    begun: &Mutex<Vec<String>>,
    served: &AtomicU64,
    lost: &AtomicU64,
) {
    // Clients differ in phase.
    thread::sleep(Duration::from_millis(15 * index));
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect_timeout(&callers, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _best_effort = stream.set_nodelay(true);
        let _best_effort = stream.set_read_timeout(Some(Duration::from_secs(16)));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let id = new_id("invoice");
            number += 1;
            let text = get(&format!("/goka902/{id}"), &id, 15_000);
            let sent = writer.write_all(text.as_bytes()).is_ok();
            let answer = match read_head(&mut reader) {
                Ok(Some(mut answer)) => read_body(&mut reader, &mut answer, false).map(|()| answer).ok(),
                _ => None,
            };
            match answer {
                Some(answer) if answer.status() == 200 => {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                Some(answer) => record.line(&format!("{id} answered {}", answer.status())),
                None => {
                    let has_begun = lock(begun).contains(&id);
                    if sent && has_begun && number > 1 {
                        lost.fetch_add(1, Ordering::Relaxed);
                    }
                    record.line(&format!("{id} ended without an answer; a server had begun it: {has_begun}"));
                    break;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}
