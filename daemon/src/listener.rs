//! HTTP server shared by all listeners: the shared key, limits and typed errors.
//!
//! Every call passes a [`ListenerGate`] before its handler: the gate limits the rate, compares the
//! key in constant time, and reads the whole body within its size and time limits. A call that
//! the gate refuses has not run; like every other error it is answered with a [`Refusal`].

use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::body::{BodySize, EitherBody, MessageBody};
use actix_web::dev::{Payload, ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::middleware::{Next, from_fn};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use snafu::ResultExt;
use subtle::ConstantTimeEq;
use yuccalift_core::{Refusal, RefusalCode};
use yuccalift_settings::ListenerLimits;
use yuccalift_wire::operator::KEY_HEADER;

use crate::error::{BindSnafu, DaemonError};
use crate::events::LogEvent;
use crate::metrics::{DaemonMetric, MetricsClient};
use crate::rate_limit::RateLimit;

/// Path of the load balancer's health check. It is exempt from the rate limit, so that a flood of
/// calls does not make the daemon look dead.
const READY_PATH: &str = "/ready";

/// Configuration of a listener.
#[derive(Clone, Debug)]
pub(crate) struct ListenerSpec {
    /// Name in errors and logs: `caller`, `peer` or `operator`.
    pub(crate) name: &'static str,
    /// Configured address, for errors.
    pub(crate) address: SocketAddr,
    /// Number of threads that serve the listener.
    pub(crate) workers: usize,
    /// Limits on the rate and body size of calls, and the time to read their header and body.
    pub(crate) limits: ListenerLimits,
    /// Key that each call must carry, if any.
    pub(crate) key: Option<Box<str>>,
    /// Time for running calls to end when the listener stops.
    pub(crate) stop_timeout: Duration,
}

/// Serves a bound listener on its own threads; `routes` registers the handlers.
///
/// A call is cancelled as soon as its caller closes the connection, so that no work is done for a
/// caller that has disconnected. A caller that closes only its sending half counts as disconnected
/// as well, since the two cases cannot be told apart before an answer is written.
///
/// # Errors
///
/// Returns [`DaemonError::Bind`] if the server cannot use the listener.
pub(crate) fn serve<F>(
    listener: TcpListener,
    spec: &ListenerSpec,
    metrics: MetricsClient,
    routes: F,
) -> Result<ServerHandle, DaemonError>
where
    F: Fn(&mut web::ServiceConfig) + Send + Clone + 'static,
{
    let gate = web::Data::new(ListenerGate::new(spec, metrics));
    let body_bytes = spec.limits.body_bytes;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(gate.clone())
            .app_data(web::PayloadConfig::new(body_bytes))
            .configure(routes.clone())
            .wrap(from_fn(apply_gate))
    })
    .workers(spec.workers)
    .disable_signals()
    .h1_allow_half_closed(false)
    .shutdown_timeout(spec.stop_timeout.as_secs())
    .client_request_timeout(spec.limits.header_timeout)
    .listen(listener)
    .context(BindSnafu {
        listener: spec.name,
        address: spec.address,
    })?
    .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

/// Admission check that every call of one listener passes first.
#[derive(Debug)]
struct ListenerGate {
    name: &'static str,
    key: Option<Box<str>>,
    body_timeout: Duration,
    rate: Mutex<RateLimit>,
    metrics: MetricsClient,
}

/// Refusal of a call by the gate, with the status of its response.
struct GateRefusal {
    status: StatusCode,
    refusal: Refusal,
}

impl ListenerGate {
    fn new(spec: &ListenerSpec, metrics: MetricsClient) -> Self {
        let rate = RateLimit::new(Instant::now(), spec.limits.requests_per_second);
        Self {
            name: spec.name,
            key: spec.key.clone(),
            body_timeout: spec.limits.header_timeout,
            rate: Mutex::new(rate),
            metrics,
        }
    }

    /// Checks rate and key, and reads the body of an admitted call.
    async fn admit(&self, call: &mut ServiceRequest) -> Result<(), GateRefusal> {
        self.check_rate(call)?;
        self.check_key(call)?;
        let body = self.read_body(call).await?;
        call.set_payload(Payload::from(body));
        Ok(())
    }

    fn check_rate(&self, call: &ServiceRequest) -> Result<(), GateRefusal> {
        if call.path() == READY_PATH {
            return Ok(());
        }
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        if rate.try_take(Instant::now()) {
            return Ok(());
        }
        let status = StatusCode::TOO_MANY_REQUESTS;
        let message = "the listener's limit of calls per second is exceeded";
        Err(gate_refusal(
            status,
            RefusalCode::RateLimited,
            "admit call",
            message,
        ))
    }

    fn check_key(&self, call: &ServiceRequest) -> Result<(), GateRefusal> {
        let Some(key) = &self.key else {
            return Ok(());
        };
        if has_valid_key(call.request(), key) {
            return Ok(());
        }
        let status = StatusCode::FORBIDDEN;
        let message = "the shared key is missing or wrong";
        Err(gate_refusal(
            status,
            RefusalCode::KeyInvalid,
            "check key",
            message,
        ))
    }

    async fn read_body(&self, call: &mut ServiceRequest) -> Result<web::Bytes, GateRefusal> {
        let reading = call.extract::<web::Bytes>();
        let refuse = |status, message: &str| {
            gate_refusal(status, RefusalCode::BadRequest, "read body", message)
        };
        match tokio::time::timeout(self.body_timeout, reading).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(error)) => {
                let status = error.as_response_error().status_code();
                Err(refuse(status, &error.to_string()))
            }
            Err(_elapsed) => Err(refuse(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive within the time limit",
            )),
        }
    }

    fn record_refusal(&self, call: &ServiceRequest, refusal: &Refusal) {
        let peer = call
            .peer_addr()
            .map_or_else(String::new, |address| address.to_string());
        LogEvent::CallRefused {
            listener: self.name,
            peer: &peer,
            reason: &refusal.message,
        }
        .emit();
        self.metrics.count(DaemonMetric::CallsRefused, 1);
    }
}

async fn apply_gate<B: MessageBody + 'static>(
    gate: web::Data<ListenerGate>,
    mut call: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<EitherBody<B>>, actix_web::Error> {
    if let Err(refused) = gate.admit(&mut call).await {
        gate.record_refusal(&call, &refused.refusal);
        let response = HttpResponse::build(refused.status).json(&refused.refusal);
        return Ok(call.into_response(response).map_into_right_body());
    }
    let response = next.call(call).await?;
    let status = response.status();
    if status.is_client_error() && is_empty(response.response().body().size()) {
        let message = format!("no such route: {status}");
        let refusal = Refusal::not_run(RefusalCode::BadRequest, "find route", message);
        let typed = HttpResponse::build(status).json(refusal);
        return Ok(response.into_response(typed).map_into_right_body());
    }
    Ok(response.map_into_left_body())
}

/// Returns whether a call carries the shared key. Compares in constant time, so that the duration
/// does not reveal how much of a wrong key matches.
pub(crate) fn has_valid_key(call: &HttpRequest, key: &str) -> bool {
    let presented = call.headers().get(KEY_HEADER);
    let presented = presented.map_or(&[][..], |value| value.as_bytes());
    presented.ct_eq(key.as_bytes()).into()
}

fn is_empty(size: BodySize) -> bool {
    matches!(size, BodySize::None | BodySize::Sized(0))
}

fn gate_refusal(status: StatusCode, code: RefusalCode, step: &str, message: &str) -> GateRefusal {
    GateRefusal {
        status,
        refusal: Refusal::not_run(code, step, message),
    }
}
