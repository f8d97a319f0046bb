//! Starts the control plane's services of a daemon.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use actix::{Actor, Addr, Arbiter};
use actix_web::web;
use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use yuccalift_core::control::exchange::MAX_MESSAGE_BYTES;
use yuccalift_core::control::{
    ControlSettings, DaemonLocation, HostConflictPolicy, MemberRecord, MemberState, ReadSettings,
};
use yuccalift_core::event::EngineEvent;
use yuccalift_core::ids::Incarnation;
use yuccalift_kernel::{Kernel, watch_pauses};
use yuccalift_settings::{DaemonSettings, ListenerLimits};

use super::config_applier::ConfigApplier;
use super::control_lane::{
    CONTROL_SERVICE, ControlLane, ControlLaneSettings, ControlOutput, LeaveFleet, ReportPause,
};
use super::peer_listener::{self, PeerState};
use super::stop_grace::stop_grace;
use super::value_check::check_value;
use crate::error::{DaemonError, ThreadSnafu};
use crate::events::LogEvent;
use crate::execute::{PeerExecuteState, configure_peer};
use crate::lane::{EngineLane, FeedEngine, SetAnnouncer};
use crate::listener::{ListenerSpec, serve};
use crate::metrics::{METRICS_SERVICE, MetricsClient};
use crate::ready_flag::ReadyFlag;
use crate::shared_status::SharedStatus;

/// Number of threads that serve peers.
const PEER_WORKERS: usize = 1;

/// Services and addresses that the control plane's services depend on.
pub(crate) struct ControlDependencies {
    /// Address of the engine lane.
    pub(crate) lane: Addr<EngineLane>,
    /// Readiness of the daemon, updated by the control plane.
    pub(crate) ready: Arc<ReadyFlag>,
    /// Incarnation of the daemon's process.
    pub(crate) incarnation: Incarnation,
    /// Address at which peers reach the daemon.
    pub(crate) peer_address: SocketAddr,
    /// Token whose cancellation stops the daemon.
    pub(crate) stop: CancellationToken,
    /// Status shown to operators.
    pub(crate) shared_status: SharedStatus,
    /// Client for the daemon's metrics.
    pub(crate) metrics: MetricsClient,
}

/// Starts the control plane, and the service that applies its decisions.
pub(crate) fn start_control(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    dependencies: ControlDependencies,
) -> Result<Addr<ControlLane>, DaemonError> {
    let (sender, output) = mpsc::unbounded_channel();
    let control = start_lane(kernel, settings, &dependencies, sender)?;
    let location = DaemonLocation {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
    };
    let announcer = control.clone().recipient();
    dependencies.lane.do_send(SetAnnouncer(announcer));
    let guard = kernel.start("force");
    let applier = ConfigApplier {
        location,
        lane: dependencies.lane.clone(),
        control: control.clone(),
        ready: dependencies.ready,
        stop: dependencies.stop.clone(),
        bounds: None,
        maps: Vec::new(),
        shared_status: dependencies.shared_status,
        metrics: dependencies.metrics,
    };
    actix::spawn(applier.run(output, guard));
    start_pause_watch(&control, dependencies.lane, dependencies.stop)?;
    Ok(control)
}

pub(crate) fn start_peer_listener(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    control: Addr<ControlLane>,
    execute: PeerExecuteState,
    listener: TcpListener,
) -> Result<(), DaemonError> {
    let spec = ListenerSpec {
        name: "peer",
        address: settings.peer_listen,
        workers: PEER_WORKERS,
        limits: ListenerLimits {
            body_bytes: MAX_MESSAGE_BYTES,
            ..settings.limits
        },
        key: Some(settings.shared_key.clone()),
        stop_timeout: settings.stop_timeout,
    };
    let state = web::Data::new(PeerState {
        lane: control,
        key: settings.shared_key.clone(),
    });
    let execute = web::Data::new(execute);
    let metrics = kernel.registry().find(METRICS_SERVICE)?;
    let handle = serve(listener, &spec, metrics, move |config| {
        config.app_data(state.clone());
        config.app_data(execute.clone());
        peer_listener::configure(config);
        configure_peer(config);
    })?;
    let guard = kernel.start("peer");
    actix::spawn(async move {
        guard.token.cancelled().await;
        handle.stop(true).await;
    });
    Ok(())
}

/// Starts the first step of a graceful stop: the daemon reports to the balancer that it is not
/// ready and announces to its peers that it is leaving, then keeps serving until both had time to
/// react.
pub(crate) fn start_leave_service(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    control: Addr<ControlLane>,
    ready: Arc<ReadyFlag>,
) {
    let guard = kernel.start("farewell");
    let grace = stop_grace(settings.stop_timeout);
    actix::spawn(async move {
        guard.token.cancelled().await;
        ready.set_stopping();
        control.do_send(LeaveFleet);
        tokio::time::sleep(grace).await;
    });
}

fn start_lane(
    kernel: &mut Kernel,
    settings: &DaemonSettings,
    dependencies: &ControlDependencies,
    output: mpsc::UnboundedSender<ControlOutput>,
) -> Result<Addr<ControlLane>, DaemonError> {
    let guard = kernel.start(CONTROL_SERVICE);
    let control_lane_settings = ControlLaneSettings {
        node: ControlSettings {
            own: MemberRecord {
                host: settings.host.clone(),
                data_centre: settings.data_centre.clone(),
                address: dependencies.peer_address,
                incarnation: dependencies.incarnation,
                refutation: 0,
                state: MemberState::Alive,
            },
            seeds: settings.seed_peers.clone(),
            seed: dependencies.incarnation,
            check: check_value,
            rank: |_key, _value| (0, 0),
            read_settings: ReadSettings::default(),
            host_conflict: HostConflictPolicy::Stop,
        },
        key: settings.shared_key.clone(),
        platform: settings.platform.clone(),
        local_address: None,
    };
    let arbiter = Arbiter::new();
    let handle = arbiter.handle();
    let lane = ControlLane::start_in_arbiter(&handle, move |_| {
        ControlLane::new(control_lane_settings, output)
    });
    kernel.registry().publish(CONTROL_SERVICE, lane.clone())?;
    actix::spawn(async move {
        guard.token.cancelled().await;
        arbiter.stop();
    });
    Ok(lane)
}

fn start_pause_watch(
    control: &Addr<ControlLane>,
    lane: Addr<EngineLane>,
    stop: CancellationToken,
) -> Result<(), DaemonError> {
    let control = control.clone();
    let on_pause = move |pause| {
        control.do_send(ReportPause(pause));
        lane.do_send(FeedEngine(EngineEvent::Paused(pause)));
        LogEvent::ProcessPaused {
            pause_ms: pause.as_millis() as u64,
        }
        .emit();
    };
    watch_pauses(stop, on_pause).context(ThreadSnafu {
        thread: "pause-watch",
    })
}
