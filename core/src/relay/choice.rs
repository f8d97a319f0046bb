//! Which target of a service is asked.
//!
//! Only what this daemon has seen decides: what is in flight, how long answers take beside what
//! is usual on their routes, how long the oldest has been owed, and failures. See
//! `docs/PLATFORM.md`, "Target choice".

use std::time::Instant;

use super::target::{ListingState, RelayTarget};
use super::{RelayEngine, TargetKey};

/// Scores within this factor are near equals, which take turns.
const SIMILAR_SCORE_RATIO: f64 = 0.9;

/// A choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetChoice {
    /// Ask this one.
    Send(TargetKey),
    /// Every one that could be asked has as much in flight as it may have.
    Wait,
    /// None can be asked.
    Unavailable {
        /// When the first suspended one is tried again.
        retry_at: Option<Instant>,
    },
}

/// How good a candidate is before its score counts; less is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateTier {
    Ready,
    Tried,
    Leaving,
    Suspended,
}

impl RelayEngine {
    /// Chooses a target of a service; those that were tried come after the others.
    pub(super) fn choose(
        &self,
        now: Instant,
        service: &str,
        tried: &[TargetKey],
        at_most_once: bool,
    ) -> TargetChoice {
        let Some(service) = self.services.get(service) else {
            return TargetChoice::Unavailable { retry_at: None };
        };
        let mut best: Option<(CandidateTier, f64, &RelayTarget)> = None;
        let mut full = false;
        let mut retry_at: Option<Instant> = None;
        for key in &service.targets {
            let Some(target) = self.targets.get(*key) else {
                continue;
            };
            let Some(tier) = candidate_tier(now, target, tried) else {
                let until = target.suspended_until();
                retry_at = retry_at.into_iter().chain(until).min();
                continue;
            };
            if target.in_flight.len() >= service.in_flight_limit as usize {
                full |= tier == CandidateTier::Ready;
                continue;
            }
            let score = target.score(now, self.resumed_at, at_most_once);
            if best.is_none_or(|best| is_better((tier, score, target), best)) {
                best = Some((tier, score, target));
            }
        }
        match best {
            Some((CandidateTier::Suspended | CandidateTier::Leaving, ..)) if full => {
                TargetChoice::Wait
            }
            Some((.., target)) => TargetChoice::Send(target.key),
            None if full => TargetChoice::Wait,
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
    // Of near equals the one whose last request is longer ago, which spreads the load.
    left.1 * SIMILAR_SCORE_RATIO <= right.1 && left.2.last_sent < right.2.last_sent
}
