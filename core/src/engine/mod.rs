//! The data-path engine of one daemon: takes events, returns actions.
//!
//! The daemon passes each [`EngineEvent`] with the time at which it happened and carries out the
//! returned [`EngineAction`]s. The engine performs no I/O, so that long randomised tests can
//! exercise it deterministically. See `docs/DESIGN.md`, "The engine".
//!
//! Modules:
//!
//! - `slots`, `timers`, `budget`, `latency`: data structures without engine logic.
//! - `target`, `plan`, `query`, `accounts`, `collection`: the engine's state.
//! - `limit`, `snapshot`, `choice`, `admission`: one decision each.
//! - `submit`, `start`, `dispatch`, `replies`, `restart`, `finish`, `hedge`, `ejection`, `maps`,
//!   `updates`, `expiry`: handlers, one for each kind of event or processing step.
//! - `verifier`: assertions of the engine's invariants.

mod accounts;
mod admission;
mod budget;
mod choice;
mod collection;
mod dispatch;
mod ejection;
mod expiry;
mod finish;
mod hedge;
pub(crate) mod latency;
mod limit;
mod maps;
mod options;
mod plan;
mod query;
mod replies;
mod restart;
mod slots;
mod snapshot;
mod start;
mod submit;
mod target;
mod timers;
mod updates;
mod verifier;

use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::{EngineAction, EngineStatus, TargetStatus};
use crate::engine::accounts::AccountRegistry;
use crate::engine::budget::TokenBudget;
use crate::engine::choice::ChoiceScratch;
use crate::engine::collection::CollectionState;
use crate::engine::plan::ShardPlan;
use crate::engine::query::{AttemptTable, QueryStage, QueryTable};
use crate::engine::slots::{KeyIndex, Slot, SlotTable};
use crate::engine::target::{HostedShard, TargetTable};
use crate::engine::timers::{QueryRef, TargetRef, TimerQueue};
use crate::event::{AttemptFailure, ConnectionShare, EngineEvent};
use crate::ids::{CollectionName, Fingerprint};

pub use options::{EngineOptions, PolicyKind, ProtectionSet};

/// Follow-up work queued while an event is handled and done before the handling ends.
///
/// Queueing the work instead of doing it in place keeps the handlers from re-entering each other.
#[derive(Debug, Default)]
struct PendingWork {
    /// Queries with a shard whose targets or version are no longer available.
    restart_candidates: Vec<QueryRef>,
    /// Queries without open shards.
    finished_queries: Vec<QueryRef>,
    /// Targets whose parked requests may be sent.
    freed_targets: Vec<TargetRef>,
    /// Collections whose waiting queries may start.
    waiting_collections: Vec<Slot>,
    /// Buffer of `dispatch_parked`, reused so that dispatching does not allocate.
    hosted_buffer: Vec<HostedShard>,
}

/// Makes all data-path decisions of one daemon.
#[derive(Debug)]
pub struct SearchEngine {
    options: EngineOptions,
    rng: ChaCha8Rng,
    round_robin: u64,
    stopping: bool,
    resumed_at: Option<Instant>,
    accounts: AccountRegistry,
    targets: TargetTable,
    shares: Arc<[ConnectionShare]>,
    collections: SlotTable<CollectionState>,
    collection_names: KeyIndex<CollectionName>,
    plans: SlotTable<ShardPlan>,
    queries: QueryTable,
    attempts: AttemptTable,
    timers: TimerQueue,
    /// Hedge budget that all accounts share.
    hedges: TokenBudget,
    quarantined: Vec<Fingerprint>,
    pending_work: PendingWork,
    scratch: ChoiceScratch,
    /// Number of events handled since the last audit.
    events: u32,
}

impl SearchEngine {
    /// Creates an engine with the default options of a policy and without maps and accounts.
    pub fn new(policy: PolicyKind, seed: u64) -> Self {
        Self::with_options(EngineOptions::new(policy, seed))
    }

    /// Creates an engine without maps and accounts.
    pub fn with_options(options: EngineOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            round_robin: options.seed,
            stopping: false,
            resumed_at: None,
            accounts: AccountRegistry::default(),
            targets: TargetTable::default(),
            shares: Arc::from([]),
            collections: SlotTable::default(),
            collection_names: KeyIndex::default(),
            plans: SlotTable::default(),
            queries: QueryTable::default(),
            attempts: AttemptTable::default(),
            timers: TimerQueue::default(),
            hedges: hedge::daemon_budget(),
            quarantined: Vec::new(),
            pending_work: PendingWork::default(),
            scratch: ChoiceScratch::default(),
            events: 0,
            options,
        }
    }

    /// Returns the policy from the engine's options.
    pub fn policy(&self) -> PolicyKind {
        self.options.policy
    }

    /// Handles an event and appends the resulting actions to `actions`, in the order of execution.
    ///
    /// The daemon must follow each [`EngineAction::Send`] by exactly one [`EngineEvent::Reply`] or
    /// [`EngineEvent::Failed`] of that attempt, even after [`EngineAction::Cancel`]. Until then the
    /// attempt counts against the target's connections.
    pub fn handle(&mut self, now: Instant, event: EngineEvent, actions: &mut Vec<EngineAction>) {
        // State updates are applied before due timers run, so that timers act on the current state.
        let is_update = is_state_update(&event);
        if is_update {
            self.apply_event(now, event, actions);
            self.run_expired_timers(now, actions);
        } else {
            self.record_draining_failure(now, &event);
            self.run_expired_timers(now, actions);
            self.run_pending_work(now, actions);
            self.apply_event(now, event, actions);
        }
        self.run_pending_work(now, actions);
        self.count_event();
    }

    /// Marks the target as draining if the event is a refusal with that reason. This happens before
    /// due timers run, because such a refusal is a state update as well.
    fn record_draining_failure(&mut self, now: Instant, event: &EngineEvent) {
        let EngineEvent::Failed { attempt, failure } = event else {
            return;
        };
        let target = self.attempts.get(*attempt).map(|entry| entry.target);
        if let (AttemptFailure::Draining, Some(target)) = (failure, target) {
            self.mark_draining(now, target);
        }
    }

    fn apply_event(&mut self, now: Instant, event: EngineEvent, actions: &mut Vec<EngineAction>) {
        match event {
            EngineEvent::Submit(request) => self.submit(now, request, actions),
            EngineEvent::CallerDisconnected { query } => self.handle_disconnect(query, actions),
            EngineEvent::Reply(reply) => self.handle_reply(now, reply, actions),
            EngineEvent::Failed { attempt, failure } => {
                self.handle_failure(now, attempt, &failure, actions);
            }
            EngineEvent::Tick => {}
            EngineEvent::MapChanged(map) => self.update_map(now, &map),
            EngineEvent::MapRemoved(name) => self.remove_map(&name, actions),
            EngineEvent::AccountsChanged(accounts) => self.accounts.apply_table(&accounts),
            EngineEvent::SharesChanged(shares) => self.update_shares(shares),
            EngineEvent::TargetUpdate(update) => self.apply_target_update(now, &update, actions),
            EngineEvent::Quarantine { fingerprint, held } => {
                self.update_quarantine(fingerprint, held, actions);
            }
            EngineEvent::Paused(_) => self.discard_stale_state(now),
            EngineEvent::Stopping => self.stopping = true,
        }
    }

    /// Returns the time at which the engine needs the next [`EngineEvent::Tick`], if any.
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Checks the engine's state against the invariants.
    ///
    /// The engine runs this check itself once every [`EngineOptions::audit_interval`] events.
    ///
    /// # Panics
    ///
    /// Panics with the description of the invariant that is violated.
    pub fn audit(&self) {
        verifier::audit(self);
    }

    /// Returns the current state of targets and queries for operators.
    pub fn status(&self) -> EngineStatus {
        let mut waiting = [0; 3];
        for (_, collection) in self.collections.iter() {
            for (sum, count) in waiting.iter_mut().zip(collection.queue.waiting()) {
                *sum += count;
            }
        }
        let running = self
            .queries
            .iter()
            .filter(|(_, state)| state.stage != QueryStage::Waiting)
            .count();
        EngineStatus {
            targets: self.targets.sorted().map(target_status).collect(),
            running: running as u32,
            waiting,
        }
    }

    /// Processes queued follow-up work until none is left.
    fn run_pending_work(&mut self, now: Instant, actions: &mut Vec<EngineAction>) {
        loop {
            if let Some(query) = self.pending_work.restart_candidates.pop() {
                self.restart_query(now, query, actions);
            } else if let Some(query) = self.pending_work.finished_queries.pop() {
                self.finish_query(query, actions);
            } else if let Some(target) = self.pending_work.freed_targets.pop() {
                self.dispatch_parked(now, target, actions);
            } else if let Some(collection) = self.pending_work.waiting_collections.pop() {
                self.start_waiting(now, collection, actions);
            } else {
                return;
            }
        }
    }

    fn schedule_queue(&mut self, collection: Slot) {
        if !self.pending_work.waiting_collections.contains(&collection) {
            self.pending_work.waiting_collections.push(collection);
        }
    }

    fn count_event(&mut self) {
        self.events += 1;
        if self.events >= self.options.audit_interval {
            self.events = 0;
            self.audit();
        }
    }
}

/// Returns whether an event only updates state that other events depend on, and triggers no send
/// by itself.
fn is_state_update(event: &EngineEvent) -> bool {
    match event {
        EngineEvent::MapChanged(_)
        | EngineEvent::MapRemoved(_)
        | EngineEvent::AccountsChanged(_)
        | EngineEvent::SharesChanged(_)
        | EngineEvent::TargetUpdate(_)
        | EngineEvent::Quarantine { .. }
        | EngineEvent::Paused(_)
        | EngineEvent::Stopping => true,
        EngineEvent::Submit(_)
        | EngineEvent::CallerDisconnected { .. }
        | EngineEvent::Reply(_)
        | EngineEvent::Failed { .. }
        | EngineEvent::Tick => false,
    }
}

fn target_status(state: &target::TargetState) -> TargetStatus {
    TargetStatus {
        target: state.entry.target,
        state: state.state_name(),
        in_flight: state.in_flight(),
        limit: state.limit.current(),
        connections: state.limit.share(),
        latency: state.latency.mean().unwrap_or_default(),
    }
}
