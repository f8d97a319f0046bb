//! The engine lane: an actor that runs the engine and the calls to targets on its own thread.
//!
//! All decisions are made by the engine; the lane feeds it events and carries out its actions.
//! Every [`EngineAction::Send`] is followed by exactly one reply or failure event, even after a
//! cancel.

use std::collections::VecDeque;
use std::time::Instant;

use actix::{Actor, AsyncContext, Context, Handler, Message, Recipient, SpawnHandle};
use tokio::sync::oneshot;
use yuccalift_core::action::{AttemptPlan, EngineAction};
use yuccalift_core::connection_watch::CHECK_PERIOD;
use yuccalift_core::control::AnnouncementKind;
use yuccalift_core::engine::EngineOptions;
use yuccalift_core::event::{AttemptFailure, EngineEvent, TargetUpdate, TargetUpdateKind};
use yuccalift_core::ids::{QueryId, TargetId};
use yuccalift_core::pause_detector::PauseDetector;
use yuccalift_core::{Refusal, SearchAnswer, SearchEngine};

use crate::control::Announce;
use crate::events::LogEvent;
use crate::metrics::MetricsClient;
use crate::quarantine_driver::{QuarantineDriver, QuarantineStep};
use crate::target_links::{DRAIN_ANNOUNCEMENT_TTL, TargetLinks};

mod messages;
mod recorder;

pub(crate) use messages::TargetObserved;
pub use messages::{
    FeedEngine, GetStatus, ReceiveNotice, SetAnnouncer, StatusAnswer, SubmitRequest,
};
use recorder::LaneRecorder;

/// Registry name under which the engine lane's address is published.
pub const LANE_SERVICE: &str = "lane";

/// Capacity of the engine lane's mailbox; further messages are refused.
const MAILBOX_MESSAGES: usize = 4096;

/// A caller whose request is in the engine.
struct WaitingCaller {
    query: QueryId,
    submitted_at: Instant,
    reply: oneshot::Sender<Result<SearchAnswer, Refusal>>,
}

/// Message from a call task: the call to a target has ended with `event`.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct CallEnded {
    target: TargetId,
    event: EngineEvent,
}

/// Actor that runs the engine and owns the connections to targets.
pub struct EngineLane {
    engine: SearchEngine,
    recorder: LaneRecorder,
    callers: Vec<WaitingCaller>,
    links: TargetLinks,
    pause_detector: PauseDetector,
    announcer: Option<Recipient<Announce>>,
    quarantine: QuarantineDriver,
    /// Events queued until the current one has been handled.
    events: VecDeque<EngineEvent>,
    actions: Vec<EngineAction>,
    scheduled_wake: Option<ScheduledWake>,
}

/// The pending wake-up of the engine; there is at most one.
#[derive(Clone, Copy)]
struct ScheduledWake {
    due: Instant,
    handle: SpawnHandle,
}

impl std::fmt::Debug for EngineLane {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineLane")
            .field("callers", &self.callers.len())
            .field("links", &self.links.len())
            .finish_non_exhaustive()
    }
}

impl EngineLane {
    /// Creates a lane; `sender` identifies this process to targets.
    pub fn new(options: EngineOptions, sender: Box<str>, metrics: MetricsClient) -> Self {
        Self {
            engine: SearchEngine::with_options(options),
            quarantine: QuarantineDriver::new(metrics.clone()),
            events: VecDeque::new(),
            recorder: LaneRecorder::new(metrics),
            callers: Vec::new(),
            links: TargetLinks::new(sender),
            pause_detector: PauseDetector::new(Instant::now()),
            announcer: None,
            actions: Vec::new(),
            scheduled_wake: None,
        }
    }

    fn feed(&mut self, event: EngineEvent, context: &mut Context<Self>) {
        let now = Instant::now();
        self.check_pause(now, context);
        self.handle_event(now, event, context);
        self.schedule_wake(context);
    }

    /// Detects that the thread was not scheduled for a while. The engine learns of such a pause
    /// before any other event, and every connection must be verified before its next use.
    fn check_pause(&mut self, now: Instant, context: &mut Context<Self>) {
        let Some(gap) = self.pause_detector.observe(now) else {
            return;
        };
        let gap_ms = gap.as_millis() as u64;
        LogEvent::LanePaused { gap_ms }.emit();
        self.links.suspect_all();
        self.handle_event(now, EngineEvent::Paused(gap), context);
    }

    fn handle_event(&mut self, now: Instant, event: EngineEvent, context: &mut Context<Self>) {
        self.events.push_back(event);
        self.handle_queued_events(now, context);
    }

    fn handle_queued_events(&mut self, now: Instant, context: &mut Context<Self>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.engine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, context);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, now: Instant, action: EngineAction, context: &mut Context<Self>) {
        match action {
            EngineAction::Send(plan) => {
                self.with_quarantine(context, |quarantine, steps| {
                    quarantine.offer(now, plan, steps);
                });
            }
            EngineAction::Cancel { attempt, target } => {
                let cancel = |quarantine: &mut QuarantineDriver,
                              steps: &mut Vec<QuarantineStep>| {
                    quarantine.cancel(now, attempt, steps)
                };
                if !self.with_quarantine(context, cancel) {
                    self.links.cancel(attempt, target);
                }
            }
            EngineAction::Answer { query, answer } => self.reply(query, Ok(answer)),
            EngineAction::Refuse { query, refusal } => self.reply(query, Err(refusal)),
            EngineAction::Decided(decision) => self.recorder.record_decision(&decision),
        }
    }

    /// Runs an operation on the quarantine and carries out the resulting steps; resulting events
    /// are queued.
    fn with_quarantine<T>(
        &mut self,
        context: &mut Context<Self>,
        operation: impl FnOnce(&mut QuarantineDriver, &mut Vec<QuarantineStep>) -> T,
    ) -> T {
        let mut steps = Vec::new();
        let answer = operation(&mut self.quarantine, &mut steps);
        for step in steps {
            match step {
                QuarantineStep::Send(plan) => self.send(plan, context),
                QuarantineStep::Feed(event) => self.events.push_back(event),
            }
        }
        answer
    }

    /// Runs the quarantine's due timers and handles the events that they cause.
    fn tick_quarantine(&mut self, context: &mut Context<Self>) {
        let now = Instant::now();
        self.with_quarantine(context, |quarantine, steps| quarantine.tick(now, steps));
        self.handle_queued_events(now, context);
    }

    /// Starts a call as a separate task. Futures of the actor itself are all polled whenever one of
    /// them is woken, so a fan-out of hundreds would poll them all on every reply.
    fn send(&mut self, plan: AttemptPlan, context: &mut Context<Self>) {
        self.recorder.record_attempt(plan.cause);
        let target = plan.target;
        let client = self.links.client(target, plan.address);
        let lane = context.address();
        actix::spawn(async move {
            let event = client.call(plan).await;
            lane.do_send(CallEnded { target, event });
        });
    }

    /// Announces to the other daemons that a target reports itself as draining.
    fn announce_drain(&mut self, target: TargetId) {
        if !self.links.record_drain(target, Instant::now()) {
            return;
        }
        if let Some(announcer) = &self.announcer {
            announcer.do_send(Announce {
                kind: AnnouncementKind::Draining(target),
                lifetime: DRAIN_ANNOUNCEMENT_TTL,
            });
        }
    }

    fn reply(&mut self, query: QueryId, result: Result<SearchAnswer, Refusal>) {
        let Ok(position) = self
            .callers
            .binary_search_by_key(&query, |caller| caller.query)
        else {
            return;
        };
        let caller = self.callers.remove(position);
        self.recorder
            .record_end(query, caller.submitted_at, &result);
        let _caller_may_have_gone = caller.reply.send(result);
    }

    /// Keeps one wake-up pending, no later than the engine or the quarantine requires. An early
    /// wake-up is harmless and cheaper than rescheduling on every reply.
    fn schedule_wake(&mut self, context: &mut Context<Self>) {
        let due_times = [
            self.engine.next_wake(),
            self.quarantine.next_wake(Instant::now()),
        ];
        let Some(due) = due_times.into_iter().flatten().min() else {
            return;
        };
        if let Some(scheduled_wake) = self.scheduled_wake {
            if scheduled_wake.due <= due {
                return;
            }
            context.cancel_future(scheduled_wake.handle);
        }
        let delay = due.saturating_duration_since(Instant::now());
        let handle = context.run_later(delay, |lane, context| {
            lane.scheduled_wake = None;
            lane.tick_quarantine(context);
            lane.feed(EngineEvent::Tick, context);
        });
        self.scheduled_wake = Some(ScheduledWake { due, handle });
    }

    /// Detects pauses and checks connections and targets; runs once per check period.
    fn run_periodic_checks(&mut self, context: &mut Context<Self>) {
        let now = Instant::now();
        self.check_pause(now, context);
        self.links.check(now, &context.address());
        self.schedule_wake(context);
    }

    /// Updates the callers, connections and quarantine for an event from another service.
    fn apply_event_to_lane(&mut self, event: &EngineEvent, context: &mut Context<Self>) {
        match event {
            EngineEvent::CallerDisconnected { query } => {
                let found = self
                    .callers
                    .binary_search_by_key(query, |caller| caller.query);
                if let Ok(position) = found {
                    self.callers.remove(position);
                }
            }
            EngineEvent::SharesChanged(shares) => self.links.set_shares(shares),
            EngineEvent::MapChanged(map) => self.links.set_map(map, &context.address()),
            EngineEvent::MapRemoved(name) => self.links.remove_map(name, &context.address()),
            EngineEvent::Paused(_) => self.links.suspect_all(),
            EngineEvent::Quarantine { fingerprint, held } => {
                let now = Instant::now();
                self.with_quarantine(context, |quarantine, steps| {
                    quarantine.set_held(now, *fingerprint, *held, steps);
                });
            }
            EngineEvent::Submit(_)
            | EngineEvent::Reply(_)
            | EngineEvent::Failed { .. }
            | EngineEvent::Tick
            | EngineEvent::AccountsChanged(_)
            | EngineEvent::TargetUpdate(_)
            | EngineEvent::Stopping => {}
        }
    }
}

impl Actor for EngineLane {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_MESSAGES);
        ctx.run_interval(CHECK_PERIOD, Self::run_periodic_checks);
    }
}

impl Handler<CallEnded> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: CallEnded, ctx: &mut Self::Context) {
        if let EngineEvent::Failed {
            failure: AttemptFailure::Draining,
            ..
        } = &msg.event
        {
            self.announce_drain(msg.target);
        }
        let now = Instant::now();
        self.with_quarantine(ctx, |quarantine, steps| {
            quarantine.observe(now, &msg.event, steps);
        });
        self.feed(msg.event, ctx);
    }
}

impl Handler<SetAnnouncer> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: SetAnnouncer, _ctx: &mut Self::Context) {
        self.quarantine.set_announcer(msg.0.clone());
        self.announcer = Some(msg.0);
    }
}

impl Handler<ReceiveNotice> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: ReceiveNotice, ctx: &mut Self::Context) {
        let now = Instant::now();
        self.with_quarantine(ctx, |quarantine, steps| {
            quarantine.apply_notice(now, &msg.0, steps);
        });
        self.handle_queued_events(now, ctx);
        self.schedule_wake(ctx);
    }
}

impl Handler<TargetObserved> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: TargetObserved, ctx: &mut Self::Context) {
        let target = msg.target;
        self.links.record_status(target);
        for kind in msg.updates {
            if kind == TargetUpdateKind::Draining {
                self.announce_drain(target);
            }
            self.feed(
                EngineEvent::TargetUpdate(TargetUpdate { target, kind }),
                ctx,
            );
        }
    }
}

impl Handler<SubmitRequest> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: SubmitRequest, ctx: &mut Self::Context) {
        let query = msg.request.query;
        match self
            .callers
            .binary_search_by_key(&query, |caller| caller.query)
        {
            Ok(_position) => {
                let refusal = Refusal::not_run(
                    yuccalift_core::RefusalCode::Internal,
                    "submit",
                    "another request has the same query id",
                );
                let _caller_may_have_gone = msg.reply.send(Err(refusal));
            }
            Err(position) => {
                self.callers.insert(
                    position,
                    WaitingCaller {
                        query,
                        submitted_at: Instant::now(),
                        reply: msg.reply,
                    },
                );
                self.feed(EngineEvent::Submit(msg.request), ctx);
            }
        }
    }
}

impl Handler<FeedEngine> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: FeedEngine, ctx: &mut Self::Context) {
        self.apply_event_to_lane(&msg.0, ctx);
        self.feed(msg.0, ctx);
    }
}

impl Handler<GetStatus> for EngineLane {
    type Result = StatusAnswer;

    fn handle(&mut self, _msg: GetStatus, _ctx: &mut Self::Context) -> Self::Result {
        StatusAnswer(self.engine.status())
    }
}
