//! Choice of a daemon for each request, as by the platform's load balancer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use awc::Client;

/// Pause between two rounds of readiness probes of the daemons.
const READY_PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a readiness probe.
const READY_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The daemons behind the load balancer; the list can be replaced while a load runs.
#[derive(Clone, Debug, Default)]
pub struct DaemonList {
    state: Arc<Mutex<ListState>>,
}

#[derive(Debug, Default)]
struct ListState {
    daemons: Vec<ListedDaemon>,
    rotation: usize,
}

#[derive(Clone, Copy, Debug)]
struct ListedDaemon {
    address: SocketAddr,
    ready: bool,
}

impl DaemonList {
    /// Creates a list of daemons that are not known to be ready.
    pub fn new(daemons: &[SocketAddr]) -> Self {
        let list = Self::default();
        list.replace(daemons);
        list
    }

    /// Replaces the daemons. A daemon that was listed before keeps its readiness; a new one gets
    /// requests once it has reported that it is ready, or while no daemon is ready.
    pub fn replace(&self, daemons: &[SocketAddr]) {
        let mut state = self.lock();
        let known = std::mem::take(&mut state.daemons);
        state.daemons = daemons
            .iter()
            .map(|&address| ListedDaemon {
                address,
                ready: known
                    .iter()
                    .find(|daemon| daemon.address == address)
                    .is_some_and(|daemon| daemon.ready),
            })
            .collect();
    }

    /// Returns the order in which the next request tries the daemons: the ready ones round-robin,
    /// or all daemons if none is ready.
    pub(crate) fn next_order(&self) -> Vec<SocketAddr> {
        let mut state = self.lock();
        state.rotation = state.rotation.wrapping_add(1);
        let mut ready: Vec<SocketAddr> = state
            .daemons
            .iter()
            .filter(|daemon| daemon.ready)
            .map(|daemon| daemon.address)
            .collect();
        if ready.is_empty() {
            ready = state.daemons.iter().map(|daemon| daemon.address).collect();
        }
        let count = ready.len().max(1);
        ready.rotate_left(state.rotation % count);
        ready
    }

    /// Probes the readiness of each daemon, until the future is dropped.
    pub(crate) async fn probe_readiness(&self, client: &Client) {
        loop {
            let addresses: Vec<SocketAddr> = self
                .lock()
                .daemons
                .iter()
                .map(|daemon| daemon.address)
                .collect();
            for address in addresses {
                let url = format!("http://{address}/ready");
                let response = client.get(url).timeout(READY_PROBE_TIMEOUT).send().await;
                self.set_ready(
                    address,
                    response.is_ok_and(|response| response.status().is_success()),
                );
            }
            actix_rt::time::sleep(READY_PROBE_INTERVAL).await;
        }
    }

    fn set_ready(&self, address: SocketAddr, ready: bool) {
        let mut state = self.lock();
        for daemon in &mut state.daemons {
            if daemon.address == address {
                daemon.ready = ready;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
