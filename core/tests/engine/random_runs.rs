//! Long randomised runs: whatever comes in whatever order, the promises hold.
//!
//! `YUCCALIFT_RANDOM_SEED` and `YUCCALIFT_RANDOM_CASES` give a run of one's own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use yuccalift_core::action::AttemptPlan;
use yuccalift_core::event::{
    AttemptFailure, AttemptReply, ConnectionShare, TargetUpdate, TargetUpdateKind,
};
use yuccalift_core::ids::{Fingerprint, ShardId, TargetId};
use yuccalift_core::{
    AccountPolicy, AccountTable, EngineAction, EngineEvent, EngineOptions, PolicyKind, Refusal,
    RefusalCode, RepeatPolicy, RequestKind, SearchEngine, ShardMap, Urgency,
};

use crate::happenings::{Happening, HappeningMachine, RunState, SHARDS, TARGETS};
use crate::support::{COLLECTION, account, map, request};
use crate::witness::{EngineWitness, SeenQuery, marked_hit};

const DEFAULT_SEED: u64 = 20_261_204;
const DEFAULT_CASES: u32 = 96;
/// Queries answered before a run begins.
const WARM_UP_QUERIES: u32 = 40;
/// Longer than any deadline and any delay of the engine's.
const EVER: Duration = Duration::from_secs(60);

fn accounts() -> Vec<AccountPolicy> {
    let of = |name: &str, urgency, repeat| AccountPolicy {
        urgency,
        repeat,
        hedge_share: 0.5,
        queue_limit: 5,
        ..account(name)
    };
    vec![
        of("urgent", Urgency::Urgent, RepeatPolicy::Hedge),
        of("normal", Urgency::Normal, RepeatPolicy::Retry),
        of("patient", Urgency::Patient, RepeatPolicy::Hedge),
        of("once", Urgency::Urgent, RepeatPolicy::Never),
    ]
}

/// A map whose targets are a window of all, so that maps share some of them.
fn window(epoch: u64, shards: u32, replicas: u32, first: TargetId) -> ShardMap {
    let mut map = map(epoch, shards, replicas);
    for entry in &mut map.shards {
        for replica in &mut entry.replicas {
            *replica = (*replica + first) % TARGETS;
        }
        entry.replicas.sort_unstable();
        entry.replicas.dedup();
    }
    for entry in &mut map.targets {
        entry.target = (entry.target + first) % TARGETS;
    }
    map.targets.sort_by_key(|entry| entry.target);
    map.targets.dedup_by_key(|entry| entry.target);
    map
}

/// The engine under random happenings, and the bystander.
#[derive(Debug)]
struct EngineRun {
    engine: SearchEngine,
    witness: EngineWitness,
    now: Instant,
    epoch: u64,
    ended: Vec<AttemptPlan>,
}

impl EngineRun {
    fn tell(&mut self, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in actions {
            self.witness.watch(self.now, action);
        }
        self.engine.audit();
    }

    fn submit(
        &mut self,
        account: usize,
        execute: Option<ShardId>,
        fingerprint: Fingerprint,
        time_left: Option<u64>,
    ) {
        let policy = accounts().swap_remove(account);
        let mut request = request(self.witness.queries.len() as u64 + 1);
        request.account = policy.account;
        request.fingerprint = fingerprint;
        request.time_left = time_left.map(Duration::from_millis);
        request.limit = 3;
        if let Some(shard) = execute {
            request.kind = RequestKind::Execute { shard };
        }
        self.witness.queries.push(SeenQuery {
            request: request.clone(),
            repeat: policy.repeat,
            snapshot: None,
            may_have_run: 0,
            closed: false,
            gone: false,
        });
        self.tell(EngineEvent::Submit(request));
    }

    fn flight(&self, pick: usize) -> Option<AttemptPlan> {
        let flights = &self.witness.flights;
        (!flights.is_empty()).then(|| flights[pick % flights.len()].clone())
    }

    fn reply(&mut self, plan: AttemptPlan, change: impl Fn(&mut AttemptReply)) {
        let mut reply = AttemptReply {
            attempt: plan.attempt,
            query: plan.query,
            shard: plan.shard,
            version: plan.snapshot.version,
            held: vec![plan.snapshot.version],
            hits: vec![marked_hit(plan.query, plan.shard, plan.snapshot)],
            complete: true,
        };
        change(&mut reply);
        self.witness.end(plan.attempt, true);
        self.ended.push(plan);
        self.tell(EngineEvent::Reply(reply));
    }

    fn fail(&mut self, plan: AttemptPlan, kind: u8) {
        let failure = match kind {
            0 => AttemptFailure::NotSent,
            1 => AttemptFailure::Shed,
            2 => AttemptFailure::Draining,
            3 => AttemptFailure::WrongVersion { held: vec![2, 3] },
            4 => AttemptFailure::NotHosted,
            5 => AttemptFailure::Expired,
            6 => AttemptFailure::Cancelled,
            7 => AttemptFailure::Lost,
            8 => AttemptFailure::Silent,
            _ => AttemptFailure::Garbled,
        };
        self.witness.end(plan.attempt, !failure.is_not_run());
        if failure == AttemptFailure::Draining {
            self.witness.target(plan.target).draining = true;
        }
        let attempt = plan.attempt;
        self.ended.push(plan);
        self.tell(EngineEvent::Failed { attempt, failure });
    }

    fn put_share(&mut self, target: TargetId, connections: u32) {
        self.witness.target(target).share = connections;
        let share = ConnectionShare {
            target,
            connections,
        };
        self.tell(EngineEvent::SharesChanged([share].into()));
    }

    fn news(&mut self, target: TargetId, kind: TargetUpdateKind) {
        self.tell(EngineEvent::TargetUpdate(TargetUpdate { target, kind }));
    }

    fn put_map(&mut self, shards: u32, replicas: u32, first: TargetId) {
        self.epoch += 1;
        let map = window(self.epoch, shards, replicas, first);
        let targets: Vec<TargetId> = map.targets.iter().map(|entry| entry.target).collect();
        self.tell(EngineEvent::MapChanged(Arc::new(map)));
        for target in targets {
            // All is told again with each map, since the engine forgets targets that go.
            let share = self.witness.target(target).share;
            self.put_share(target, share);
            if self.witness.target(target).draining {
                self.news(target, TargetUpdateKind::Draining);
            }
            self.news(target, TargetUpdateKind::Held(vec![1, 2]));
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Submit {
                account,
                execute,
                fingerprint,
                time_left,
            } => self.submit(account, execute, fingerprint, time_left),
            Happening::Reply(pick) => {
                if let Some(plan) = self.flight(pick) {
                    self.reply(plan, |_| {});
                }
            }
            Happening::WrongReply(pick, kind) => {
                if let Some(plan) = self.flight(pick) {
                    self.reply(plan, |reply| spoil(reply, kind));
                }
            }
            Happening::Fail(pick, kind) => {
                if let Some(plan) = self.flight(pick) {
                    self.fail(plan, kind);
                }
            }
            Happening::Repeated(pick) => self.repeat(pick),
            Happening::Pass(millis) => {
                self.now += Duration::from_millis(millis);
                self.tell(EngineEvent::Tick);
            }
            Happening::Pause(millis) => {
                let pause = Duration::from_millis(millis);
                self.now += pause;
                self.tell(EngineEvent::Paused(pause));
            }
            Happening::Map {
                shards,
                replicas,
                first,
            } => self.put_map(shards, replicas, first),
            Happening::MapRemoved => self.tell(EngineEvent::MapRemoved(COLLECTION.into())),
            Happening::Held(target, version) => {
                self.news(target, TargetUpdateKind::Held(vec![version, version + 1]));
            }
            Happening::Draining(target) => {
                self.witness.target(target).draining = true;
                self.news(target, TargetUpdateKind::Draining);
            }
            Happening::Reachable(target) => self.news(target, TargetUpdateKind::Reachable),
            Happening::Share(target, share) => self.put_share(target, share),
            Happening::Quarantine(fingerprint, held) => self.quarantine(fingerprint, held),
            Happening::CallerGone(pick) => self.lose_caller(pick),
            Happening::Stopping => {
                self.witness.stopping = true;
                self.tell(EngineEvent::Stopping);
            }
        }
    }

    /// Answers enough queries for the usual latency to be known, without which nothing is hedged.
    fn warm_up(&mut self) {
        for _ in 0..WARM_UP_QUERIES {
            self.submit(0, None, 0, None);
            self.now += Duration::from_millis(2);
            while let Some(plan) = self.flight(0) {
                self.reply(plan, |_| {});
            }
        }
    }

    /// A reply that has been there before, or comes after its attempt has failed.
    fn repeat(&mut self, pick: usize) {
        if self.ended.is_empty() {
            return;
        }
        let plan = self.ended[pick % self.ended.len()].clone();
        self.tell(EngineEvent::Reply(AttemptReply {
            attempt: plan.attempt,
            query: plan.query,
            shard: plan.shard,
            version: plan.snapshot.version,
            held: vec![9],
            hits: vec![marked_hit(plan.query, plan.shard, plan.snapshot)],
            complete: true,
        }));
    }

    fn quarantine(&mut self, fingerprint: Fingerprint, held: bool) {
        let quarantined = &mut self.witness.quarantined;
        quarantined.retain(|other| *other != fingerprint);
        if held {
            quarantined.push(fingerprint);
        }
        self.tell(EngineEvent::Quarantine { fingerprint, held });
    }

    fn lose_caller(&mut self, pick: usize) {
        if self.witness.queries.is_empty() {
            return;
        }
        let place = pick % self.witness.queries.len();
        let seen = &mut self.witness.queries[place];
        let query = seen.request.query;
        if !seen.closed && seen.request.kind == RequestKind::Search {
            seen.gone = true;
        }
        self.tell(EngineEvent::CallerGone { query });
    }

    /// Lets everything come to its end, with every attempt reported.
    fn end(&mut self) {
        while let Some(plan) = self.flight(0) {
            self.fail(plan, 8);
        }
        self.now += EVER;
        self.tell(EngineEvent::Tick);
        while let Some(plan) = self.flight(0) {
            self.fail(plan, 6);
        }
        for seen in &self.witness.queries {
            assert!(seen.closed || seen.gone, "every caller is told: {seen:?}");
        }
        let status = self.engine.status();
        assert_eq!(status.running, 0, "nothing runs for ever");
        assert_eq!(status.waiting, [0; 3], "nothing waits for ever");
        let in_flight: u32 = status.targets.iter().map(|target| target.in_flight).sum();
        assert_eq!(in_flight, 0, "no connection is held for ever");
    }
}

/// Makes a reply one that was not asked for; its hit tells it apart.
fn spoil(reply: &mut AttemptReply, kind: u8) {
    reply.hits[0].key = "foreign".into();
    match kind {
        0 => reply.version += 1,
        1 => reply.query += 1,
        2 => reply.shard += 1,
        3 => reply.complete = false,
        _ => reply.hits[0].shard += 1,
    }
}

impl StateMachineTest for EngineRun {
    type SystemUnderTest = Self;
    type Reference = HappeningMachine;

    fn init_test(ref_state: &RunState) -> Self {
        Self::begin(EngineOptions::new(ref_state.policy, 7))
    }

    fn apply(mut state: Self, _ref_state: &RunState, transition: Happening) -> Self {
        state.happen(transition);
        state
    }

    fn teardown(mut state: Self) {
        state.end();
    }
}

impl EngineRun {
    fn begin(options: EngineOptions) -> Self {
        let mut run = Self {
            engine: SearchEngine::with_options(options),
            witness: EngineWitness::default(),
            now: Instant::now(),
            epoch: 0,
            ended: Vec::new(),
        };
        let table = AccountTable::new(1, accounts());
        run.tell(EngineEvent::AccountsChanged(Arc::new(table)));
        for target in 0..TARGETS {
            run.witness.target(target).share = 2;
        }
        run.put_map(SHARDS, 3, 0);
        run.warm_up();
        run
    }
}

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: setting("YUCCALIFT_RANDOM_CASES", DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(setting("YUCCALIFT_RANDOM_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn random_runs_keep_every_promise(sequential 1..400 => EngineRun);
}

/// A run in which a request is quarantined while it waits for connections.
#[test]
#[should_panic(expected = "nothing of a quarantined request is sent")]
fn witness_sees_a_quarantined_request_being_sent() {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.quarantine = false;
    let mut run = EngineRun::begin(options);
    run.quarantine(5, true);
    run.submit(0, None, 5, None);
}

#[test]
#[should_panic(expected = "one answer or refusal a query")]
fn witness_sees_a_second_answer() {
    let mut run = EngineRun::begin(EngineOptions::new(PolicyKind::Full, 7));
    let refusal = Refusal::not_run(RefusalCode::Internal, "test", "a second one");
    let query = run.witness.queries[0].request.query;
    run.witness
        .watch(run.now, EngineAction::Refuse { query, refusal });
}

#[test]
#[should_panic(expected = "what is said not to have run has not")]
fn witness_sees_a_false_refusal() {
    let mut run = EngineRun::begin(EngineOptions::new(PolicyKind::Full, 7));
    run.submit(0, None, 5, None);
    let refusal = Refusal::not_run(RefusalCode::Internal, "test", "it is under way");
    let query = run.witness.flights[0].query;
    run.witness
        .watch(run.now, EngineAction::Refuse { query, refusal });
}
