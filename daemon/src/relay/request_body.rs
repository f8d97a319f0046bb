//! Bodies of requests that this process serves: [`RequestBody`].

use std::time::Instant;

use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::{Payload, Request, Response, StatusCode};
use actix_web::web::{Bytes, BytesMut};
use futures_util::StreamExt;
use yuccalift_exchange::{BodyLease, hold_with_body};

/// The body of a request, of which none, a part or all has been read.
///
/// The server library reads on after an answer if the rest of a chunked body has been dropped, also
/// when its sender never ends it. While the rest is held, the library closes the connection after
/// the answer instead. See `docs/PLATFORM.md`, "Bytes without end".
pub(super) struct RequestBody {
    /// The part that has not been read; `None` if there is no such part.
    unread: Option<Payload>,
    /// Memory of the part that has been read.
    lease: BodyLease,
}

impl RequestBody {
    /// Takes over the payload of a request.
    pub(super) fn take(request: &mut Request) -> Self {
        let payload = request.take_payload();
        match payload {
            Payload::None => Self {
                unread: None,
                lease: BodyLease::default(),
            },
            payload => Self {
                unread: Some(payload),
                lease: BodyLease::of(request),
            },
        }
    }

    /// Reads the whole body, until `deadline` at the latest: the request can't be served after it.
    ///
    /// # Errors
    ///
    /// The status of the answer to a request whose body is malformed, larger than `limit` bytes, or
    /// late, or has no room on the account of the process.
    pub(super) async fn read_by(
        &mut self,
        deadline: Instant,
        limit: usize,
    ) -> Result<Bytes, StatusCode> {
        if self.unread.is_none() {
            return Ok(Bytes::new());
        }
        let reading = tokio::time::timeout_at(deadline.into(), self.read(limit));
        match reading.await {
            Ok(body) => body,
            Err(_elapsed) => Err(StatusCode::REQUEST_TIMEOUT),
        }
    }

    async fn read(&mut self, limit: usize) -> Result<Bytes, StatusCode> {
        let mut body = BytesMut::new();
        while let Some(payload) = &mut self.unread {
            let Some(chunk) = payload.next().await else {
                self.unread = None;
                break;
            };
            let chunk = chunk.map_err(|error: PayloadError| error_status(&error))?;
            let size = body.len() + chunk.len();
            if size > limit {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            let capacity = match body.capacity() {
                present if size <= present => present,
                present => size.max((2 * present).min(limit)),
            };
            if !self.lease.extend(chunk.len(), capacity) {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            body.reserve(capacity - body.len());
            body.extend_from_slice(&chunk);
        }
        Ok(self.lease.complete(body))
    }

    /// Returns the answer to the request, which holds the unread rest of its body.
    pub(super) fn attach_to(self, response: Response<BoxBody>) -> Response<BoxBody> {
        match self.unread {
            None => response,
            Some(payload) => hold_with_body(response, payload),
        }
    }
}

fn error_status(error: &PayloadError) -> StatusCode {
    match error {
        PayloadError::Overflow => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    }
}
