//! Submission of a request: validation, queueing and early refusal.
//!
//! See `docs/DESIGN.md`, "Admission".

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::account::Urgency;
use crate::action::{EngineAction, EngineDecision};
use crate::coverage::Snapshot;
use crate::engine::SearchEngine;
use crate::engine::admission::{FlowKey, WaitingQuery};
use crate::engine::plan::PlanSnapshot;
use crate::engine::query::{QueryStage, QueryState};
use crate::engine::slots::Slot;
use crate::engine::timers::{QueryRef, TimerKind};
use crate::outcome::{Refusal, RefusalCode};
use crate::search::{RequestKind, SearchRequest};

/// Maximum time that a query waits while no index version is known.
const MAX_SNAPSHOT_WAIT: Duration = Duration::from_secs(1);
/// Step named in refusals of a request that was not queued.
const ADMIT_STEP: &str = "admit";
/// Step named in refusals of a waiting query.
const QUEUE_STEP: &str = "queue";

impl SearchEngine {
    /// Handles a submitted request: starts it, queues it or refuses it.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        request: SearchRequest,
        actions: &mut Vec<EngineAction>,
    ) {
        let query = request.query;
        match self.admit(now, request) {
            Ok(query) => {
                self.start_or_wait(now, query, actions);
            }
            Err(refusal) => actions.push(EngineAction::Refuse { query, refusal }),
        }
    }

    /// Validates a request and adds it to the queue of its collection.
    fn admit(&mut self, now: Instant, request: SearchRequest) -> Result<QueryRef, Refusal> {
        self.check_acceptance(&request)?;
        let account = self
            .accounts
            .find(&request.account)
            .ok_or_else(|| refuse(RefusalCode::UnknownAccount, "unknown client account"))?;
        let collection = self.check_collection(account, &request)?;
        let state = self.new_query_state(now, request, account, collection)?;
        if let Some(state) = self.accounts.get_mut(account) {
            state.active_queries += 1;
            state.waiting += 1;
        }
        let query = self.queries.insert(state);
        self.enqueue(query);
        Ok(query)
    }

    fn check_acceptance(&self, request: &SearchRequest) -> Result<(), Refusal> {
        if self.stopping {
            return Err(refuse(RefusalCode::Stopping, "the daemon is stopping"));
        }
        if self.queries.find(request.query).is_some() {
            return Err(refuse(
                RefusalCode::Internal,
                "a request with this query id is already active",
            ));
        }
        if self.is_quarantined(request.fingerprint) {
            return Err(refuse(
                RefusalCode::Quarantined,
                "the request is quarantined because it crashed targets",
            ));
        }
        Ok(())
    }

    fn check_collection(&self, account: Slot, request: &SearchRequest) -> Result<Slot, Refusal> {
        let unknown = || refuse(RefusalCode::UnknownCollection, "unknown collection");
        let allowed = self
            .accounts
            .get(account)
            .is_some_and(|state| state.policy.collections.contains(&request.collection));
        if !allowed {
            return Err(refuse(
                RefusalCode::UnknownCollection,
                "the client account may not query this collection",
            ));
        }
        let collection = self
            .collection_names
            .find(request.collection.as_ref())
            .ok_or_else(unknown)?;
        let plan = self
            .collections
            .get(collection)
            .and_then(|state| state.current)
            .and_then(|plan| self.plans.get(plan))
            .ok_or_else(unknown)?;
        if let RequestKind::Execute { shard } = request.kind
            && plan.position(shard).is_none()
        {
            return Err(refuse(
                RefusalCode::BadRequest,
                "the collection does not have the requested shard",
            ));
        }
        Ok(collection)
    }

    fn new_query_state(
        &self,
        now: Instant,
        request: SearchRequest,
        account: Slot,
        collection: Slot,
    ) -> Result<QueryState, Refusal> {
        let policy = self
            .accounts
            .get(account)
            .map(|state| &state.policy)
            .ok_or_else(|| refuse(RefusalCode::UnknownAccount, "unknown client account"))?;
        let allowed = request
            .time_left
            .map_or(policy.deadline, |left| left.min(policy.deadline));
        if allowed <= self.typical_latency(collection).unwrap_or_default() {
            return Err(refuse(
                RefusalCode::Hopeless,
                "the remaining time is shorter than the typical latency of a target",
            ));
        }
        Ok(QueryState {
            query: request.query,
            request: request.request,
            account,
            collection,
            urgency: policy.urgency,
            repeat: policy.repeat,
            kind: request.kind,
            text: Arc::from(request.text),
            limit: request.limit,
            fingerprint: request.fingerprint,
            quarantined: false,
            submitted: now,
            patience: now + policy.patience.min(allowed),
            deadline: now + allowed,
            stage: QueryStage::Waiting,
            snapshot: Snapshot {
                epoch: 0,
                version: 0,
            },
            shards: Vec::new(),
            open_shards: 0,
            hits: Vec::new(),
            restarts: 0,
            may_have_run: false,
            next_hedge_check: None,
        })
    }

    /// Returns the median latency of a collection's targets, if known.
    pub(super) fn typical_latency(&self, collection: Slot) -> Option<Duration> {
        let quantiles = self.collections.get(collection)?.latencies.quantiles()?;
        Some(quantiles.median)
    }

    fn enqueue(&mut self, query: QueryRef) {
        let Some((key, entry)) = self.queue_entry(query) else {
            return;
        };
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let weight = self
            .accounts
            .get(state.account)
            .map_or(1, |account| account.policy.weight);
        if let Some(collection) = self.collections.get_mut(state.collection) {
            collection.queue.push(key, weight, entry);
        }
    }

    /// Returns the flow and the entry of a query in the queue of its collection.
    pub(super) fn queue_entry(&self, query: QueryRef) -> Option<(FlowKey, WaitingQuery)> {
        let state = self.queries.get(query)?;
        if !self.options.protections.ordered_admission {
            let key = FlowKey {
                class: 0,
                account: 0,
            };
            let rank = state.submitted;
            return Some((key, WaitingQuery { rank, query }));
        }
        let key = FlowKey {
            class: class_rank(state.urgency),
            account: state.account,
        };
        let rank = state.deadline;
        Some((key, WaitingQuery { rank, query }))
    }

    fn start_or_wait(&mut self, now: Instant, query: QueryRef, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let collection = state.collection;
        self.timers.add(state.deadline, TimerKind::Deadline(query));
        self.start_waiting(now, collection, actions);
        self.run_pending_work(now, actions);
        let is_waiting = self
            .queries
            .get(query)
            .is_some_and(|state| state.stage == QueryStage::Waiting);
        if !is_waiting {
            return;
        }
        if let Some(refusal) = self.check_wait(now, query) {
            self.end_waiting(query, refusal, actions);
            return;
        }
        self.begin_wait(now, query, actions);
    }

    /// Returns the refusal of a query that should not wait, because its account's queue is full or
    /// it would miss its patience or deadline.
    fn check_wait(&self, now: Instant, query: QueryRef) -> Option<Refusal> {
        let state = self.queries.get(query)?;
        let account = self.accounts.get(state.account)?;
        if account.waiting > account.policy.queue_limit {
            return Some(Refusal::not_run(
                RefusalCode::QueueFull,
                QUEUE_STEP,
                "the client account's queue is full",
            ));
        }
        if !self.options.protections.ordered_admission {
            return None;
        }
        let (key, entry) = self.queue_entry(query)?;
        let collection = self.collections.get(state.collection)?;
        let wait = collection.queue.estimate_wait(now, key, entry)?;
        let service = self.typical_latency(state.collection).unwrap_or_default();
        let too_late = now + wait > state.patience || now + wait + service > state.deadline;
        too_late.then(|| {
            Refusal::not_run(
                RefusalCode::Hopeless,
                QUEUE_STEP,
                format!(
                    "the estimated queue wait of {} ms exceeds the patience or the deadline",
                    wait.as_millis()
                ),
            )
        })
    }

    fn begin_wait(&mut self, now: Instant, query: QueryRef, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let collection = self.collections.get(state.collection);
        let waiting = collection.map_or(0, |collection| collection.queue.waiting().iter().sum());
        let mut patience = state.patience;
        if self.plan_snapshot(state.collection).is_none() {
            patience = patience.min(now + MAX_SNAPSHOT_WAIT);
        }
        self.timers.add(patience, TimerKind::Patience(query));
        let query = query.query;
        actions.push(EngineAction::Decided(EngineDecision::Queued {
            query,
            waiting,
        }));
    }

    /// Refuses a query that still waits at the end of its patience.
    pub(super) fn end_patience(
        &mut self,
        now: Instant,
        query: QueryRef,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        if state.stage != QueryStage::Waiting {
            return;
        }
        if self.plan_snapshot(state.collection).is_none() {
            let refusal = Refusal::not_run(
                RefusalCode::NoSnapshot,
                QUEUE_STEP,
                "no index version of the collection's targets is known",
            );
            self.end_waiting(query, refusal, actions);
        } else if now >= state.patience {
            let refusal = Refusal::not_run(
                RefusalCode::DeadlineExceeded,
                QUEUE_STEP,
                "the patience of the client account ran out while the request waited",
            );
            self.end_waiting(query, refusal, actions);
        } else {
            self.timers.add(state.patience, TimerKind::Patience(query));
        }
    }

    /// Removes a waiting query from its queue and refuses it; nothing was sent for it.
    pub(super) fn end_waiting(
        &mut self,
        query: QueryRef,
        refusal: Refusal,
        actions: &mut Vec<EngineAction>,
    ) {
        self.remove_waiting(query);
        let query = query.query;
        actions.push(EngineAction::Refuse { query, refusal });
    }

    /// Removes a waiting query from its queue without notifying the caller.
    pub(super) fn remove_waiting(&mut self, query: QueryRef) {
        let Some((key, entry)) = self.queue_entry(query) else {
            return;
        };
        let Some(state) = self.queries.remove(query) else {
            return;
        };
        if let Some(collection) = self.collections.get_mut(state.collection) {
            collection.queue.remove(key, entry);
        }
        if let Some(account) = self.accounts.get_mut(state.account) {
            account.active_queries -= 1;
            account.waiting -= 1;
        }
    }

    /// Returns the snapshot for new queries of a collection, as last computed.
    fn plan_snapshot(&self, collection: Slot) -> Option<PlanSnapshot> {
        let plan = self.collections.get(collection)?.current?;
        self.plans.get(plan)?.snapshot
    }
}

/// Returns the class index of an urgency; class 0 is served first.
pub(super) fn class_rank(urgency: Urgency) -> u8 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Patient => 2,
    }
}

fn refuse(code: RefusalCode, message: &str) -> Refusal {
    Refusal::not_run(code, ADMIT_STEP, message)
}
