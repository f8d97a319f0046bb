//! State of a query from submission to answer: [`QueryState`] and its [`LiveAttempt`]s.

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

/// Number of hits kept beyond twice the requested ones before the worst are discarded.
const EXTRA_HITS: usize = 512;

/// Processing stage of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryStage {
    /// The query waits in the admission queue; no shard request was sent.
    Waiting,
    /// Shard requests are sent according to a plan.
    Running {
        /// Slot of the plan.
        plan: Slot,
    },
}

/// Processing stage of one shard of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardStage {
    /// The request waits for a free connection; the cause applies to the attempt that follows.
    Parked(ParkedShard, AttemptCause),
    /// One or two attempts are in flight.
    Requested,
    /// A reply was accepted.
    Answered,
    /// The shard will be missing from the answer.
    Missing(MissingReason),
}

/// State of one shard of a query.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    /// Position of the shard in the plan.
    pub(crate) position: u32,
    pub(crate) shard: ShardId,
    pub(crate) stage: ShardStage,
    /// Attempts in flight: the first attempt or a retry, and a hedge.
    pub(crate) in_flight: [Option<AttemptId>; 2],
    /// Number of attempts sent so far.
    pub(crate) attempts_sent: u8,
    /// Whether a target may have run the shard request.
    pub(crate) may_have_run: bool,
    /// Failed attempts, oldest first.
    pub(crate) failed: Vec<FailedAttempt>,
}

/// A failed attempt of a shard request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) target: TargetId,
    /// Reason given for the missing shard if no other attempt succeeds.
    pub(crate) reason: MissingReason,
    /// Whether the same target may be tried again on another connection.
    pub(crate) may_retry_target: bool,
}

impl ShardProgress {
    /// Creates the state of a shard for which nothing was sent.
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

    /// Returns whether the shard is neither answered nor missing.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.stage, ShardStage::Parked(..) | ShardStage::Requested)
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.in_flight.iter().any(Option::is_some)
    }

    pub(crate) fn add_attempt(&mut self, attempt: AttemptId) {
        let free = self
            .in_flight
            .iter_mut()
            .find(|entry| entry.is_none())
            .expect("invariant: a shard has at most two attempts in flight");
        *free = Some(attempt);
        self.attempts_sent = self.attempts_sent.saturating_add(1);
    }

    pub(crate) fn remove_attempt(&mut self, attempt: AttemptId) {
        for entry in &mut self.in_flight {
            if *entry == Some(attempt) {
                *entry = None;
            }
        }
    }
}

/// State of one query.
#[derive(Debug)]
pub(crate) struct QueryState {
    pub(crate) query: QueryId,
    /// Id of the request as chosen by the caller.
    pub(crate) request: RequestId,
    /// Account that the query is charged to.
    pub(crate) account: Slot,
    pub(crate) collection: Slot,
    /// Urgency class of the account.
    pub(crate) urgency: Urgency,
    /// Whether shard requests may be retried or hedged.
    pub(crate) repeat: RepeatPolicy,
    /// Whether the query is a search or a non-idempotent request.
    pub(crate) kind: RequestKind,
    /// Text of the request, as sent to the targets.
    pub(crate) text: Arc<str>,
    /// Maximum number of hits in the answer.
    pub(crate) limit: u32,
    /// Hash of the request, used for quarantine.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) quarantined: bool,
    pub(crate) submitted: Instant,
    /// Time by which the query must have started.
    pub(crate) patience: Instant,
    /// Time by which the query must be answered.
    pub(crate) deadline: Instant,
    pub(crate) stage: QueryStage,
    /// Snapshot that the query is pinned to; meaningless while the query waits.
    pub(crate) snapshot: Snapshot,
    /// Shards that the query requests; empty while the query waits.
    pub(crate) shards: Vec<ShardProgress>,
    /// Number of shards that are neither answered nor missing.
    pub(crate) open_shards: u32,
    /// Hits received so far.
    pub(crate) hits: Vec<SearchHit>,
    /// Number of times that the query was restarted.
    pub(crate) restarts: u8,
    /// Whether a target may have run any part of the query.
    pub(crate) may_have_run: bool,
    /// Time of the next check whether to hedge outstanding shard requests.
    pub(crate) next_hedge_check: Option<Instant>,
}

impl QueryState {
    /// Adds hits and discards those that cannot be among the best.
    pub(crate) fn add_hits(&mut self, hits: Vec<SearchHit>) {
        self.hits.extend(hits);
        let limit = self.limit as usize;
        if self.hits.len() > limit * 2 + EXTRA_HITS {
            self.hits.select_nth_unstable_by(limit, by_descending_score);
            self.hits.truncate(limit);
        }
    }

    /// Returns the number of answered shards.
    pub(crate) fn answered(&self) -> u32 {
        let answered = self
            .shards
            .iter()
            .filter(|shard| shard.stage == ShardStage::Answered);
        answered.count() as u32
    }

    /// Returns the coverage; complete once no shard is open.
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

    /// Converts the query to its answer, once no shard is open.
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

    /// Returns whether the request may be sent again after a target may have run it.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.kind == RequestKind::Search && self.repeat != RepeatPolicy::Never
    }
}

/// Orders hits by descending score; equal scores by shard and key, so that the order is stable.
fn by_descending_score(left: &SearchHit, right: &SearchHit) -> std::cmp::Ordering {
    right
        .score
        .total_cmp(&left.score)
        .then_with(|| left.shard.cmp(&right.shard))
        .then_with(|| left.key.cmp(&right.key))
}

/// An attempt that has not ended; cancelled attempts are included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LiveAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) query: QueryRef,
    /// Index of the shard in the query's list of shards.
    pub(crate) shard_index: u32,
    pub(crate) shard: ShardId,
    pub(crate) target: TargetRef,
    pub(crate) sent_at: Instant,
    /// Whether the attempt was cancelled, so that its reply will be ignored.
    pub(crate) cancelled: bool,
}

/// Number of low bits of an attempt id that hold the slot of the attempt.
const SLOT_BITS: u32 = 20;
const SLOT_MASK: u64 = (1 << SLOT_BITS) - 1;

/// All attempts that have not ended.
///
/// An attempt id holds a sequence number in its upper bits and a slot in its lower bits, so that
/// ids increase and an attempt is found by one array access.
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
    /// Adds an attempt under a new id and returns the id.
    pub(crate) fn insert(&mut self, mut attempt: LiveAttempt) -> AttemptId {
        let slot = u64::from(self.entries.next_slot());
        assert!(
            slot <= SLOT_MASK,
            "invariant: the slot of an attempt fits into the low bits of its id"
        );
        let id = (self.sequence << SLOT_BITS) | slot;
        self.sequence += 1;
        attempt.attempt = id;
        self.entries.insert(attempt);
        id
    }

    /// Returns the attempt with an id, if it has not ended.
    pub(crate) fn get(&self, attempt: AttemptId) -> Option<&LiveAttempt> {
        self.entries
            .get((attempt & SLOT_MASK) as Slot)
            .filter(|entry| entry.attempt == attempt)
    }

    /// Returns the attempt with an id, if it has not ended.
    pub(crate) fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut LiveAttempt> {
        self.entries
            .get_mut((attempt & SLOT_MASK) as Slot)
            .filter(|entry| entry.attempt == attempt)
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<LiveAttempt> {
        self.get(attempt)?;
        self.entries.remove((attempt & SLOT_MASK) as Slot)
    }

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
    pub(crate) fn insert(&mut self, state: QueryState) -> QueryRef {
        let query = state.query;
        let slot = self.states.insert(state);
        self.index.insert(query, slot);
        QueryRef { slot, query }
    }

    /// Returns the reference of the query with an id.
    pub(crate) fn find(&self, query: QueryId) -> Option<QueryRef> {
        let slot = self.index.find(&query)?;
        Some(QueryRef { slot, query })
    }

    /// Returns the query of a reference, unless its slot was reused.
    pub(crate) fn get(&self, reference: QueryRef) -> Option<&QueryState> {
        self.states
            .get(reference.slot)
            .filter(|state| state.query == reference.query)
    }

    /// Returns the query of a reference, unless its slot was reused.
    pub(crate) fn get_mut(&mut self, reference: QueryRef) -> Option<&mut QueryState> {
        self.states
            .get_mut(reference.slot)
            .filter(|state| state.query == reference.query)
    }

    /// Removes and returns the query of a reference, unless its slot was reused.
    pub(crate) fn remove(&mut self, reference: QueryRef) -> Option<QueryState> {
        self.get(reference)?;
        self.index.remove(&reference.query);
        self.states.remove(reference.slot)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (QueryRef, &QueryState)> {
        self.states.iter().map(|(slot, state)| {
            let query = state.query;
            (QueryRef { slot, query }, state)
        })
    }
}
