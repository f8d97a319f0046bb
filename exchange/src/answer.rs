//! Answer that an exchange received completely: [`ExchangeAnswer`].

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, HeaderName};
use bytes::Bytes;

/// Longest idle timeout that is reported; the end of a much longer one can't be represented.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Answer that was received completely.
#[derive(Clone, Debug)]
pub struct ExchangeAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received, including those that concern only this connection.
    pub headers: HeaderMap,
    /// Body without transfer encoding.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

impl ExchangeAnswer {
    /// Returns the value of a header; `None` if the header is absent or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns how long the peer keeps an idle connection open, from the `timeout` parameter of its
    /// `keep-alive` header, in whole seconds; `None` if the header or the parameter is absent.
    pub fn idle_timeout(&self) -> Option<Duration> {
        const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
        let value = self.headers.get(KEEP_ALIVE)?.to_str().ok()?;
        let seconds = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        let seconds: u64 = seconds.trim().parse().ok()?;
        Some(Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT))
    }
}
