//! Orders that must run at most once, at services whose leafs are often full; one leaf of each
//! service sends some answers twice.

use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::daemon::{Daemon, HostPlan, free_ips};
use crate::http::Link;
use crate::leaf::{Leaf, LeafPlan};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "shop.example";
pub const ZONES: [&str; 3] = ["norte", "centro", "valle"];
/// Entry hosts, as at the smaller deployment: three, two and two.
pub const HOSTS: usize = 7;
/// Time in which orders are sent.
const DAY: Duration = Duration::from_secs(106);
/// The leaf is faulty for this long, again and again until a breach is seen.
const FAULTY_TIME: Duration = Duration::from_secs(5);
/// Time between two faults, in which all leafs are sound.
const SOUND_TIME: Duration = Duration::from_secs(5);
/// Time before the first fault.
const LEAD_TIME: Duration = Duration::from_secs(1);
/// Share of the answers that the faulty leaf sends twice, in thousandths.
const COPIES: u64 = 40;
/// Services, each with a leaf in each zone.
const SERVICES: usize = 3;
/// Callers of each service at each entry host.
const CALLERS_PER_HOST: usize = 2;
/// All callers come at once, this often.
const TICK: Duration = Duration::from_millis(50);
/// Time that a leaf works on an order.
const WORK: Duration = Duration::from_millis(15);

/// The stand-ins of a site and its daemons, which end when they are dropped.
pub type Site = (Store, Vec<Leaf>, Vec<Daemon>);

/// Starts a site and waits until its daemons are ready; returns why that failed.
pub fn site(record: &Record, scratch: &Path) -> Result<Site, String> {
    let store = Store::start();
    let seed = u64::from(std::process::id());
    let mut leafs = Vec::new();
    for service in 0..SERVICES {
        for (index, zone) in ZONES.iter().enumerate() {
            let plan = LeafPlan {
                id: format!("i-{service}{index}a7c"),
                service: format!("bares-{service}"),
                zone: (*zone).to_owned(),
                slots: 2,
                queue: 2,
                work: WORK,
            };
            let leaf_seed = seed * 31 + leafs.len() as u64;
            leafs.push(Leaf::start(plan, leaf_seed, record));
        }
    }
    for leaf in &leafs {
        store.put(&leaf.key(), Some(&leaf.entry("ready", 1)));
    }
    store.put("op/config", Some(&config()));
    let daemons = start_daemons(&store, scratch)?;
    Ok((store, leafs, daemons))
}

/// Starts a daemon on each host and waits until all are ready; returns why that failed.
pub fn start_daemons(store: &Store, scratch: &Path) -> Result<Vec<Daemon>, String> {
    let ips = free_ips(HOSTS);
    if ips.len() < HOSTS {
        return Err("no free loopback addresses".to_owned());
    }
    let mut daemons: Vec<Daemon> = (0..HOSTS)
        .map(|index| {
            let plan = HostPlan {
                name: format!("frontend-{}-{}", ZONES[index % 3], index / 3 + 1),
                zone: ZONES[index % 3].to_owned(),
                ip: ips[index].clone(),
                store: store.address,
                seeds: ips[..3].to_vec(),
            };
            Daemon::prepare(plan, scratch)
        })
        .collect();
    for daemon in &mut daemons {
        daemon.start();
    }
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(15)))
    {
        return Err("the daemons are not ready".to_owned());
    }
    Ok(daemons)
}

pub fn play(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let (_store, leafs, daemons) = match site(record, scratch) {
        Ok(site) => site,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let faulty: Vec<&Leaf> = leafs.iter().step_by(ZONES.len()).collect();
    let begin = Instant::now();
    let end = begin + DAY;
    let next = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..HOSTS * CALLERS_PER_HOST * SERVICES)
        .map(|index| {
            let front = daemons[index % HOSTS].front();
            let service = index / HOSTS % SERVICES;
            let (next, is_over) = (Arc::clone(&next), Arc::clone(&is_over));
            let record = record.clone();
            std::thread::spawn(move || {
                let mut link: Option<Link> = None;
                while !is_over.load(Ordering::Relaxed) {
                    let order = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("order-{order:06}");
                    send_order(front, &mut link, service, &id, &record);
                    let passed = begin.elapsed().as_nanos() % TICK.as_nanos();
                    std::thread::sleep(TICK - Duration::from_nanos(passed as u64));
                }
            })
        })
        .collect();
    std::thread::sleep(LEAD_TIME);
    while Instant::now() + FAULTY_TIME <= end && breaches(record).is_empty() {
        if has_trouble {
            faulty.iter().for_each(|leaf| leaf.send_copies(COPIES));
            record.add("one leaf of each service sends some answers twice");
        }
        std::thread::sleep(FAULTY_TIME);
        faulty.iter().for_each(|leaf| leaf.send_copies(0));
        record.add("all leafs are sound");
        std::thread::sleep(SOUND_TIME.min(end.saturating_duration_since(Instant::now())));
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    // What still runs at a leaf ends meanwhile.
    std::thread::sleep(Duration::from_secs(2));
    judge(record, &faulty)
}

/// The configuration: one route for each service.
fn config() -> String {
    let routes = (0..SERVICES).map(|service| {
        format!(
            "{{\"name\":\"r-order-{service}\",\"hostname\":\"{HOST}\",\
             \"prefix\":\"/order-{service}/\",\"route_type\":\"non_idempotent\",\
             \"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":2,\
             \"backend\":\"bares-{service}\",\"attempts\":2}}"
        )
    });
    let services = (0..SERVICES).map(|service| {
        format!("{{\"name\":\"bares-{service}\",\"health_path\":\"/health\",\"max_conns\":35}}")
    });
    let (routes, services): (Vec<_>, Vec<_>) = (routes.collect(), services.collect());
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn send_order(
    front: std::net::SocketAddr,
    link: &mut Option<Link>,
    service: usize,
    id: &str,
    record: &Record,
) {
    if link.is_none() {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1));
        *link = stream.ok().map(Link::new);
    }
    let Some(open) = link else {
        return;
    };
    open.set_read_timeout(Duration::from_secs(16));
    let body = format!("one order of ice, {id}");
    let text = format!(
        "POST /order-{service}/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 15000\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = open.send(text.as_bytes());
    let answer = sent.and_then(|()| open.read()).ok().flatten();
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    record.answered(id, status);
    let closes = answer.is_none_or(|answer| {
        answer
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    });
    if closes {
        *link = None;
    }
}

/// The orders that ran twice, or were refused and ran.
fn breaches(record: &Record) -> Vec<String> {
    let (runs, answers) = (record.runs(), record.answers());
    let mut found = Vec::new();
    for (id, leafs) in &runs {
        if leafs.len() > 1 {
            found.push(format!("TWICE: {id} ran at {}", leafs.join(" and ")));
        }
        let status = answers.get(id).copied().unwrap_or(0);
        if [408, 421, 429, 503].contains(&status) {
            found.push(format!(
                "REFUSED: {id} was answered {status} and ran at {}",
                leafs.join(", ")
            ));
        }
    }
    found
}

fn judge(record: &Record, faulty: &[&Leaf]) -> Verdict {
    let (answers, breaches) = (record.answers(), breaches(record));
    for breach in &breaches {
        record.say(breach);
    }
    let served = answers.values().filter(|status| **status == 200).count();
    let refused = answers.values().filter(|status| **status == 503).count();
    let counts = faulty.iter().map(|leaf| leaf.copies());
    let (sent, copies) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    record.say(&format!(
        "{} orders, {served} served, {refused} refused; {copies} of {sent} answers of the faulty leafs \
         were sent twice; {} breaches",
        answers.len(),
        breaches.len()
    ));
    if served == 0 {
        return Verdict::CouldNotRun("no order was served".to_owned());
    }
    if breaches.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
