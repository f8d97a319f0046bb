//! Body of an answer that keeps a value until it has been sent: [`hold_with_body`].

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

/// The body of an answer, and a value that is dropped with it.
struct HeldBody<T> {
    body: BoxBody,
    _held: T,
}

/// Returns the answer with a body that drops `held` once it has been encoded, or the connection has
/// ended.
pub fn hold_with_body<T: Unpin + 'static>(
    response: Response<BoxBody>,
    held: T,
) -> Response<BoxBody> {
    response.map_body(|_head, body| BoxBody::new(HeldBody { body, _held: held }))
}

impl<T: Unpin> MessageBody for HeldBody<T> {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.body.as_pin_mut().poll_next(cx)
    }
}
