//! Nine daemons run as separate processes in three data centres. They are killed, paused and
//! replaced while the configuration changes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use crate::spawned::{POLL_PERIOD, STEP_LIMIT, TestFolder, TestProcess};
use yuccalift_core::ids::ConfigVersion;
use yuccalift_standins::{PlatformOptions, PlatformStandin};
use yuccalift_wire::operator::{KEY_HEADER, StatusReport};

const DAEMONS: usize = 9;
const DATA_CENTRES: usize = 3;
const KEY: &str = "test-key-test-key";
/// Maximum time until a change is in effect on all daemons of a fleet of the present size.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Duration of a pause; longer than a suspicion lasts, so that peers declare the daemon gone.
const PAUSE_TIME: Duration = Duration::from_secs(9);

/// Addresses on which a daemon listens.
#[derive(Clone, Copy)]
struct DaemonListeners {
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

struct ProcessFleet {
    platform: PlatformStandin,
    folder: TestFolder,
    listeners: Vec<DaemonListeners>,
    daemons: Vec<Option<TestProcess>>,
}

impl ProcessFleet {
    fn start(name: &str) -> Self {
        let platform =
            PlatformStandin::start(PlatformOptions::default()).expect("the platform starts");
        let bounds = r#"{"daemons": 12, "daemons_per_data_centre": 4}"#;
        platform.put_value("fleet", bounds);
        let mut fleet = Self {
            platform,
            folder: TestFolder::new(name),
            listeners: choose_listeners(),
            daemons: (0..DAEMONS).map(|_| None).collect(),
        };
        for position in 0..DAEMONS {
            fleet.start_daemon(position);
        }
        let version = fleet.publish("first");
        fleet.wait_for_each("has the first version", STEP_LIMIT, |report| {
            report.ready && report.config_version >= version
        });
        fleet.wait_all_alive();
        fleet
    }

    /// Starts the process of a daemon, after killing the previous one if it still runs.
    fn start_daemon(&mut self, position: usize) {
        self.daemons[position] = None;
        let listeners = self.listeners[position];
        let seeds: Vec<String> = self
            .listeners
            .iter()
            .map(|other| other.peers)
            .filter(|&peers| peers != listeners.peers)
            .map(|peers| peers.to_string())
            .collect();
        let settings = format!(
            "host: entry-{position}\ndata_centre: dc-{}\nlisten:\n  callers: {}\n  peers: {}\n  \
             operators: {}\nplatform: ['{}']\nseed_peers: {seeds:?}\nshared_key: {KEY}\n\
             stop_timeout: 4s\n",
            position % DATA_CENTRES,
            listeners.callers,
            listeners.peers,
            listeners.operators,
            self.platform.address(),
        );
        let file = self.folder.write(&format!("{position}.yaml"), &settings);
        self.daemons[position] = Some(TestProcess::yuccaliftd(&file));
    }

    fn kill(&mut self, position: usize) {
        self.daemons[position] = None;
    }

    fn signal(&self, position: usize, signal: &str) {
        let daemon = self.daemons[position].as_ref();
        daemon.expect("the daemon runs").signal(signal);
    }

    fn publish(&self, account: &str) -> ConfigVersion {
        let text = format!(
            "templates: {{ race: {{ collections: [tags], urgency: urgent, deadline: 2s, \
             patience: 1s, repeat: hedge }} }}\naccounts: {{ {account}: {{ template: race }} }}\n"
        );
        self.platform.put_value("accounts", &text)
    }

    fn read_status(&self, position: usize) -> Option<StatusReport> {
        self.daemons[position].as_ref()?;
        let address = self.listeners[position].operators;
        actix_rt::System::new().block_on(async move {
            let request = awc::Client::default()
                .get(format!("http://{address}/v1/status"))
                .insert_header((KEY_HEADER, KEY));
            request.send().await.ok()?.json().await.ok()
        })
    }

    /// Waits until a condition holds for every running daemon.
    fn wait_for_each(
        &self,
        condition: &str,
        limit: Duration,
        holds: impl Fn(&StatusReport) -> bool,
    ) {
        let deadline = Instant::now() + limit;
        for position in (0..DAEMONS).filter(|&position| self.daemons[position].is_some()) {
            loop {
                let report = self.read_status(position);
                if report.as_ref().is_some_and(&holds) {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "daemon {position} {condition} within {limit:?}: {report:?}"
                );
                std::thread::sleep(POLL_PERIOD);
            }
        }
    }

    /// Waits until each daemon considers all others in its data centre alive.
    fn wait_all_alive(&self) {
        let running = self
            .daemons
            .iter()
            .filter(|daemon| daemon.is_some())
            .count();
        assert_eq!(running, DAEMONS, "all daemons run");
        self.wait_for_each(
            "considers all others in its data centre alive",
            STEP_LIMIT,
            |report| same_data_centre_states(report) == ["alive"; DAEMONS / DATA_CENTRES - 1],
        );
    }
}

/// Returns the states of the peers in the data centre of the daemon that reports them.
fn same_data_centre_states(report: &StatusReport) -> Vec<&str> {
    let same_data_centre = report
        .peers
        .iter()
        .filter(|peer| peer.data_centre == report.data_centre);
    same_data_centre.map(|peer| peer.state.as_ref()).collect()
}

/// Returns free ports on a loopback address that no other test uses as a source address, so that
/// connections of other tests do not take the ports before the daemon binds them.
/// Returns the addresses of a fleet's daemons. Each has a loopback address that no other fleet uses,
/// since its ports are free again until it starts.
fn choose_listeners() -> Vec<DaemonListeners> {
    static FLEETS: AtomicU8 = AtomicU8::new(0);
    let network = 200 + (std::process::id() % 50) as u8;
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let hosts = (0..DAEMONS).map(|position| Ipv4Addr::new(127, network, fleet, position as u8 + 1));
    hosts.map(|ip| choose_ports(IpAddr::V4(ip))).collect()
}

fn choose_ports(ip: IpAddr) -> DaemonListeners {
    let sockets: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind((ip, 0)).expect("a port is free"))
        .collect();
    let address = |index: usize| sockets[index].local_addr().expect("the socket is bound");
    DaemonListeners {
        callers: address(0),
        peers: address(1),
        operators: address(2),
    }
}

#[test]
fn killing_two_daemons_does_not_delay_changes() {
    let mut fleet = ProcessFleet::start("kill-two");
    fleet.kill(0);
    fleet.kill(1);
    let version = fleet.publish("second");
    fleet.wait_for_each("has the change", PROPAGATION_LIMIT, |report| {
        report.config_version >= version
    });
    fleet.start_daemon(0);
    fleet.start_daemon(1);
    fleet.wait_for_each("is ready with the change", STEP_LIMIT, |report| {
        report.ready && report.config_version >= version
    });
    fleet.wait_all_alive();
}

#[test]
fn paused_daemon_is_gone_and_rejoins_without_suspecting_others() {
    let fleet = ProcessFleet::start("pause");
    fleet.signal(0, "-STOP");
    let version = fleet.publish("second");
    let deadline = Instant::now() + PAUSE_TIME;
    for position in 1..DAEMONS {
        while fleet
            .read_status(position)
            .is_none_or(|report| report.config_version < version)
        {
            assert!(
                Instant::now() < deadline,
                "daemon {position} has the change"
            );
            std::thread::sleep(POLL_PERIOD);
        }
    }
    std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
    let report = fleet.read_status(DATA_CENTRES).expect("the daemon answers");
    let paused = report
        .peers
        .iter()
        .find(|peer| peer.host.as_ref() == "entry-0");
    assert_eq!(
        paused.map(|peer| peer.state.as_ref()),
        Some("gone"),
        "the paused daemon is reported as gone"
    );
    fleet.signal(0, "-CONT");
    fleet.wait_for_each("has the change", PROPAGATION_LIMIT, |report| {
        report.config_version >= version
    });
    fleet.wait_all_alive();
}

#[test]
fn stop_signal_announces_leaving_and_exits_successfully() {
    let mut fleet = ProcessFleet::start("stop");
    fleet.signal(0, "-TERM");
    let deadline = Instant::now() + PROPAGATION_LIMIT;
    let knows_leaving = |position: usize| {
        let report = fleet.read_status(position).expect("the daemon answers");
        same_data_centre_states(&report).contains(&"leaving")
    };
    while !(knows_leaving(DATA_CENTRES) && knows_leaving(2 * DATA_CENTRES)) {
        assert!(
            Instant::now() < deadline,
            "peers are informed that the daemon is leaving"
        );
        std::thread::sleep(POLL_PERIOD);
    }
    let mut stopped = fleet.daemons[0].take().expect("the daemon runs");
    assert!(
        stopped.wait_for_exit().success(),
        "the process exits with status 0"
    );
}
