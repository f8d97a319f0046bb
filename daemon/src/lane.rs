//! The lane: the actor that runs the engine and the calls to targets, on a thread of its own.
//!
//! It decides nothing: it feeds the engine and carries out its actions. Every
//! [`EngineAction::Send`] is followed by just one reply or failure event, also after a cancel.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, SpawnHandle};
use tokio::sync::oneshot;
use tracing::{info, warn};
use yuccalift_core::action::{AttemptPlan, EngineAction, EngineStatus};
use yuccalift_core::connection_watch::CHECK_PERIOD;
use yuccalift_core::event::{EngineEvent, TargetNews, TargetNewsKind, TargetShare};
use yuccalift_core::ids::{AttemptId, QueryId, TargetId};
use yuccalift_core::stall_clock::StallClock;
use yuccalift_core::{PolicyKind, Refusal, SearchAnswer, SearchEngine, SearchRequest, ShardMap};

use crate::leaf::{LeafChore, LeafClient};

/// The name under which the lane's address is published.
pub const LANE_SERVICE: &str = "lane";

/// How many connections a daemon holds to a target before its share is known.
const FIRST_SHARE: u32 = 1;
/// How often a target is asked for its status, once it has answered the first time.
const STATUS_PERIOD: Duration = Duration::from_secs(1);
/// The most status probes that are sent in one check period; with many targets the period of each
/// grows instead.
const STATUS_PROBES_PER_CHECK: usize = 5;
/// The most first status probes of new targets in one check period.
const FIRST_PROBES_PER_CHECK: usize = 64;
/// How many messages the lane's mailbox holds before senders are refused.
const MAILBOX_MESSAGES: usize = 4096;

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
    reply: oneshot::Sender<Result<SearchAnswer, Refusal>>,
}

/// What became of an attempt, from the task that made the call.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct CallEnded(EngineEvent);

/// What a task learnt of a target beside its calls.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct TargetTold {
    target: TargetId,
    /// The news; empty if the target did not answer.
    news: Vec<TargetNewsKind>,
}

/// The connections to one target.
struct TargetLink {
    target: TargetId,
    address: SocketAddr,
    client: Rc<LeafClient>,
    status_due: Instant,
    met: bool,
}

/// The actor that runs the engine.
pub struct EngineLane {
    engine: SearchEngine,
    sender: Box<str>,
    callers: Vec<WaitingCaller>,
    links: Vec<TargetLink>,
    maps: Vec<Arc<ShardMap>>,
    shares: Arc<[TargetShare]>,
    stall: StallClock,
    probe_cursor: usize,
    actions: Vec<EngineAction>,
    wake: Option<ScheduledWake>,
}

/// The one pending wake-up of the engine.
#[derive(Clone, Copy)]
struct ScheduledWake {
    due: Instant,
    handle: SpawnHandle,
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
    pub fn new(policy: PolicyKind, seed: u64, sender: Box<str>) -> Self {
        Self {
            engine: SearchEngine::new(policy, seed),
            sender,
            callers: Vec::new(),
            links: Vec::new(),
            maps: Vec::new(),
            shares: Arc::from([]),
            stall: StallClock::new(Instant::now()),
            probe_cursor: 0,
            actions: Vec::new(),
            wake: None,
        }
    }

    fn feed(&mut self, event: EngineEvent, context: &mut Context<Self>) {
        let now = Instant::now();
        self.notice_pause(now, context);
        self.handle_event(now, event, context);
        self.schedule_wake(context);
    }

    /// After a pause the engine hears of it before anything else, whatever woke the thread, and
    /// no connection is trusted until it has proven itself alive.
    fn notice_pause(&mut self, now: Instant, context: &mut Context<Self>) {
        let Some(gap) = self.stall.observe(now) else {
            return;
        };
        warn!(gap_ms = gap.as_millis() as u64, "paused");
        self.doubt_connections();
        self.handle_event(now, EngineEvent::Paused(gap), context);
    }

    fn doubt_connections(&self) {
        for link in &self.links {
            link.client.suspect_all();
        }
    }

    fn handle_event(&mut self, now: Instant, event: EngineEvent, context: &mut Context<Self>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action, context);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: EngineAction, context: &mut Context<Self>) {
        match action {
            EngineAction::Send(plan) => self.send(plan, context),
            EngineAction::Cancel { attempt, target } => self.cancel(attempt, target),
            EngineAction::Answer { query, answer } => self.reply(query, Ok(answer)),
            EngineAction::Refuse { query, refusal } => self.reply(query, Err(refusal)),
            EngineAction::Decided(decision) => info!(?decision, "decided"),
        }
    }

    /// Starts a call as a task of its own. The actor's own futures are all polled whenever one of
    /// them wakes, which a fan-out of hundreds would pay for with each reply.
    fn send(&mut self, plan: AttemptPlan, context: &mut Context<Self>) {
        let client = self.link(plan.target, plan.address);
        let lane = context.address();
        actix::spawn(async move { lane.do_send(CallEnded(client.call(plan).await)) });
    }

    fn cancel(&mut self, attempt: AttemptId, target: TargetId) {
        let Ok(position) = self.links.binary_search_by_key(&target, |link| link.target) else {
            return;
        };
        let client = Rc::clone(&self.links[position].client);
        actix::spawn(async move { client.cancel(attempt).await });
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
            status_due: Instant::now(),
            met: false,
        };
        match found {
            Ok(position) => {
                self.links[position].client.set_limit(0);
                self.links[position] = link;
            }
            Err(position) => self.links.insert(position, link),
        }
        client
    }

    fn share(&self, target: TargetId) -> u32 {
        self.shares
            .binary_search_by_key(&target, |share| share.target)
            .map_or(FIRST_SHARE, |position| self.shares[position].connections)
    }

    fn reply(&mut self, query: QueryId, result: Result<SearchAnswer, Refusal>) {
        let Ok(position) = self
            .callers
            .binary_search_by_key(&query, |caller| caller.query)
        else {
            return;
        };
        let caller = self.callers.remove(position);
        let _caller_may_have_gone = caller.reply.send(result);
    }

    /// Keeps one wake-up pending, at the time that the engine asks for.
    fn schedule_wake(&mut self, context: &mut Context<Self>) {
        let due = self.engine.next_wake();
        if due == self.wake.map(|wake| wake.due) {
            return;
        }
        if let Some(wake) = self.wake.take() {
            context.cancel_future(wake.handle);
        }
        let Some(due) = due else { return };
        let delay = due.saturating_duration_since(Instant::now());
        let handle = context.run_later(delay, |lane, context| {
            lane.wake = None;
            lane.feed(EngineEvent::Tick, context);
        });
        self.wake = Some(ScheduledWake { due, handle });
    }

    /// What must be done every check period: pauses noticed, connections and targets probed.
    fn check(&mut self, context: &mut Context<Self>) {
        let now = Instant::now();
        self.notice_pause(now, context);
        let lane = context.address();
        for link in &self.links {
            for chore in link.client.chores(now) {
                spawn_chore(&lane, link, chore);
            }
        }
        self.probe_targets(now, &lane);
        self.schedule_wake(context);
    }

    /// Asks new targets for their status at once, and the others in turn and slowly.
    fn probe_targets(&mut self, now: Instant, lane: &Addr<Self>) {
        let count = self.links.len();
        let mut first = FIRST_PROBES_PER_CHECK;
        let mut later = STATUS_PROBES_PER_CHECK;
        for _ in 0..count {
            if first == 0 || later == 0 {
                break;
            }
            self.probe_cursor = (self.probe_cursor + 1) % count;
            let link = &mut self.links[self.probe_cursor];
            if link.status_due > now {
                continue;
            }
            let budget = if link.met { &mut later } else { &mut first };
            *budget -= 1;
            let jitter = rand::random_range(0.75..1.25);
            link.status_due = now + STATUS_PERIOD.mul_f64(jitter);
            spawn_status(lane, link);
        }
    }

    /// Meets the targets of the maps in force, and closes the connections to those of none.
    fn follow_maps(&mut self, lane: &Addr<Self>) {
        let maps = std::mem::take(&mut self.maps);
        for entry in maps.iter().flat_map(|map| &map.targets) {
            self.link(entry.target, entry.address);
        }
        self.links.retain(|link| {
            let listed = maps.iter().any(|map| map.target(link.target).is_some());
            if !listed {
                link.client.set_limit(0);
            }
            listed
        });
        self.maps = maps;
        self.probe_targets(Instant::now(), lane);
    }

    fn put_map(&mut self, map: &Arc<ShardMap>) {
        let found = self
            .maps
            .binary_search_by(|known| known.collection.cmp(&map.collection));
        match found {
            Ok(position) => self.maps[position] = Arc::clone(map),
            Err(position) => self.maps.insert(position, Arc::clone(map)),
        }
    }

    fn put_shares(&mut self, shares: &Arc<[TargetShare]>) {
        self.shares = Arc::clone(shares);
        for link in &self.links {
            link.client.set_limit(self.share(link.target));
        }
    }

    /// Takes from an event what concerns the connections.
    fn follow_event(&mut self, event: &EngineEvent, context: &mut Context<Self>) {
        match event {
            EngineEvent::CallerGone { query } => {
                let found = self
                    .callers
                    .binary_search_by_key(query, |caller| caller.query);
                if let Ok(position) = found {
                    self.callers.remove(position);
                }
            }
            EngineEvent::SharesChanged(shares) => self.put_shares(shares),
            EngineEvent::MapChanged(map) => {
                self.put_map(map);
                self.follow_maps(&context.address());
            }
            EngineEvent::MapRemoved(name) => {
                self.maps.retain(|map| map.collection != *name);
                self.follow_maps(&context.address());
            }
            EngineEvent::Paused(_) => self.doubt_connections(),
            EngineEvent::Submit(_)
            | EngineEvent::Reply(_)
            | EngineEvent::Failed { .. }
            | EngineEvent::Tick
            | EngineEvent::AccountsChanged(_)
            | EngineEvent::TargetNews(_)
            | EngineEvent::Quarantine { .. }
            | EngineEvent::Stopping => {}
        }
    }
}

fn spawn_chore(lane: &Addr<EngineLane>, link: &TargetLink, chore: LeafChore) {
    let target = link.target;
    let client = Rc::clone(&link.client);
    let lane = lane.clone();
    actix::spawn(async move {
        if let Some(kind) = client.run_chore(chore).await {
            let news = vec![kind];
            lane.do_send(TargetTold { target, news });
        }
    });
}

fn spawn_status(lane: &Addr<EngineLane>, link: &TargetLink) {
    let target = link.target;
    let client = Rc::clone(&link.client);
    let lane = lane.clone();
    actix::spawn(async move {
        if let Some(news) = client.status().await {
            lane.do_send(TargetTold { target, news });
        }
    });
}

impl Actor for EngineLane {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_MESSAGES);
        ctx.run_interval(CHECK_PERIOD, Self::check);
    }
}

impl Handler<CallEnded> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: CallEnded, ctx: &mut Self::Context) {
        self.feed(msg.0, ctx);
    }
}

impl Handler<TargetTold> for EngineLane {
    type Result = ();

    fn handle(&mut self, msg: TargetTold, ctx: &mut Self::Context) {
        let target = msg.target;
        if let Ok(position) = self.links.binary_search_by_key(&target, |link| link.target) {
            self.links[position].met = true;
        }
        for kind in msg.news {
            self.feed(EngineEvent::TargetNews(TargetNews { target, kind }), ctx);
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
                    "another request has the same number",
                );
                let _caller_may_have_gone = msg.reply.send(Err(refusal));
            }
            Err(position) => {
                self.callers.insert(
                    position,
                    WaitingCaller {
                        query,
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
        self.follow_event(&msg.0, ctx);
        self.feed(msg.0, ctx);
    }
}

impl Handler<GetStatus> for EngineLane {
    type Result = StatusAnswer;

    fn handle(&mut self, _msg: GetStatus, _ctx: &mut Self::Context) -> Self::Result {
        StatusAnswer(self.engine.status())
    }
}
