//! A test harness that passes events to an engine and records the returned actions.

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

/// Collection that the tests query.
pub const COLLECTION: &str = "race-desk";
/// Account that the tests submit requests as.
pub const ACCOUNT: &str = "co-op";

/// An engine with simulated time and the actions it has returned so far.
#[derive(Debug)]
pub struct EngineHarness {
    pub engine: SearchEngine,
    pub now: Instant,
    pub sends: Vec<AttemptPlan>,
    pub cancels: Vec<AttemptId>,
    pub answers: Vec<(QueryId, SearchAnswer)>,
    pub refusals: Vec<(QueryId, Refusal)>,
    pub decisions: Vec<EngineDecision>,
}

impl EngineHarness {
    /// Creates an engine without accounts and maps.
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

    /// Creates an engine with an account and a map whose targets have reported `version`.
    pub fn ready(options: EngineOptions, map: ShardMap, version: IndexVersion) -> Self {
        let targets: Vec<TargetId> = map.targets.iter().map(|entry| entry.target).collect();
        let mut harness = Self::without_versions(options, map);
        for target in targets {
            harness.report_versions(target, &[version]);
        }
        harness
    }

    /// Creates an engine with an account and a map whose targets have not reported their versions.
    pub fn without_versions(options: EngineOptions, map: ShardMap) -> Self {
        let mut harness = Self::new(options);
        harness.change_accounts(vec![account(ACCOUNT)]);
        harness.change_map(map);
        harness
    }

    pub fn change_accounts(&mut self, accounts: Vec<AccountPolicy>) {
        let table = AccountTable::new(1, accounts);
        self.handle(EngineEvent::AccountsChanged(Arc::new(table)));
    }

    /// Handles an event and then checks every invariant.
    pub fn handle(&mut self, event: EngineEvent) {
        self.handle_without_audit(event);
        self.engine.audit();
    }

    pub fn handle_without_audit(&mut self, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in actions {
            self.record_action(action);
        }
    }

    fn record_action(&mut self, action: EngineAction) {
        match action {
            EngineAction::Send(plan) => self.sends.push(plan),
            EngineAction::Cancel { attempt, .. } => self.cancels.push(attempt),
            EngineAction::Answer { query, answer } => self.answers.push((query, answer)),
            EngineAction::Refuse { query, refusal } => self.refusals.push((query, refusal)),
            EngineAction::Decided(decision) => self.decisions.push(decision),
        }
    }

    /// Changes the map and grants all connections of its targets.
    pub fn change_map(&mut self, map: ShardMap) {
        let shares: Vec<ConnectionShare> = map
            .targets
            .iter()
            .map(|entry| ConnectionShare {
                target: entry.target,
                connections: entry.connections,
            })
            .collect();
        self.handle(EngineEvent::MapChanged(Arc::new(map)));
        self.handle(EngineEvent::SharesChanged(shares.into()));
    }

    pub fn report_versions(&mut self, target: TargetId, held: &[IndexVersion]) {
        self.update_target(target, TargetUpdateKind::Held(held.to_vec()));
    }

    pub fn update_target(&mut self, target: TargetId, kind: TargetUpdateKind) {
        self.handle(EngineEvent::TargetUpdate(TargetUpdate { target, kind }));
    }

    pub fn submit(&mut self, query: QueryId) {
        self.handle(EngineEvent::Submit(request(query)));
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle(EngineEvent::Tick);
    }

    /// Handles a reply that matches its attempt.
    pub fn reply(&mut self, plan: &AttemptPlan) {
        self.handle(EngineEvent::Reply(reply(plan)));
    }

    pub fn fail(&mut self, plan: &AttemptPlan, failure: AttemptFailure) {
        let attempt = plan.attempt;
        self.handle(EngineEvent::Failed { attempt, failure });
    }

    /// Returns the sends since the last call.
    pub fn take_sends(&mut self) -> Vec<AttemptPlan> {
        std::mem::take(&mut self.sends)
    }

    /// Returns the answer, of which there must be exactly one.
    pub fn answer(&self) -> &SearchAnswer {
        assert_eq!(
            self.answers.len(),
            1,
            "exactly one answer; refusals: {:?}",
            self.refusals
        );
        &self.answers[0].1
    }

    /// Returns the refusal, of which there must be exactly one.
    pub fn refusal(&self) -> &Refusal {
        assert_eq!(
            self.refusals.len(),
            1,
            "exactly one refusal; answers: {:?}",
            self.answers
        );
        &self.refusals[0].1
    }
}

/// Returns a reply that matches a request, with one hit.
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

/// Returns a map in which shard `n` is held by the targets `n * replicas .. (n + 1) * replicas`.
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
