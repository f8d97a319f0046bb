//! The engine: every data-path decision of one daemon, as events in and actions out.
//!
//! The daemon feeds it what happened ([`EngineEvent`]) with the time at which it happened, and
//! carries out what it decides ([`EngineAction`]). It performs no I/O, so that long randomised
//! runs can prove it. See `docs/DESIGN.md`, "The engine".

use std::sync::Arc;
use std::time::Instant;

use crate::account::AccountTable;
use crate::action::{AttemptCause, AttemptPlan, EngineAction, EngineStatus};
use crate::coverage::{Coverage, MissingReason, MissingShard, Snapshot};
use crate::event::{AttemptReply, EngineEvent};
use crate::ids::{AttemptId, QueryId, ShardId, TargetId};
use crate::outcome::{Refusal, RefusalCode};
use crate::search::{RequestKind, SearchAnswer, SearchHit, SearchRequest};
use crate::shard_map::ShardMap;

/// Which set of decisions an engine makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// All decisions of the product.
    Full,
    /// Round robin, no hedging, fixed limits; the measure that `Full` is compared with.
    Baseline,
}

/// One query that runs.
#[derive(Debug)]
struct RunningQuery {
    request: SearchRequest,
    snapshot: Snapshot,
    deadline: Instant,
    pending: Vec<PendingAttempt>,
    coverage: Coverage,
    hits: Vec<SearchHit>,
}

/// One attempt whose reply is awaited.
#[derive(Clone, Copy, Debug)]
struct PendingAttempt {
    attempt: AttemptId,
    shard: ShardId,
    target: TargetId,
}

/// Every data-path decision of one daemon.
#[derive(Debug)]
pub struct SearchEngine {
    policy: PolicyKind,
    turn: u64,
    accounts: Arc<AccountTable>,
    maps: Vec<Arc<ShardMap>>,
    running: Vec<RunningQuery>,
    next_attempt: AttemptId,
}

impl SearchEngine {
    /// Makes an engine that knows no map and no account.
    pub fn new(policy: PolicyKind, seed: u64) -> Self {
        Self {
            policy,
            turn: seed,
            accounts: Arc::default(),
            maps: Vec::new(),
            running: Vec::new(),
            next_attempt: 1,
        }
    }

    /// The set of decisions that the engine makes.
    pub fn policy(&self) -> PolicyKind {
        self.policy
    }

    /// Takes an event and appends what follows from it to `actions`, in the order to carry out.
    pub fn handle(&mut self, now: Instant, event: EngineEvent, actions: &mut Vec<EngineAction>) {
        match event {
            EngineEvent::Submit(request) => self.submit(now, request, actions),
            EngineEvent::CallerGone { query } => {
                self.running.retain(|run| run.request.query != query);
            }
            EngineEvent::Reply(reply) => self.take_reply(reply, actions),
            EngineEvent::Failed { attempt, .. } => self.take_failure(attempt, actions),
            EngineEvent::Tick => self.expire(now, actions),
            EngineEvent::MapChanged(map) => self.put_map(map),
            EngineEvent::MapRemoved(name) => self.maps.retain(|map| map.collection != name),
            EngineEvent::AccountsChanged(accounts) => self.accounts = accounts,
            EngineEvent::SharesChanged(_)
            | EngineEvent::TargetNews(_)
            | EngineEvent::Quarantine { .. }
            | EngineEvent::Paused(_)
            | EngineEvent::Stopping => {}
        }
    }

    /// When the engine wants the next [`EngineEvent::Tick`], if at all.
    pub fn next_wake(&self) -> Option<Instant> {
        self.running.iter().map(|run| run.deadline).min()
    }

    /// What the engine holds now.
    pub fn status(&self) -> EngineStatus {
        EngineStatus {
            running: self.running.len() as u32,
            ..EngineStatus::default()
        }
    }

    fn put_map(&mut self, map: Arc<ShardMap>) {
        match self
            .maps
            .binary_search_by(|known| known.collection.cmp(&map.collection))
        {
            Ok(position) => self.maps[position] = map,
            Err(position) => self.maps.insert(position, map),
        }
    }

    fn submit(&mut self, now: Instant, request: SearchRequest, actions: &mut Vec<EngineAction>) {
        let query = request.query;
        match self.plan(now, request) {
            Ok((run, plans)) => {
                actions.extend(plans.into_iter().map(EngineAction::Send));
                self.running.push(run);
                self.finish(query, actions);
            }
            Err(refusal) => actions.push(EngineAction::Refuse { query, refusal }),
        }
    }

    fn plan(
        &mut self,
        now: Instant,
        request: SearchRequest,
    ) -> Result<(RunningQuery, Vec<AttemptPlan>), Refusal> {
        let policy = self.accounts.find(&request.account).ok_or_else(|| {
            Refusal::not_run(
                RefusalCode::UnknownAccount,
                "admit",
                "no such client account",
            )
        })?;
        let deadline = now
            + request
                .time_left
                .map_or(policy.deadline, |left| left.min(policy.deadline));
        let map = self.find_map(&request.collection).ok_or_else(|| {
            Refusal::not_run(
                RefusalCode::UnknownCollection,
                "admit",
                "no such collection",
            )
        })?;
        let snapshot = Snapshot {
            epoch: map.epoch,
            version: 1,
        };
        let text: Arc<str> = Arc::from(request.text.as_ref());
        let mut plans = Vec::new();
        for entry in &map.shards {
            if let RequestKind::Execute { shard } = request.kind
                && shard != entry.shard
            {
                continue;
            }
            self.turn = self.turn.wrapping_add(1);
            let position = (self.turn % entry.replicas.len() as u64) as usize;
            let target = entry.replicas[position];
            let Some(target_entry) = map.target(target) else {
                continue;
            };
            plans.push(AttemptPlan {
                attempt: self.next_attempt,
                query: request.query,
                request: request.request.clone(),
                target,
                address: target_entry.address,
                shard: entry.shard,
                kind: request.kind,
                snapshot,
                text: Arc::clone(&text),
                limit: request.limit,
                fingerprint: request.fingerprint,
                deadline,
                cause: AttemptCause::First,
            });
            self.next_attempt += 1;
        }
        let pending = plans.iter().map(pending_attempt).collect();
        let coverage = Coverage {
            asked: plans.len() as u32,
            ..Coverage::default()
        };
        Ok((
            RunningQuery {
                request,
                snapshot,
                deadline,
                pending,
                coverage,
                hits: Vec::new(),
            },
            plans,
        ))
    }

    fn find_map(&self, collection: &str) -> Option<Arc<ShardMap>> {
        let position = self
            .maps
            .binary_search_by(|map| map.collection.as_ref().cmp(collection))
            .ok()?;
        self.maps.get(position).map(Arc::clone)
    }

    fn take_reply(&mut self, reply: AttemptReply, actions: &mut Vec<EngineAction>) {
        let Some((run, pending)) = self.take_pending(reply.attempt) else {
            return;
        };
        let matches = reply.query == run.request.query
            && reply.shard == pending.shard
            && reply.version == run.snapshot.version
            && reply.complete;
        if matches {
            run.coverage.answered.push(pending.shard);
            run.hits.extend(reply.hits);
        } else {
            miss(run, pending.shard, MissingReason::WrongVersion);
        }
        let query = run.request.query;
        self.finish(query, actions);
    }

    fn take_failure(&mut self, attempt: AttemptId, actions: &mut Vec<EngineAction>) {
        let Some((run, pending)) = self.take_pending(attempt) else {
            return;
        };
        miss(run, pending.shard, MissingReason::Failed);
        let query = run.request.query;
        self.finish(query, actions);
    }

    fn take_pending(&mut self, attempt: AttemptId) -> Option<(&mut RunningQuery, PendingAttempt)> {
        for run in &mut self.running {
            if let Some(position) = run
                .pending
                .iter()
                .position(|entry| entry.attempt == attempt)
            {
                let pending = run.pending.swap_remove(position);
                return Some((run, pending));
            }
        }
        None
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<EngineAction>) {
        let due: Vec<QueryId> = self
            .running
            .iter()
            .filter(|run| run.deadline <= now)
            .map(|run| run.request.query)
            .collect();
        for query in due {
            self.give_up_pending(query, actions);
            self.finish(query, actions);
        }
    }

    fn give_up_pending(&mut self, query: QueryId, actions: &mut Vec<EngineAction>) {
        let Some(run) = self
            .running
            .iter_mut()
            .find(|run| run.request.query == query)
        else {
            return;
        };
        for pending in std::mem::take(&mut run.pending) {
            miss(run, pending.shard, MissingReason::Deadline);
            actions.push(EngineAction::Cancel {
                attempt: pending.attempt,
                target: pending.target,
            });
        }
    }

    fn finish(&mut self, query: QueryId, actions: &mut Vec<EngineAction>) {
        let Some(position) = self
            .running
            .iter()
            .position(|run| run.request.query == query)
        else {
            return;
        };
        if !self.running[position].pending.is_empty() {
            return;
        }
        let run = self.running.swap_remove(position);
        actions.push(EngineAction::Answer {
            query,
            answer: run.into_answer(),
        });
    }
}

impl RunningQuery {
    fn into_answer(mut self) -> SearchAnswer {
        self.coverage.answered.sort_unstable();
        self.coverage.missing.sort_unstable();
        self.hits
            .sort_by(|left, right| right.score.total_cmp(&left.score));
        self.hits.truncate(self.request.limit as usize);
        SearchAnswer {
            request: self.request.request,
            snapshot: self.snapshot,
            coverage: self.coverage,
            hits: self.hits,
            complete: true,
        }
    }
}

fn miss(run: &mut RunningQuery, shard: ShardId, reason: MissingReason) {
    run.coverage.missing.push(MissingShard { shard, reason });
}

fn pending_attempt(plan: &AttemptPlan) -> PendingAttempt {
    PendingAttempt {
        attempt: plan.attempt,
        shard: plan.shard,
        target: plan.target,
    }
}
