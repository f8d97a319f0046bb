//! HTTP handlers of a leaf: the calls of `yuccalift_wire::leaf` and admin calls for tests.

use std::sync::Arc;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::web::{Data, Json, JsonConfig, ServiceConfig, get, post};
use serde::{Deserialize, Serialize};
use yuccalift_wire::leaf::{
    LeafCancel, LeafRefusal, LeafRefusalCode, LeafReply, LeafRequest, LeafStatus,
};

use super::command::LeafCommand;
use super::core::LeafCore;
use super::record::{LeafCounts, LeafRun, RunKind};
use crate::gate::GateCounts;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Counters of a leaf, as served by the admin listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeafCountsReport {
    /// Request counters.
    pub requests: LeafCounts,
    /// Connection counters.
    pub connections: GateCounts,
}

pub(super) fn configure(config: &mut ServiceConfig, core: Arc<LeafCore>) {
    config
        .app_data(Data::from(core))
        .app_data(json_config())
        .route("/search", post().to(search))
        .route("/execute", post().to(execute))
        .route("/cancel", post().to(cancel))
        .route("/status", get().to(status))
        .route("/ping", get().to(ping));
}

pub(super) fn configure_admin(config: &mut ServiceConfig, core: Arc<LeafCore>) {
    config
        .app_data(Data::from(core))
        .app_data(json_config())
        .route("/admin/command", post().to(command))
        .route("/admin/runs", get().to(runs))
        .route("/admin/counts", get().to(counts));
}

fn json_config() -> JsonConfig {
    JsonConfig::default()
        .limit(MAX_BODY_BYTES)
        .content_type_required(false)
}

async fn search(core: Data<LeafCore>, request: Json<LeafRequest>) -> HttpResponse {
    answer(core.serve(RunKind::Search, &request).await)
}

async fn execute(core: Data<LeafCore>, request: Json<LeafRequest>) -> HttpResponse {
    answer(core.serve(RunKind::Execute, &request).await)
}

async fn cancel(core: Data<LeafCore>, cancel: Json<LeafCancel>) -> HttpResponse {
    core.cancel(&cancel);
    HttpResponse::NoContent().finish()
}

async fn status(core: Data<LeafCore>) -> Json<LeafStatus> {
    Json(core.status())
}

async fn ping() -> HttpResponse {
    HttpResponse::NoContent().finish()
}

async fn command(core: Data<LeafCore>, command: Json<LeafCommand>) -> HttpResponse {
    core.command(command.into_inner());
    HttpResponse::NoContent().finish()
}

async fn runs(core: Data<LeafCore>) -> Json<Vec<LeafRun>> {
    Json(core.runs())
}

async fn counts(core: Data<LeafCore>) -> Json<LeafCountsReport> {
    Json(LeafCountsReport {
        requests: core.counts(),
        connections: core.gate().counts(),
    })
}

fn answer(result: Result<LeafReply, LeafRefusal>) -> HttpResponse {
    match result {
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(refusal) => HttpResponse::build(refusal_status(refusal.code)).json(refusal),
    }
}

fn refusal_status(code: LeafRefusalCode) -> StatusCode {
    match code {
        LeafRefusalCode::Shed => StatusCode::TOO_MANY_REQUESTS,
        LeafRefusalCode::Draining | LeafRefusalCode::Expired => StatusCode::SERVICE_UNAVAILABLE,
        LeafRefusalCode::WrongVersion | LeafRefusalCode::NotHosted | LeafRefusalCode::Cancelled => {
            StatusCode::CONFLICT
        }
    }
}
