//! Maintenance of a target's connections: probes of silent and idle ones, status requests, and
//! reconnects to a lost target.

use std::time::{Duration, Instant};

use yuccalift_core::connection_watch::{ConnectionId, PROBE_TIMEOUT};
use yuccalift_core::event::TargetUpdateKind;

use crate::events::LogEvent;

use super::client::{LeafClient, VERIFY_TIMEOUT};
use super::connection::LeafCall;
use super::failure::StopCause;
use super::reply::read_status;

/// Time limit for a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between keep-alive probes of an idle connection.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(5);
/// Delay between the loss of a target and the first reconnect.
pub(super) const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two reconnects.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);

/// The next attempt to reconnect to a lost target, and the delay before the one after it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledReconnect {
    due: Instant,
    delay: Duration,
}

/// A maintenance task that a client has due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceTask {
    /// Probes the target on a new connection, because existing connections are silent.
    ProbeSilent,
    /// Probes an idle connection.
    KeepAlive(ConnectionId),
    /// Tries to connect to a lost target again.
    Reconnect,
}

impl LeafClient {
    /// Returns the maintenance tasks that are due; called once per check period.
    pub fn due_maintenance(&self, now: Instant) -> Vec<MaintenanceTask> {
        let mut tasks = Vec::new();
        if let Some(plan) = self.reconnect.get()
            && plan.due <= now
        {
            self.schedule_reconnect(now, plan.delay);
            tasks.push(MaintenanceTask::Reconnect);
        }
        if self.pool.open_count() == 0 {
            return tasks;
        }
        self.update_last_reads();
        let mut watch = self.pool.watch.borrow_mut();
        if !watch.overdue(now).is_empty() {
            watch.start_probe(now);
            tasks.push(MaintenanceTask::ProbeSilent);
        }
        if self.pool.idle_count() > 0 {
            let silent_ids = watch.idle_longer_than(now, KEEP_ALIVE_PERIOD);
            tasks.extend(silent_ids.into_iter().map(MaintenanceTask::KeepAlive));
        }
        tasks
    }

    /// Runs a maintenance task; returns what it has revealed about the target.
    pub async fn run_maintenance(&self, task: MaintenanceTask) -> Option<TargetUpdateKind> {
        match task {
            MaintenanceTask::ProbeSilent => self.probe_silent().await,
            MaintenanceTask::KeepAlive(id) => {
                let lease = self.pool.take_idle_by_id(id)?;
                self.verify(lease, VERIFY_TIMEOUT).await?.put_back();
            }
            MaintenanceTask::Reconnect => {
                let until = Instant::now() + VERIFY_TIMEOUT;
                let lease = self.pool.check_out(until).await?;
                let lease = self.verify(lease, VERIFY_TIMEOUT).await?;
                lease.put_back();
                return Some(TargetUpdateKind::Reachable);
            }
        }
        None
    }

    /// Requests the target's status; returns `None` on failure.
    pub async fn status(&self) -> Option<Vec<TargetUpdateKind>> {
        let until = Instant::now() + STATUS_TIMEOUT;
        let lease = self.pool.check_out(until).await?;
        let call = self.run(
            &lease,
            LeafCall::Status,
            None,
            Vec::new(),
            None,
            STATUS_TIMEOUT,
        );
        let answer = call.await.ok()?;
        let updates = read_status(self.pool.host(), &answer);
        lease.put_back();
        updates
    }

    pub(super) fn schedule_reconnect(&self, now: Instant, delay: Duration) {
        let jittered = delay.mul_f64(rand::random_range(0.75..1.25));
        self.reconnect.set(Some(ScheduledReconnect {
            due: now + jittered,
            delay: (delay * 2).min(MAX_RECONNECT_DELAY),
        }));
    }

    async fn probe_silent(&self) {
        let probe = async {
            let free_slot = || self.retire_longest_silent();
            let lease = self.pool.check_out_new(free_slot).await?;
            self.verify(lease, PROBE_TIMEOUT).await
        };
        let probed = tokio::time::timeout(PROBE_TIMEOUT, probe).await;
        let verified = probed.ok().flatten();
        self.update_last_reads();
        let retired = self
            .pool
            .watch
            .borrow_mut()
            .finish_probe(verified.is_some());
        for &id in &retired {
            self.retire(id);
        }
        LogEvent::ConnectionsRetired {
            target: self.pool.host(),
            retired: retired.len() as u64,
            answered: verified.is_some(),
        }
        .emit();
        if let Some(lease) = verified {
            lease.put_back();
        }
    }

    /// Frees a slot for the probe when the whole share is in use: the connection that has been
    /// silent for longest is retired.
    fn retire_longest_silent(&self) {
        let pending_calls = self.pending_calls.borrow();
        let oldest = pending_calls.iter().map(|call| call.connection).min();
        drop(pending_calls);
        let overdue = self.pool.watch.borrow().longest_silent();
        if let Some(id) = overdue.or(oldest) {
            self.retire(id);
        }
    }

    fn retire(&self, id: ConnectionId) {
        let stop = self
            .pending_calls
            .borrow_mut()
            .iter_mut()
            .find(|call| call.connection == id)
            .and_then(|call| call.stop.take());
        match stop {
            Some(stop) => {
                let _call_may_have_ended = stop.send(StopCause::Silent);
            }
            None => drop(self.pool.take_idle_by_id(id)),
        }
    }

    /// Records in the watch when each connection in use last received bytes.
    fn update_last_reads(&self) {
        let mut watch = self.pool.watch.borrow_mut();
        for call in self.pending_calls.borrow().iter() {
            watch.record_bytes(call.record.last_read(), call.connection);
        }
    }
}
