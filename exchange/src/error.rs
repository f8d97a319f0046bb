//! What can go wrong in an exchange: [`ExchangeError`].

use std::io;

use snafu::Snafu;

/// An exchange that brought no whole answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExchangeError {
    /// The connection ended or broke.
    #[snafu(display("{step}: the connection broke: {source}"))]
    ConnectionFailed {
        /// What was being done.
        step: &'static str,
        /// The socket's error.
        source: io::Error,
    },
    /// The connection ended before the answer did.
    #[snafu(display("{step}: the connection ended before the answer did"))]
    UnexpectedEnd {
        /// What was being done.
        step: &'static str,
    },
    /// What came is not an answer in the protocol.
    #[snafu(display("{step}: no valid answer: {reason}"))]
    Garbled {
        /// What was being done.
        step: &'static str,
        /// What is wrong with it.
        reason: Box<str>,
    },
}
