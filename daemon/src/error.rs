//! Errors that keep a daemon from starting; each names the failed step and its subject.

use snafu::Snafu;
use yuccalift_kernel::RegistryError;

/// Error at the start of a daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// A listener could not be bound to its address.
    #[snafu(display("bind {listener} listener, address {address}: {source}"))]
    Bind {
        /// Name of the listener.
        listener: &'static str,
        /// Requested address.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A thread could not be spawned.
    #[snafu(display("start thread {thread}: {source}"))]
    Thread {
        /// Name of the thread.
        thread: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The daemon's thread ended before the daemon had started.
    #[snafu(display("start daemon {host}: its thread ended before the start was complete"))]
    Ended {
        /// Host of the daemon.
        host: Box<str>,
    },
    /// A service could not be published in, or found in, the service registry.
    #[snafu(context(false), display("register services: {source}"))]
    Registry {
        /// Error of the registry.
        source: RegistryError,
    },
    /// The handler of a signal could not be installed.
    #[snafu(display("install signal handler: {source}"))]
    Signal {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The socket for metrics could not be opened.
    #[snafu(display("open metrics socket, peer {address}: {source}"))]
    Metrics {
        /// Destination of the metrics.
        address: std::net::SocketAddr,
        /// Error of the metrics library.
        source: cadence::MetricError,
    },
}
