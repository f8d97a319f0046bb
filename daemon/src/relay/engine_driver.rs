//! Drives the relay engine, its timers and the callers that wait for it: [`EngineDriver`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use yuccalift_core::quarantine::QuarantineNotice;
use yuccalift_core::relay::route::ServiceName;
use yuccalift_core::relay::{
    AttemptKey, AttemptOrder, ForwardOrder, ProbeOrder, RelayAction, RelayAnswer, RelayEngine,
    RelayEvent, RelayRefusal, RelayRequest, RequestExplanation, RequestKey, RouteTable,
    TargetOutcome,
};
use yuccalift_platform::self_report::DecodedReport;

use super::attempt::{CallerMessage, run_attempt};
use super::forward_client::PeerLinks;
use super::pool::LinkPool;
use super::report::RelayReport;
use crate::quarantine_driver::log_quarantine_notice;

/// Minimum delay of a timer that indicates a pause of the process.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// A request that is not answered.
#[derive(Debug)]
pub(super) struct RefusedRequest {
    /// The reason, from which the HTTP status is derived.
    pub(super) refusal: RelayRefusal,
    /// The service that the refusal is due to; empty if there is none.
    pub(super) service: ServiceName,
}

/// Result of a request: an answer or a refusal.
pub(super) type RelayResult = Result<RelayAnswer, RefusedRequest>;

/// A caller whose request is in the engine.
struct WaitingCaller {
    key: RequestKey,
    message: Rc<CallerMessage>,
    reply: oneshot::Sender<RelayResult>,
}

/// An attempt that has not ended yet.
struct RunningAttempt {
    key: AttemptKey,
    cancel: CancellationToken,
}

/// A request that is forwarded to a peer.
struct RunningForward {
    key: RequestKey,
    cancel: CancellationToken,
}

/// The engine and the services that its actions need; shared by the tasks of one thread.
pub(super) struct EngineDriver {
    engine: RefCell<RelayEngine>,
    callers: RefCell<Vec<WaitingCaller>>,
    attempts: RefCell<Vec<RunningAttempt>>,
    forwards: RefCell<Vec<RunningForward>>,
    pool: LinkPool,
    peer_links: PeerLinks,
    pub(super) report: RelayReport,
    notices: mpsc::UnboundedSender<QuarantineNotice>,
    last_key: Cell<RequestKey>,
    wake: Notify,
    wake_due: Cell<Option<Instant>>,
    /// When the report must next write the lines that it collects.
    lines_due: Cell<Option<Instant>>,
}

impl EngineDriver {
    /// Creates a driver; [`EngineDriver::run_timers`] must run alongside it. Notices for
    /// the peers about requests that crash targets are sent to `notices`.
    pub(super) fn new(
        engine: RelayEngine,
        pool: LinkPool,
        peer_links: PeerLinks,
        report: RelayReport,
        notices: mpsc::UnboundedSender<QuarantineNotice>,
    ) -> Rc<Self> {
        Rc::new(Self {
            notices,
            engine: RefCell::new(engine),
            callers: RefCell::default(),
            attempts: RefCell::default(),
            forwards: RefCell::default(),
            pool,
            peer_links,
            report,
            last_key: Cell::new(0),
            wake: Notify::new(),
            wake_due: Cell::new(None),
            lines_due: Cell::new(None),
        })
    }

    /// Returns the routes in effect.
    pub(super) fn routes(&self) -> std::sync::Arc<RouteTable> {
        std::sync::Arc::clone(self.engine.borrow().routes())
    }

    /// Explains where a request would be sent now, without side effects.
    pub(super) fn explain(&self, now: Instant, host: &str, path: &str) -> RequestExplanation {
        self.engine.borrow().explain(now, host, path)
    }

    /// Submits a request; the returned channel receives its result.
    pub(super) fn submit(
        self: &Rc<Self>,
        message: Rc<CallerMessage>,
        mut request: RelayRequest,
    ) -> (RequestKey, oneshot::Receiver<RelayResult>) {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        request.key = key;
        let (reply, receiver) = oneshot::channel();
        // Keys increase, so the list stays sorted.
        self.callers.borrow_mut().push(WaitingCaller {
            key,
            message,
            reply,
        });
        self.feed(RelayEvent::Submit(request));
        (key, receiver)
    }

    /// Reports to the engine that a caller disconnected before its answer, and removes the caller.
    pub(super) fn remove_caller(self: &Rc<Self>, key: RequestKey) {
        if let Some(message) = self.message(key) {
            self.report.log_caller_left(&message.request_id);
            // The caller is removed last, so that resulting events are logged with its request id.
            self.feed(RelayEvent::CallerDisconnected { request: key });
            self.take_caller(key);
        }
    }

    /// Feeds an event to the engine and carries out the resulting actions.
    pub(super) fn feed(self: &Rc<Self>, event: RelayEvent) {
        let mut actions = Vec::new();
        let now = Instant::now();
        self.engine.borrow_mut().handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.schedule_wake();
    }

    /// Runs the engine's timers until `stop` is cancelled.
    pub(super) async fn run_timers(self: Rc<Self>, stop: CancellationToken) {
        loop {
            let due = self.wake_due.get();
            let lines_due = self.lines_due.get();
            tokio::select! {
                () = stop.cancelled() => {
                    self.report.write_all_target_changes();
                    return;
                }
                () = self.wake.notified() => {}
                () = sleep_until(lines_due) => {
                    self.lines_due.set(None);
                    self.report.write_target_changes();
                }
                () = sleep_until(due) => {
                    self.wake_due.set(None);
                    self.check_pause(due);
                    self.feed(RelayEvent::Tick);
                }
            }
        }
    }

    fn check_pause(self: &Rc<Self>, due: Option<Instant>) {
        let gap = due.map(|due| Instant::now().saturating_duration_since(due));
        if let Some(gap) = gap.filter(|gap| *gap > MIN_PAUSE) {
            RelayReport::log_pause(gap);
            self.feed(RelayEvent::Paused);
        }
    }

    fn schedule_wake(&self) {
        if self.report.target_changes_due() != self.lines_due.get() {
            self.lines_due.set(self.report.target_changes_due());
            self.wake.notify_one();
        }
        let next = self.engine.borrow().next_wake();
        let Some(next) = next else {
            return;
        };
        // An early wake-up is harmless and cheaper than rescheduling.
        if self.wake_due.get().is_none_or(|due| next < due) {
            self.wake_due.set(Some(next));
            self.wake.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, action: RelayAction) {
        match action {
            RelayAction::Send(order) => self.send(order),
            RelayAction::Cancel { attempt } => self.cancel(attempt),
            RelayAction::Answer { request, answer } => self.reply(request, Ok(answer)),
            RelayAction::Refuse {
                request,
                refusal,
                service,
            } => self.reply(request, Err(RefusedRequest { refusal, service })),
            RelayAction::Forward(order) => self.forward(order),
            RelayAction::CancelForward { request } => self.cancel_forward(request),
            RelayAction::Probe(probe) => self.probe(probe),
            RelayAction::NotifyPeers(notice) => self.notify_peers(notice),
            RelayAction::ForgetTarget { target } => self.pool.close_idle(target),
            RelayAction::Decided(decision) => {
                self.report
                    .log_decision(&decision, |key| self.request_id(key));
            }
        }
    }

    fn send(self: &Rc<Self>, order: AttemptOrder) {
        self.report.count_attempt();
        let attempt = order.attempt;
        let message = self.message(order.request);
        let Some(message) = message else {
            // The caller disconnected while the engine decided; its request is dropped next.
            self.abandon_later(attempt);
            return;
        };
        let cancel = CancellationToken::new();
        self.attempts.borrow_mut().push(RunningAttempt {
            key: attempt,
            cancel: cancel.clone(),
        });
        let driver = Rc::clone(self);
        actix_rt::spawn(async move {
            let on_opened = || driver.feed(RelayEvent::LinkOpened);
            let end = run_attempt(&driver.pool, &order, &message, cancel, on_opened).await;
            driver.remove_attempt(attempt);
            if let Some(expires) = end.idle_until {
                let target = order.target;
                driver.feed(RelayEvent::LinkIdle { target, expires });
            }
            driver.end_attempt(&order, end.outcome, end.report);
        });
    }

    /// Forwards a request to a peer. A request may be forwarded to several, one after the other.
    fn forward(self: &Rc<Self>, order: ForwardOrder) {
        self.report.count_forward();
        let request = order.request;
        let Some(message) = self.message(request) else {
            // The caller disconnected while the engine decided; its request is dropped next.
            return;
        };
        let cancel = CancellationToken::new();
        self.forwards.borrow_mut().push(RunningForward {
            key: request,
            cancel: cancel.clone(),
        });
        let driver = Rc::clone(self);
        actix_rt::spawn(async move {
            let outcome = driver
                .peer_links
                .forward(&order, &message, cancel.clone())
                .await;
            driver
                .forwards
                .borrow_mut()
                .retain(|running| running.key != request);
            if !cancel.is_cancelled() {
                driver.feed(RelayEvent::ForwardEnded { request, outcome });
            }
        });
    }

    fn cancel_forward(&self, request: RequestKey) {
        let forwards = self.forwards.borrow();
        if let Some(running) = forwards.iter().find(|running| running.key == request) {
            running.cancel.cancel();
        }
    }

    /// Probes whether a target accepts a connection, so that no caller's request has to wait for an
    /// unreachable target.
    fn probe(self: &Rc<Self>, probe: ProbeOrder) {
        let driver = Rc::clone(self);
        actix_rt::spawn(async move {
            let outcome = driver.pool.probe(&probe).await;
            let target = probe.target;
            driver.feed(RelayEvent::Probed { target, outcome });
        });
    }

    fn notify_peers(&self, notice: QuarantineNotice) {
        log_quarantine_notice(&notice);
        let _control_may_have_ended = self.notices.send(notice);
    }

    fn abandon_later(self: &Rc<Self>, attempt: AttemptKey) {
        let driver = Rc::clone(self);
        actix_rt::spawn(async move {
            let outcome = TargetOutcome::Abandoned { sent: false };
            driver.feed(RelayEvent::AttemptEnded {
                attempt,
                outcome,
                report: None,
            });
        });
    }

    fn end_attempt(
        self: &Rc<Self>,
        order: &AttemptOrder,
        outcome: TargetOutcome,
        report: Option<DecodedReport>,
    ) {
        if let Some(fault) = report.as_ref().and_then(|report| report.fault.as_ref()) {
            self.report.log_refused_report(&order.name, fault);
        }
        if report
            .as_ref()
            .is_some_and(|report| report.report.load.is_some())
        {
            self.report.count_load_report();
        }
        self.feed(RelayEvent::AttemptEnded {
            attempt: order.attempt,
            outcome,
            report: report.map(|report| report.report),
        });
    }

    fn cancel(&self, attempt: AttemptKey) {
        let attempts = self.attempts.borrow();
        if let Ok(index) = attempts.binary_search_by_key(&attempt, |running| running.key) {
            attempts[index].cancel.cancel();
        }
    }

    fn remove_attempt(&self, attempt: AttemptKey) {
        let mut attempts = self.attempts.borrow_mut();
        if let Ok(index) = attempts.binary_search_by_key(&attempt, |running| running.key) {
            attempts.remove(index);
        }
    }

    fn reply(&self, request: RequestKey, result: RelayResult) {
        if let Some(caller) = self.take_caller(request) {
            let _caller_may_have_gone = caller.reply.send(result);
        }
    }

    fn take_caller(&self, key: RequestKey) -> Option<WaitingCaller> {
        let mut callers = self.callers.borrow_mut();
        let index = callers.binary_search_by_key(&key, |caller| caller.key);
        index.ok().map(|index| callers.remove(index))
    }

    fn message(&self, key: RequestKey) -> Option<Rc<CallerMessage>> {
        let callers = self.callers.borrow();
        let index = callers.binary_search_by_key(&key, |caller| caller.key);
        index.ok().map(|index| Rc::clone(&callers[index].message))
    }

    /// Returns the caller's id for a request, for the log.
    fn request_id(&self, key: RequestKey) -> Box<str> {
        self.message(key)
            .map_or_else(Box::default, |message| message.request_id.clone())
    }
}

/// Waits until a time, or for ever if there is none.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}
