//! The end of a query: each query ends with exactly one answer or refusal.
//!
//! See `docs/DESIGN.md`, "Coverage" and "Outcomes".

use crate::action::{EngineAction, EngineDecision};
use crate::coverage::MissingReason;
use crate::engine::SearchEngine;
use crate::engine::query::{QueryStage, QueryState, ShardProgress, ShardStage};
use crate::engine::timers::QueryRef;
use crate::engine::verifier;
use crate::ids::QueryId;
use crate::outcome::{Refusal, RefusalCode};
use crate::search::RequestKind;

/// Step named in refusals of a running query.
const SEND_STEP: &str = "send";

impl SearchEngine {
    /// Ends a query without open shards. A query that was restarted meanwhile has open shards again
    /// and is left running.
    pub(super) fn finish_query(&mut self, query: QueryRef, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let QueryStage::Running { plan } = state.stage else {
            return;
        };
        if state.open_shards > 0 {
            return;
        }
        let Some(state) = self.queries.remove(query) else {
            return;
        };
        self.release_plan(plan);
        self.release_account(state.account);
        log_missing(&state, actions);
        actions.push(final_action(state));
    }

    /// Drops a search whose caller has disconnected. A non-idempotent request continues, because
    /// the caller may still ask for its outcome.
    pub(super) fn handle_disconnect(&mut self, query: QueryId, actions: &mut Vec<EngineAction>) {
        let Some(query) = self.queries.find(query) else {
            return;
        };
        let Some(state) = self.queries.get(query) else {
            return;
        };
        if state.kind != RequestKind::Search {
            return;
        }
        match state.stage {
            QueryStage::Waiting => self.remove_waiting(query),
            QueryStage::Running { .. } => {
                self.drop_progress(query, actions);
                if let Some(state) = self.queries.remove(query) {
                    self.release_account(state.account);
                }
            }
        }
    }

    /// Ends a query at its deadline with the replies received so far.
    pub(super) fn end_deadline(&mut self, query: QueryRef, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        if state.stage == QueryStage::Waiting {
            let refusal = Refusal::not_run(
                RefusalCode::DeadlineExceeded,
                "queue",
                "the deadline passed while the request waited",
            );
            self.end_waiting(query, refusal, actions);
            return;
        }
        for shard_index in 0..state.shards.len() as u32 {
            self.close_shard(query, shard_index, MissingReason::Deadline, actions);
        }
    }

    /// Marks an open shard as missing, after unparking and cancelling its requests.
    pub(super) fn close_shard(
        &mut self,
        query: QueryRef,
        shard_index: u32,
        reason: MissingReason,
        actions: &mut Vec<EngineAction>,
    ) {
        let is_open = self
            .queries
            .get(query)
            .and_then(|state| state.shards.get(shard_index as usize))
            .is_some_and(ShardProgress::is_open);
        if !is_open {
            return;
        }
        self.unpark(query, shard_index);
        self.cancel_shard(query, shard_index, actions);
        self.mark_shard_missing(query, shard_index, reason);
    }

    fn release_account(&mut self, account: crate::engine::slots::Slot) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.active_queries -= 1;
        }
    }
}

fn log_missing(state: &QueryState, actions: &mut Vec<EngineAction>) {
    for progress in &state.shards {
        if let ShardStage::Missing(reason) = progress.stage {
            actions.push(EngineAction::Decided(EngineDecision::Missed {
                query: state.query,
                shard: progress.shard,
                reason,
            }));
        }
    }
}

/// Returns the answer or the refusal that ends a query.
fn final_action(state: QueryState) -> EngineAction {
    let query = state.query;
    let answered = state.answered();
    let search = state.kind == RequestKind::Search;
    if answered == 0 && !state.may_have_run {
        let refusal = not_run_refusal(&state);
        return EngineAction::Refuse { query, refusal };
    }
    if answered == 0 && !search {
        let refusal = unknown_refusal(&state);
        return EngineAction::Refuse { query, refusal };
    }
    let pinned = state.snapshot;
    let asked = state.shards.len() as u32;
    let answer = state.into_answer();
    verifier::check_answer(&answer, pinned, asked);
    EngineAction::Answer { query, answer }
}

/// Returns the reason of the first missing shard, if any.
fn first_reason(state: &QueryState) -> Option<MissingReason> {
    state
        .shards
        .iter()
        .find_map(|progress| match progress.stage {
            ShardStage::Missing(reason) => Some(reason),
            _ => None,
        })
}

fn not_run_refusal(state: &QueryState) -> Refusal {
    let (code, message) = match first_reason(state) {
        Some(MissingReason::Deadline) => (
            RefusalCode::DeadlineExceeded,
            "the deadline passed before anything ran",
        ),
        Some(MissingReason::Shed) => (RefusalCode::TargetRefused, "all targets are shedding load"),
        Some(MissingReason::NoTarget) | None => (
            RefusalCode::NoSnapshot,
            "no reachable target holds a requested shard",
        ),
        Some(MissingReason::WrongVersion) => (
            RefusalCode::NoSnapshot,
            "no target holds the index version of the query's snapshot",
        ),
        Some(MissingReason::Quarantined) => (
            RefusalCode::Quarantined,
            "the request is quarantined because it crashed targets",
        ),
        Some(MissingReason::Failed) => (
            RefusalCode::TargetRefused,
            "no target accepted the request; it did not run",
        ),
    };
    with_failed_target(Refusal::not_run(code, SEND_STEP, message), state)
}

fn unknown_refusal(state: &QueryState) -> Refusal {
    let (code, message) = match first_reason(state) {
        Some(MissingReason::Deadline) => (
            RefusalCode::DeadlineExceeded,
            "the deadline passed; a target may have run the request",
        ),
        _ => (
            RefusalCode::TargetLost,
            "the target was lost and may have run the request",
        ),
    };
    with_failed_target(Refusal::unknown(code, SEND_STEP, message), state)
}

fn with_failed_target(refusal: Refusal, state: &QueryState) -> Refusal {
    let last = state
        .shards
        .iter()
        .find_map(|progress| progress.failed.last());
    match last {
        Some(entry) => refusal.at_peer(format!("target {}", entry.target)),
        None => refusal,
    }
}
