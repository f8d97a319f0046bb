//! Which daemon a request goes to, as the platform's balancer would choose.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use awc::Client;

/// How often the balancer asks each daemon whether it is ready.
const READY_PERIOD: Duration = Duration::from_millis(200);
/// How long it waits for the answer.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// The daemons behind the balancer; the list can be changed while a load runs.
#[derive(Clone, Debug, Default)]
pub struct DaemonList {
    state: Arc<Mutex<ListState>>,
}

#[derive(Debug, Default)]
struct ListState {
    daemons: Vec<ListedDaemon>,
    turn: usize,
}

#[derive(Clone, Copy, Debug)]
struct ListedDaemon {
    address: SocketAddr,
    ready: bool,
}

impl DaemonList {
    /// Makes a list of daemons.
    pub fn new(daemons: &[SocketAddr]) -> Self {
        let list = Self::default();
        list.replace(daemons);
        list
    }

    /// Replaces the daemons; one that stays keeps its readiness, a new one gets requests once it
    /// has said that it is ready.
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

    /// The daemons in the order in which the next request tries them.
    pub(crate) fn next_order(&self) -> Vec<SocketAddr> {
        let mut state = self.lock();
        state.turn = state.turn.wrapping_add(1);
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
        ready.rotate_left(state.turn % count);
        ready
    }

    /// Asks each daemon again and again whether it is ready.
    pub(crate) async fn watch_ready(&self, client: &Client) {
        loop {
            let addresses: Vec<SocketAddr> = self
                .lock()
                .daemons
                .iter()
                .map(|daemon| daemon.address)
                .collect();
            for address in addresses {
                let url = format!("http://{address}/ready");
                let asked = client.get(url).timeout(READY_TIMEOUT).send().await;
                self.mark(
                    address,
                    asked.is_ok_and(|response| response.status().is_success()),
                );
            }
            actix_rt::time::sleep(READY_PERIOD).await;
        }
    }

    fn mark(&self, address: SocketAddr, ready: bool) {
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
