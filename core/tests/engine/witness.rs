//! What a bystander sees of the engine, and what must be true of it.
//!
//! It knows nothing of the engine's inside: it holds what callers asked against what targets were
//! sent and answered.

use std::time::Instant;

use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::ids::{AttemptId, Fingerprint, QueryId, TargetId};
use yuccalift_core::{
    EngineAction, EngineDecision, Outcome, Refusal, RepeatPolicy, RequestKind, SearchAnswer,
    SearchHit, SearchRequest, Snapshot,
};

/// A query as its caller sees it.
#[derive(Debug)]
pub struct SeenQuery {
    pub request: SearchRequest,
    pub repeat: RepeatPolicy,
    pub snapshot: Option<Snapshot>,
    /// Attempts that ran, may have run, or are still under way.
    pub may_have_run: u32,
    pub closed: bool,
    pub gone: bool,
}

/// A target as it sees itself.
#[derive(Clone, Debug, Default)]
pub struct SeenTarget {
    pub target: TargetId,
    pub share: u32,
    pub draining: bool,
}

/// What a bystander has seen.
#[derive(Debug, Default)]
pub struct EngineWitness {
    pub queries: Vec<SeenQuery>,
    pub targets: Vec<SeenTarget>,
    pub flights: Vec<AttemptPlan>,
    pub cancelled: Vec<AttemptId>,
    pub quarantined: Vec<Fingerprint>,
    pub stopping: bool,
}

impl EngineWitness {
    pub fn query(&mut self, query: QueryId) -> &mut SeenQuery {
        self.queries
            .iter_mut()
            .find(|seen| seen.request.query == query)
            .expect("every action is of a query that was submitted")
    }

    pub fn target(&mut self, target: TargetId) -> &mut SeenTarget {
        match self
            .targets
            .binary_search_by_key(&target, |seen| seen.target)
        {
            Ok(place) => &mut self.targets[place],
            Err(place) => {
                let seen = SeenTarget {
                    target,
                    share: 1,
                    draining: false,
                };
                self.targets.insert(place, seen);
                &mut self.targets[place]
            }
        }
    }

    /// Watches an action that the engine has decided.
    pub fn watch(&mut self, now: Instant, action: EngineAction) {
        match action {
            EngineAction::Send(plan) => self.watch_send(now, plan),
            EngineAction::Cancel { attempt, .. } => self.watch_cancel(attempt),
            EngineAction::Answer { query, answer } => self.watch_answer(query, &answer),
            EngineAction::Refuse { query, refusal } => self.watch_refusal(query, &refusal),
            EngineAction::Decided(decision) => self.watch_decision(&decision),
        }
    }

    /// Ends an attempt; `ran` says whether its target may have run it.
    pub fn end(&mut self, attempt: AttemptId, ran: bool) -> AttemptPlan {
        let place = self
            .flights
            .iter()
            .position(|plan| plan.attempt == attempt)
            .expect("an attempt ends once");
        let plan = self.flights.swap_remove(place);
        if !ran {
            self.query(plan.query).may_have_run -= 1;
        }
        plan
    }

    fn watch_send(&mut self, now: Instant, plan: AttemptPlan) {
        assert!(now < plan.deadline, "no send at or past its deadline");
        let in_flight = self.flights_to(plan.target);
        let target = self.target(plan.target);
        assert!(in_flight < target.share, "no more than the share");
        assert!(!target.draining, "no work for a target that is leaving");
        let quarantined = self.quarantined.contains(&plan.fingerprint);
        assert!(!quarantined, "nothing of a quarantined request is sent");
        let beside = self
            .flights
            .iter()
            .filter(|other| other.query == plan.query && other.shard == plan.shard)
            .filter(|other| !self.cancelled.contains(&other.attempt))
            .count();
        assert!(beside <= 1, "at most two attempts of a shard at once");
        self.watch_repeat(&plan, beside);
        self.flights.push(plan);
    }

    fn watch_repeat(&mut self, plan: &AttemptPlan, beside: usize) {
        let seen = self.query(plan.query);
        assert!(!seen.closed && !seen.gone, "a closed query sends nothing");
        assert_eq!(
            seen.snapshot,
            Some(plan.snapshot),
            "every send is of the query's one snapshot"
        );
        if plan.kind != RequestKind::Search {
            assert_eq!(
                seen.may_have_run, 0,
                "a non-idempotent request is not sent again"
            );
            assert!(plan.cause != AttemptCause::Hedge, "nor hedged");
        }
        if seen.repeat != RepeatPolicy::Hedge {
            assert!(plan.cause != AttemptCause::Hedge, "hedging is not allowed");
            assert_eq!(beside, 0, "nothing runs beside it");
        }
        seen.may_have_run += 1;
    }

    fn flights_to(&self, target: TargetId) -> u32 {
        let flights = self.flights.iter().filter(|plan| plan.target == target);
        flights.count() as u32
    }

    fn watch_cancel(&mut self, attempt: AttemptId) {
        let known = self.flights.iter().any(|plan| plan.attempt == attempt);
        assert!(known, "only what is under way is cancelled");
        assert!(!self.cancelled.contains(&attempt), "and that once");
        self.cancelled.push(attempt);
    }

    fn watch_decision(&mut self, decision: &EngineDecision) {
        match *decision {
            EngineDecision::Planned {
                query, snapshot, ..
            } => {
                let seen = self.query(query);
                assert!(seen.snapshot.is_none(), "a query is planned once");
                seen.snapshot = Some(snapshot);
            }
            EngineDecision::Restarted { query, snapshot } => {
                let seen = self.query(query);
                assert!(seen.snapshot < Some(snapshot), "only at a newer snapshot");
                seen.snapshot = Some(snapshot);
            }
            _ => {}
        }
    }

    fn watch_answer(&mut self, query: QueryId, answer: &SearchAnswer) {
        let seen = self.query(query);
        assert!(!seen.closed && !seen.gone, "one answer or refusal a query");
        seen.closed = true;
        assert_eq!(answer.request, seen.request.request, "of its own request");
        assert_eq!(Some(answer.snapshot), seen.snapshot, "of its one snapshot");
        let coverage = &answer.coverage;
        let mut shards: Vec<u32> = coverage.answered.clone();
        shards.extend(coverage.missing.iter().map(|missing| missing.shard));
        shards.sort_unstable();
        shards.dedup();
        assert_eq!(
            shards.len(),
            coverage.asked as usize,
            "asked is answered and missing, no shard twice"
        );
        let marks: Vec<SearchHit> = coverage
            .answered
            .iter()
            .map(|shard| marked_hit(query, *shard, answer.snapshot))
            .collect();
        let limit = seen.request.limit as usize;
        assert_eq!(answer.hits.len(), marks.len().min(limit), "the whole of it");
        let own = answer.hits.iter().all(|hit| marks.contains(hit));
        assert!(own, "every hit is of the query, its shards, its snapshot");
    }

    fn watch_refusal(&mut self, query: QueryId, refusal: &Refusal) {
        let seen = self.query(query);
        assert!(!seen.closed && !seen.gone, "one answer or refusal a query");
        seen.closed = true;
        match refusal.outcome {
            Outcome::NotRun => assert_eq!(
                seen.may_have_run, 0,
                "what is said not to have run has not: {refusal}"
            ),
            Outcome::Unknown => assert!(
                seen.may_have_run > 0,
                "what is said to be unknown was sent: {refusal}"
            ),
            Outcome::Ran => panic!("a refused request is not said to have run"),
        }
    }
}

/// A hit that tells which query, shard and snapshot it is of.
pub fn marked_hit(query: QueryId, shard: u32, snapshot: Snapshot) -> SearchHit {
    SearchHit {
        shard,
        key: format!("{query} {shard} {} {}", snapshot.epoch, snapshot.version).into(),
        score: f64::from(shard),
    }
}
