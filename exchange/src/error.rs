//! Error of an exchange: [`ExchangeError`].

use std::io;

use snafu::Snafu;

/// Reason why an exchange yielded no complete answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// Reading or writing failed.
    #[snafu(display("{step}: connection failed: {source}"))]
    ConnectionFailed {
        /// Step of the exchange that failed.
        step: &'static str,
        /// Error of the socket.
        source: io::Error,
    },
    /// The peer closed the connection before the answer was complete.
    #[snafu(display("{step}: connection closed before the answer was complete"))]
    UnexpectedEnd {
        /// Step of the exchange that failed.
        step: &'static str,
    },
    /// The received bytes are not an HTTP/1 answer, or the answer exceeds a limit.
    #[snafu(display("{step}: invalid answer: {reason}"))]
    Garbled {
        /// Step of the exchange that failed.
        step: &'static str,
        /// Description of the defect.
        reason: Box<str>,
    },
}
