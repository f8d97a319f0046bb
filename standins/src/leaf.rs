//! Stand-in for a target (leaf) with slots, limits, unreported slow periods and faults, which
//! records the requests that it runs.
//!
//! - [`options`]: options of a leaf.
//! - [`command`]: changes to a running leaf.
//! - [`record`]: recorded runs and request counters.
//! - [`fleet`]: many leafs on a few threads.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::error::StandinError;
use crate::gate::{ConnectionGate, GateCounts};
use crate::server::{ServerSpec, ServerThread};

pub mod command;
pub mod fleet;
pub mod options;
pub mod record;

mod core;
mod http;
mod state;

pub use command::{DrainSignal, LeafCommand, LoadReport, SlowPeriods};
pub use fleet::LeafFleet;
pub use options::LeafOptions;
pub use record::{LeafCounts, LeafRun, RunKind, RunStatus};

use self::core::LeafCore;

/// Maximum number of connections of a leaf's admin listener.
const MAX_ADMIN_CONNECTIONS: u32 = 64;

/// A target, on its own thread or on a thread of a [`LeafFleet`].
#[derive(Debug)]
pub struct LeafStandin {
    address: SocketAddr,
    admin_address: Option<SocketAddr>,
    core: Arc<LeafCore>,
    thread: Option<ServerThread>,
}

impl LeafStandin {
    /// Starts a leaf on its own thread.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if the leaf can't listen or its thread can't be started.
    pub fn start(options: LeafOptions) -> Result<Self, StandinError> {
        let (mut leaf, specs) = Self::prepare(options)?;
        leaf.thread = Some(ServerThread::spawn("leaf", specs)?);
        Ok(leaf)
    }

    fn prepare(options: LeafOptions) -> Result<(Self, Vec<ServerSpec>), StandinError> {
        let listen = options.listen;
        let admin_listen = options.admin_listen;
        let gate = Arc::new(ConnectionGate::new(
            options.connections,
            options.connect_delay,
        ));
        let core = Arc::new(LeafCore::new(options, Arc::clone(&gate)));
        let handler_core = Arc::clone(&core);
        let work_spec = ServerSpec::bind(listen, gate, move |config| {
            http::configure(config, handler_core);
        })?;
        let address = work_spec.address();
        let mut specs = vec![work_spec];
        if let Some(listen) = admin_listen {
            let handler_core = Arc::clone(&core);
            let gate = ConnectionGate::new(MAX_ADMIN_CONNECTIONS, std::time::Duration::ZERO);
            specs.push(ServerSpec::bind(listen, Arc::new(gate), move |config| {
                http::configure_admin(config, handler_core);
            })?);
        }
        let admin_address = admin_listen.and(specs.last()).map(ServerSpec::address);
        let leaf = Self {
            address,
            admin_address,
            core,
            thread: None,
        };
        Ok((leaf, specs))
    }

    /// Returns the address on which the leaf accepts work.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which the leaf accepts commands over HTTP, if its options set one.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_address
    }

    /// Changes the behaviour of the leaf.
    pub fn command(&self, command: LeafCommand) {
        self.core.command(command);
    }

    /// Returns the runs that the leaf has started, oldest first.
    pub fn runs(&self) -> Vec<LeafRun> {
        self.core.runs()
    }

    /// Returns a hash of request id and shard for each request for work that arrived, including
    /// refused ones.
    pub fn arrivals(&self) -> Vec<u64> {
        self.core.arrivals()
    }

    /// Returns the request counters.
    pub fn counts(&self) -> LeafCounts {
        self.core.counts()
    }

    /// Returns the connection counters.
    pub fn connections(&self) -> GateCounts {
        self.core.gate().counts()
    }

    /// Stops a leaf that has its own thread; a leaf of a fleet stops with the fleet.
    pub fn stop(&mut self) {
        if let Some(mut thread) = self.thread.take() {
            thread.stop();
        }
    }
}
