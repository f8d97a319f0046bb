//! One query from its submission to its answer: [`QueryState`], and its [`LiveAttempt`]s.

use std::sync::Arc;
use std::time::Instant;

use crate::account::{RepeatPolicy, Urgency};
use crate::action::AttemptCause;
use crate::coverage::{Coverage, MissingReason, MissingShard, Snapshot};
use crate::engine::plan::ParkedShard;
use crate::engine::slots::{Slot, SlotTable};
use crate::engine::timers::{QueryRef, TargetRef};
use crate::ids::{AttemptId, Fingerprint, QueryId, RequestId, ShardId, TargetId};
use crate::search::{RequestKind, SearchAnswer, SearchHit};

/// Hits kept beyond those that the answer wants, before the worst are dropped.
const EXTRA_HITS: usize = 512;

/// Where a query is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryStage {
    /// It waits as a whole; nothing has been sent.
    Waiting,
    /// It goes by a plan.
    Running {
        /// The plan.
        plan: Slot,
    },
}

/// What has become of one of a query's shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardStage {
    /// It waits for a free connection, as the cause tells first or again.
    Parked(ParkedShard, AttemptCause),
    /// One or two attempts are in flight.
    Requested,
    /// It answered.
    Answered,
    /// It is given up.
    Missing(MissingReason),
}

/// One of a query's shards.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    /// Its position in the plan.
    pub(crate) position: u32,
    /// The shard.
    pub(crate) shard: ShardId,
    /// What has become of it.
    pub(crate) stage: ShardStage,
    /// The attempts in flight: the first or a retry, and a hedge.
    pub(crate) in_flight: [Option<AttemptId>; 2],
    /// How many attempts were sent.
    pub(crate) attempts_sent: u8,
    /// Whether a target may have run it, or did.
    pub(crate) may_have_run: bool,
    /// The targets that failed, in order.
    pub(crate) failed: Vec<FailedAttempt>,
}

/// A try that failed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedAttempt {
    /// The target.
    pub(crate) target: TargetId,
    /// What the failure would make of the shard if nothing else answers.
    pub(crate) reason: MissingReason,
    /// Whether the same target may be asked again on another connection.
    pub(crate) may_retry_target: bool,
}

impl ShardProgress {
    /// A shard that nothing has been done for.
    pub(crate) fn new(position: u32, shard: ShardId) -> Self {
        Self {
            position,
            shard,
            stage: ShardStage::Requested,
            in_flight: [None; 2],
            attempts_sent: 0,
            may_have_run: false,
            failed: Vec::new(),
        }
    }

    /// Whether it has neither answered nor been given up.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.stage, ShardStage::Parked(..) | ShardStage::Requested)
    }

    /// Whether an attempt of it is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.in_flight.iter().any(Option::is_some)
    }

    /// Adds an attempt in flight.
    pub(crate) fn add_attempt(&mut self, attempt: AttemptId) {
        let free = self
            .in_flight
            .iter_mut()
            .find(|entry| entry.is_none())
            .expect("invariant: a shard has at most two attempts in flight");
        *free = Some(attempt);
        self.attempts_sent = self.attempts_sent.saturating_add(1);
    }

    /// Removes an attempt in flight.
    pub(crate) fn remove_attempt(&mut self, attempt: AttemptId) {
        for entry in &mut self.in_flight {
            if *entry == Some(attempt) {
                *entry = None;
            }
        }
    }
}

/// One query.
#[derive(Debug)]
pub(crate) struct QueryState {
    /// Its id.
    pub(crate) query: QueryId,
    /// The caller's id of the request.
    pub(crate) request: RequestId,
    /// The account that it is charged to.
    pub(crate) account: Slot,
    /// The collection that it asks.
    pub(crate) collection: Slot,
    /// The class that it is served in.
    pub(crate) urgency: Urgency,
    /// How far its shard requests may be repeated.
    pub(crate) repeat: RepeatPolicy,
    /// Whether it is a search or a non-idempotent request.
    pub(crate) kind: RequestKind,
    /// What is asked.
    pub(crate) text: Arc<str>,
    /// The greatest number of hits wanted.
    pub(crate) limit: u32,
    /// A hash of what is asked.
    pub(crate) fingerprint: Fingerprint,
    /// Whether the fingerprint is quarantined.
    pub(crate) quarantined: bool,
    /// When it was submitted.
    pub(crate) submitted: Instant,
    /// When it must have begun.
    pub(crate) patience: Instant,
    /// When the answer is no longer of use.
    pub(crate) deadline: Instant,
    /// Where it is on its way.
    pub(crate) stage: QueryStage,
    /// The snapshot that it is pinned to, once it runs.
    pub(crate) snapshot: Snapshot,
    /// Its shards.
    pub(crate) shards: Vec<ShardProgress>,
    /// How many shards are open.
    pub(crate) open_shards: u32,
    /// The hits so far.
    pub(crate) hits: Vec<SearchHit>,
    /// How often it was restarted.
    pub(crate) restarts: u8,
    /// Whether a target may have run it, or did.
    pub(crate) may_have_run: bool,
    /// When its outstanding shard requests are next looked at.
    pub(crate) next_hedge_check: Option<Instant>,
}

impl QueryState {
    /// Adds hits, and drops those that cannot be among the best.
    pub(crate) fn add_hits(&mut self, hits: Vec<SearchHit>) {
        self.hits.extend(hits);
        let wanted = self.limit as usize;
        if self.hits.len() > wanted * 2 + EXTRA_HITS {
            self.hits
                .select_nth_unstable_by(wanted, by_descending_score);
            self.hits.truncate(wanted);
        }
    }

    /// How many shards answered.
    pub(crate) fn answered(&self) -> u32 {
        let answered = self
            .shards
            .iter()
            .filter(|shard| shard.stage == ShardStage::Answered);
        answered.count() as u32
    }

    /// Its coverage, once no shard is open.
    pub(crate) fn coverage(&self) -> Coverage {
        let mut coverage = Coverage {
            asked: self.shards.len() as u32,
            ..Coverage::default()
        };
        for entry in &self.shards {
            let shard = entry.shard;
            match entry.stage {
                ShardStage::Answered => coverage.answered.push(shard),
                ShardStage::Missing(reason) => {
                    coverage.missing.push(MissingShard { shard, reason });
                }
                ShardStage::Parked(..) | ShardStage::Requested => {}
            }
        }
        coverage
    }

    /// Its answer, once no shard is open.
    pub(crate) fn into_answer(mut self) -> SearchAnswer {
        let coverage = self.coverage();
        self.hits.sort_unstable_by(by_descending_score);
        self.hits.truncate(self.limit as usize);
        SearchAnswer {
            request: self.request,
            snapshot: self.snapshot,
            coverage,
            hits: self.hits,
            complete: true,
        }
    }

    /// Whether the request may be sent again after a target might have run it.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.kind == RequestKind::Search && self.repeat != RepeatPolicy::Never
    }
}

/// Best hits first; equal scores in the order of shard and key, so that the order is stable.
fn by_descending_score(left: &SearchHit, right: &SearchHit) -> std::cmp::Ordering {
    right
        .score
        .total_cmp(&left.score)
        .then_with(|| left.shard.cmp(&right.shard))
        .then_with(|| left.key.cmp(&right.key))
}

/// One attempt that has not ended, cancelled ones included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LiveAttempt {
    /// Its id.
    pub(crate) attempt: AttemptId,
    /// Its query.
    pub(crate) query: QueryRef,
    /// The shard's place among the query's.
    pub(crate) shard_index: u32,
    /// The shard.
    pub(crate) shard: ShardId,
    /// Its target.
    pub(crate) target: TargetRef,
    /// When it was sent.
    pub(crate) sent_at: Instant,
    /// Whether its reply is no longer wanted.
    pub(crate) cancelled: bool,
}

/// Bits of an attempt's id that tell its position.
const SLOT_BITS: u32 = 20;
const SLOT_MASK: u64 = (1 << SLOT_BITS) - 1;

/// All attempts that have not ended.
///
/// An id is a count in its upper bits and a position in its lower ones: it still counts up, and
/// its attempt is found by one array access.
#[derive(Debug)]
pub(crate) struct AttemptTable {
    entries: SlotTable<LiveAttempt>,
    sequence: u64,
}

impl Default for AttemptTable {
    fn default() -> Self {
        Self {
            entries: SlotTable::default(),
            sequence: 1,
        }
    }
}

impl AttemptTable {
    /// Adds an attempt under a fresh id, which it returns.
    pub(crate) fn insert(&mut self, mut attempt: LiveAttempt) -> AttemptId {
        let slot = u64::from(self.entries.next_slot());
        assert!(
            slot <= SLOT_MASK,
            "invariant: fewer attempts are in flight than an attempt's id can tell apart"
        );
        let id = (self.sequence << SLOT_BITS) | slot;
        self.sequence += 1;
        attempt.attempt = id;
        self.entries.insert(attempt);
        id
    }

    /// An attempt that has not ended.
    pub(crate) fn get(&self, attempt: AttemptId) -> Option<&LiveAttempt> {
        self.entries
            .get((attempt & SLOT_MASK) as Slot)
            .filter(|entry| entry.attempt == attempt)
    }

    /// An attempt that has not ended.
    pub(crate) fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut LiveAttempt> {
        self.entries
            .get_mut((attempt & SLOT_MASK) as Slot)
            .filter(|entry| entry.attempt == attempt)
    }

    /// Ends an attempt.
    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<LiveAttempt> {
        self.get(attempt)?;
        self.entries.remove((attempt & SLOT_MASK) as Slot)
    }

    /// All attempts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &LiveAttempt> {
        self.entries.iter().map(|(_, entry)| entry)
    }
}

/// All queries that wait or run.
#[derive(Debug, Default)]
pub(crate) struct QueryTable {
    states: SlotTable<QueryState>,
    index: crate::engine::slots::KeyIndex<QueryId>,
}

impl QueryTable {
    /// Adds a query.
    pub(crate) fn insert(&mut self, state: QueryState) -> QueryRef {
        let query = state.query;
        let slot = self.states.insert(state);
        self.index.insert(query, slot);
        QueryRef { slot, query }
    }

    /// Where a query is kept.
    pub(crate) fn find(&self, query: QueryId) -> Option<QueryRef> {
        let slot = self.index.find(&query)?;
        Some(QueryRef { slot, query })
    }

    /// The query at a position, if it is still that query.
    pub(crate) fn get(&self, reference: QueryRef) -> Option<&QueryState> {
        self.states
            .get(reference.slot)
            .filter(|state| state.query == reference.query)
    }

    /// The query at a position, if it is still that query.
    pub(crate) fn get_mut(&mut self, reference: QueryRef) -> Option<&mut QueryState> {
        self.states
            .get_mut(reference.slot)
            .filter(|state| state.query == reference.query)
    }

    /// Takes a query out.
    pub(crate) fn remove(&mut self, reference: QueryRef) -> Option<QueryState> {
        self.get(reference)?;
        self.index.remove(&reference.query);
        self.states.remove(reference.slot)
    }

    /// All queries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (QueryRef, &QueryState)> {
        self.states.iter().map(|(slot, state)| {
            let query = state.query;
            (QueryRef { slot, query }, state)
        })
    }
}
