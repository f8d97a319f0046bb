//! The stand-in for a target (leaf): slots, limits, hidden slow spells, faults, a record of runs.
//!
//! - [`options`]: how a leaf is started.
//! - [`command`]: what can be changed while it runs.
//! - [`record`]: what it keeps of each run.
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

pub use command::{DrainSign, LeafCommand, LoadReport, SlowSpells};
pub use fleet::LeafFleet;
pub use options::LeafOptions;
pub use record::{LeafCounts, LeafRun, RunEnd, RunKind};

use self::core::LeafCore;

/// The most connections of a leaf's listener for tests.
const ADMIN_CONNECTIONS: u32 = 64;

/// One target, on a thread of its own or on one of a fleet's.
#[derive(Debug)]
pub struct LeafStandin {
    address: SocketAddr,
    admin_address: Option<SocketAddr>,
    core: Arc<LeafCore>,
    thread: Option<ServerThread>,
}

impl LeafStandin {
    /// Starts a leaf on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if it can't listen or its thread can't be started.
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
            options.connect_cost,
        ));
        let core = Arc::new(LeafCore::new(options, Arc::clone(&gate)));
        let served = Arc::clone(&core);
        let work = ServerSpec::bind(listen, gate, move |config| http::configure(config, served))?;
        let address = work.address();
        let mut specs = vec![work];
        if let Some(listen) = admin_listen {
            let served = Arc::clone(&core);
            let gate = ConnectionGate::new(ADMIN_CONNECTIONS, std::time::Duration::ZERO);
            specs.push(ServerSpec::bind(listen, Arc::new(gate), move |config| {
                http::configure_admin(config, served);
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

    /// Where it accepts work.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it accepts commands over HTTP, if its options say so.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_address
    }

    /// Changes how it behaves.
    pub fn command(&self, command: LeafCommand) {
        self.core.command(command);
    }

    /// Every run that it began, oldest first.
    pub fn runs(&self) -> Vec<LeafRun> {
        self.core.runs()
    }

    /// A hash of request id and shard for each request for work that arrived, the refused ones
    /// included.
    pub fn arrivals(&self) -> Vec<u64> {
        self.core.arrivals()
    }

    /// What it has counted of requests.
    pub fn counts(&self) -> LeafCounts {
        self.core.counts()
    }

    /// What it has counted of connections.
    pub fn connections(&self) -> GateCounts {
        self.core.gate().counts()
    }

    /// Stops a leaf that has a thread of its own; one of a fleet ends with the fleet.
    pub fn stop(&mut self) {
        if let Some(mut thread) = self.thread.take() {
            thread.stop();
        }
    }
}
