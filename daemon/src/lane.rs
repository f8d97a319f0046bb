//! The lane: the actor that runs the engine and the calls to targets, on a thread of its own.
//!
//! It decides nothing: it feeds the engine and carries out its actions. Every
//! [`EngineAction::Send`] is followed by just one reply or failure event, also after a cancel.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient, WrapFuture,
};
use tokio::sync::oneshot;
use yuccalift_core::action::{AttemptCause, AttemptPlan, EngineAction, EngineStatus};
use yuccalift_core::control::NewsKind;
use yuccalift_core::event::{AttemptFailure, EngineEvent, TargetShare};
use yuccalift_core::ids::{AttemptId, QueryId, TargetId};
use yuccalift_core::{
    EngineDecision, PolicyKind, Refusal, SearchAnswer, SearchEngine, SearchRequest,
};

use crate::control::AnnounceNews;
use crate::control::force_service::DRAINING_LIFE;
use crate::decision_log::{log_answer, log_decision, log_refusal};
use crate::leaf_client::LeafClient;
use crate::metrics::{DaemonMetric, MetricsClient};

/// The name under which the lane's address is published.
pub const LANE_SERVICE: &str = "lane";

/// Asks the lane to run a request; the answer or refusal comes through `reply`.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubmitRequest {
    /// The request.
    pub request: SearchRequest,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Result<SearchAnswer, Refusal>>,
}

/// Feeds the engine an event.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct FeedEngine(pub EngineEvent);

/// Tells the lane where its news for other daemons goes.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetNewsRoute(pub Recipient<AnnounceNews>);

/// Asks what the engine holds.
#[derive(Debug, Message)]
#[rtype(result = "StatusAnswer")]
pub struct GetStatus;

/// The answer to [`GetStatus`].
#[derive(Debug, actix::MessageResponse)]
pub struct StatusAnswer(pub EngineStatus);

/// A caller whose request is in the engine.
struct WaitingCaller {
    query: QueryId,
    since: Instant,
    reply: oneshot::Sender<Result<SearchAnswer, Refusal>>,
}

/// The connections to one target.
struct TargetLink {
    target: TargetId,
    address: SocketAddr,
    client: Rc<LeafClient>,
}

/// The actor that runs the engine.
pub struct EngineLane {
    engine: SearchEngine,
    sender: Box<str>,
    metrics: MetricsClient,
    callers: Vec<WaitingCaller>,
    links: Vec<TargetLink>,
    shares: Arc<[TargetShare]>,
    news: Option<Recipient<AnnounceNews>>,
    actions: Vec<EngineAction>,
    wake: Option<Instant>,
}

impl std::fmt::Debug for EngineLane {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineLane")
            .field("sender", &self.sender)
            .field("callers", &self.callers.len())
            .field("links", &self.links.len())
            .finish_non_exhaustive()
    }
}

impl EngineLane {
    /// Makes a lane; `sender` names the process to targets.
    pub fn new(policy: PolicyKind, seed: u64, sender: Box<str>, metrics: MetricsClient) -> Self {
        Self {
            engine: SearchEngine::new(policy, seed),
            sender,
            metrics,
            callers: Vec::new(),
            links: Vec::new(),
            shares: Arc::default(),
            news: None,
            actions: Vec::new(),
            wake: None,
        }
    }

    fn feed(&mut self, event: EngineEvent, context: &mut Context<Self>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(Instant::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action, context);
        }
        self.actions = actions;
        self.schedule_wake(context);
    }

    fn carry_out(&mut self, action: EngineAction, context: &mut Context<Self>) {
        match action {
            EngineAction::Send(plan) => self.send(plan, context),
            EngineAction::Cancel { attempt, target } => self.cancel(attempt, target, context),
            EngineAction::Answer { query, answer } => self.reply(query, Ok(answer)),
            EngineAction::Refuse { query, refusal } => self.reply(query, Err(refusal)),
            EngineAction::Decided(decision) => self.note_decision(&decision),
        }
    }

    fn send(&mut self, plan: AttemptPlan, context: &mut Context<Self>) {
        self.note_attempt(plan.cause);
        let target = plan.target;
        let client = self.link(target, plan.address);
        let call = async move { client.call(plan).await };
        context.spawn(call.into_actor(self).map(move |event, lane, context| {
            lane.announce_drain(target, &event);
            lane.feed(event, context);
        }));
    }

    /// Tells the other daemons when a target's own reply says that it drains.
    fn announce_drain(&self, target: TargetId, event: &EngineEvent) {
        let EngineEvent::Failed {
            failure: AttemptFailure::Draining,
            ..
        } = event
        else {
            return;
        };
        if let Some(news) = &self.news {
            news.do_send(AnnounceNews {
                kind: NewsKind::Draining(target),
                life: DRAINING_LIFE,
            });
        }
    }

    fn cancel(&mut self, attempt: AttemptId, target: TargetId, context: &mut Context<Self>) {
        let Ok(position) = self.links.binary_search_by_key(&target, |link| link.target) else {
            return;
        };
        let client = Rc::clone(&self.links[position].client);
        context.spawn(async move { client.cancel(attempt).await }.into_actor(self));
    }

    /// The connections to a target; made anew when the target has moved.
    fn link(&mut self, target: TargetId, address: SocketAddr) -> Rc<LeafClient> {
        let found = self.links.binary_search_by_key(&target, |link| link.target);
        if let Ok(position) = found
            && self.links[position].address == address
        {
            return Rc::clone(&self.links[position].client);
        }
        let client = LeafClient::new(address, &self.sender, self.share(target));
        let link = TargetLink {
            target,
            address,
            client: Rc::clone(&client),
        };
        match found {
            Ok(position) => self.links[position] = link,
            Err(position) => self.links.insert(position, link),
        }
        client
    }

    /// The connections that may be held to a target; none before the shares are known.
    fn share(&self, target: TargetId) -> u32 {
        let found = self
            .shares
            .binary_search_by_key(&target, |share| share.target);
        found.map_or(0, |position| self.shares[position].connections)
    }

    fn reply(&mut self, query: QueryId, result: Result<SearchAnswer, Refusal>) {
        let Ok(position) = self
            .callers
            .binary_search_by_key(&query, |caller| caller.query)
        else {
            return;
        };
        let caller = self.callers.remove(position);
        self.note_end(query, caller.since, &result);
        let _caller_may_have_gone = caller.reply.send(result);
    }

    fn note_decision(&self, decision: &EngineDecision) {
        log_decision(decision);
        match decision {
            EngineDecision::Planned { .. } => self.metrics.count(DaemonMetric::QueriesPlanned, 1),
            EngineDecision::Ejected { .. } => self.metrics.count(DaemonMetric::TargetsEjected, 1),
            _ => {}
        }
    }

    fn note_attempt(&self, cause: AttemptCause) {
        self.metrics.count(DaemonMetric::LeafRequests, 1);
        match cause {
            AttemptCause::First => {}
            AttemptCause::Hedge => self.metrics.count(DaemonMetric::LeafHedges, 1),
            AttemptCause::Retry => self.metrics.count(DaemonMetric::LeafRetries, 1),
        }
    }

    fn note_end(&self, query: QueryId, since: Instant, result: &Result<SearchAnswer, Refusal>) {
        let took = since.elapsed();
        match result {
            Ok(answer) => {
                log_answer(query, &answer.coverage, took);
                let coverage = &answer.coverage;
                self.metrics.count(DaemonMetric::QueriesAnswered, 1);
                self.metrics.time(DaemonMetric::QueryTime, took);
                let asked = u64::from(coverage.asked);
                self.metrics.count(DaemonMetric::ShardsAsked, asked);
                let missing = coverage.missing.len() as u64;
                self.metrics.count(DaemonMetric::ShardsMissing, missing);
            }
            Err(refusal) => {
                log_refusal(query, refusal);
                self.metrics.count(DaemonMetric::QueriesRefused, 1);
            }
        }
    }

    fn schedule_wake(&mut self, context: &mut Context<Self>) {
        let Some(due) = self.engine.next_wake() else {
            return;
        };
        let now = Instant::now();
        let scheduled = self.wake.is_some_and(|wake| wake <= due && wake > now);
        if scheduled {
            return;
        }
        self.wake = Some(due);
        context.run_later(due.saturating_duration_since(now), |lane, context| {
            lane.wake = None;
            lane.feed(EngineEvent::Tick, context);
        });
    }
}

impl Actor for EngineLane {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_MESSAGES);
    }
}

/// How many messages the lane's mailbox holds before senders are refused.
const MAILBOX_MESSAGES: usize = 4096;

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
                    "another request has the same number",
                );
                let _caller_may_have_gone = msg.reply.send(Err(refusal));
            }
            Err(position) => {
                self.callers.insert(
                    position,
                    WaitingCaller {
                        query,
                        since: Instant::now(),
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
        if let EngineEvent::CallerGone { query } = &msg.0
            && let Ok(position) = self
                .callers
                .binary_search_by_key(query, |caller| caller.query)
        {
            self.callers.remove(position);
        }
        if let EngineEvent::SharesChanged(shares) = &msg.0 {
            self.shares = Arc::clone(shares);
            for link in &self.links {
                link.client.set_limit(self.share(link.target));
            }
        }
        self.feed(msg.0, ctx);
    }
}

impl Handler<SetNewsRoute> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: SetNewsRoute, _ctx: &mut Self::Context) {
        self.news = Some(msg.0);
    }
}

impl Handler<GetStatus> for EngineLane {
    type Result = StatusAnswer;

    fn handle(&mut self, _msg: GetStatus, _ctx: &mut Self::Context) -> Self::Result {
        StatusAnswer(self.engine.status())
    }
}
