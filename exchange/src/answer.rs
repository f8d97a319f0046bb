//! A whole answer: [`ExchangeAnswer`].

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, HeaderName};
use bytes::Bytes;

/// An answer that came whole.
#[derive(Clone, Debug)]
pub struct ExchangeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

impl ExchangeAnswer {
    /// A header as text, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// How long the other end keeps the connection open while it is idle, where it says so; in
    /// whole seconds.
    pub fn idle_timeout(&self) -> Option<Duration> {
        const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
        let value = self.headers.get(KEEP_ALIVE)?.to_str().ok()?;
        let seconds = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    }
}
