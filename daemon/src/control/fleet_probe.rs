//! Runs many control planes in one process, over real TCP on loopback, to measure how their cost
//! and the time to spread a change grow with the fleet.
//!
//! Each control plane has its own listener and runs the same [`ControlLane`] as the daemon; all of
//! them share a few threads. See `docs/CAPACITY.md`.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use actix::{Arbiter, ArbiterHandle};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use yuccalift_core::ids::{ConfigVersion, Incarnation};
use yuccalift_wire::peer::EXCHANGE_PATH;

use super::control_lane::{
    Announce, ControlLane, ControlSnapshot, GetControlSnapshot, LeaveFleet, ReportPause,
};
use super::peer_listener::answer;
use super::probe_slot::{PROBE_KEY, ProbeSlot};
use crate::error::{BindSnafu, DaemonError, EndedSnafu, ThreadSnafu};
use crate::listener::has_valid_key;

/// Number of threads that serve the listeners.
const LISTENER_WORKERS: usize = 2;
/// Number of threads that run the control lanes.
const LANE_THREADS: usize = 4;
/// The listen backlog of each listener.
const BACKLOG: u32 = 64;

/// Settings of one control plane in a fleet probe.
#[derive(Clone, Debug)]
pub struct ProbeDaemon {
    /// Index of the daemon's data centre, from 0.
    pub data_centre: usize,
    /// Address of the daemon's listener.
    pub listen: SocketAddr,
    /// Address at which other daemons reach this one; [`ProbeDaemon::listen`] if absent.
    pub reached_address: Option<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Addresses of the peers that the daemon contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Local address of outgoing calls; any address if absent.
    pub local_address: Option<IpAddr>,
}

/// A fleet of control planes in one process; positions are indices into the list given at the
/// start.
#[derive(Debug)]
pub struct FleetProbe {
    slots: Arc<Vec<ProbeSlot>>,
    arbiters: Vec<ArbiterHandle>,
    next_incarnation: Incarnation,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl FleetProbe {
    /// Binds one listener for each address, at ports that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError`] if an address can't be bound.
    pub fn bind(ips: &[IpAddr]) -> Result<Vec<TcpListener>, DaemonError> {
        let bind = |ip: &IpAddr| {
            let address = SocketAddr::new(*ip, 0);
            TcpListener::bind(address).context(BindSnafu {
                listener: "probe",
                address,
            })
        };
        ips.iter().map(bind).collect()
    }

    /// Starts one control plane for each listener.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError`] if a thread can't be started or a listener can't be served.
    pub fn start(
        daemons: Vec<ProbeDaemon>,
        listeners: Vec<TcpListener>,
    ) -> Result<Self, DaemonError> {
        let slots = Arc::new(daemons.into_iter().map(ProbeSlot::new).collect::<Vec<_>>());
        let stop = CancellationToken::new();
        let (start_sender, start_result) = oneshot::channel();
        let served_slots = Arc::clone(&slots);
        let token = stop.clone();
        let thread = std::thread::Builder::new()
            .name("fleet-probe".to_owned())
            .spawn(move || {
                actix::System::new().block_on(serve(served_slots, listeners, start_sender, token));
            })
            .context(ThreadSnafu { thread: "probe" })?;
        let arbiters = match start_result.blocking_recv() {
            Ok(start_result) => start_result?,
            Err(_closed) => return EndedSnafu { host: "probe" }.fail(),
        };
        let mut probe = Self {
            slots,
            arbiters,
            next_incarnation: 1,
            stop,
            thread: Some(thread),
        };
        for position in 0..probe.slots.len() {
            probe.restart(position);
        }
        Ok(probe)
    }

    /// Returns the number of control planes, including stopped ones.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether the probe has no control planes.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Restarts a control plane as a new process on the same host; the previous one is stopped
    /// without notice to the others.
    pub fn restart(&mut self, position: usize) {
        self.kill(position);
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let arbiter = &self.arbiters[position % self.arbiters.len()];
        self.slots[position].start(position, incarnation, arbiter);
    }

    /// Stops a control plane without notice to the others.
    pub fn kill(&self, position: usize) {
        self.slots[position].stop();
    }

    /// Makes a control plane announce that it is leaving.
    pub fn leave(&self, position: usize) {
        self.send(position, LeaveFleet);
    }

    /// Reports to a control plane that its process was paused for `pause`.
    pub fn pause(&self, position: usize, pause: Duration) {
        self.send(position, ReportPause(pause));
    }

    /// Makes a control plane announce a quarantined or suspected request, or a draining target, to
    /// the others.
    pub fn announce(&self, position: usize, message: Announce) {
        self.send(position, message);
    }

    /// Returns the state of a control plane, or `None` if it was stopped.
    pub fn snapshot(&self, position: usize) -> Option<ControlSnapshot> {
        let lane = self.slots[position].lane()?;
        let (sender, receiver) = std::sync::mpsc::channel();
        let arbiter = &self.arbiters[position % self.arbiters.len()];
        arbiter.spawn(async move {
            if let Ok(snapshot) = lane.send(GetControlSnapshot).await {
                let _receiver_may_be_closed = sender.send(snapshot);
            }
        });
        receiver.recv().ok()
    }

    /// Returns the state of every control plane that has not been stopped.
    pub fn snapshots(&self) -> Vec<ControlSnapshot> {
        (0..self.len())
            .filter_map(|position| self.snapshot(position))
            .collect()
    }

    /// Returns whether a control plane has a configuration with which it may take requests.
    pub fn is_ready(&self, position: usize) -> bool {
        self.slots[position].record().ready
    }

    /// Returns whether a control plane knows of a later process on its host.
    pub fn is_replaced(&self, position: usize) -> bool {
        self.slots[position].record().replaced
    }

    /// Returns when a control plane reached a configuration version, or `None` if it has not.
    pub fn reached_at(&self, position: usize, version: ConfigVersion) -> Option<Instant> {
        let record = self.slots[position].record();
        let reached = record
            .reached_versions
            .iter()
            .find(|reached| reached.version >= version)?;
        Some(reached.at)
    }

    /// Waits until every control plane that has not been stopped has reached a version; returns
    /// false if that takes longer than `limit`.
    pub fn wait_for_version(&self, version: ConfigVersion, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            let is_incomplete = (0..self.len()).any(|position| {
                self.slots[position].lane().is_some()
                    && self.reached_at(position, version).is_none()
            });
            if !is_incomplete {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn send<M>(&self, position: usize, message: M)
    where
        M: actix::Message<Result = ()> + Send + 'static,
        ControlLane: actix::Handler<M>,
    {
        if let Some(lane) = self.slots[position].lane() {
            lane.do_send(message);
        }
    }
}

impl Drop for FleetProbe {
    fn drop(&mut self) {
        self.stop.cancel();
        let Some(thread) = self.thread.take() else {
            return;
        };
        let joined = thread.join();
        assert!(
            joined.is_ok() || std::thread::panicking(),
            "the probe's thread ended without a panic"
        );
    }
}

async fn serve(
    slots: Arc<Vec<ProbeSlot>>,
    listeners: Vec<TcpListener>,
    start_sender: oneshot::Sender<Result<Vec<ArbiterHandle>, DaemonError>>,
    stop: CancellationToken,
) {
    let arbiters: Vec<Arbiter> = (0..LANE_THREADS).map(|_| Arbiter::new()).collect();
    let handles = arbiters.iter().map(Arbiter::handle).collect();
    let state = web::Data::from(slots);
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(
                yuccalift_core::control::exchange::MAX_MESSAGE_BYTES,
            ))
            .route(EXCHANGE_PATH, web::post().to(receive_exchange))
    })
    .workers(LISTENER_WORKERS)
    .backlog(BACKLOG)
    .disable_signals()
    .shutdown_timeout(0);
    for listener in listeners {
        server = match server.listen(listener) {
            Ok(server) => server,
            Err(source) => {
                let error = DaemonError::Thread {
                    thread: "probe listener",
                    source,
                };
                let _starter_waits = start_sender.send(Err(error));
                return;
            }
        };
    }
    let server = server.run();
    let handle = server.handle();
    actix::spawn(server);
    let _starter_waits = start_sender.send(Ok(handles));
    stop.cancelled().await;
    handle.stop(false).await;
    for arbiter in arbiters {
        arbiter.stop();
    }
}

/// Passes a peer's message to the control plane whose listener received it.
async fn receive_exchange(
    request: HttpRequest,
    slots: web::Data<Vec<ProbeSlot>>,
    body: web::Bytes,
) -> HttpResponse {
    let local = request.app_config().local_addr();
    let slot = slots.iter().find(|slot| slot.address == local);
    match slot.and_then(ProbeSlot::lane) {
        Some(lane) if has_valid_key(&request, PROBE_KEY) => answer(&request, &lane, &body).await,
        Some(_) => HttpResponse::Forbidden().finish(),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}
