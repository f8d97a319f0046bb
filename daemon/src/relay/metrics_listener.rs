//! Answers of the metrics listener: the metrics, and explanations of where requests would be sent.

use std::time::Instant;

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Request, Response, StatusCode};
use serde::Deserialize;
use yuccalift_wire::codec::to_json;

use super::engine_driver::EngineDriver;
use crate::metrics::MetricsClient;

/// Path of explanations. The metrics are served on all other paths.
const EXPLAIN_PATH: &str = "/explain";

/// The request that is explained.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExplainQuery {
    host: Box<str>,
    path: Box<str>,
}

/// Answers a call to the metrics listener.
pub(super) fn answer_metrics_call(
    metrics: &MetricsClient,
    driver: &EngineDriver,
    request: &Request,
) -> Response<BoxBody> {
    if request.path() == EXPLAIN_PATH {
        return answer_explain(driver, request.uri().query().unwrap_or_default());
    }
    text_answer(StatusCode::OK, "text/plain; version=0.0.4", metrics.text())
}

fn answer_explain(driver: &EngineDriver, query: &str) -> Response<BoxBody> {
    let query: ExplainQuery = match serde_urlencoded::from_str(query) {
        Ok(query) => query,
        Err(error) => {
            let text = format!("the query needs host and path: {error}\n");
            return text_answer(StatusCode::BAD_REQUEST, "text/plain", text);
        }
    };
    let host = query.host.to_ascii_lowercase();
    let path = query.path.split('?').next().unwrap_or_default();
    let explanation = driver.explain(Instant::now(), &host, path);
    match to_json("explain a request", "an operator", &explanation) {
        Ok(body) => {
            let mut builder = Response::build(StatusCode::OK);
            builder.insert_header((CONTENT_TYPE, "application/json"));
            builder.body(body).map_into_boxed_body()
        }
        Err(error) => {
            let text = format!("{error}\n");
            text_answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", text)
        }
    }
}

fn text_answer(status: StatusCode, kind: &'static str, text: String) -> Response<BoxBody> {
    let mut builder = Response::build(status);
    builder.insert_header((CONTENT_TYPE, kind));
    builder.body(text).map_into_boxed_body()
}
