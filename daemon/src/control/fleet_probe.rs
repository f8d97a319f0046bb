//! Many control planes in one process, over real TCP on loopback, to measure how their cost and
//! the spread of a change grow with the fleet.
//!
//! Each has a listener of its own and runs the very [`ControlLane`] that the daemon runs; they
//! share a few threads. See `docs/CAPACITY.md`.

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
use crate::listener::shows_key;

/// How many threads serve the listeners.
const LISTENER_WORKERS: usize = 2;
/// How many threads run the lanes.
const LANE_THREADS: usize = 4;
/// The listen backlog of each listener.
const BACKLOG: u32 = 64;

/// One control plane of a probe.
#[derive(Clone, Debug)]
pub struct ProbeDaemon {
    /// Its data centre, counted from 0.
    pub data_centre: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where the others reach it, if not where it listens.
    pub reached_at: Option<SocketAddr>,
    /// Where it reaches the platform.
    pub platform: SocketAddr,
    /// Peers that it asks first.
    pub seeds: Vec<SocketAddr>,
    /// The address that its calls leave from, if not any.
    pub local_address: Option<IpAddr>,
}

/// Many control planes in one process.
#[derive(Debug)]
pub struct FleetProbe {
    slots: Arc<Vec<ProbeSlot>>,
    arbiters: Vec<ArbiterHandle>,
    next_incarnation: Incarnation,
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl FleetProbe {
    /// Binds listeners for a probe, at ports that the system chooses.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if an address can't be had.
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
    /// [`DaemonError`] if the threads can't be made or a listener can't be served.
    pub fn start(
        daemons: Vec<ProbeDaemon>,
        listeners: Vec<TcpListener>,
    ) -> Result<Self, DaemonError> {
        let slots = Arc::new(daemons.into_iter().map(ProbeSlot::new).collect::<Vec<_>>());
        let stop = CancellationToken::new();
        let (up, started) = oneshot::channel();
        let served = Arc::clone(&slots);
        let token = stop.clone();
        let thread = std::thread::Builder::new()
            .name("fleet-probe".to_owned())
            .spawn(move || actix::System::new().block_on(serve(served, listeners, up, token)))
            .context(ThreadSnafu { thread: "probe" })?;
        let arbiters = match started.blocking_recv() {
            Ok(started) => started?,
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

    /// How many control planes it has.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Starts a control plane anew, as a replaced process on the same host; the one before it is
    /// ended without a word.
    pub fn restart(&mut self, position: usize) {
        self.kill(position);
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let arbiter = &self.arbiters[position % self.arbiters.len()];
        self.slots[position].start(position, incarnation, arbiter);
    }

    /// Ends a control plane without a word to the others.
    pub fn kill(&self, position: usize) {
        self.slots[position].end();
    }

    /// Has a control plane say that it is leaving.
    pub fn leave(&self, position: usize) {
        self.send(position, LeaveFleet);
    }

    /// Tells a control plane that its process was paused.
    pub fn pause(&self, position: usize, pause: Duration) {
        self.send(position, ReportPause(pause));
    }

    /// Has a control plane announce news.
    pub fn announce(&self, position: usize, news: Announce) {
        self.send(position, news);
    }

    /// What a control plane knows; none if it has been ended.
    pub fn snapshot(&self, position: usize) -> Option<ControlSnapshot> {
        let lane = self.slots[position].lane()?;
        let (sender, receiver) = std::sync::mpsc::channel();
        let arbiter = &self.arbiters[position % self.arbiters.len()];
        arbiter.spawn(async move {
            if let Ok(snapshot) = lane.send(GetControlSnapshot).await {
                let _asker_may_have_gone = sender.send(snapshot);
            }
        });
        receiver.recv().ok()
    }

    /// What every control plane that has not been ended knows.
    pub fn snapshots(&self) -> Vec<ControlSnapshot> {
        (0..self.len())
            .filter_map(|position| self.snapshot(position))
            .collect()
    }

    /// Whether a control plane has a configuration that it may take requests with.
    pub fn is_ready(&self, position: usize) -> bool {
        self.slots[position].record().ready
    }

    /// Whether a control plane has heard of a later process on its host.
    pub fn is_replaced(&self, position: usize) -> bool {
        self.slots[position].record().replaced
    }

    /// When a control plane reached a version, if it has.
    pub fn reached_at(&self, position: usize, version: ConfigVersion) -> Option<Instant> {
        let record = self.slots[position].record();
        let reached = record
            .reached
            .iter()
            .find(|reached| reached.version >= version)?;
        Some(reached.at)
    }

    /// Waits until every control plane that has not been ended has reached a version; false if
    /// that takes longer than `limit`.
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
    up: oneshot::Sender<Result<Vec<ArbiterHandle>, DaemonError>>,
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
                let _starter_waits = up.send(Err(error));
                return;
            }
        };
    }
    let server = server.run();
    let handle = server.handle();
    actix::spawn(server);
    let _starter_waits = up.send(Ok(handles));
    stop.cancelled().await;
    handle.stop(false).await;
    for arbiter in arbiters {
        arbiter.stop();
    }
}

/// Answers for the control plane whose listener the request came to.
async fn receive_exchange(
    request: HttpRequest,
    slots: web::Data<Vec<ProbeSlot>>,
    body: web::Bytes,
) -> HttpResponse {
    let local = request.app_config().local_addr();
    let slot = slots.iter().find(|slot| slot.address == local);
    match slot.and_then(ProbeSlot::lane) {
        Some(lane) if shows_key(&request, PROBE_KEY) => answer(&request, &lane, &body).await,
        Some(_) => HttpResponse::Forbidden().finish(),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}
