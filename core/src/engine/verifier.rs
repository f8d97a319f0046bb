//! Assertions of the engine's invariants, enabled in every build.
//!
//! Inexpensive checks run at each send and each answer; the whole state is audited once every
//! configured number of events. Each assertion names the violated invariant. See
//! `docs/PROOFS.md`.

use std::time::Instant;

use crate::coverage::{Coverage, Snapshot};
use crate::engine::SearchEngine;
use crate::engine::plan::{CLASSES, ShardPlan};
use crate::engine::query::{QueryStage, QueryState, ShardStage};
use crate::engine::target::TargetState;
use crate::ids::IndexVersion;
use crate::search::{RequestKind, SearchAnswer};

/// Checks the invariants of a send before it is issued.
pub(crate) fn check_send(
    now: Instant,
    state: &QueryState,
    target: &TargetState,
    plan: &ShardPlan,
    version: IndexVersion,
) {
    assert!(
        now < state.deadline,
        "invariant: nothing is sent at or after its deadline (query {})",
        state.query
    );
    assert!(
        target.is_usable(),
        "invariant: a target that is leaving, lost or unlisted gets no new work (target {})",
        target.entry.target
    );
    assert!(
        target.in_flight() < target.limit.share(),
        "invariant: attempts in flight stay within the connection share (target {})",
        target.entry.target
    );
    assert_eq!(
        (plan.map.epoch, version),
        (state.snapshot.epoch, state.snapshot.version),
        "invariant: all sends of a query use the snapshot that it is pinned to (query {})",
        state.query
    );
    let unsafe_repeat = state.kind != RequestKind::Search && state.may_have_run;
    assert!(
        !unsafe_repeat,
        "invariant: a non-idempotent request that may have run is not sent again (query {})",
        state.query
    );
}

/// Checks the invariants of an answer before it is returned.
pub(crate) fn check_answer(answer: &SearchAnswer, pinned: Snapshot, asked: u32) {
    check_coverage(&answer.coverage);
    assert_eq!(
        answer.coverage.asked, asked,
        "invariant: an answer's coverage counts every requested shard"
    );
    assert_eq!(
        answer.snapshot, pinned,
        "invariant: an answer has the snapshot that its query is pinned to"
    );
    assert!(
        answer.complete,
        "invariant: every answer is marked complete"
    );
    let covered = answer
        .hits
        .iter()
        .all(|hit| answer.coverage.answered.binary_search(&hit.shard).is_ok());
    assert!(
        covered,
        "invariant: every hit is from a shard that the coverage lists as answered"
    );
}

fn check_coverage(coverage: &Coverage) {
    let counted = coverage.answered.len() + coverage.missing.len();
    assert_eq!(
        coverage.asked as usize, counted,
        "invariant: each requested shard is either answered or missing"
    );
    let answered_once = coverage.answered.windows(2).all(|pair| pair[0] < pair[1]);
    let missing_once = coverage
        .missing
        .windows(2)
        .all(|pair| pair[0].shard < pair[1].shard);
    assert!(
        answered_once && missing_once,
        "invariant: both lists of a coverage are sorted and list each shard once"
    );
    let disjoint = coverage
        .missing
        .iter()
        .all(|entry| coverage.answered.binary_search(&entry.shard).is_err());
    assert!(
        disjoint,
        "invariant: no shard is both answered and missing in a coverage"
    );
}

/// Checks the engine's whole state, in particular each counter against the items that it counts.
pub(crate) fn audit(engine: &SearchEngine) {
    audit_in_flight(engine);
    audit_plans(engine);
    audit_queues(engine);
    for (_, state) in engine.queries.iter() {
        audit_query(engine, state);
    }
}

fn audit_in_flight(engine: &SearchEngine) {
    let mut in_flight_attempts = 0;
    for state in engine.targets.sorted() {
        in_flight_attempts += state.in_flight_attempts.len();
        for in_flight in &state.in_flight_attempts {
            let known = engine.attempts.get(in_flight.attempt);
            assert!(
                known.is_some_and(|entry| entry.target.target == state.entry.target),
                "invariant: each in-flight entry of a target is a live attempt to it (attempt {})",
                in_flight.attempt
            );
        }
    }
    assert_eq!(
        in_flight_attempts,
        engine.attempts.iter().count(),
        "invariant: every live attempt is counted at its target"
    );
}

fn audit_plans(engine: &SearchEngine) {
    for (slot, plan) in engine.plans.iter() {
        let running_queries = engine
            .queries
            .iter()
            .filter(|(_, state)| state.stage == QueryStage::Running { plan: slot })
            .count();
        assert_eq!(
            plan.running_queries as usize, running_queries,
            "invariant: a plan counts the running queries that use it"
        );
        let parked: usize = (0..plan.shard_count())
            .map(|position| plan.parked(position).len())
            .sum();
        assert_eq!(
            plan.parked_total() as usize,
            parked,
            "invariant: a plan counts its parked shard requests"
        );
        for class in 0..CLASSES {
            let any =
                (0..plan.shard_count()).any(|position| plan.is_shard_saturated(position, class));
            assert_eq!(
                plan.is_saturated(class),
                any,
                "invariant: a plan is saturated if and only if one of its shards is"
            );
        }
    }
}

fn audit_queues(engine: &SearchEngine) {
    let mut queued = 0;
    for (_, collection) in engine.collections.iter() {
        for query in collection.queue.queries() {
            queued += 1;
            let is_waiting = engine
                .queries
                .get(query)
                .is_some_and(|state| state.stage == QueryStage::Waiting);
            assert!(
                is_waiting,
                "invariant: each query in a queue is waiting (query {})",
                query.query
            );
        }
    }
    let waiting = engine
        .queries
        .iter()
        .filter(|(_, state)| state.stage == QueryStage::Waiting)
        .count();
    assert_eq!(
        queued, waiting,
        "invariant: every query that waits is in its collection's queue"
    );
}

fn audit_query(engine: &SearchEngine, state: &QueryState) {
    let QueryStage::Running { plan } = state.stage else {
        return;
    };
    let query = state.query;
    let open_shards = state.shards.iter().filter(|shard| shard.is_open()).count();
    assert_eq!(
        state.open_shards as usize, open_shards,
        "invariant: a query counts its open shards (query {query})"
    );
    assert!(
        open_shards > 0,
        "invariant: a query without open shards has been answered (query {query})"
    );
    for progress in &state.shards {
        match progress.stage {
            ShardStage::Parked(entry, _) => {
                let parked = engine
                    .plans
                    .get(plan)
                    .is_some_and(|plan| plan.parked(progress.position).contains(&entry));
                assert!(
                    parked,
                    "invariant: a parked shard request is in its plan's list (query {query})"
                );
            }
            ShardStage::Requested => assert!(
                progress.is_in_flight(),
                "invariant: a requested shard has an attempt in flight (query {query})"
            ),
            ShardStage::Answered | ShardStage::Missing(_) => assert!(
                !progress.is_in_flight(),
                "invariant: an answered or missing shard has no attempt in flight (query {query})"
            ),
        }
    }
}
