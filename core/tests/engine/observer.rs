//! An external observer that checks the engine's actions.
//!
//! The observer has no access to the engine's state. It compares the callers' requests with
//! what was sent to targets and with their replies.

use std::time::Instant;

use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::ids::{AttemptId, Fingerprint, QueryId, TargetId};
use yuccalift_core::{
    EngineAction, EngineDecision, Outcome, Refusal, RepeatPolicy, RequestKind, SearchAnswer,
    SearchHit, SearchRequest, Snapshot,
};

/// A query as seen by its caller.
#[derive(Debug)]
pub struct ObservedQuery {
    pub request: SearchRequest,
    pub repeat: RepeatPolicy,
    pub snapshot: Option<Snapshot>,
    /// Number of attempts that ran, may have run, or are still in flight.
    pub may_have_run: u32,
    pub closed: bool,
    pub caller_gone: bool,
}

/// Actual state of a target, recorded independently of the engine.
#[derive(Clone, Debug, Default)]
pub struct ObservedTarget {
    pub target: TargetId,
    pub share: u32,
    pub draining: bool,
}

/// Records the events and actions of a run and asserts the engine's guarantees.
#[derive(Debug, Default)]
pub struct EngineObserver {
    pub queries: Vec<ObservedQuery>,
    pub targets: Vec<ObservedTarget>,
    pub in_flight: Vec<AttemptPlan>,
    pub cancelled: Vec<AttemptId>,
    pub quarantined: Vec<Fingerprint>,
    pub stopping: bool,
}

impl EngineObserver {
    pub fn query(&mut self, query: QueryId) -> &mut ObservedQuery {
        self.queries
            .iter_mut()
            .find(|observed| observed.request.query == query)
            .expect("every action belongs to a submitted query")
    }

    pub fn target(&mut self, target: TargetId) -> &mut ObservedTarget {
        match self
            .targets
            .binary_search_by_key(&target, |observed| observed.target)
        {
            Ok(index) => &mut self.targets[index],
            Err(index) => {
                let observed = ObservedTarget {
                    target,
                    share: 1,
                    draining: false,
                };
                self.targets.insert(index, observed);
                &mut self.targets[index]
            }
        }
    }

    /// Records and checks an action returned by the engine.
    pub fn observe(&mut self, now: Instant, action: EngineAction) {
        match action {
            EngineAction::Send(plan) => self.check_send(now, plan),
            EngineAction::Cancel { attempt, .. } => self.check_cancel(attempt),
            EngineAction::Answer { query, answer } => self.check_answer(query, &answer),
            EngineAction::Refuse { query, refusal } => self.check_refusal(query, &refusal),
            EngineAction::Decided(decision) => self.check_decision(&decision),
        }
    }

    /// Removes an attempt in flight; `ran` is whether the target may have run it.
    pub fn end_attempt(&mut self, attempt: AttemptId, ran: bool) -> AttemptPlan {
        let index = self
            .in_flight
            .iter()
            .position(|plan| plan.attempt == attempt)
            .expect("an attempt ends once");
        let plan = self.in_flight.swap_remove(index);
        if !ran {
            self.query(plan.query).may_have_run -= 1;
        }
        plan
    }

    fn check_send(&mut self, now: Instant, plan: AttemptPlan) {
        assert!(
            now < plan.deadline,
            "nothing is sent at or after its deadline"
        );
        let in_flight = self.in_flight_to(plan.target);
        let target = self.target(plan.target);
        assert!(
            in_flight < target.share,
            "attempts in flight stay within the connection share"
        );
        assert!(!target.draining, "a draining target gets no work");
        let quarantined = self.quarantined.contains(&plan.fingerprint);
        assert!(!quarantined, "no attempt of a quarantined request is sent");
        let concurrent = self
            .in_flight
            .iter()
            .filter(|other| other.query == plan.query && other.shard == plan.shard)
            .filter(|other| !self.cancelled.contains(&other.attempt))
            .count();
        assert!(concurrent <= 1, "at most two concurrent attempts per shard");
        self.check_repeat(&plan, concurrent);
        self.in_flight.push(plan);
    }

    fn check_repeat(&mut self, plan: &AttemptPlan, concurrent: usize) {
        let observed = self.query(plan.query);
        assert!(
            !observed.closed && !observed.caller_gone,
            "nothing is sent for a query that has ended"
        );
        assert_eq!(
            observed.snapshot,
            Some(plan.snapshot),
            "every send uses the snapshot of its query"
        );
        if plan.kind != RequestKind::Search {
            assert_eq!(
                observed.may_have_run, 0,
                "a non-idempotent request that may have run is not sent again"
            );
            assert!(
                plan.cause != AttemptCause::Hedge,
                "a non-idempotent request is not hedged"
            );
        }
        if observed.repeat != RepeatPolicy::Hedge {
            assert!(
                plan.cause != AttemptCause::Hedge,
                "the account does not allow hedging"
            );
            assert_eq!(
                concurrent, 0,
                "there is no concurrent attempt without hedging"
            );
        }
        observed.may_have_run += 1;
    }

    fn in_flight_to(&self, target: TargetId) -> u32 {
        let in_flight = self.in_flight.iter().filter(|plan| plan.target == target);
        in_flight.count() as u32
    }

    fn check_cancel(&mut self, attempt: AttemptId) {
        let is_in_flight = self.in_flight.iter().any(|plan| plan.attempt == attempt);
        assert!(is_in_flight, "only attempts in flight are cancelled");
        assert!(
            !self.cancelled.contains(&attempt),
            "an attempt is cancelled once"
        );
        self.cancelled.push(attempt);
    }

    fn check_decision(&mut self, decision: &EngineDecision) {
        match *decision {
            EngineDecision::Planned {
                query, snapshot, ..
            } => {
                let observed = self.query(query);
                assert!(observed.snapshot.is_none(), "a query is planned once");
                observed.snapshot = Some(snapshot);
            }
            EngineDecision::Restarted { query, snapshot } => {
                let observed = self.query(query);
                assert!(
                    observed.snapshot < Some(snapshot),
                    "a restart uses a newer snapshot"
                );
                observed.snapshot = Some(snapshot);
            }
            _ => {}
        }
    }

    fn check_answer(&mut self, query: QueryId, answer: &SearchAnswer) {
        let observed = self.query(query);
        assert!(
            !observed.closed && !observed.caller_gone,
            "at most one answer or refusal per query"
        );
        observed.closed = true;
        assert_eq!(
            answer.request, observed.request.request,
            "the answer has the id of its request"
        );
        assert_eq!(
            Some(answer.snapshot),
            observed.snapshot,
            "the answer has the snapshot of its query"
        );
        let coverage = &answer.coverage;
        let mut shards: Vec<u32> = coverage.answered.clone();
        shards.extend(coverage.missing.iter().map(|missing| missing.shard));
        shards.sort_unstable();
        shards.dedup();
        assert_eq!(
            shards.len(),
            coverage.asked as usize,
            "each requested shard is either answered or missing"
        );
        let expected_hits: Vec<SearchHit> = coverage
            .answered
            .iter()
            .map(|shard| marked_hit(query, *shard, answer.snapshot))
            .collect();
        let limit = observed.request.limit as usize;
        assert_eq!(
            answer.hits.len(),
            expected_hits.len().min(limit),
            "the answer has all expected hits up to the limit"
        );
        let all_expected = answer.hits.iter().all(|hit| expected_hits.contains(hit));
        assert!(
            all_expected,
            "every hit belongs to the query, an answered shard and the snapshot"
        );
    }

    fn check_refusal(&mut self, query: QueryId, refusal: &Refusal) {
        let observed = self.query(query);
        assert!(
            !observed.closed && !observed.caller_gone,
            "at most one answer or refusal per query"
        );
        observed.closed = true;
        match refusal.outcome {
            Outcome::NotRun => assert_eq!(
                observed.may_have_run, 0,
                "a request refused as not run has not run: {refusal}"
            ),
            Outcome::Unknown => assert!(
                observed.may_have_run > 0,
                "a request with unknown outcome may have run: {refusal}"
            ),
            Outcome::Ran => panic!("a refusal does not have the outcome ran"),
        }
    }
}

/// Returns a hit whose key identifies its query, shard and snapshot.
pub fn marked_hit(query: QueryId, shard: u32, snapshot: Snapshot) -> SearchHit {
    SearchHit {
        shard,
        key: format!("{query} {shard} {} {}", snapshot.epoch, snapshot.version).into(),
        score: f64::from(shard),
    }
}
