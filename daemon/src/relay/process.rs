//! One relay process: its listeners, the reader of the store, and its graceful stop.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{Request, Response, ServiceConfig};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use yuccalift_core::quarantine::QuarantineNotice;
use yuccalift_core::relay::{RelayEngine, RelayEvent, RelayOptions, RequestOrigin, RouteTable};
use yuccalift_exchange::{LIBRARY_HEAD_BYTES, LinkOptions, ServeOptions, StopTokens, listen};
use yuccalift_settings::RelaySettings;

use super::caller_listener::{CallerListenerState, answer_caller, answer_forwarded};
use super::control::{RelayControl, answer_peer, store_read_settings};
use super::engine_driver::EngineDriver;
use super::forward_client::{PeerLinks, forwarded_origin};
use super::host_limits::{HostLimits, report_account};
use super::metrics_listener::answer_metrics_call;
use super::pool::LinkPool;
use super::readiness::{RelayReadiness, answer_balancer};
use super::report::RelayReport;
use super::settings_watch::{SettingsFile, SettingsWatch, relay_tuning};
use crate::error::{BindSnafu, DaemonError, SignalSnafu};
use crate::events::LogEvent;
use crate::metrics::MetricsClient;

/// How connections are served where no limit is published: for peers, the balancer, and callers
/// that connect before the routes are known.
const DEFAULT_SERVE_OPTIONS: ServeOptions = ServeOptions {
    idle_timeout: Duration::from_secs(120),
    head_timeout: Duration::from_secs(15),
    // Replaced by the share of each listener.
    max_connections: usize::MAX,
    max_head_bytes: LIBRARY_HEAD_BYTES,
    link: LinkOptions {
        connect_timeout: Duration::from_secs(1),
        keepalive_interval: Duration::from_secs(5),
        keepalive_probes: 3,
    },
};
/// Bytes of an incomplete head beyond the published limit: a larger head that is complete gets 431,
/// and bytes after the head may arrive with it.
const HEAD_SLACK_BYTES: usize = 16 * 1024;
/// Extra idle time of a caller's connection beyond the published limit, so that it is not closed
/// while a request that was sent in time is on its way.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// How long a stopping relay keeps accepting connections: the balancer polls readiness each second
/// and sends new callers until it has seen two negative answers.
const BALANCER_GRACE: Duration = Duration::from_secs(3);
/// Time in which the last answers are written before the process exits.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Interval at which a stopping relay checks whether the requests of peers have ended.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Number of times within [`ANSWER_TIME`] that the remaining requests are ended.
const ENDING_ROUNDS: u32 = 6;
/// Time before the stop limit at which the process exits by itself.
const STOP_RESERVE: Duration = Duration::from_millis(500);

/// Runs a relay until it is told to stop; `settings` were read from `file`.
///
/// # Errors
///
/// Returns [`DaemonError`] if a listener can't be bound or a signal handler can't be installed.
pub fn run_relay(file: SettingsFile, settings: RelaySettings) -> Result<(), DaemonError> {
    actix_rt::System::new().block_on(serve(file, settings))
}

async fn serve(file: SettingsFile, settings: RelaySettings) -> Result<(), DaemonError> {
    let mut signals = RelaySignals::new()?;
    let limits = HostLimits::apply(&settings);
    let callers = bind("callers", settings.caller_listen)?;
    let balancer = bind("readiness", settings.readiness_listen)?;
    let peers = bind("peers", settings.peer_listen)?;
    let link_config = ServiceConfig::default();
    let metrics = match settings.metrics_listen {
        Some(_) => MetricsClient::with_text_export(),
        None => MetricsClient::default(),
    };
    let (sender, notices) = mpsc::unbounded_channel();
    let driver = new_driver(&settings, &link_config, &metrics, sender);
    let start_window = store_read_settings(&settings).start_window;
    let readiness = Rc::new(RelayReadiness::new(start_window));
    let stop = CancellationToken::new();
    let caller_stop = StopTokens::default();
    // The listeners other than that of the callers end with the process.
    let listener_stop = StopTokens {
        abort: stop.clone(),
        ..StopTokens::default()
    };
    actix_rt::spawn(Rc::clone(&driver).run_timers(stop.clone()));
    actix_rt::spawn(report_account(metrics.clone(), stop.clone()));
    let control = RelayControl::new(
        &settings,
        link_config,
        Rc::clone(&driver),
        Rc::clone(&readiness),
    );
    actix_rt::spawn(Rc::clone(&control).run(notices, stop.clone()));
    let caller_state = Rc::new(CallerListenerState {
        driver: Rc::clone(&driver),
        readiness: Rc::clone(&readiness),
        peer_requests: Cell::new(0),
    });
    spawn_peer_listener(
        peers,
        limits.peers,
        listener_stop.clone(),
        Rc::clone(&control),
        Rc::clone(&caller_state),
    );
    let balancer_readiness = Rc::clone(&readiness);
    spawn_listener(
        balancer,
        move || default_serve_options(limits.readiness),
        listener_stop.clone(),
        move |request| answer_balancer(Rc::clone(&balancer_readiness), request),
    );
    if let Some(listener) = settings.metrics_listen.and_then(bind_metrics) {
        let metrics_driver = Rc::clone(&driver);
        spawn_listener(
            listener,
            move || default_serve_options(limits.metrics),
            listener_stop,
            move |request| {
                let answer = answer_metrics_call(&metrics, &metrics_driver, &request);
                std::future::ready(Ok(answer))
            },
        );
    }
    let listener_state = Rc::clone(&caller_state);
    let caller_driver = Rc::clone(&driver);
    let options = move || caller_serve_options(&caller_driver.routes(), limits.callers);
    let callers_served = spawn_listener(callers, options, caller_stop.clone(), move |request| {
        answer_caller(Rc::clone(&listener_state), request, RequestOrigin::Caller)
    });
    log_start(&settings);
    let watch = SettingsWatch::new(file, settings.clone(), Rc::clone(&driver));
    actix_rt::spawn(Rc::clone(&watch).run(stop.clone()));
    signals.wait(&watch).await;
    control.leave();
    readiness.stopping.set(true);
    let drain = caller_stop.drain;
    let limit = watch.stop_timeout();
    stop_gracefully(&settings.host, limit, drain, callers_served, &caller_state).await;
    stop.cancel();
    Ok(())
}

fn new_driver(
    settings: &RelaySettings,
    link_config: &ServiceConfig,
    metrics: &MetricsClient,
    notices: mpsc::UnboundedSender<QuarantineNotice>,
) -> Rc<EngineDriver> {
    EngineDriver::new(
        RelayEngine::new(relay_options(settings)),
        LinkPool::new(link_config.clone()),
        PeerLinks::new(link_config.clone()),
        RelayReport::new(Instant::now(), metrics.clone()),
        notices,
    )
}

/// Serves the peers: their messages, and the requests that they forward.
fn spawn_peer_listener(
    listener: TcpListener,
    max_connections: usize,
    stop: StopTokens,
    control: Rc<RelayControl>,
    state: Rc<CallerListenerState>,
) {
    spawn_listener(
        listener,
        move || default_serve_options(max_connections),
        stop,
        move |request| {
            let (control, state) = (Rc::clone(&control), Rc::clone(&state));
            async move {
                match forwarded_origin(&request) {
                    Some(origin) => answer_forwarded(state, request, origin).await,
                    None => answer_peer(control, request).await,
                }
            }
        },
    );
}

/// Returns how connections are served where no limit is published but their number.
fn default_serve_options(max_connections: usize) -> ServeOptions {
    ServeOptions {
        max_connections,
        ..DEFAULT_SERVE_OPTIONS
    }
}

/// Returns how callers' connections are served under the published limits.
fn caller_serve_options(routes: &RouteTable, max_connections: usize) -> ServeOptions {
    if routes.version == 0 {
        return default_serve_options(max_connections);
    }
    ServeOptions {
        idle_timeout: routes.limits.idle_timeout + IDLE_SLACK,
        head_timeout: routes.limits.head_timeout,
        max_connections,
        max_head_bytes: LIBRARY_HEAD_BYTES.min(routes.limits.head_bytes + HEAD_SLACK_BYTES),
        ..DEFAULT_SERVE_OPTIONS
    }
}

fn relay_options(settings: &RelaySettings) -> RelayOptions {
    RelayOptions {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        tuning: relay_tuning(settings),
    }
}

fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    listen(address).context(BindSnafu { listener, address })
}

/// Binds the listener for metrics. Its port is fixed on all hosts, so that another program may have
/// it; callers must be served without metrics then.
fn bind_metrics(address: SocketAddr) -> Option<TcpListener> {
    listen(address)
        .inspect_err(|error| {
            LogEvent::MetricsUnserved {
                address: &address.to_string(),
                fault: &error.to_string(),
            }
            .emit();
        })
        .ok()
}

/// Serves a listener until `stop` tells it to end.
fn spawn_listener<F, Fut>(
    listener: TcpListener,
    options: impl Fn() -> ServeOptions + 'static,
    stop: StopTokens,
    handler: F,
) -> JoinHandle<()>
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    actix_rt::spawn(yuccalift_exchange::serve(listener, options, stop, handler))
}

/// Keeps serving callers for a grace period, in which the balancer learns that this relay is not
/// ready, and then until each request that was received has its answer. Shortly before the limit,
/// requests without an answer are ended, so that their callers know.
async fn stop_gracefully(
    host: &str,
    limit: Duration,
    drain: CancellationToken,
    mut callers_served: JoinHandle<()>,
    state: &CallerListenerState,
) {
    LogEvent::StopStarted {
        host,
        limit_ms: limit.as_millis() as u64,
    }
    .emit();
    let started_at = Instant::now();
    tokio::time::sleep(BALANCER_GRACE.min(limit / 2)).await;
    drain.cancel();
    let time_left = limit
        .saturating_sub(STOP_RESERVE)
        .saturating_sub(started_at.elapsed());
    let serving_time = time_left.saturating_sub(ANSWER_TIME);
    let all_served = async {
        let _ended = (&mut callers_served).await;
        while state.peer_requests.get() > 0 {
            tokio::time::sleep(PEER_REQUEST_INTERVAL).await;
        }
    };
    let ended = tokio::time::timeout(serving_time, all_served).await;
    let mut is_served = ended.is_ok();
    let overdue = if is_served { "" } else { "requests" };
    // A request whose body has just arrived may be submitted between two rounds.
    for _ in 0..ENDING_ROUNDS {
        if is_served {
            break;
        }
        state.driver.feed(RelayEvent::Ending);
        let round = ANSWER_TIME / ENDING_ROUNDS;
        if callers_served.is_finished() {
            tokio::time::sleep(round).await;
        } else {
            let _ended = tokio::time::timeout(round, &mut callers_served).await;
        }
        is_served = callers_served.is_finished() && state.peer_requests.get() == 0;
    }
    LogEvent::DaemonStopped { host, overdue }.emit();
}

fn log_start(settings: &RelaySettings) {
    LogEvent::RelayStarted {
        host: &settings.host,
        data_centre: &settings.data_centre,
        callers: &settings.caller_listen.to_string(),
        store: &settings.store.to_string(),
    }
    .emit();
}

struct RelaySignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl RelaySignals {
    fn new() -> Result<Self, DaemonError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context(SignalSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(SignalSnafu)?,
            hang_up: signal(SignalKind::hangup()).context(SignalSnafu)?,
        })
    }

    /// Waits for a signal to stop; reloads the settings on each hang-up signal meanwhile.
    async fn wait(&mut self, watch: &SettingsWatch) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => watch.reload(),
            }
        }
    }
}
