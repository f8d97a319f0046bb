//! HTTP handlers of the platform stand-in.
//!
//! Besides the calls of the platform (`yuccalift_wire::platform`), a test can control a stand-in
//! process through `/admin/` routes; those calls are not counted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::web::{
    Data, Json, Path, PayloadConfig, Query, ServiceConfig, delete, get, post, put,
};
use actix_web::{HttpResponse, rt};
use serde::Deserialize;
use yuccalift_core::ids::ConfigVersion;
use yuccalift_wire::platform::{HostList, ValueChanges};

use super::{PlatformCalls, PlatformCore, PlatformMode};

/// Maximum size of a configuration value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Query parameters of a read or a watch.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ValuesQuery {
    #[serde(default)]
    after: ConfigVersion,
    #[serde(default)]
    wait_ms: u64,
}

pub(super) fn configure(config: &mut ServiceConfig, core: Arc<PlatformCore>) {
    config
        .app_data(Data::from(core))
        .app_data(PayloadConfig::new(MAX_VALUE_BYTES))
        .route("/v1/values", get().to(read_values))
        .route("/v1/hosts", get().to(read_hosts))
        .route("/admin/values/{key:.*}", put().to(put_value))
        .route("/admin/values/{key:.*}", delete().to(remove_value))
        .route("/admin/hosts", put().to(put_hosts))
        .route("/admin/mode", post().to(put_mode))
        .route("/admin/calls", get().to(read_calls));
}

/// Counts a call and returns its refusal if the platform is down or the call exceeds the limit.
async fn refuse_call(core: &PlatformCore) -> Option<HttpResponse> {
    let is_within_limit = core.count_call();
    rt::time::sleep(core.options.answer_delay).await;
    if core.lock().mode == PlatformMode::Down {
        return Some(HttpResponse::ServiceUnavailable().finish());
    }
    (!is_within_limit).then(|| HttpResponse::TooManyRequests().finish())
}

async fn read_values(core: Data<PlatformCore>, query: Query<ValuesQuery>) -> HttpResponse {
    if let Some(refusal) = refuse_call(&core).await {
        return refusal;
    }
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    let waiting = WaitingWatch::new(&core);
    let changes = wait_for_changes(&core, query.after, until).await;
    drop(waiting);
    match changes {
        Some(changes) => HttpResponse::Ok().json(changes),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Counts a watch as waiting until it is dropped, also when its client disconnects.
struct WaitingWatch<'a> {
    core: &'a PlatformCore,
}

impl<'a> WaitingWatch<'a> {
    fn new(core: &'a PlatformCore) -> Self {
        core.lock().calls.waiting += 1;
        Self { core }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.core.lock().calls.waiting -= 1;
    }
}

/// Waits until `until` for a change after a version; `None` if the platform goes down meanwhile.
async fn wait_for_changes(
    core: &PlatformCore,
    after: ConfigVersion,
    until: Instant,
) -> Option<ValueChanges> {
    let mut signal = core.changed.subscribe();
    loop {
        if core.lock().mode == PlatformMode::Down {
            return None;
        }
        let changes = core.changes_after(after);
        if changes.version > after || Instant::now() >= until {
            return Some(changes);
        }
        tokio::select! {
            _ = signal.changed() => {}
            () = rt::time::sleep_until(until.into()) => {}
        }
    }
}

async fn read_hosts(core: Data<PlatformCore>) -> HttpResponse {
    if let Some(refusal) = refuse_call(&core).await {
        return refusal;
    }
    let hosts = core.lock().hosts.clone();
    HttpResponse::Ok().json(hosts)
}

async fn put_value(core: Data<PlatformCore>, key: Path<Box<str>>, value: String) -> HttpResponse {
    let version = core.append_change(&key, Some(value.into()));
    HttpResponse::Ok().json(version)
}

async fn remove_value(core: Data<PlatformCore>, key: Path<Box<str>>) -> HttpResponse {
    let version = core.append_change(&key, None);
    HttpResponse::Ok().json(version)
}

async fn put_hosts(core: Data<PlatformCore>, hosts: Json<HostList>) -> HttpResponse {
    core.lock().hosts = hosts.into_inner();
    HttpResponse::NoContent().finish()
}

async fn put_mode(core: Data<PlatformCore>, mode: Json<PlatformMode>) -> HttpResponse {
    core.set_mode(mode.into_inner());
    HttpResponse::NoContent().finish()
}

async fn read_calls(core: Data<PlatformCore>) -> Json<PlatformCalls> {
    Json(core.lock().calls)
}
