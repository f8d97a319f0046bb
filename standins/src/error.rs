//! Errors of starting a stand-in.

use std::net::SocketAddr;

use snafu::Snafu;

/// Failure to start a stand-in.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// The address is in use or may not be bound.
    #[snafu(display("listen on {address}: {source}"))]
    Bind {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The thread could not be started.
    #[snafu(display("start thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
