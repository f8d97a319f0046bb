//! Stand-in for the platform: versioned configuration values, a list of hosts and a call limit.

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

/// Default limit of calls per second, across all readers.
pub const CALLS_PER_SECOND: u32 = 2_000;
/// Default delay of an answer.
const ANSWER_DELAY: Duration = Duration::from_millis(2);
/// Maximum number of connections that the platform accepts.
const MAX_CONNECTIONS: u32 = 4_096;
/// Length of the window over which calls are counted against the limit.
const CALL_WINDOW: Duration = Duration::from_secs(1);

/// Options of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Listen address; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Maximum number of calls per second; further calls get status 429.
    pub calls_per_second: u32,
    /// Delay of each answer.
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

/// Availability of the platform's configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// Serves the current values.
    Normal,
    /// Answers every call with status 503.
    Down,
    /// Serves the values of an old version under the number of that version.
    Stale(ConfigVersion),
}

/// Call counters of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformCalls {
    /// Number of calls since the start; a watch counts once.
    pub total: u64,
    /// Number of calls that exceeded the limit and were refused.
    pub refused: u64,
    /// Highest number of calls within one second.
    pub peak_per_second: u32,
    /// Number of watches that are waiting for a change.
    pub waiting: u32,
}

/// A stand-in for the platform on its own thread.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    core: Arc<PlatformCore>,
    thread: ServerThread,
}

impl PlatformStandin {
    /// Starts a platform without values and hosts.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if the platform can't listen or its thread can't be started.
    pub fn start(options: PlatformOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let core = Arc::new(PlatformCore::new(options));
        let handler_core = Arc::clone(&core);
        let gate = Arc::new(ConnectionGate::new(MAX_CONNECTIONS, Duration::ZERO));
        let spec = ServerSpec::bind(listen, gate, move |config| {
            http::configure(config, handler_core);
        })?;
        let address = spec.address();
        let thread = ServerThread::spawn("platform", vec![spec])?;
        Ok(Self {
            address,
            core,
            thread,
        })
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets a value and returns the resulting configuration version.
    pub fn put_value(&self, key: &str, value: &str) -> ConfigVersion {
        self.core.append_change(key, Some(value.into()))
    }

    /// Removes a value and returns the resulting configuration version.
    pub fn remove_value(&self, key: &str) -> ConfigVersion {
        self.core.append_change(key, None)
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: HostList) {
        self.core.lock().hosts = hosts;
    }

    /// Sets the availability of the platform, for waiting watches too.
    pub fn set_mode(&self, mode: PlatformMode) {
        self.core.set_mode(mode);
    }

    /// Returns the current configuration version.
    pub fn version(&self) -> ConfigVersion {
        self.core.lock().version
    }

    /// Returns the call counters.
    pub fn calls(&self) -> PlatformCalls {
        self.core.lock().calls
    }

    /// Stops the platform and waits for its thread to end.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}

/// State that the methods of a platform stand-in share with its thread.
#[derive(Debug)]
struct PlatformCore {
    options: PlatformOptions,
    state: Mutex<PlatformState>,
    changed: watch::Sender<()>,
}

#[derive(Debug)]
struct PlatformState {
    version: ConfigVersion,
    change_log: Vec<PublishedValue>,
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
                change_log: Vec::new(),
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

    fn append_change(&self, key: &str, value: Option<Box<str>>) -> ConfigVersion {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.change_log.push(PublishedValue {
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

    /// Counts a call and returns whether it is within the limit.
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
        let is_within_limit = state.window_calls <= self.options.calls_per_second;
        if !is_within_limit {
            state.calls.refused += 1;
        }
        is_within_limit
    }

    /// Returns the latest change of each key after a version, sorted by key, as the mode permits.
    fn changes_after(&self, after: ConfigVersion) -> ValueChanges {
        let state = self.lock();
        let version = match state.mode {
            PlatformMode::Stale(old) => old.min(state.version),
            PlatformMode::Normal | PlatformMode::Down => state.version,
        };
        let mut changes: Vec<PublishedValue> = state
            .change_log
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
