//! The owner of a ticket is a process that is stopped while its request runs, and later continued.

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

/// Service time of the leafs, so that the request runs when the owner is stopped.
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// Time for which the owner is stopped; it exceeds the caller's deadline.
const PAUSE: Duration = Duration::from_secs(3);
/// The caller's deadline, in milliseconds.
const TIME_LEFT_MS: u64 = 1_500;
/// Maximum time until the other daemon knows the owner.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(10);

/// A daemon in a separate process, which is killed on drop.
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
        std::fs::create_dir_all(&folder).expect("a folder can be created");
        let file = folder.join("daemon.yaml");
        std::fs::write(&file, text).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_yuccaliftd"))
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.expect("the daemon starts");
        let log = child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(log).lines().map_while(Result::ok);
        let started = lines.find(|line| line.contains("daemon_started"));
        let started = started.expect("the daemon logs its addresses");
        std::thread::spawn(move || lines.for_each(drop));
        std::fs::remove_dir_all(&folder).expect("the folder can be removed");
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
        let _process_may_have_ended = self.child.kill();
        let _process_may_have_ended = self.child.wait();
    }
}

/// Parses the address in a field of a log line.
fn address(line: &str, field: &str) -> SocketAddr {
    let mark = format!("\"{field}\":\"");
    let rest = line.split(&mark).nth(1).expect("the field is there");
    let text = rest.split('"').next().unwrap_or_default();
    text.parse().expect("the field is an address")
}

async fn post<T: serde::Serialize>(address: SocketAddr, path: &str, body: &T) -> (u16, Vec<u8>) {
    let call = awc::Client::builder().disable_timeout().finish();
    let call = call.post(format!("http://{address}{path}")).send_json(body);
    let mut response = call.await.expect("the daemon answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("the body is complete");
    (status, body.to_vec())
}

async fn execute(address: SocketAddr, body: &ExecuteBody) -> Result<ExecuteAnswer, Refusal> {
    let (status, body) = post(address, "/v1/execute", body).await;
    if status == 200 {
        return Ok(serde_json::from_slice(&body).expect("the answer is parsed"));
    }
    Err(serde_json::from_slice(&body).expect("the refusal is parsed"))
}

fn wait_until_known(daemon: &Daemon, ticket: &Ticket) {
    let end = Instant::now() + DISCOVERY_LIMIT;
    while daemon.peer_directory().find(&ticket.owner).is_none() {
        assert!(Instant::now() < end, "the daemons know each other in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn count_runs(site: &TestSite) -> usize {
    let leafs = site.leafs.leafs().iter();
    leafs.flat_map(LeafStandin::runs).count()
}

fn paused_owner_runs_request_once() {
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
        let grant: TicketGrant = serde_json::from_slice(&grant).expect("the grant is parsed");
        wait_until_known(&other, &grant.ticket);
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
        let interruption = async {
            tokio::time::sleep(SERVICE_TIME / 2).await;
            owner.signal("-STOP");
            let during_pause = execute(other.addresses().caller, &body).await;
            let refusal = during_pause.expect_err("no other daemon may run the request");
            assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
            tokio::time::sleep(PAUSE).await;
            owner.signal("-CONT");
        };
        let (first, ()) = futures_util::future::join(first, interruption).await;
        if let Err(refusal) = &first {
            assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
        }
        for address in [owner.callers, other.addresses().caller] {
            if let Err(refusal) = execute(address, &body).await {
                assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
            }
        }
    });
    assert_eq!(count_runs(&site), 1, "the request ran once");
    other.stop();
}

cases! {
    a_paused_owner_runs_the_request_once_and_never_denies_it: paused_owner_runs_request_once();
}
