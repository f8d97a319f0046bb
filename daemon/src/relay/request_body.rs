//! Bodies of requests that this process serves: [`RequestBody`].

use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::{Payload, Response, StatusCode};
use actix_web::web::{Bytes, BytesMut};
use futures_util::StreamExt;
use yuccalift_exchange::hold_with_body;

/// The body of a request, of which none, a part or all has been read.
///
/// The server library reads on after an answer if the rest of a chunked body has been dropped, also
/// when its sender never ends it. While the rest is held, the library closes the connection after
/// the answer instead. See `docs/PLATFORM.md`, "Bytes without end".
pub(super) struct RequestBody {
    /// The part that has not been read; `None` if there is no such part.
    unread: Option<Payload>,
}

impl RequestBody {
    /// Takes over the payload of a request.
    pub(super) fn new(payload: Payload) -> Self {
        let is_empty = matches!(payload, Payload::None);
        Self {
            unread: (!is_empty).then_some(payload),
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// The status of the answer to a request whose body is malformed, or larger than `limit` bytes.
    pub(super) async fn read(&mut self, limit: usize) -> Result<Bytes, StatusCode> {
        let mut body = BytesMut::new();
        while let Some(payload) = &mut self.unread {
            let Some(chunk) = payload.next().await else {
                self.unread = None;
                break;
            };
            let chunk = chunk.map_err(|error: PayloadError| error_status(&error))?;
            if body.len() + chunk.len() > limit {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
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
