//! A planned stop interrupts no request, and a draining target gets no new work, whichever signal
//! of the drain arrives first.

#[expect(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use support::{ACCOUNT, COLLECTION, TestSite};
use yuccalift_daemon::Daemon;
use yuccalift_standins::LeafCommand;
use yuccalift_standins::leaf::DrainSignal;
use yuccalift_testkit::cases;
use yuccalift_wire::caller::SearchBody;
use yuccalift_wire::operator::KEY_HEADER;
use yuccalift_wire::platform::{HostEntry, HostList, HostState};

const KEY: &str = "test-key-test-key";
/// Interval at which the load balancer of these tests checks readiness.
const BALANCER_POLL: Duration = Duration::from_millis(100);
/// Maximum time until a draining target gets no more new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the load continues after [`DRAIN_LIMIT`].
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Connection limit that the site publishes for each target.
const CONNECTIONS: u32 = 30;
const CALLERS: usize = 4;
const CALL_PAUSE: Duration = Duration::from_millis(10);

async fn readiness_status(address: SocketAddr) -> Option<u16> {
    let request = awc::Client::default().get(format!("http://{address}/ready"));
    let response = request.send().await.ok()?;
    Some(response.status().as_u16())
}

async fn search(address: SocketAddr, request: String) -> Result<u16, String> {
    let body = SearchBody {
        request: request.into(),
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        text: "ewe 4711".into(),
        limit: 1,
        time_left_ms: None,
    };
    let request = awc::Client::default().post(format!("http://{address}/v1/search"));
    let mut response = request
        .send_json(&body)
        .await
        .map_err(|error| format!("{address}: {error}"))?;
    let status = response.status().as_u16();
    let body = response.body().await.map_err(|error| error.to_string())?;
    if status == 200 {
        return Ok(status);
    }
    Err(format!(
        "{address}: {status} {}",
        String::from_utf8_lossy(&body)
    ))
}

/// Load of several callers, balanced over the daemons that are ready.
struct BalancedLoad {
    daemons: Arc<Mutex<Vec<SocketAddr>>>,
    failures: Arc<Mutex<Vec<String>>>,
    answered: Arc<AtomicU32>,
    stop: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<()>,
}

impl BalancedLoad {
    fn start(daemons: Vec<SocketAddr>) -> Self {
        let daemons = Arc::new(Mutex::new(daemons));
        let failures = Arc::<Mutex<Vec<String>>>::default();
        let (answered, stop) = (Arc::<AtomicU32>::default(), Arc::<AtomicBool>::default());
        let load = LoadState {
            daemons: Arc::clone(&daemons),
            ready: Arc::default(),
            failures: Arc::clone(&failures),
            answered: Arc::clone(&answered),
            stop: Arc::clone(&stop),
        };
        let thread = std::thread::spawn(move || actix_rt::System::new().block_on(load.run()));
        Self {
            daemons,
            failures,
            answered,
            stop,
            thread,
        }
    }

    fn replace(&self, old: SocketAddr, new: SocketAddr) {
        let mut daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
        daemons.retain(|&known| known != old);
        daemons.push(new);
    }

    /// Stops the load. Returns the number of answered requests, and the failures.
    fn end(self) -> (u32, Vec<String>) {
        self.stop.store(true, Ordering::Release);
        self.thread.join().expect("the load ends");
        let failures = self.failures.lock().unwrap_or_else(PoisonError::into_inner);
        (self.answered.load(Ordering::Acquire), failures.clone())
    }
}

#[derive(Clone)]
struct LoadState {
    daemons: Arc<Mutex<Vec<SocketAddr>>>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    failures: Arc<Mutex<Vec<String>>>,
    answered: Arc<AtomicU32>,
    stop: Arc<AtomicBool>,
}

impl LoadState {
    async fn run(self) {
        let mut tasks = vec![actix_rt::spawn(self.clone().update_ready_daemons())];
        for caller in 0..CALLERS {
            tasks.push(actix_rt::spawn(self.clone().call(caller)));
        }
        for task in tasks {
            task.await.expect("a caller ends");
        }
    }

    async fn update_ready_daemons(self) {
        while !self.stop.load(Ordering::Acquire) {
            let daemons = self.daemons.lock().expect("no thread panics").clone();
            let mut ready = Vec::new();
            for address in daemons {
                if readiness_status(address).await == Some(200) {
                    ready.push(address);
                }
            }
            *self.ready.lock().expect("no thread panics") = ready;
            actix_rt::time::sleep(BALANCER_POLL).await;
        }
    }

    async fn call(self, caller: usize) {
        let mut number = 0;
        while !self.stop.load(Ordering::Acquire) {
            number += 1;
            let ready = self.ready.lock().expect("no thread panics").clone();
            if let Some(&address) = ready.get((caller + number) % ready.len().max(1)) {
                match search(address, format!("{caller}-{number}")).await {
                    Ok(_status) => drop(self.answered.fetch_add(1, Ordering::AcqRel)),
                    Err(failure) => {
                        let mut failures = self.failures.lock().expect("no thread panics");
                        failures.push(failure);
                    }
                }
            }
            actix_rt::time::sleep(CALL_PAUSE).await;
        }
    }
}

/// Starts ready daemons on the given hosts; the seed peers of each are the daemons started before.
fn start_daemons(site: &TestSite, hosts: &[&str]) -> Vec<Daemon> {
    let mut daemons: Vec<Daemon> = Vec::new();
    for host in hosts {
        let mut settings = site.settings(host);
        settings.seed_peers = daemons
            .iter()
            .map(|daemon| daemon.addresses().peer)
            .collect();
        let daemon = Daemon::start(settings).expect("the daemon starts");
        support::wait_ready(daemon.addresses().caller);
        daemons.push(daemon);
    }
    daemons
}

#[test]
fn rolling_restart_interrupts_no_request() {
    let site = TestSite::start(6, 2);
    let daemons = start_daemons(&site, &["entry-1", "entry-2", "entry-3"]);
    let load = BalancedLoad::start(
        daemons
            .iter()
            .map(|daemon| daemon.addresses().caller)
            .collect(),
    );
    std::thread::sleep(Duration::from_secs(1));
    for (number, daemon) in daemons.into_iter().enumerate() {
        let old = daemon.addresses();
        let mut settings = site.settings(&format!("entry-{}", number + 1));
        settings.seed_peers = vec![old.peer];
        let report = daemon.stop();
        assert!(
            report.overdue.is_empty(),
            "every service stops in time: {report:?}"
        );
        let restarted = Daemon::start(settings).expect("the daemon starts again");
        support::wait_ready(restarted.addresses().caller);
        load.replace(old.caller, restarted.addresses().caller);
        // The restarted daemons run until the test process ends; dropping one does not stop it.
        std::mem::forget(restarted);
    }
    let (answered, failures) = load.end();
    assert_eq!(failures, Vec::<String>::new(), "no request is interrupted");
    assert!(answered > 100, "the load went on: {answered} answered");
    for leaf in site.leafs.leafs() {
        let connections = leaf.connections();
        assert!(
            connections.peak <= CONNECTIONS,
            "connections within the limit: {connections:?}"
        );
    }
}

/// Trigger of a planned stop.
#[derive(Clone, Copy)]
enum StopTrigger {
    /// Cancellation of the token, as the process does on SIGTERM.
    Token,
    /// Call to the operators' listener.
    Operator,
}

/// Readiness ends first, while requests are still accepted; requests in flight are finished.
fn stop_ends_readiness_first_and_finishes_requests(trigger: StopTrigger) {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let addresses = daemon.addresses();
    // The leaf is slow enough for requests to be in flight during the whole test.
    site.leafs.leafs()[0].command(LeafCommand::SetSlowdown(100.0));
    let system = actix_rt::System::new();
    let token = daemon.stop_token();
    system.block_on(async move {
        let before = actix_rt::spawn(search(addresses.caller, "before".to_owned()));
        actix_rt::time::sleep(BALANCER_POLL).await;
        match trigger {
            StopTrigger::Token => token.cancel(),
            StopTrigger::Operator => {
                let url = format!("http://{}/v1/drain", addresses.operator);
                let request = awc::Client::default().post(url);
                let sent = request.insert_header((KEY_HEADER, KEY)).send().await;
                assert_eq!(sent.expect("the daemon answers").status().as_u16(), 202);
            }
        }
        actix_rt::time::sleep(BALANCER_POLL).await;
        assert_eq!(
            readiness_status(addresses.caller).await,
            Some(503),
            "readiness has ended"
        );
        let after = search(addresses.caller, "after".to_owned()).await;
        assert_eq!(
            after,
            Ok(200),
            "requests that the balancer still sends are served"
        );
        let before = before.await.expect("the call ends");
        assert_eq!(before, Ok(200), "requests in flight are finished");
    });
    let report = daemon.join();
    assert!(
        report.overdue.is_empty(),
        "every service stops in time: {report:?}"
    );
}

fn list_host_as_leaving(site: &TestSite, host: &str) {
    site.platform.set_hosts(HostList {
        entry_hosts: Vec::new(),
        target_hosts: vec![HostEntry {
            host: host.into(),
            data_centre: "dc-1".into(),
            peer_address: "".into(),
            state: HostState::Leaving,
        }],
    });
}

/// A target drains while two daemons send it work; after [`DRAIN_LIMIT`], 3 s, it gets no new work.
fn draining_target_gets_no_new_work(signal: DrainSignal, is_listed: bool) {
    let site = TestSite::start(1, 3);
    let daemons = start_daemons(&site, &["entry-1", "entry-2"]);
    let load = BalancedLoad::start(
        daemons
            .iter()
            .map(|daemon| daemon.addresses().caller)
            .collect(),
    );
    let leaf = &site.leafs.leafs()[0];
    let end = Instant::now() + DRAIN_LIMIT;
    while leaf.counts().received == 0 {
        assert!(
            Instant::now() < end,
            "the target gets work before it drains"
        );
        std::thread::sleep(CALL_PAUSE);
    }
    leaf.command(LeafCommand::Drain(signal));
    if is_listed {
        list_host_as_leaving(&site, "leaf-0");
    }
    std::thread::sleep(DRAIN_LIMIT + OBSERVATION_TIME);
    let late = leaf.counts().work_after_drain_ms.unwrap_or(0);
    let (answered, failures) = load.end();
    assert!(
        u128::from(late) <= DRAIN_LIMIT.as_millis(),
        "new work {late} ms after the drain"
    );
    assert_eq!(failures, Vec::<String>::new(), "no request fails");
    assert!(answered > 50, "the load went on: {answered} answered");
    for daemon in daemons {
        daemon.stop();
    }
}

cases! {
    a_stop_by_token_finishes_requests: stop_ends_readiness_first_and_finishes_requests(StopTrigger::Token);
    a_stop_by_an_operator_finishes_requests:
        stop_ends_readiness_first_and_finishes_requests(StopTrigger::Operator);
    a_target_that_refuses_gets_no_work: draining_target_gets_no_new_work(DrainSignal::Refusal, false);
    a_target_that_is_listed_gets_no_work: draining_target_gets_no_new_work(DrainSignal::None, true);
}
