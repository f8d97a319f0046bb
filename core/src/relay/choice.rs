//! Selects the target of a service that a request is sent to.
//!
//! The selection uses only local observations: requests in flight, response times relative to the
//! typical latency of their routes, the age of the oldest request in flight, failures, and idle
//! connections. See
//! `docs/PLATFORM.md`, "Target choice".

use std::time::Instant;

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
        let mut best: Option<(CandidateTier, f64, &RelayTarget)> = None;
        let mut any_ready_full = false;
        let mut retry_at: Option<Instant> = None;
        for key in &service.targets {
            let Some(target) = self.targets.get(*key) else {
                continue;
            };
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
            let is_paced = target.paced_until.is_some_and(|until| now < until);
            if is_paced || target.in_flight.len() >= service.in_flight_limit as usize {
                any_ready_full |= tier == CandidateTier::Ready;
                continue;
            }
            let score = target.score(now, self.resumed_at, at_most_once);
            if best.is_none_or(|best| is_better((tier, score, target), best)) {
                best = Some((tier, score, target));
            }
        }
        match best {
            Some((CandidateTier::Suspended | CandidateTier::Leaving, ..)) if any_ready_full => {
                TargetChoice::Wait
            }
            Some((.., target)) => TargetChoice::Send(target.key),
            None if any_ready_full => TargetChoice::Wait,
            None => TargetChoice::Unavailable { retry_at },
        }
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

fn is_better(
    left: (CandidateTier, f64, &RelayTarget),
    right: (CandidateTier, f64, &RelayTarget),
) -> bool {
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
