//! HTTP listener for operators: the daemon's status, and the request to drain.

use std::sync::Arc;

use actix::Addr;
use actix_web::{HttpRequest, HttpResponse, web};
use tokio_util::sync::CancellationToken;
use yuccalift_core::action::{EngineStatus, TargetStatus};
use yuccalift_core::ids::{DataCentreName, HostName, Incarnation};
use yuccalift_core::{Refusal, RefusalCode};
use yuccalift_wire::operator::{StatusReport, TargetReport};

use crate::caller::refusal_response;
use crate::events::LogEvent;
use crate::lane::{EngineLane, GetStatus};
use crate::ready_flag::ReadyFlag;
use crate::shared_status::{SharedStatus, StatusSnapshot};

/// State shared by the handlers of the operators' listener.
#[derive(Clone)]
pub(crate) struct OperatorState {
    pub(crate) host: HostName,
    pub(crate) data_centre: DataCentreName,
    pub(crate) incarnation: Incarnation,
    /// Readiness of the daemon.
    pub(crate) ready: Arc<ReadyFlag>,
    /// Token whose cancellation starts the graceful stop.
    pub(crate) stop: CancellationToken,
    /// Data-path thread, asked for the engine's part of the status.
    pub(crate) lane: Addr<EngineLane>,
    /// Status that the other services have recorded.
    pub(crate) shared_status: SharedStatus,
}

/// Registers the routes of the operators' listener.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config.route("/v1/status", web::get().to(status));
    config.route("/v1/drain", web::post().to(drain));
}

async fn status(state: web::Data<OperatorState>) -> HttpResponse {
    match state.lane.send(GetStatus).await {
        Ok(answer) => HttpResponse::Ok().json(state.report(&answer.0)),
        Err(error) => {
            let message = error.to_string();
            let refusal = Refusal::not_run(RefusalCode::Internal, "ask lane for status", message);
            refusal_response(&refusal)
        }
    }
}

async fn drain(state: web::Data<OperatorState>, request: HttpRequest) -> HttpResponse {
    let peer = request
        .peer_addr()
        .map_or_else(String::new, |address| address.to_string());
    LogEvent::DrainAsked { peer: &peer }.emit();
    state.stop.cancel();
    HttpResponse::Accepted().finish()
}

impl OperatorState {
    fn report(&self, engine: &EngineStatus) -> StatusReport {
        let StatusSnapshot {
            config_version,
            refused_values,
            peers,
            quarantines,
            control,
        } = self.shared_status.snapshot();
        StatusReport {
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation,
            ready: self.ready.is_ready(),
            stopping: self.stop.is_cancelled(),
            config_version,
            refused_values: refused_values
                .into_iter()
                .map(|value| value.reason)
                .collect(),
            peers,
            targets: engine.targets.iter().map(target_report).collect(),
            running: engine.running,
            waiting: engine.waiting,
            quarantines,
            control,
        }
    }
}

fn target_report(status: &TargetStatus) -> TargetReport {
    TargetReport {
        target: status.target,
        state: status.state.into(),
        in_flight: status.in_flight,
        limit: status.limit,
        connections: status.connections,
        latency_ms: status.latency.as_secs_f64() * 1000.0,
    }
}
