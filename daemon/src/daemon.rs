//! One daemon: its threads, its services in their order, and its stop.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix::{Actor, Addr, Arbiter};
use actix_web::{App, HttpServer, web};
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use yuccalift_core::ids::Incarnation;
use yuccalift_kernel::{Kernel, ServiceGuard, StopReport};
use yuccalift_settings::DaemonSettings;

use crate::caller::{self, CallerState};
use crate::control::start::{ControlParts, start_control, start_farewell, start_peer_listener};
use crate::error::{BindSnafu, DaemonError, EndedSnafu, ThreadSnafu};
use crate::lane::{EngineLane, LANE_SERVICE};
use crate::ready_flag::ReadyFlag;

/// How many threads serve callers.
const CALLER_WORKERS: usize = 2;

/// A running daemon; dropping it does not stop it, [`Daemon::stop`] does.
#[derive(Debug)]
pub struct Daemon {
    addresses: DaemonAddresses,
    token: CancellationToken,
    thread: JoinHandle<StopReport>,
}

/// Where a daemon's listeners are, with the ports that the system chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// The callers' listener.
    pub caller: SocketAddr,
    /// The peers' listener.
    pub peer: SocketAddr,
    /// The operators' listener.
    pub operator: SocketAddr,
}

/// The listeners of one daemon, bound before any service starts.
struct BoundListeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

impl Daemon {
    /// Starts a daemon on threads of its own, and returns when its listeners accept.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] if a listener's address can't be had or a service can't start.
    pub fn start(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let listeners = BoundListeners::bind(&settings)?;
        let addresses = listeners.addresses(&settings)?;
        let token = CancellationToken::new();
        let host = settings.host.clone();
        let (up, started) = oneshot::channel();
        let stop = token.clone();
        let thread = std::thread::Builder::new()
            .name(format!("daemon-{host}"))
            .spawn(move || actix::System::new().block_on(run(settings, listeners, up, stop)))
            .context(ThreadSnafu { thread: "daemon" })?;
        match started.blocking_recv() {
            Ok(Ok(())) => Ok(Self {
                addresses,
                token,
                thread,
            }),
            Ok(Err(error)) => Err(error),
            Err(_closed) => EndedSnafu { host }.fail(),
        }
    }

    /// Where the listeners are.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// A token whose cancellation starts the graceful stop.
    pub fn stop_token(&self) -> CancellationToken {
        self.token.clone()
    }

    /// Waits until the daemon has ended by itself or by its token.
    pub fn join(self) -> StopReport {
        self.thread.join().unwrap_or_default()
    }

    /// Stops the daemon gracefully and waits for its end.
    pub fn stop(self) -> StopReport {
        self.token.cancel();
        self.join()
    }
}

impl BoundListeners {
    fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        Ok(Self {
            caller: bind("caller", settings.caller_listen)?,
            peer: bind("peer", settings.peer_listen)?,
            operator: bind("operator", settings.operator_listen)?,
        })
    }

    fn addresses(&self, settings: &DaemonSettings) -> Result<DaemonAddresses, DaemonError> {
        let local = |listener: &'static str, bound: &TcpListener, address: SocketAddr| {
            bound.local_addr().context(BindSnafu { listener, address })
        };
        Ok(DaemonAddresses {
            caller: local("caller", &self.caller, settings.caller_listen)?,
            peer: local("peer", &self.peer, settings.peer_listen)?,
            operator: local("operator", &self.operator, settings.operator_listen)?,
        })
    }
}

fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).context(BindSnafu { listener, address })
}

async fn run(
    settings: DaemonSettings,
    listeners: BoundListeners,
    up: oneshot::Sender<Result<(), DaemonError>>,
    stop: CancellationToken,
) -> StopReport {
    let mut kernel = Kernel::new();
    let limit = settings.stop_timeout;
    let started = start_services(&mut kernel, &settings, listeners, &stop);
    let failed = started.is_err();
    let _starter_waits = up.send(started);
    if !failed {
        stop.cancelled().await;
    }
    kernel.stop(limit).await
}

/// Starts the services; the last started stops first, so the farewell stands last, and callers
/// are served until what they need has nothing more to do.
fn start_services(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    listeners: BoundListeners,
    stop: &CancellationToken,
) -> Result<(), DaemonError> {
    let ready = Arc::new(ReadyFlag::default());
    let incarnation = new_incarnation();
    let addresses = listeners.addresses(settings)?;
    let lane = start_lane(kernel, settings, incarnation)?;
    let parts = ControlParts {
        lane: lane.clone(),
        ready: Arc::clone(&ready),
        incarnation,
        peer_address: addresses.peer,
        stop: stop.clone(),
    };
    let control = start_control(kernel, settings, parts)?;
    start_peer_listener(kernel, settings, control.clone(), listeners.peer)?;
    let guard = kernel.start("caller");
    let state = CallerState {
        lane,
        ready: Arc::clone(&ready),
    };
    start_caller(state, settings, listeners.caller, guard)?;
    start_farewell(kernel, settings, control, ready);
    drop(listeners.operator);
    Ok(())
}

fn start_lane(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    incarnation: Incarnation,
) -> Result<Addr<EngineLane>, DaemonError> {
    let guard = kernel.start(LANE_SERVICE);
    let sender = format!("{}/{incarnation}", settings.host).into_boxed_str();
    let policy = settings.policy;
    let arbiter = Arbiter::new();
    let handle = arbiter.handle();
    let lane = EngineLane::start_in_arbiter(&handle, move |_| {
        EngineLane::new(policy, incarnation, sender)
    });
    kernel.registry().publish(LANE_SERVICE, lane.clone())?;
    actix::spawn(async move {
        guard.token.cancelled().await;
        arbiter.stop();
    });
    Ok(lane)
}

fn start_caller(
    state: CallerState,
    settings: &DaemonSettings,
    listener: TcpListener,
    guard: ServiceGuard,
) -> Result<(), DaemonError> {
    let body_limit = settings.limits.body_bytes;
    let address = settings.caller_listen;
    let data = web::Data::new(state);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(body_limit))
            .configure(caller::configure)
    })
    .workers(CALLER_WORKERS)
    .disable_signals()
    .shutdown_timeout(settings.stop_timeout.as_secs())
    .client_request_timeout(settings.limits.header_timeout)
    .listen(listener)
    .context(BindSnafu {
        listener: "caller",
        address,
    })?
    .run();
    let handle = server.handle();
    actix::spawn(server);
    actix::spawn(async move {
        guard.token.cancelled().await;
        handle.stop(true).await;
    });
    Ok(())
}

/// The incarnation of a process that starts now: later starts are greater, as long as the host's
/// clock goes forward from one start to the next.
fn new_incarnation() -> Incarnation {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_micros() as u64
}
