//! What can go wrong at the start of a daemon, with the step and the peer.

use snafu::Snafu;
use yuccalift_kernel::RegistryError;

/// A daemon that could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// A listener's address could not be had.
    #[snafu(display("bind {listener} listener, address {address}: {source}"))]
    Bind {
        /// Which listener.
        listener: &'static str,
        /// The address asked for.
        address: std::net::SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The daemon's thread could not be made.
    #[snafu(display("start thread {thread}: {source}"))]
    Thread {
        /// The thread.
        thread: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
    /// The daemon ended before it had started.
    #[snafu(display("start daemon {host}: it ended before it was up"))]
    Ended {
        /// The daemon's host.
        host: Box<str>,
    },
    /// A service could not be published or found.
    #[snafu(context(false), display("wire services: {source}"))]
    Registry {
        /// What the registry says.
        source: RegistryError,
    },
    /// A signal can't be waited for.
    #[snafu(display("watch for signals: {source}"))]
    Signal {
        /// What the system says.
        source: std::io::Error,
    },
    /// Metrics could not be set up.
    #[snafu(display("open metrics socket, peer {address}: {source}"))]
    Metrics {
        /// Where metrics should go.
        address: std::net::SocketAddr,
        /// What the library says.
        source: cadence::MetricError,
    },
}
