//! What keeps a target's connections honest beside its calls: questions about silent ones, probes
//! of idle ones, status reports, and tries of a lost target.

use std::time::{Duration, Instant};

use yuccalift_core::connection_watch::{ASK_TIMEOUT, ConnectionId};
use yuccalift_core::event::TargetNewsKind;

use crate::events::LogEvent;

use super::client::{LeafClient, VERIFY_TIMEOUT};
use super::connection::LeafCall;
use super::failure::StopCause;
use super::reply::read_status;

/// How long a status report may take.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is left without a probe.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(5);
/// How long after a target was lost it is tried again for the first time.
pub(super) const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// The longest time between two tries.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);

/// When a lost target is tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledReconnect {
    due: Instant,
    delay: Duration,
}

/// Something a client wants done beside its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceTask {
    /// Ask the target on a fresh connection, since others are silent.
    ProbeSilent,
    /// Probe an idle connection.
    KeepAlive(ConnectionId),
    /// Try whether a lost target can be connected to again.
    Reconnect,
}

impl LeafClient {
    /// What the client wants done now; to be asked every check period.
    pub fn due_maintenance(&self, now: Instant) -> Vec<MaintenanceTask> {
        let mut due_maintenance = Vec::new();
        if let Some(plan) = self.reconnect.get()
            && plan.due <= now
        {
            self.schedule_reconnect(now, plan.delay);
            due_maintenance.push(MaintenanceTask::Reconnect);
        }
        if self.pool.open_count() == 0 {
            return due_maintenance;
        }
        self.update_last_reads();
        let mut watch = self.pool.watch.borrow_mut();
        if !watch.overdue(now).is_empty() {
            watch.ask(now);
            due_maintenance.push(MaintenanceTask::ProbeSilent);
        }
        if self.pool.idle_count() > 0 {
            let silent_ids = watch.quiet_idle(now, KEEP_ALIVE_PERIOD);
            due_maintenance.extend(silent_ids.into_iter().map(MaintenanceTask::KeepAlive));
        }
        due_maintenance
    }

    /// Does a chore, and tells what was learnt.
    pub async fn run_maintenance(&self, task: MaintenanceTask) -> Option<TargetNewsKind> {
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
                return Some(TargetNewsKind::Reachable);
            }
        }
        None
    }

    /// Asks the target for its status; none if it could not be had.
    pub async fn status(&self) -> Option<Vec<TargetNewsKind>> {
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
            let make_room = || self.retire_longest_silent();
            let lease = self.pool.check_out_new(make_room).await?;
            self.verify(lease, ASK_TIMEOUT).await
        };
        let asked = tokio::time::timeout(ASK_TIMEOUT, probe).await;
        let verified = asked.ok().flatten();
        self.update_last_reads();
        let retired = self.pool.watch.borrow_mut().verdict(verified.is_some());
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

    /// Where the share is used up by connections that all carry a call, the one that is silent
    /// longest is given up for the question.
    fn retire_longest_silent(&self) {
        let calls = self.calls.borrow();
        let oldest = calls.iter().map(|call| call.connection).min();
        drop(calls);
        let overdue = self.pool.watch.borrow().longest_quiet();
        if let Some(id) = overdue.or(oldest) {
            self.retire(id);
        }
    }

    fn retire(&self, id: ConnectionId) {
        let stop = self
            .calls
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

    /// Tells the watch when each connection in use was last heard.
    fn update_last_reads(&self) {
        let mut watch = self.pool.watch.borrow_mut();
        for call in self.calls.borrow().iter() {
            watch.heard(call.record.last_read(), call.connection);
        }
    }
}
