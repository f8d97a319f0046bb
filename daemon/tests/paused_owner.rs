//! The owner of a ticket is a process that is stopped while its request runs, and goes on later.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use support::{COLLECTION, ORDER_ACCOUNT, TestSite, wait_ready};
use yuccalift_core::{Outcome, Refusal};
use yuccalift_daemon::Daemon;
use yuccalift_standins::{LeafCommand, LeafStandin};
use yuccalift_testkit::cases;
use yuccalift_wire::caller::{ExecuteAnswer, ExecuteBody, Ticket, TicketBody, TicketGrant};

/// The service time of the leafs: the request runs when the owner is stopped.
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// How long the owner is stopped: past the caller's deadline.
const PAUSE: Duration = Duration::from_secs(3);
/// How long the caller waits, in milliseconds.
const TIME_LEFT_MS: u64 = 1_500;
/// How long the other daemon may take to know the owner.
const MEET_LIMIT: Duration = Duration::from_secs(10);

/// A daemon as a process of its own; it is killed when this is dropped.
struct DaemonProcess {
    child: Child,
    callers: SocketAddr,
    peers: SocketAddr,
}

impl DaemonProcess {
    fn start(site: &TestSite) -> Self {
        let text = format!(
            "host: entry-1\ndata_centre: dc-1\nlisten:\n  callers: 127.0.0.1:0\n  peers: \
             127.0.0.1:0\n  operators: 127.0.0.1:0\nplatform: [{}]\nshared_key: \
             test-key-test-key\nlog:\n  format: json\n  level: info\n",
            site.platform.address()
        );
        let folder = std::env::temp_dir().join(format!("paused-owner-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder can be made");
        let file = folder.join("daemon.yaml");
        std::fs::write(&file, text).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_yuccaliftd"))
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.expect("the daemon starts");
        let log = child.stdout.take().expect("its log is read");
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let started = lines.find(|line| line.contains("daemon_started"));
        let started = started.expect("it says where it listens");
        std::thread::spawn(move || lines.for_each(drop));
        std::fs::remove_dir_all(&folder).expect("the folder can go");
        Self {
            child,
            callers: address(&started, "callers"),
            peers: address(&started, "peers"),
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{name} is sent");
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _it_may_have_ended = self.child.kill();
        let _it_may_have_ended = self.child.wait();
    }
}

/// An address in a line of the log.
fn address(line: &str, field: &str) -> SocketAddr {
    let mark = format!("\"{field}\":\"");
    let rest = line.split(&mark).nth(1).expect("the field is there");
    let text = rest.split('"').next().unwrap_or_default();
    text.parse().expect("it is an address")
}

async fn post<T: serde::Serialize>(address: SocketAddr, path: &str, body: &T) -> (u16, Vec<u8>) {
    let call = awc::Client::builder().disable_timeout().finish();
    let call = call.post(format!("http://{address}{path}")).send_json(body);
    let mut response = call.await.expect("the daemon answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("the body is whole");
    (status, body.to_vec())
}

async fn execute(address: SocketAddr, body: &ExecuteBody) -> Result<ExecuteAnswer, Refusal> {
    let (status, body) = post(address, "/v1/execute", body).await;
    if status == 200 {
        return Ok(serde_json::from_slice(&body).expect("the answer is read"));
    }
    Err(serde_json::from_slice(&body).expect("the refusal is read"))
}

fn wait_met(daemon: &Daemon, ticket: &Ticket) {
    let end = Instant::now() + MEET_LIMIT;
    while daemon.peer_directory().find(&ticket.owner).is_none() {
        assert!(Instant::now() < end, "the daemons meet in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn runs(site: &TestSite) -> usize {
    let leafs = site.leafs.leafs().iter();
    leafs.flat_map(LeafStandin::runs).count()
}

fn a_paused_owner_runs_once() {
    let site = TestSite::start(1, 2);
    for leaf in site.leafs.leafs() {
        leaf.command(LeafCommand::SetSlowdown(SERVICE_TIME.as_secs_f64() / 0.004));
    }
    let owner = DaemonProcess::start(&site);
    wait_ready(owner.callers);
    let mut settings = site.settings("entry-2");
    settings.seed_peers = vec![owner.peers];
    let other = Daemon::start(settings).expect("the daemon starts");
    wait_ready(other.addresses().caller);
    actix_rt::System::new().block_on(async {
        let account = ORDER_ACCOUNT.into();
        let (_status, grant) = post(owner.callers, "/v1/tickets", &TicketBody { account }).await;
        let grant: TicketGrant = serde_json::from_slice(&grant).expect("a grant is read");
        wait_met(&other, &grant.ticket);
        let body = ExecuteBody {
            ticket: Some(grant.ticket),
            request: "order-1".into(),
            account: ORDER_ACCOUNT.into(),
            collection: COLLECTION.into(),
            shard: 0,
            text: "order 20 bags".into(),
            time_left_ms: Some(TIME_LEFT_MS),
        };
        let first = execute(owner.callers, &body);
        let acts = async {
            tokio::time::sleep(SERVICE_TIME / 2).await;
            owner.signal("-STOP");
            let meanwhile = execute(other.addresses().caller, &body).await;
            let refusal = meanwhile.expect_err("nobody else may run it");
            assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
            tokio::time::sleep(PAUSE).await;
            owner.signal("-CONT");
        };
        let (first, ()) = futures_util::future::join(first, acts).await;
        if let Err(refusal) = &first {
            assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
        }
        for address in [owner.callers, other.addresses().caller] {
            if let Err(refusal) = execute(address, &body).await {
                assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
            }
        }
    });
    assert_eq!(runs(&site), 1, "it ran once");
    other.stop();
}

cases! {
    a_paused_owner_neither_doubles_nor_denies: a_paused_owner_runs_once();
}
