//! A hand-driven engine: tests tell it events and look at what it decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccalift_core::action::AttemptPlan;
use yuccalift_core::event::{
    AttemptFailure, AttemptReply, ConnectionShare, TargetUpdate, TargetUpdateKind,
};
use yuccalift_core::ids::{AttemptId, IndexVersion, MapEpoch, QueryId, ShardId, TargetId};
use yuccalift_core::{
    AccountPolicy, AccountTable, EngineAction, EngineDecision, EngineEvent, EngineOptions, Refusal,
    RepeatPolicy, RequestKind, SearchAnswer, SearchEngine, SearchHit, SearchRequest, ShardEntry,
    ShardMap, TargetEntry, Urgency,
};

/// The collection that tests ask.
pub const COLLECTION: &str = "race-desk";
/// The account that tests ask as.
pub const ACCOUNT: &str = "co-op";

/// An engine with its time and its actions so far.
#[derive(Debug)]
pub struct EngineDriver {
    pub engine: SearchEngine,
    pub now: Instant,
    pub sends: Vec<AttemptPlan>,
    pub cancels: Vec<AttemptId>,
    pub answers: Vec<(QueryId, SearchAnswer)>,
    pub refusals: Vec<(QueryId, Refusal)>,
    pub decisions: Vec<EngineDecision>,
}

impl EngineDriver {
    /// An engine that knows nothing yet.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            engine: SearchEngine::with_options(options),
            now: Instant::now(),
            sends: Vec::new(),
            cancels: Vec::new(),
            answers: Vec::new(),
            refusals: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// An engine with accounts and a map whose targets hold a version.
    pub fn ready(options: EngineOptions, map: ShardMap, version: IndexVersion) -> Self {
        let targets: Vec<TargetId> = map.targets.iter().map(|entry| entry.target).collect();
        let mut driver = Self::untold(options, map);
        for target in targets {
            driver.hold(target, &[version]);
        }
        driver
    }

    /// An engine with accounts and a map whose targets have not told what they hold.
    pub fn untold(options: EngineOptions, map: ShardMap) -> Self {
        let mut driver = Self::new(options);
        driver.put_accounts(vec![account(ACCOUNT)]);
        driver.put_map(map);
        driver
    }

    pub fn put_accounts(&mut self, accounts: Vec<AccountPolicy>) {
        let table = AccountTable::new(1, accounts);
        self.tell(EngineEvent::AccountsChanged(Arc::new(table)));
    }

    /// Tells an event, after which every invariant must hold.
    pub fn tell(&mut self, event: EngineEvent) {
        self.tell_unaudited(event);
        self.engine.audit();
    }

    pub fn tell_unaudited(&mut self, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in actions {
            self.take(action);
        }
    }

    fn take(&mut self, action: EngineAction) {
        match action {
            EngineAction::Send(plan) => self.sends.push(plan),
            EngineAction::Cancel { attempt, .. } => self.cancels.push(attempt),
            EngineAction::Answer { query, answer } => self.answers.push((query, answer)),
            EngineAction::Refuse { query, refusal } => self.refusals.push((query, refusal)),
            EngineAction::Decided(decision) => self.decisions.push(decision),
        }
    }

    /// Puts a map in force, with a share of all its targets' connections.
    pub fn put_map(&mut self, map: ShardMap) {
        let shares: Vec<ConnectionShare> = map
            .targets
            .iter()
            .map(|entry| ConnectionShare {
                target: entry.target,
                connections: entry.connections,
            })
            .collect();
        self.tell(EngineEvent::MapChanged(Arc::new(map)));
        self.tell(EngineEvent::SharesChanged(shares.into()));
    }

    pub fn hold(&mut self, target: TargetId, held: &[IndexVersion]) {
        self.news(target, TargetUpdateKind::Held(held.to_vec()));
    }

    pub fn news(&mut self, target: TargetId, kind: TargetUpdateKind) {
        self.tell(EngineEvent::TargetUpdate(TargetUpdate { target, kind }));
    }

    pub fn submit(&mut self, query: QueryId) {
        self.tell(EngineEvent::Submit(request(query)));
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        self.tell(EngineEvent::Tick);
    }

    /// Answers an attempt as asked.
    pub fn reply(&mut self, plan: &AttemptPlan) {
        self.tell(EngineEvent::Reply(reply(plan)));
    }

    pub fn fail(&mut self, plan: &AttemptPlan, failure: AttemptFailure) {
        let attempt = plan.attempt;
        self.tell(EngineEvent::Failed { attempt, failure });
    }

    /// The sends since the last call.
    pub fn take_sends(&mut self) -> Vec<AttemptPlan> {
        std::mem::take(&mut self.sends)
    }

    /// The one answer so far.
    pub fn answer(&self) -> &SearchAnswer {
        assert_eq!(self.answers.len(), 1, "one answer; {:?}", self.refusals);
        &self.answers[0].1
    }

    /// The one refusal so far.
    pub fn refusal(&self) -> &Refusal {
        assert_eq!(self.refusals.len(), 1, "one refusal; {:?}", self.answers);
        &self.refusals[0].1
    }
}

/// A reply that is as asked, with one hit.
pub fn reply(plan: &AttemptPlan) -> AttemptReply {
    AttemptReply {
        attempt: plan.attempt,
        query: plan.query,
        shard: plan.shard,
        version: plan.snapshot.version,
        held: vec![plan.snapshot.version],
        hits: vec![hit(plan.shard)],
        complete: true,
    }
}

pub fn hit(shard: ShardId) -> SearchHit {
    SearchHit {
        shard,
        key: format!("ewe-{shard}").into(),
        score: f64::from(shard),
    }
}

pub fn account(name: &str) -> AccountPolicy {
    AccountPolicy {
        account: name.into(),
        template: "desk".into(),
        collections: vec![COLLECTION.into()],
        urgency: Urgency::Urgent,
        patience: Duration::from_secs(1),
        deadline: Duration::from_secs(2),
        repeat: RepeatPolicy::Hedge,
        hedge_share: 0.05,
        retry_share: 0.1,
        weight: 1,
        queue_limit: 1_000,
    }
}

pub fn request(query: QueryId) -> SearchRequest {
    SearchRequest {
        query,
        request: format!("request-{query}").into(),
        account: ACCOUNT.into(),
        collection: COLLECTION.into(),
        kind: RequestKind::Search,
        text: "tag 17".into(),
        limit: 20,
        fingerprint: query,
        time_left: None,
    }
}

/// A map in which shard `n` is held by the targets `n * replicas ..`.
pub fn map(epoch: MapEpoch, shards: u32, replicas: u32) -> ShardMap {
    let targets = (0..shards * replicas).map(|target| TargetEntry {
        target,
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "north".into(),
        host: "leaf".into(),
        slots: 3,
        connections: 30,
        connect_ms: 6,
    });
    let shards = (0..shards).map(|shard| ShardEntry {
        shard,
        replicas: (shard * replicas..(shard + 1) * replicas).collect(),
    });
    ShardMap {
        collection: COLLECTION.into(),
        epoch,
        shards: shards.collect(),
        targets: targets.collect(),
    }
}
