//! One relay: its listeners, the reader of the store, and its stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Request, Response, ServiceConfig, StatusCode};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use yuccalift_core::relay::{RelayEngine, RelayOptions, RouteTable};
use yuccalift_exchange::{LinkOptions, ServeOptions, listen};
use yuccalift_settings::RelaySettings;

use super::control::{RelayControl, answer_peer, reading_pace};
use super::front::{FrontState, answer_caller};
use super::hub::RelayHub;
use super::pool::LinkPool;
use super::readiness::{RelayReadiness, answer_balancer};
use super::report::RelayReport;
use super::settings_watch::{SettingsFile, SettingsWatch, relay_tuning};
use crate::error::{BindSnafu, DaemonError, SignalSnafu};
use crate::events::LogEvent;
use crate::metrics::MetricsClient;

/// How connections are served where no limit is published: for peers, the balancer, and callers that
/// come before the routes do.
const USUAL_CONNECTIONS: ServeOptions = ServeOptions {
    idle_timeout: Duration::from_secs(120),
    head_timeout: Duration::from_secs(15),
    link: LinkOptions {
        connect_timeout: Duration::from_secs(1),
        keepalive_interval: Duration::from_secs(5),
        keepalive_probes: 3,
    },
};
/// How much longer than the published limit a caller's connection may be idle, so that it is not closed
/// while a request is on its way that was sent in time.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// How long a stopping relay goes on accepting: the balancer asks each second, and sends new
/// callers until it has been told twice that the relay is not ready.
const BALANCER_GRACE: Duration = Duration::from_secs(3);
/// How long before the end of a stop its process ends by itself.
const STOP_RESERVE: Duration = Duration::from_millis(500);
/// How often a stopping relay looks whether it has nothing left to do.
const STOP_LOOK: Duration = Duration::from_millis(50);
/// Runs a relay until it is told to stop, with the settings that were read from the file.
///
/// # Errors
///
/// [`DaemonError`] if a listener's address or a signal can't be had.
pub fn run_relay(file: SettingsFile, settings: RelaySettings) -> Result<(), DaemonError> {
    actix_rt::System::new().block_on(serve(file, settings))
}

async fn serve(file: SettingsFile, settings: RelaySettings) -> Result<(), DaemonError> {
    let mut signals = StopSignals::new()?;
    let callers = bind("callers", settings.caller_listen)?;
    let balancer = bind("readiness", settings.readiness_listen)?;
    let peers = bind("peers", settings.peer_listen)?;
    let links = ServiceConfig::default();
    let engine = RelayEngine::new(relay_options(&settings));
    let metrics = match settings.metrics_listen {
        Some(_) => MetricsClient::keeping_text(),
        None => MetricsClient::default(),
    };
    let report = RelayReport::new(Instant::now(), metrics.clone());
    let (sender, news) = mpsc::unbounded_channel();
    let hub = RelayHub::new(engine, LinkPool::new(links.clone()), report, sender);
    let start_window = reading_pace(settings.fleet_daemons).start_window;
    let readiness = Rc::new(RelayReadiness::new(start_window));
    let stop = CancellationToken::new();
    actix_rt::spawn(Rc::clone(&hub).run_timers(stop.clone()));
    let control = RelayControl::new(&settings, links, Rc::clone(&hub), Rc::clone(&readiness));
    actix_rt::spawn(Rc::clone(&control).run(news, stop.clone()));
    let answering = Rc::clone(&control);
    spawn_listener(
        peers,
        || USUAL_CONNECTIONS,
        stop.clone(),
        move |request| answer_peer(Rc::clone(&answering), request),
    );
    let asked = Rc::clone(&readiness);
    spawn_listener(
        balancer,
        || USUAL_CONNECTIONS,
        stop.clone(),
        move |request| answer_balancer(Rc::clone(&asked), request),
    );
    if let Some(address) = settings.metrics_listen {
        let listener = bind("metrics", address)?;
        spawn_listener(
            listener,
            || USUAL_CONNECTIONS,
            stop.clone(),
            move |_request| std::future::ready(Ok(answer_metrics(&metrics))),
        );
    }
    let front = Rc::new(FrontState {
        hub: Rc::clone(&hub),
        readiness: Rc::clone(&readiness),
    });
    let limited = Rc::clone(&hub);
    let options = move || caller_connections(&limited.routes());
    spawn_listener(callers, options, stop.clone(), move |request| {
        answer_caller(Rc::clone(&front), request)
    });
    log_start(&settings);
    let watch = SettingsWatch::new(file, settings.clone(), Rc::clone(&hub));
    actix_rt::spawn(Rc::clone(&watch).run(stop.clone()));
    signals.wait(&watch).await;
    control.leave();
    stop_gracefully(&settings.host, watch.stop_timeout(), &hub, &readiness).await;
    stop.cancel();
    Ok(())
}

/// How callers' connections are served by the published limits.
fn caller_connections(routes: &RouteTable) -> ServeOptions {
    if routes.version == 0 {
        return USUAL_CONNECTIONS;
    }
    ServeOptions {
        idle_timeout: routes.limits.idle_timeout + IDLE_SLACK,
        head_timeout: routes.limits.head_timeout,
        ..USUAL_CONNECTIONS
    }
}

fn relay_options(settings: &RelaySettings) -> RelayOptions {
    RelayOptions {
        data_centre: settings.data_centre.clone(),
        tuning: relay_tuning(settings),
    }
}

fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    listen(address).context(BindSnafu { listener, address })
}

/// Serves a listener until the token is cancelled.
fn spawn_listener<F, Fut>(
    listener: TcpListener,
    options: impl Fn() -> ServeOptions + 'static,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    actix_rt::spawn(yuccalift_exchange::serve(listener, options, stop, handler));
}

/// Answers whoever reads the metrics, at any path.
fn answer_metrics(metrics: &MetricsClient) -> Response<BoxBody> {
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header((CONTENT_TYPE, "text/plain; version=0.0.4"));
    builder.body(metrics.text()).map_into_boxed_body()
}

/// Says that no new callers are wanted, serves those that come, and waits until none is left.
async fn stop_gracefully(host: &str, limit: Duration, hub: &RelayHub, readiness: &RelayReadiness) {
    readiness.stopping.set(true);
    LogEvent::StopStarted {
        host,
        limit_ms: limit.as_millis() as u64,
    }
    .emit();
    let began = Instant::now();
    let grace = BALANCER_GRACE.min(limit / 2);
    tokio::time::sleep(grace).await;
    let end = limit.saturating_sub(STOP_RESERVE);
    while hub.in_work() > 0 && began.elapsed() < end {
        tokio::time::sleep(STOP_LOOK).await;
    }
    let overdue = if hub.in_work() > 0 { "requests" } else { "" };
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

/// The signals that a relay heeds.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    fn new() -> Result<Self, DaemonError> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context(SignalSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(SignalSnafu)?,
            hang_up: signal(SignalKind::hangup()).context(SignalSnafu)?,
        })
    }

    /// Waits for the signal to stop; meanwhile reads the settings whenever they are said to have
    /// changed.
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
