//! What can go wrong while a stand-in starts.

use std::net::SocketAddr;

use snafu::Snafu;

/// A stand-in that could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// The address is in use or may not be bound.
    #[snafu(display("bind, peer {address}: {source}"))]
    Bind {
        /// The address that was asked for.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The thread could not be started.
    #[snafu(display("start thread {name}: {source}"))]
    Thread {
        /// The thread's name.
        name: Box<str>,
        /// What the system says.
        source: std::io::Error,
    },
}
