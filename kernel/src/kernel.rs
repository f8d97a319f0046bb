//! Ordered start and stop of the services of one process.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::registry::{ServiceName, ServiceRegistry};

/// Service that was started and not yet stopped.
#[derive(Debug)]
struct RunningService {
    name: ServiceName,
    token: CancellationToken,
    stopped: oneshot::Receiver<()>,
}

/// Guard that a service holds while it runs; dropping it tells the kernel that the service has
/// stopped.
#[derive(Debug)]
pub struct ServiceGuard {
    /// Cancelled when the service must stop; it then finishes its work and drops the guard.
    pub token: CancellationToken,
    stopped: Option<oneshot::Sender<()>>,
}

/// Because the guard implements `Drop`, closures capture it as a whole. Otherwise an `async move`
/// block that uses only `token` would capture just that field, the rest would be dropped where the
/// block is created, and the kernel would not wait for the service.
impl Drop for ServiceGuard {
    fn drop(&mut self) {
        if let Some(stopped) = self.stopped.take() {
            let _kernel_may_be_dropped = stopped.send(());
        }
    }
}

/// Result of stopping the services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// Services that stopped in time, in the order in which they stopped.
    pub stopped: Vec<ServiceName>,
    /// Services that did not stop within the limit.
    pub overdue: Vec<ServiceName>,
}

/// Starts and stops the services of one process.
#[derive(Debug, Default)]
pub struct Kernel {
    registry: ServiceRegistry,
    running: Vec<RunningService>,
}

impl Kernel {
    /// Creates a kernel without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the registry in which services find each other.
    pub fn registry(&self) -> &ServiceRegistry {
        &self.registry
    }

    /// Registers a service as running; the service holds the returned guard until it has stopped.
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

    /// Stops the services one by one, the last started first, all together within `limit`.
    ///
    /// A service that has not stopped at the limit is listed in the report as overdue. The stop
    /// goes on without it, since services that were started earlier may still hold what callers
    /// wait for.
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
