//! Long randomised runs that check the engine's guarantees for arbitrary event sequences.
//!
//! `YUCCALIFT_RANDOM_SEED` and `YUCCALIFT_RANDOM_CASES` override the seed and the number of cases.

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

use crate::observer::{EngineObserver, ObservedQuery, marked_hit};
use crate::random_events::{RandomEvent, RandomEventMachine, RunState, SHARDS, TARGETS};
use crate::support::{COLLECTION, account, map, request};

const DEFAULT_SEED: u64 = 20_261_204;
const DEFAULT_CASES: u32 = 96;
/// Number of queries answered before a run begins.
const WARM_UP_QUERIES: u32 = 40;
/// Time that exceeds every deadline and every delay of the engine.
const FINAL_WAIT: Duration = Duration::from_secs(60);

fn accounts() -> Vec<AccountPolicy> {
    let policy = |name: &str, urgency, repeat| AccountPolicy {
        urgency,
        repeat,
        hedge_share: 0.5,
        queue_limit: 5,
        ..account(name)
    };
    vec![
        policy("urgent", Urgency::Urgent, RepeatPolicy::Hedge),
        policy("normal", Urgency::Normal, RepeatPolicy::Retry),
        policy("patient", Urgency::Patient, RepeatPolicy::Hedge),
        policy("once", Urgency::Urgent, RepeatPolicy::Never),
    ]
}

/// Returns a map of consecutive targets from `first` on. Successive maps share some targets.
fn map_window(epoch: u64, shards: u32, replicas: u32, first: TargetId) -> ShardMap {
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

/// An engine that handles random events, and the observer of its actions.
#[derive(Debug)]
struct EngineRun {
    engine: SearchEngine,
    observer: EngineObserver,
    now: Instant,
    epoch: u64,
    ended: Vec<AttemptPlan>,
}

impl EngineRun {
    fn handle(&mut self, event: EngineEvent) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in actions {
            self.observer.observe(self.now, action);
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
        let mut request = request(self.observer.queries.len() as u64 + 1);
        request.account = policy.account;
        request.fingerprint = fingerprint;
        request.time_left = time_left.map(Duration::from_millis);
        request.limit = 3;
        if let Some(shard) = execute {
            request.kind = RequestKind::Execute { shard };
        }
        self.observer.queries.push(ObservedQuery {
            request: request.clone(),
            repeat: policy.repeat,
            snapshot: None,
            may_have_run: 0,
            closed: false,
            caller_gone: false,
        });
        self.handle(EngineEvent::Submit(request));
    }

    fn pick_in_flight(&self, pick: usize) -> Option<AttemptPlan> {
        let in_flight = &self.observer.in_flight;
        (!in_flight.is_empty()).then(|| in_flight[pick % in_flight.len()].clone())
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
        self.observer.end_attempt(plan.attempt, true);
        self.ended.push(plan);
        self.handle(EngineEvent::Reply(reply));
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
        self.observer
            .end_attempt(plan.attempt, !failure.is_not_run());
        if failure == AttemptFailure::Draining {
            self.observer.target(plan.target).draining = true;
        }
        let attempt = plan.attempt;
        self.ended.push(plan);
        self.handle(EngineEvent::Failed { attempt, failure });
    }

    fn change_share(&mut self, target: TargetId, connections: u32) {
        self.observer.target(target).share = connections;
        let share = ConnectionShare {
            target,
            connections,
        };
        self.handle(EngineEvent::SharesChanged([share].into()));
    }

    fn update_target(&mut self, target: TargetId, kind: TargetUpdateKind) {
        self.handle(EngineEvent::TargetUpdate(TargetUpdate { target, kind }));
    }

    fn change_map(&mut self, shards: u32, replicas: u32, first: TargetId) {
        self.epoch += 1;
        let map = map_window(self.epoch, shards, replicas, first);
        let targets: Vec<TargetId> = map.targets.iter().map(|entry| entry.target).collect();
        self.handle(EngineEvent::MapChanged(Arc::new(map)));
        for target in targets {
            // Target state is reported again, because the engine drops targets that no map lists.
            let share = self.observer.target(target).share;
            self.change_share(target, share);
            if self.observer.target(target).draining {
                self.update_target(target, TargetUpdateKind::Draining);
            }
            self.update_target(target, TargetUpdateKind::Held(vec![1, 2]));
        }
    }

    fn apply_event(&mut self, event: RandomEvent) {
        match event {
            RandomEvent::Submit {
                account,
                execute,
                fingerprint,
                time_left,
            } => self.submit(account, execute, fingerprint, time_left),
            RandomEvent::Reply(pick) => {
                if let Some(plan) = self.pick_in_flight(pick) {
                    self.reply(plan, |_| {});
                }
            }
            RandomEvent::WrongReply(pick, kind) => {
                if let Some(plan) = self.pick_in_flight(pick) {
                    self.reply(plan, |reply| corrupt_reply(reply, kind));
                }
            }
            RandomEvent::Fail(pick, kind) => {
                if let Some(plan) = self.pick_in_flight(pick) {
                    self.fail(plan, kind);
                }
            }
            RandomEvent::DuplicateReply(pick) => self.send_duplicate_reply(pick),
            RandomEvent::Advance(millis) => {
                self.now += Duration::from_millis(millis);
                self.handle(EngineEvent::Tick);
            }
            RandomEvent::Pause(millis) => {
                let pause = Duration::from_millis(millis);
                self.now += pause;
                self.handle(EngineEvent::Paused(pause));
            }
            RandomEvent::Map {
                shards,
                replicas,
                first,
            } => self.change_map(shards, replicas, first),
            RandomEvent::MapRemoved => self.handle(EngineEvent::MapRemoved(COLLECTION.into())),
            RandomEvent::Held(target, version) => {
                self.update_target(target, TargetUpdateKind::Held(vec![version, version + 1]));
            }
            RandomEvent::Draining(target) => {
                self.observer.target(target).draining = true;
                self.update_target(target, TargetUpdateKind::Draining);
            }
            RandomEvent::Reachable(target) => {
                self.update_target(target, TargetUpdateKind::Reachable);
            }
            RandomEvent::Share(target, share) => self.change_share(target, share),
            RandomEvent::Quarantine(fingerprint, held) => self.quarantine(fingerprint, held),
            RandomEvent::CallerDisconnected(pick) => self.disconnect_caller(pick),
            RandomEvent::Stopping => {
                self.observer.stopping = true;
                self.handle(EngineEvent::Stopping);
            }
        }
    }

    /// Answers enough queries for the typical latency to be known, as hedging requires.
    fn warm_up(&mut self) {
        for _ in 0..WARM_UP_QUERIES {
            self.submit(0, None, 0, None);
            self.now += Duration::from_millis(2);
            while let Some(plan) = self.pick_in_flight(0) {
                self.reply(plan, |_| {});
            }
        }
    }

    /// Delivers a duplicate reply, or a reply to an attempt that has already failed.
    fn send_duplicate_reply(&mut self, pick: usize) {
        if self.ended.is_empty() {
            return;
        }
        let plan = self.ended[pick % self.ended.len()].clone();
        self.handle(EngineEvent::Reply(AttemptReply {
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
        let quarantined = &mut self.observer.quarantined;
        quarantined.retain(|other| *other != fingerprint);
        if held {
            quarantined.push(fingerprint);
        }
        self.handle(EngineEvent::Quarantine { fingerprint, held });
    }

    fn disconnect_caller(&mut self, pick: usize) {
        if self.observer.queries.is_empty() {
            return;
        }
        let index = pick % self.observer.queries.len();
        let observed = &mut self.observer.queries[index];
        let query = observed.request.query;
        if !observed.closed && observed.request.kind == RequestKind::Search {
            observed.caller_gone = true;
        }
        self.handle(EngineEvent::CallerDisconnected { query });
    }

    /// Ends all attempts and queries, and checks that nothing is left.
    fn end(&mut self) {
        while let Some(plan) = self.pick_in_flight(0) {
            self.fail(plan, 8);
        }
        self.now += FINAL_WAIT;
        self.handle(EngineEvent::Tick);
        while let Some(plan) = self.pick_in_flight(0) {
            self.fail(plan, 6);
        }
        for observed in &self.observer.queries {
            assert!(
                observed.closed || observed.caller_gone,
                "every query is answered or refused: {observed:?}"
            );
        }
        let status = self.engine.status();
        assert_eq!(status.running, 0, "no query is left running");
        assert_eq!(status.waiting, [0; 3], "no query is left waiting");
        let in_flight: u32 = status.targets.iter().map(|target| target.in_flight).sum();
        assert_eq!(in_flight, 0, "no connection is left in use");
    }
}

/// Makes a reply mismatch its request; the changed key marks a hit that no answer may contain.
fn corrupt_reply(reply: &mut AttemptReply, kind: u8) {
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
    type Reference = RandomEventMachine;

    fn init_test(ref_state: &RunState) -> Self {
        Self::begin(EngineOptions::new(ref_state.policy, 7))
    }

    fn apply(mut state: Self, _ref_state: &RunState, transition: RandomEvent) -> Self {
        state.apply_event(transition);
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
            observer: EngineObserver::default(),
            now: Instant::now(),
            epoch: 0,
            ended: Vec::new(),
        };
        let table = AccountTable::new(1, accounts());
        run.handle(EngineEvent::AccountsChanged(Arc::new(table)));
        for target in 0..TARGETS {
            run.observer.target(target).share = 2;
        }
        run.change_map(SHARDS, 3, 0);
        run.warm_up();
        run
    }
}

fn env_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: env_or("YUCCALIFT_RANDOM_CASES", DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(env_or("YUCCALIFT_RANDOM_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn random_runs_hold_all_invariants(sequential 1..400 => EngineRun);
}

/// The engine's quarantine is switched off, so that the quarantined request is sent.
#[test]
#[should_panic(expected = "no attempt of a quarantined request is sent")]
fn observer_detects_a_send_of_a_quarantined_request() {
    let mut options = EngineOptions::new(PolicyKind::Full, 7);
    options.protections.quarantine = false;
    let mut run = EngineRun::begin(options);
    run.quarantine(5, true);
    run.submit(0, None, 5, None);
}

#[test]
#[should_panic(expected = "at most one answer or refusal per query")]
fn observer_detects_a_second_answer() {
    let mut run = EngineRun::begin(EngineOptions::new(PolicyKind::Full, 7));
    let refusal = Refusal::not_run(RefusalCode::Internal, "test", "second refusal");
    let query = run.observer.queries[0].request.query;
    run.observer
        .observe(run.now, EngineAction::Refuse { query, refusal });
}

#[test]
#[should_panic(expected = "a request refused as not run has not run")]
fn observer_detects_a_false_refusal() {
    let mut run = EngineRun::begin(EngineOptions::new(PolicyKind::Full, 7));
    run.submit(0, None, 5, None);
    let refusal = Refusal::not_run(RefusalCode::Internal, "test", "refused while in flight");
    let query = run.observer.in_flight[0].query;
    run.observer
        .observe(run.now, EngineAction::Refuse { query, refusal });
}
