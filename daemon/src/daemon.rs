//! Lifecycle of one daemon: its threads, the start order of its services, and the graceful stop.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix::{Actor, Addr, Arbiter};
use actix_web::web;
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use yuccalift_core::engine::EngineOptions;
use yuccalift_core::event::EngineEvent;
use yuccalift_core::ids::Incarnation;
use yuccalift_kernel::{Kernel, StopReport};
use yuccalift_settings::DaemonSettings;

use crate::caller::{self, CallerState};
use crate::control::start::{
    ControlDependencies, start_control, start_leave_service, start_peer_listener,
};
use crate::error::{BindSnafu, DaemonError, EndedSnafu, MetricsSnafu, ThreadSnafu};
use crate::events::LogEvent;
use crate::execute::{OwnerClient, PeerExecuteState, TicketService};
use crate::lane::{EngineLane, FeedEngine, LANE_SERVICE};
use crate::listener::{ListenerSpec, serve};
use crate::metrics::{METRICS_SERVICE, MetricsClient};
use crate::operator::{self, OperatorState};
use crate::peer_directory::{PEER_DIRECTORY_SERVICE, PeerDirectory};
use crate::peer_locator::PeerLocator;
use crate::ready_flag::ReadyFlag;
use crate::shared_status::{STATUS_SERVICE, SharedStatus};

/// Number of threads that serve the callers' listener.
const CALLER_WORKERS: usize = 2;
/// Number of threads that serve the operators' listener.
const OPERATOR_WORKERS: usize = 1;

/// A running daemon. Dropping it does not stop the daemon; [`Daemon::stop`] does.
#[derive(Debug)]
pub struct Daemon {
    addresses: DaemonAddresses,
    token: CancellationToken,
    peers: PeerDirectory,
    thread: JoinHandle<StopReport>,
}

/// Bound addresses of a daemon's listeners, with the ports that the system assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// The callers' listener.
    pub caller: SocketAddr,
    /// The peers' listener.
    pub peer: SocketAddr,
    /// The operators' listener.
    pub operator: SocketAddr,
}

/// Listeners of one daemon, bound before any service starts.
struct BoundListeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

impl Daemon {
    /// Starts a daemon on its own threads, and returns once its listeners accept connections.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError`] if a listener cannot be bound or a service cannot start.
    pub fn start(settings: DaemonSettings) -> Result<Self, DaemonError> {
        let listeners = BoundListeners::bind(&settings)?;
        let addresses = listeners.addresses(&settings)?;
        let token = CancellationToken::new();
        let host = settings.host.clone();
        let (start_sender, start_result) = oneshot::channel();
        let stop = token.clone();
        let peers = PeerDirectory::new();
        let directory = peers.clone();
        let thread = std::thread::Builder::new()
            .name(format!("daemon-{host}"))
            .spawn(move || {
                actix::System::new().block_on(run(
                    settings,
                    listeners,
                    directory,
                    start_sender,
                    stop,
                ))
            })
            .context(ThreadSnafu { thread: "daemon" })?;
        match start_result.blocking_recv() {
            Ok(Ok(())) => Ok(Self {
                addresses,
                token,
                peers,
                thread,
            }),
            Ok(Err(error)) => Err(error),
            Err(_closed) => EndedSnafu { host }.fail(),
        }
    }

    /// Returns the bound addresses of the listeners.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns the directory of peers, which is used to find the owner of a ticket.
    pub fn peer_directory(&self) -> &PeerDirectory {
        &self.peers
    }

    /// Returns a token whose cancellation starts the graceful stop.
    pub fn stop_token(&self) -> CancellationToken {
        self.token.clone()
    }

    /// Waits until the daemon has stopped by itself or through its token. The report is empty if the
    /// thread of the daemon panicked.
    pub fn join(self) -> StopReport {
        self.thread.join().unwrap_or_default()
    }

    /// Stops the daemon gracefully and waits until it has ended.
    pub fn stop(self) -> StopReport {
        self.token.cancel();
        self.join()
    }
}

impl BoundListeners {
    fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        Ok(Self {
            caller: bind_listener("caller", settings.caller_listen)?,
            peer: bind_listener("peer", settings.peer_listen)?,
            operator: bind_listener("operator", settings.operator_listen)?,
        })
    }

    fn addresses(&self, settings: &DaemonSettings) -> Result<DaemonAddresses, DaemonError> {
        let bound_address = |listener: &'static str, bound: &TcpListener, address: SocketAddr| {
            bound.local_addr().context(BindSnafu { listener, address })
        };
        Ok(DaemonAddresses {
            caller: bound_address("caller", &self.caller, settings.caller_listen)?,
            peer: bound_address("peer", &self.peer, settings.peer_listen)?,
            operator: bound_address("operator", &self.operator, settings.operator_listen)?,
        })
    }
}

fn bind_listener(listener: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).context(BindSnafu { listener, address })
}

async fn run(
    settings: DaemonSettings,
    listeners: BoundListeners,
    directory: PeerDirectory,
    start_sender: oneshot::Sender<Result<(), DaemonError>>,
    stop: CancellationToken,
) -> StopReport {
    let mut kernel = Kernel::new();
    let limit = settings.stop_timeout;
    let result = publish_directory(&kernel, directory)
        .and_then(|()| start_services(&mut kernel, &settings, listeners, &stop));
    let failed = result.is_err();
    let _receiver_may_be_gone = start_sender.send(result);
    if !failed {
        stop.cancelled().await;
        log_stop_started(&settings);
    }
    let report = kernel.stop(limit).await;
    log_stopped(&settings, &report);
    report
}

fn publish_directory(kernel: &Kernel, directory: PeerDirectory) -> Result<(), DaemonError> {
    let registry = kernel.registry();
    Ok(registry.publish(PEER_DIRECTORY_SERVICE, directory)?)
}

/// Starts the services. They stop in reverse order: the service that announces the stop to the peers
/// starts last and so stops first, and the callers' listener stops before the services that it
/// depends on.
fn start_services(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    listeners: BoundListeners,
    stop: &CancellationToken,
) -> Result<(), DaemonError> {
    let addresses = listeners.addresses(settings)?;
    let incarnation = new_incarnation();
    let ready = Arc::new(ReadyFlag::default());
    let shared_status = SharedStatus::default();
    kernel
        .registry()
        .publish(STATUS_SERVICE, shared_status.clone())?;
    let metrics = start_metrics(kernel, settings)?;
    let lane = start_lane(kernel, settings, incarnation)?;
    let dependencies = ControlDependencies {
        lane: lane.clone(),
        ready: Arc::clone(&ready),
        incarnation,
        peer_address: addresses.peer,
        stop: stop.clone(),
        shared_status: shared_status.clone(),
        metrics: metrics.clone(),
    };
    let control = start_control(kernel, settings, dependencies)?;
    let directory: PeerDirectory = kernel.registry().find(PEER_DIRECTORY_SERVICE)?;
    let locator = PeerLocator::new(control.clone(), directory);
    actix::spawn(locator.clone().run(kernel.start(PEER_DIRECTORY_SERVICE)));
    let tickets = TicketService::new(settings.host.clone(), incarnation);
    let execute = PeerExecuteState {
        tickets: Arc::clone(&tickets),
        lane: lane.clone(),
        key: settings.shared_key.clone(),
    };
    start_peer_listener(kernel, settings, control.clone(), execute, listeners.peer)?;
    let state = OperatorState {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation,
        ready: Arc::clone(&ready),
        stop: stop.clone(),
        lane: lane.clone(),
        shared_status,
    };
    start_operator(kernel, state, settings, listeners.operator, metrics.clone())?;
    let state = CallerState {
        lane,
        ready: Arc::clone(&ready),
        tickets,
    };
    start_caller(kernel, state, settings, listeners.caller, metrics, locator)?;
    start_leave_service(kernel, settings, control, ready);
    log_started(settings, addresses, incarnation);
    Ok(())
}

fn start_metrics(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
) -> Result<MetricsClient, DaemonError> {
    let metrics = match settings.statsd {
        Some(address) => MetricsClient::connect(address).context(MetricsSnafu { address })?,
        None => MetricsClient::default(),
    };
    kernel
        .registry()
        .publish(METRICS_SERVICE, metrics.clone())?;
    let guard = kernel.start(METRICS_SERVICE);
    actix::spawn(metrics.clone().run(guard));
    Ok(metrics)
}

fn start_lane(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    incarnation: Incarnation,
) -> Result<Addr<EngineLane>, DaemonError> {
    let guard = kernel.start(LANE_SERVICE);
    let metrics: MetricsClient = kernel.registry().find(METRICS_SERVICE)?;
    let sender = format!("{}/{incarnation}", settings.host).into_boxed_str();
    let options = EngineOptions::new(settings.policy, incarnation)
        .in_data_centre(settings.data_centre.clone());
    let arbiter = Arbiter::new();
    let handle = arbiter.handle();
    let lane =
        EngineLane::start_in_arbiter(&handle, move |_| EngineLane::new(options, sender, metrics));
    kernel.registry().publish(LANE_SERVICE, lane.clone())?;
    actix::spawn(async move {
        guard.token.cancelled().await;
        arbiter.stop();
    });
    Ok(lane)
}

fn start_caller(
    kernel: &mut Kernel,
    state: CallerState,
    settings: &DaemonSettings,
    listener: TcpListener,
    metrics: MetricsClient,
    locator: PeerLocator,
) -> Result<(), DaemonError> {
    let spec = ListenerSpec {
        name: "caller",
        address: settings.caller_listen,
        workers: CALLER_WORKERS,
        limits: settings.limits,
        key: None,
        stop_timeout: settings.stop_timeout,
    };
    let lane = state.lane.clone();
    let data = web::Data::new(state);
    let key = settings.shared_key.clone();
    let handle = serve(listener, &spec, metrics, move |config| {
        let owners = OwnerClient::new(locator.clone(), &key);
        config.app_data(data.clone());
        config.app_data(web::Data::new(owners));
        caller::configure(config);
    })?;
    let guard = kernel.start("caller");
    actix::spawn(async move {
        guard.token.cancelled().await;
        lane.do_send(FeedEngine(EngineEvent::Stopping));
        handle.stop(true).await;
    });
    Ok(())
}

fn start_operator(
    kernel: &mut Kernel,
    state: OperatorState,
    settings: &DaemonSettings,
    listener: TcpListener,
    metrics: MetricsClient,
) -> Result<(), DaemonError> {
    let spec = ListenerSpec {
        name: "operator",
        address: settings.operator_listen,
        workers: OPERATOR_WORKERS,
        limits: settings.limits,
        key: Some(settings.shared_key.clone()),
        stop_timeout: settings.stop_timeout,
    };
    let data = web::Data::new(state);
    let handle = serve(listener, &spec, metrics, move |config| {
        config.app_data(data.clone());
        operator::configure(config);
    })?;
    let guard = kernel.start("operator");
    actix::spawn(async move {
        guard.token.cancelled().await;
        handle.stop(true).await;
    });
    Ok(())
}

fn log_started(settings: &DaemonSettings, addresses: DaemonAddresses, incarnation: Incarnation) {
    LogEvent::DaemonStarted {
        host: &settings.host,
        data_centre: &settings.data_centre,
        incarnation,
        callers: &addresses.caller.to_string(),
        peers: &addresses.peer.to_string(),
        operators: &addresses.operator.to_string(),
    }
    .emit();
}

fn log_stop_started(settings: &DaemonSettings) {
    LogEvent::StopStarted {
        host: &settings.host,
        limit_ms: settings.stop_timeout.as_millis() as u64,
    }
    .emit();
}

fn log_stopped(settings: &DaemonSettings, report: &StopReport) {
    LogEvent::DaemonStopped {
        host: &settings.host,
        overdue: &report.overdue.join(" "),
    }
    .emit();
}

/// Returns the incarnation of a process that starts now, in microseconds since the Unix epoch. A
/// later start has a greater one, provided that the host's clock moved forward in between.
fn new_incarnation() -> Incarnation {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_micros() as u64
}
