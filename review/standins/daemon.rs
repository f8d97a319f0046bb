//! Starts the daemon of the deploy file as a process, with settings filled in from the template of
//! the repository.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Link;

/// What the platform fills in for one entry host.
pub struct HostPlan {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub store: SocketAddr,
    pub seeds: Vec<String>,
}

const FRONT: u16 = 8226;
const READY: u16 = 8227;
const CONTROL: u16 = 8224;

pub struct Daemon {
    pub plan: HostPlan,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    pub fn prepare(plan: HostPlan, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.yaml", plan.name));
        let log = folder.join(format!("{}.log", plan.name));
        let daemon = Self {
            plan,
            settings,
            log,
            child: None,
        };
        daemon.write_settings("6");
        daemon
    }

    /// Fills in the template, as the platform does at every start and whenever settings change;
    /// `grace_s` is the bound of that name.
    pub fn write_settings(&self, grace_s: &str) {
        let plan = &self.plan;
        let template = std::fs::read_to_string("deploy/relay.yaml.template");
        let mut text = template.expect("the script runs in the root of the repository");
        let seeds = plan.seeds.iter().map(|ip| format!("{ip}:{CONTROL}"));
        let fields = [
            ("node_name", plan.name.clone()),
            ("zone", plan.zone.clone()),
            ("ip", plan.ip.clone()),
            ("listen_addrs.front", format!("{}:{FRONT}", plan.ip)),
            ("listen_addrs.ready", format!("{}:{READY}", plan.ip)),
            ("listen_addrs.control", format!("{}:{CONTROL}", plan.ip)),
            ("platform.address", plan.store.to_string()),
            ("platform.reads_per_s", "2000".to_owned()),
            ("seeds", seeds.collect::<Vec<_>>().join(",")),
            ("bounds.drain_ms", "3000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", grace_s.to_owned()),
        ];
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let written = self.settings.with_extension("new");
        std::fs::write(&written, text).expect("the settings are written");
        std::fs::rename(&written, &self.settings).expect("the settings are replaced");
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log opens");
        let child = Command::new("target/release/yuccaliftd")
            .arg("--relay")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be shared"))
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("the daemon has been built"));
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{FRONT}", self.plan.ip)
            .parse()
            .expect("an address")
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:{READY}", self.plan.ip)
            .parse()
            .expect("an address");
        let Ok(stream) = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1))
        else {
            return false;
        };
        let mut link = Link::new(stream);
        link.set_read_timeout(Duration::from_secs(1));
        let sent = link.send(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        sent.is_ok() && matches!(link.read(), Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([name, &child.id().to_string()])
                .status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Three loopback addresses that are free for the daemons' ports.
pub fn free_ips(count: usize) -> Vec<String> {
    let own = std::process::id();
    for try_number in 0..200_u32 {
        let net = 64 + (own / 200 + try_number) % 150;
        let part = (own + 7 * try_number) % 200 + 1;
        let ips: Vec<String> = (1..=count)
            .map(|host| format!("127.{net}.{part}.{host}"))
            .collect();
        let ports = [FRONT, READY, CONTROL, 9464];
        let is_free = ips.iter().all(|ip| {
            ports
                .iter()
                .all(|port| std::net::TcpListener::bind((ip.as_str(), *port)).is_ok())
        });
        if is_free {
            return ips;
        }
    }
    Vec::new()
}
