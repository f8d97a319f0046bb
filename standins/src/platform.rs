//! The stand-in for the platform: values with versions, a lagging list of hosts, a call limit.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use yuccalift_core::ids::ConfigVersion;
use yuccalift_wire::platform::{HostList, PublishedValue, ValueChanges};

use crate::error::StandinError;
use crate::gate::ConnectionGate;
use crate::server::{STANDIN_IP, ServerSpec, ServerThread};

mod http;

/// Reads a second across all readers that the platform answers.
pub const CALLS_PER_SECOND: u32 = 2_000;
/// How long the platform takes to answer.
const ANSWER_DELAY: Duration = Duration::from_millis(2);
/// Connections that the platform accepts.
const CONNECTIONS: u32 = 4_096;
/// The length of the window over which calls are counted against the limit.
const CALL_WINDOW: Duration = Duration::from_secs(1);

/// How a platform stand-in is started.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Where it listens; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Calls a second that it answers; 429 beyond.
    pub calls_per_second: u32,
    /// How long it takes to answer.
    pub answer_delay: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((STANDIN_IP, 0)),
            calls_per_second: CALLS_PER_SECOND,
            answer_delay: ANSWER_DELAY,
        }
    }
}

/// How the platform behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// It serves what was put last.
    Normal,
    /// It answers 503 to every call.
    Down,
    /// It serves the values as they were at an old version, and says so.
    Stale(ConfigVersion),
}

/// What the platform has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformCalls {
    /// Calls since the start, each watch counted once.
    pub total: u64,
    /// Calls that were refused since they were over the limit.
    pub refused: u64,
    /// The most calls of any one second.
    pub peak_per_second: u32,
    /// Watches that wait now.
    pub waiting: u32,
}

/// A stand-in for the platform, on a thread of its own.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    core: Arc<PlatformCore>,
    thread: ServerThread,
}

impl PlatformStandin {
    /// Starts it with no values and no hosts.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if it can't listen or its thread can't be started.
    pub fn start(options: PlatformOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let core = Arc::new(PlatformCore::new(options));
        let served = Arc::clone(&core);
        let gate = Arc::new(ConnectionGate::new(CONNECTIONS, Duration::ZERO));
        let spec = ServerSpec::bind(listen, gate, move |config| http::configure(config, served))?;
        let address = spec.address();
        let thread = ServerThread::spawn("platform", vec![spec])?;
        Ok(Self {
            address,
            core,
            thread,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts a value and returns the configuration version that this makes.
    pub fn put_value(&self, key: &str, value: &str) -> ConfigVersion {
        self.core.change(key, Some(value.into()))
    }

    /// Removes a value and returns the configuration version that this makes.
    pub fn remove_value(&self, key: &str) -> ConfigVersion {
        self.core.change(key, None)
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: HostList) {
        self.core.lock().hosts = hosts;
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.core.set_mode(mode);
    }

    /// The version that the configuration has.
    pub fn version(&self) -> ConfigVersion {
        self.core.lock().version
    }

    /// What it has counted.
    pub fn calls(&self) -> PlatformCalls {
        self.core.lock().calls
    }

    /// Stops it; its thread has ended when this returns.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}

/// What the thread and the methods of a platform stand-in share.
#[derive(Debug)]
struct PlatformCore {
    options: PlatformOptions,
    state: Mutex<PlatformState>,
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct PlatformState {
    version: ConfigVersion,
    log: Vec<PublishedValue>,
    hosts: HostList,
    mode: PlatformMode,
    calls: PlatformCalls,
    window_start: Instant,
    window_calls: u32,
}

impl PlatformCore {
    fn new(options: PlatformOptions) -> Self {
        Self {
            options,
            state: Mutex::new(PlatformState {
                version: 0,
                log: Vec::new(),
                hosts: HostList::default(),
                mode: PlatformMode::Normal,
                calls: PlatformCalls::default(),
                window_start: Instant::now(),
                window_calls: 0,
            }),
            changed: watch::Sender::new(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, key: &str, value: Option<Box<str>>) -> ConfigVersion {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.log.push(PublishedValue {
            key: key.into(),
            version,
            value,
        });
        drop(state);
        self.changed.send_replace(());
        version
    }

    fn set_mode(&self, mode: PlatformMode) {
        self.lock().mode = mode;
        self.changed.send_replace(());
    }

    /// Counts a call; false if it is over the limit.
    fn count_call(&self) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        if now.duration_since(state.window_start) >= CALL_WINDOW {
            state.window_start = now;
            state.window_calls = 0;
        }
        state.window_calls += 1;
        state.calls.total += 1;
        state.calls.peak_per_second = state.calls.peak_per_second.max(state.window_calls);
        let within = state.window_calls <= self.options.calls_per_second;
        if !within {
            state.calls.refused += 1;
        }
        within
    }

    /// What changed after a version, as the mode lets it be seen.
    fn changes_after(&self, after: ConfigVersion) -> ValueChanges {
        let state = self.lock();
        let version = match state.mode {
            PlatformMode::Stale(old) => old.min(state.version),
            PlatformMode::Normal | PlatformMode::Down => state.version,
        };
        let mut changes: Vec<PublishedValue> = state
            .log
            .iter()
            .filter(|value| value.version > after && value.version <= version)
            .cloned()
            .collect();
        changes.sort_by(|left, right| {
            let by_key = left.key.cmp(&right.key);
            by_key.then(right.version.cmp(&left.version))
        });
        changes.dedup_by(|later, first| later.key == first.key);
        ValueChanges { version, changes }
    }
}
