//! Selects the target of a service that a request is sent to.
//!
//! The selection uses only local observations: requests in flight, response times relative to the
//! typical latency of their routes, the age of the oldest request in flight, failures, idle
//! connections, and the load that targets report. See
//! `docs/PLATFORM.md`, "Target choice".

use std::time::Instant;

use super::service::ServiceState;
use super::target::{ListingState, RelayTarget};
use super::target_hold::SendVerdict;
use super::{RelayEngine, TargetKey};

/// Scores whose ratio is at least this are considered equal; targets with equal scores take turns.
const SIMILAR_SCORE_RATIO: f64 = 0.9;
/// The result of selecting a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetChoice {
    /// The request is sent to this target.
    Send(TargetKey),
    /// All usable targets are at their in-flight limit.
    Wait,
    /// The service has no usable target.
    Unavailable {
        /// The earliest time at which a target that is suspended or held may be used again.
        retry_at: Option<Instant>,
    },
}

/// Ranks a target before its score is compared; lower tiers are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateTier {
    Ready,
    Tried,
    Leaving,
    Suspended,
}

/// A target that may be selected, with its tier and score.
type Candidate<'a> = (CandidateTier, f64, &'a RelayTarget);

impl RelayEngine {
    /// Selects a target of a service; targets in `tried` are used only if there is no other.
    pub(super) fn choose_target(
        &self,
        now: Instant,
        service: &str,
        tried: &[TargetKey],
        at_most_once: bool,
    ) -> TargetChoice {
        let Some(service) = self.services.get(service) else {
            return TargetChoice::Unavailable { retry_at: None };
        };
        let daemons = self.presumed_daemons();
        let last_resort_time = self.last_resort_time();
        let cold_limit = self.cold_limit(&service.name);
        let cold_daemons = self.cold_daemons(now);
        let mut candidates: Vec<Candidate<'_>> = Vec::with_capacity(service.targets.len());
        let mut any_ready_full = false;
        let mut retry_at: Option<Instant> = None;
        for key in &service.targets {
            let Some(target) = self.targets.get(*key) else {
                continue;
            };
            if self.is_evacuated(target) {
                continue;
            }
            let Some(mut tier) = candidate_tier(now, target, tried) else {
                let until = target.suspended_until();
                retry_at = retry_at.into_iter().chain(until).min();
                continue;
            };
            match target.hold.verdict(now, daemons, last_resort_time) {
                SendVerdict::Free => {}
                SendVerdict::LastResort => tier = tier.max(CandidateTier::Leaving),
                SendVerdict::Held { until } => {
                    retry_at = retry_at.into_iter().chain(until).min();
                    continue;
                }
            }
            if let Some(limit) = cold_limit {
                let until = target.hold.earliest_cold_send(now, cold_daemons, limit);
                if until > now {
                    retry_at = retry_at.into_iter().chain(Some(until)).min();
                    continue;
                }
            }
            let is_paced = target.paced_until.is_some_and(|until| now < until);
            if is_paced || target.in_flight.len() >= service.in_flight_limit as usize {
                any_ready_full |= tier == CandidateTier::Ready;
                continue;
            }
            let score = target.score(now, self.resumed_at, at_most_once);
            candidates.push((tier, score, target));
        }
        match best_of(&candidates) {
            Some((CandidateTier::Suspended | CandidateTier::Leaving, ..)) if any_ready_full => {
                TargetChoice::Wait
            }
            Some((.., target)) => TargetChoice::Send(target.key),
            None if any_ready_full => TargetChoice::Wait,
            None => TargetChoice::Unavailable { retry_at },
        }
    }

    /// Returns whether a request may be sent to a target of the service now, apart from the limit of
    /// requests in flight and from pauses after slow answers.
    pub(super) fn is_open(
        &self,
        now: Instant,
        service: &ServiceState,
        target: &RelayTarget,
    ) -> bool {
        let is_listed = match target.listing {
            ListingState::Listed | ListingState::Unlisted { .. } => true,
            ListingState::Leaving { .. } | ListingState::Replaced => false,
        };
        let daemons = self.presumed_daemons();
        let verdict = target.hold.verdict(now, daemons, self.last_resort_time());
        let cold_limit = self.cold_limit(&service.name);
        is_listed
            && !target.is_suspended(now)
            && !self.is_evacuated(target)
            && verdict == SendVerdict::Free
            && cold_limit.is_none_or(|limit| {
                let daemons = self.cold_daemons(now);
                target.hold.earliest_cold_send(now, daemons, limit) <= now
            })
    }
}

fn candidate_tier(
    now: Instant,
    target: &RelayTarget,
    tried: &[TargetKey],
) -> Option<CandidateTier> {
    let suspended = target.is_suspended(now);
    match target.listing {
        ListingState::Replaced => None,
        ListingState::Leaving { until } if now >= until || suspended => None,
        ListingState::Leaving { .. } => Some(CandidateTier::Leaving),
        ListingState::Listed | ListingState::Unlisted { .. } if suspended => target
            .is_first_suspension()
            .then_some(CandidateTier::Suspended),
        ListingState::Listed | ListingState::Unlisted { .. } if tried.contains(&target.key) => {
            Some(CandidateTier::Tried)
        }
        ListingState::Listed | ListingState::Unlisted { .. } => Some(CandidateTier::Ready),
    }
}

/// Returns the best candidate.
fn best_of<'a>(candidates: &[Candidate<'a>]) -> Option<Candidate<'a>> {
    let mut best = None;
    for candidate in candidates {
        if best.is_none_or(|best| is_better(*candidate, best)) {
            best = Some(*candidate);
        }
    }
    best
}

fn is_better(left: Candidate<'_>, right: Candidate<'_>) -> bool {
    if left.0 != right.0 {
        return left.0 < right.0;
    }
    if left.1 < right.1 * SIMILAR_SCORE_RATIO {
        return true;
    }
    // Prefers the target whose latest request was sent earlier, to spread the load.
    let turn = |target: &RelayTarget| (target.last_sent, target.tie_order);
    left.1 * SIMILAR_SCORE_RATIO <= right.1 && turn(left.2) < turn(right.2)
}
