//! Attempts and cancellations: the calls to one target.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::StatusCode;
use tokio::sync::oneshot;
use yuccalift_core::action::AttemptPlan;
use yuccalift_core::connection_watch::ConnectionId;
use yuccalift_core::event::{AttemptFailure, AttemptReply, EngineEvent};
use yuccalift_core::ids::AttemptId;
use yuccalift_core::search::RequestKind;
use yuccalift_wire::codec::to_json;
use yuccalift_wire::leaf::{LeafCancel, LeafRequest};

use super::connection::{LeafAnswer, LeafCall};
use super::failure::{CallFailure, StopCause, classify_failure};
use super::maintenance::{INITIAL_RECONNECT_DELAY, ScheduledReconnect};
use super::pool::{ConnectionLease, ConnectionPool};
use super::reply::read_answer;
use super::stream::StreamRecord;

/// Time limit for the ping that verifies a connection.
pub(super) const VERIFY_TIMEOUT: Duration = Duration::from_millis(250);

/// A call that awaits its answer.
pub(super) struct PendingCall {
    pub(super) connection: ConnectionId,
    attempt: Option<AttemptId>,
    kind: LeafCall,
    pub(super) record: Rc<StreamRecord>,
    pub(super) stop: Option<oneshot::Sender<StopCause>>,
}

/// Client for one target: a connection pool and the calls over it.
pub struct LeafClient {
    sender: Box<str>,
    pub(super) pool: ConnectionPool,
    pub(super) pending_calls: RefCell<Vec<PendingCall>>,
    waiting_attempts: RefCell<Vec<AttemptId>>,
    pub(super) reconnect: Cell<Option<ScheduledReconnect>>,
}

impl std::fmt::Debug for LeafClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LeafClient")
            .field("host", &self.pool.host())
            .field("open", &self.pool.open_count())
            .finish_non_exhaustive()
    }
}

impl LeafClient {
    /// Creates a client without connections that may hold up to `limit` of them.
    pub fn new(address: SocketAddr, sender: &str, limit: u32) -> Rc<Self> {
        Rc::new(Self {
            sender: sender.into(),
            pool: ConnectionPool::new(address, limit),
            pending_calls: RefCell::default(),
            waiting_attempts: RefCell::default(),
            reconnect: Cell::new(None),
        })
    }

    /// Changes the maximum number of connections.
    pub fn set_limit(&self, limit: u32) {
        self.pool.set_limit(limit);
    }

    /// Returns the number of connections, including those that are being opened or closed.
    pub fn open_connections(&self) -> u32 {
        self.pool.open_count()
    }

    /// Requires every connection to be verified before its next use, because the process was
    /// paused.
    pub fn suspect_all(&self) {
        self.pool.watch.borrow_mut().suspect_all();
    }

    /// Sends an attempt and waits for its outcome.
    ///
    /// The call does not end at the attempt's deadline: a cancelled or late attempt holds its
    /// connection until the reply frees it, which costs the target less than a new connection.
    pub async fn call(&self, plan: AttemptPlan) -> EngineEvent {
        let attempt = plan.attempt;
        self.waiting_attempts.borrow_mut().push(attempt);
        let result = self.try_call(&plan).await;
        self.remove_waiting(attempt);
        match result {
            Ok(reply) => EngineEvent::Reply(reply),
            Err(failure) => EngineEvent::Failed { attempt, failure },
        }
    }

    /// Asks the target, over another connection, to cancel an attempt, so that the attempt's own
    /// connection stays usable. That may open a new connection, but so would closing the attempt's.
    /// Only if the connection share is used up is the attempt's connection closed instead.
    pub async fn cancel(&self, attempt: AttemptId) {
        if self.remove_waiting(attempt) {
            return;
        }
        let Some(has_written) = self.written_if_cancellable(attempt) else {
            return;
        };
        let Some(lease) = has_written.then(|| self.pool.try_check_out()).flatten() else {
            self.stop_attempt(attempt, StopCause::Cancelled);
            return;
        };
        let message = LeafCancel {
            sender: self.sender.clone(),
            attempt,
        };
        let body = to_json("write cancel", "leaf", &message).unwrap_or_default();
        let sent = self.run(&lease, LeafCall::Cancel, None, body, None, VERIFY_TIMEOUT);
        if sent.await.is_ok() {
            lease.put_back();
        }
    }

    async fn try_call(&self, plan: &AttemptPlan) -> Result<AttemptReply, AttemptFailure> {
        let mut needs_new = false;
        loop {
            let lease = self.find_connection(plan.deadline, needs_new).await?;
            let Some(lease) = self.verify_if_needed(lease, plan).await? else {
                needs_new = true;
                continue;
            };
            if !self.remove_waiting(plan.attempt) {
                lease.put_back();
                return Err(AttemptFailure::NotSent);
            }
            match self.send_attempt(&lease, plan).await {
                Ok(answer) => {
                    let result = read_answer(plan, self.pool.host(), &answer);
                    if !matches!(result, Err(AttemptFailure::Garbled)) {
                        lease.put_back();
                    }
                    return result;
                }
                Err(CallFailure::Stale) => self.waiting_attempts.borrow_mut().push(plan.attempt),
                Err(failure) => return Err(failure.attempt_failure(&lease.connection().record)),
            }
        }
    }

    /// Returns a connection to send on. After an idle connection has failed verification a new one
    /// is opened, because the other idle ones are likely dead too and each would cost a ping.
    async fn find_connection(
        &self,
        until: Instant,
        needs_new: bool,
    ) -> Result<ConnectionLease<'_>, AttemptFailure> {
        let found = if needs_new {
            let new_lease = self.pool.check_out_new(|| ());
            tokio::time::timeout_at(until.into(), new_lease)
                .await
                .ok()
                .flatten()
        } else {
            self.pool.check_out(until).await
        };
        found.ok_or(AttemptFailure::NotSent)
    }

    async fn send_attempt(
        &self,
        lease: &ConnectionLease<'_>,
        plan: &AttemptPlan,
    ) -> Result<LeafAnswer, CallFailure> {
        let now = Instant::now();
        let time_left = plan.deadline.saturating_duration_since(now);
        if time_left.is_zero() {
            return Err(CallFailure::Expired);
        }
        let search_timeout = self.pool.watch.borrow().silence_timeout();
        let (call, silence_timeout) = match plan.kind {
            RequestKind::Search => (LeafCall::Search, search_timeout),
            RequestKind::Execute { .. } => (LeafCall::Execute, time_left + search_timeout),
        };
        let body = to_json("write leaf request", "leaf", &self.request(plan, time_left));
        let body = body.map_err(|_unwritable| CallFailure::Expired)?;
        self.run(
            lease,
            call,
            Some(plan.attempt),
            body,
            Some(plan.deadline),
            silence_timeout,
        )
        .await
    }

    /// Verifies the connection before a non-idempotent request, and before any request after a
    /// pause. Returns `None` if the connection did not answer; the caller then tries another.
    async fn verify_if_needed<'client>(
        &'client self,
        lease: ConnectionLease<'client>,
        plan: &AttemptPlan,
    ) -> Result<Option<ConnectionLease<'client>>, AttemptFailure> {
        let id = lease.connection().id;
        let needs_verification = matches!(plan.kind, RequestKind::Execute { .. })
            || self.pool.watch.borrow().is_suspect(id);
        if !needs_verification {
            return Ok(Some(lease));
        }
        let is_new = !lease.connection().record.was_connected();
        let verified = self.verify(lease, VERIFY_TIMEOUT).await;
        if verified.is_none() && is_new {
            return Err(AttemptFailure::NotSent);
        }
        Ok(verified)
    }

    /// Pings the target over a connection. Returns `None`, closing the connection, if it does not
    /// answer.
    pub(super) async fn verify<'client>(
        &'client self,
        lease: ConnectionLease<'client>,
        limit: Duration,
    ) -> Option<ConnectionLease<'client>> {
        let ping = self.run(&lease, LeafCall::Ping, None, Vec::new(), None, limit);
        let answer = ping.await.ok()?;
        (answer.status == StatusCode::NO_CONTENT).then_some(lease)
    }

    /// Runs one exchange over a connection until it ends or is stopped. Calls that need no work
    /// from the target (pings, cancellations, status requests) time out after `silence_timeout`.
    pub(super) async fn run(
        &self,
        lease: &ConnectionLease<'_>,
        call: LeafCall,
        attempt: Option<AttemptId>,
        body: Vec<u8>,
        write_deadline: Option<Instant>,
        silence_timeout: Duration,
    ) -> Result<LeafAnswer, CallFailure> {
        let connection = lease.connection();
        let is_reused = connection.record.was_connected();
        let sent_at = Instant::now();
        let (guard, stopped) = self.register_call(lease, call, attempt);
        let id = connection.id;
        let is_attempt = attempt.is_some();
        let timeout = if is_attempt {
            Duration::MAX
        } else {
            silence_timeout
        };
        self.pool
            .watch
            .borrow_mut()
            .record_send(sent_at, id, silence_timeout);
        let exchange = connection.exchange(call, body, write_deadline);
        let result = tokio::select! {
            biased;
            cause = stopped => Err(CallFailure::Stopped(cause.unwrap_or(StopCause::Cancelled))),
            result = exchange => result.map_err(|_source| classify_failure(&connection.record, is_reused)),
            () = sleep_until_limit(timeout) => Err(CallFailure::Stopped(StopCause::Silent)),
        };
        drop(guard);
        self.record_end(
            &result,
            &connection.record,
            id,
            is_attempt.then_some(sent_at),
        );
        result
    }

    fn record_end(
        &self,
        result: &Result<LeafAnswer, CallFailure>,
        record: &StreamRecord,
        id: ConnectionId,
        sent_at: Option<Instant>,
    ) {
        let mut watch = self.pool.watch.borrow_mut();
        watch.record_bytes(record.last_read(), id);
        match result {
            Ok(answer) => {
                let succeeded = answer.status == StatusCode::OK;
                let latency = sent_at
                    .filter(|_| succeeded)
                    .map(|sent_at| sent_at.elapsed());
                watch.record_answer(id, latency);
                self.reconnect.set(None);
            }
            Err(CallFailure::NotConnected | CallFailure::Lost) => {
                if self.reconnect.get().is_none() {
                    self.schedule_reconnect(Instant::now(), INITIAL_RECONNECT_DELAY);
                }
            }
            Err(_) => {}
        }
    }

    fn register_call(
        &self,
        lease: &ConnectionLease<'_>,
        kind: LeafCall,
        attempt: Option<AttemptId>,
    ) -> (CallGuard<'_>, oneshot::Receiver<StopCause>) {
        let (stop, stopped) = oneshot::channel();
        let connection = lease.connection().id;
        self.pending_calls.borrow_mut().push(PendingCall {
            connection,
            attempt,
            kind,
            record: Rc::clone(&lease.connection().record),
            stop: Some(stop),
        });
        let guard = CallGuard {
            client: self,
            connection,
        };
        (guard, stopped)
    }

    /// Returns whether an attempt's request was written, or `None` if the attempt can't be
    /// cancelled. A non-idempotent attempt is left to run, so that its result may still arrive.
    fn written_if_cancellable(&self, attempt: AttemptId) -> Option<bool> {
        let pending_calls = self.pending_calls.borrow();
        let call = pending_calls
            .iter()
            .find(|call| call.attempt == Some(attempt))?;
        (call.kind == LeafCall::Search).then(|| call.record.has_written())
    }

    fn stop_attempt(&self, attempt: AttemptId, cause: StopCause) {
        let mut pending_calls = self.pending_calls.borrow_mut();
        let call = pending_calls
            .iter_mut()
            .find(|call| call.attempt == Some(attempt));
        if let Some(stop) = call.and_then(|call| call.stop.take()) {
            let _call_may_have_ended = stop.send(cause);
        }
    }

    /// Removes an attempt from those that wait for a connection; returns whether it was among them.
    fn remove_waiting(&self, attempt: AttemptId) -> bool {
        let mut waiting_attempts = self.waiting_attempts.borrow_mut();
        let found = waiting_attempts.iter().position(|&known| known == attempt);
        if let Some(position) = found {
            waiting_attempts.swap_remove(position);
        }
        found.is_some()
    }

    fn request(&self, plan: &AttemptPlan, time_left: Duration) -> LeafRequest {
        LeafRequest {
            request: plan.request.clone(),
            query: plan.query,
            attempt: plan.attempt,
            sender: self.sender.clone(),
            shard: plan.shard,
            epoch: plan.snapshot.epoch,
            version: plan.snapshot.version,
            text: plan.text.as_ref().into(),
            limit: plan.limit,
            time_left_ms: time_left.as_millis() as u64,
        }
    }
}

/// Removes a pending call from the client's list when dropped.
struct CallGuard<'client> {
    client: &'client LeafClient,
    connection: ConnectionId,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let mut pending_calls = self.client.pending_calls.borrow_mut();
        pending_calls.retain(|call| call.connection != self.connection);
    }
}

/// Sleeps for `limit`, or forever without a timer if `limit` is [`Duration::MAX`].
async fn sleep_until_limit(limit: Duration) {
    if limit == Duration::MAX {
        std::future::pending::<()>().await;
    } else {
        tokio::time::sleep(limit).await;
    }
}
