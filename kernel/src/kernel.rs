//! Ordered start and stop of the services of one process.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::registry::{ServiceName, ServiceRegistry};

/// A service that has started.
#[derive(Debug)]
struct RunningService {
    name: ServiceName,
    token: CancellationToken,
    stopped: oneshot::Receiver<()>,
}

/// Held by a service while it runs: dropping it tells the kernel that the service has stopped.
#[derive(Debug)]
pub struct ServiceGuard {
    /// Cancelled when the service must stop; it then finishes what it has and drops the guard.
    pub token: CancellationToken,
    stopped: Option<oneshot::Sender<()>>,
}

/// With a drop of its own the guard moves as a whole: without one, an `async move` block that uses
/// the token alone would take just the token, and the rest of the guard would be dropped where
/// the block is made, so that the kernel would not wait for the service.
impl Drop for ServiceGuard {
    fn drop(&mut self) {
        if let Some(stopped) = self.stopped.take() {
            let _kernel_may_have_gone = stopped.send(());
        }
    }
}

/// How a stop went.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// The services that stopped, in the order of their stop.
    pub stopped: Vec<ServiceName>,
    /// The services that did not stop in time.
    pub overdue: Vec<ServiceName>,
}

/// The services of one process, in the order of their start.
#[derive(Debug, Default)]
pub struct Kernel {
    registry: ServiceRegistry,
    running: Vec<RunningService>,
}

impl Kernel {
    /// Makes a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// The table in which services find each other.
    pub fn registry(&self) -> &ServiceRegistry {
        &self.registry
    }

    /// Notes that a service starts, and gives the guard that it must hold while it runs.
    pub fn start(&mut self, name: ServiceName) -> ServiceGuard {
        let (sender, receiver) = oneshot::channel();
        let token = CancellationToken::new();
        self.running.push(RunningService {
            name,
            token: token.clone(),
            stopped: receiver,
        });
        ServiceGuard {
            token,
            stopped: Some(sender),
        }
    }

    /// Stops the services, the last started first, each before the next, all within `limit`.
    ///
    /// A service that needs longer is named in the report; the stop then goes on without it, since
    /// those below it may still hold what callers wait for.
    pub async fn stop(&mut self, limit: Duration) -> StopReport {
        let end = Instant::now() + limit;
        let mut report = StopReport::default();
        while let Some(service) = self.running.pop() {
            service.token.cancel();
            match tokio::time::timeout_at(end, service.stopped).await {
                Ok(_closed) => report.stopped.push(service.name),
                Err(_elapsed) => report.overdue.push(service.name),
            }
        }
        report
    }
}
