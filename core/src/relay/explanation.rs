//! Explains where a request would be sent now, and why: [`RequestExplanation`].
//!
//! The explanation has no side effects, and asks the code that real requests are sent by. It can't
//! know the body of a request, so quarantined requests are explained like others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::RelayEngine;
use super::action::RefusalCause;
use super::choice::TargetChoice;
use super::event::RequestOrigin;
use super::request::{RequestLeg, RequestState};
use super::route::{RouteEntry, ServiceName};
use super::service::ServiceState;
use super::target::{ListingState, RelayTarget};
use super::target_hold::SendVerdict;
use super::target_record::TargetName;
use crate::ids::{ConfigVersion, DataCentreName};

/// Fingerprint of explained requests, whose bodies and true fingerprints are unknown.
const EXPLAINED_FINGERPRINT: u64 = 0;

/// Where a request would be sent now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestExplanation {
    /// Version of the routes; 0 if none are known.
    pub version: ConfigVersion,
    /// Name of the route; `None` if none serves the request.
    pub route: Option<Box<str>>,
    /// What would happen to the request.
    pub outcome: ExplainedOutcome,
    /// All services of the route.
    pub services: Vec<ServiceExplanation>,
}

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainedOutcome {
    /// No route serves it.
    NoRoute,
    /// It would be sent.
    Sent,
    /// It would be forwarded to this peer, since no target is reached.
    Forwarded {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// It would wait until a target has capacity, and be refused if none has soon.
    Waits {
        /// Time after which the caller would be told to retry.
        retry_after_ms: u64,
    },
    /// It would be refused at once.
    Refused {
        /// The cause, as it appears in the log.
        cause: Box<str>,
        /// Time after which the caller would be told to retry.
        retry_after_ms: u64,
    },
}

/// A service of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceExplanation {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether the next request on the route would be sent to the service; a split sends each
    /// request to one of its services.
    pub is_next: bool,
    /// What would happen to the request's part for this service.
    pub choice: ExplainedChoice,
    /// The known targets of the service.
    pub targets: Vec<TargetExplanation>,
}

/// The result of selecting a target of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainedChoice {
    /// This target would be chosen.
    Target(TargetName),
    /// All usable targets are at their in-flight limit.
    Wait,
    /// No target is usable.
    Unavailable {
        /// Time until one is usable, if that can be foreseen.
        usable_in_ms: Option<u64>,
    },
}

/// A target of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetExplanation {
    /// Name of the target.
    pub name: TargetName,
    /// Data centre of the target.
    pub data_centre: DataCentreName,
    /// Whether the target is listed: `listed`, `unlisted`, `leaving` or `replaced`.
    pub listing: Box<str>,
    /// Whether the last connection attempt succeeded.
    pub is_reachable: bool,
    /// Time until the end of its suspension.
    pub suspended_ms: Option<u64>,
    /// Why the target is held: by what it said of itself, or since its data centre is evacuated.
    pub held_by: Option<Box<str>>,
    /// Time until it is no longer held, if that can be foreseen.
    pub held_ms: Option<u64>,
    /// Number of attempts of this daemon in flight.
    pub in_flight: u64,
    /// Maximum number of attempts of this daemon in flight.
    pub limit: u64,
    /// Load of others that the target reported, as it counts in the score.
    pub reported_load: Option<f64>,
    /// Expected latency as a multiple of the typical one; lower is better.
    pub score: f64,
}

impl RelayEngine {
    /// Explains where a request to `path` on `host` would be sent now, and why.
    pub fn explain(&self, now: Instant, host: &str, path: &str) -> RequestExplanation {
        let version = self.routes.version;
        let Some(route) = self.routes.find(host, path) else {
            return RequestExplanation {
                version,
                route: None,
                outcome: ExplainedOutcome::NoRoute,
                services: Vec::new(),
            };
        };
        let next = self.next_services(route);
        let state = explained_state(now, route, &next);
        let names = route.destination.services();
        RequestExplanation {
            version,
            route: Some(route.name.clone()),
            outcome: self.explain_outcome(now, &state),
            services: names
                .into_iter()
                .map(|name| self.explain_service(now, &state, name, next.contains(name)))
                .collect(),
        }
    }

    fn explain_outcome(&self, now: Instant, state: &RequestState) -> ExplainedOutcome {
        let retry_after_ms = millis(self.retry_after(now, state));
        if self.reach.is_cut_off()
            && let Some(peer) = self.forwarding.choose(now, &self.options.data_centre, &[])
        {
            return ExplainedOutcome::Forwarded { peer };
        }
        if let Some((cause, _)) = self.refusal_cause(now, state) {
            return ExplainedOutcome::Refused {
                cause: cause.as_str().into(),
                retry_after_ms,
            };
        }
        let is_sent = state.legs.iter().any(|leg| {
            let choice = self.choose_target(now, &leg.service, &[], state.is_at_most_once());
            matches!(choice, TargetChoice::Send(_))
        });
        if is_sent {
            ExplainedOutcome::Sent
        } else {
            ExplainedOutcome::Waits { retry_after_ms }
        }
    }

    fn explain_service(
        &self,
        now: Instant,
        state: &RequestState,
        name: &ServiceName,
        is_next: bool,
    ) -> ServiceExplanation {
        let at_most_once = state.is_at_most_once();
        let choice = match self.choose_target(now, name, &[], at_most_once) {
            TargetChoice::Send(key) => {
                let target = self.targets.get(key);
                let name = target.map(|target| target.record.name.clone());
                ExplainedChoice::Target(name.unwrap_or_default())
            }
            TargetChoice::Wait => ExplainedChoice::Wait,
            TargetChoice::Unavailable { retry_at } => ExplainedChoice::Unavailable {
                usable_in_ms: retry_at.and_then(|at| millis_until(now, at)),
            },
        };
        let service = self.services.get(name);
        let targets = service.into_iter().flat_map(|service| {
            let known = service
                .targets
                .iter()
                .filter_map(|key| self.targets.get(*key));
            known.map(move |target| self.explain_target(now, service, target, at_most_once))
        });
        ServiceExplanation {
            name: name.clone(),
            is_next,
            choice,
            targets: targets.collect(),
        }
    }

    fn explain_target(
        &self,
        now: Instant,
        service: &ServiceState,
        target: &RelayTarget,
        at_most_once: bool,
    ) -> TargetExplanation {
        let (held_by, held_until) = self.explain_hold(now, target);
        TargetExplanation {
            name: target.record.name.clone(),
            data_centre: target.record.data_centre.clone(),
            listing: listing_name(target.listing).into(),
            is_reachable: target.is_reachable(),
            suspended_ms: target
                .suspended_until()
                .and_then(|until| millis_until(now, until)),
            held_by: held_by.map(Box::from),
            held_ms: held_until.and_then(|until| millis_until(now, until)),
            in_flight: target.in_flight.len() as u64,
            limit: u64::from(service.in_flight_limit),
            reported_load: target.load.extra_load(now),
            score: target.score(now, self.resumed_at, at_most_once),
        }
    }

    /// Returns why a target is held now, and the time until which it is if that can be foreseen.
    fn explain_hold(
        &self,
        now: Instant,
        target: &RelayTarget,
    ) -> (Option<&'static str>, Option<Instant>) {
        if self.is_evacuated(target) {
            return (Some(RefusalCause::Evacuated.as_str()), None);
        }
        let verdict = target
            .hold
            .verdict(now, self.presumed_daemons(), self.last_resort_time());
        if let SendVerdict::Held { until } = verdict {
            return (target.hold.reason(now), until);
        }
        let next_send = self.next_cold_send(now, target);
        if next_send.is_some() {
            return (Some(RefusalCause::Cold.as_str()), next_send);
        }
        match verdict {
            SendVerdict::LastResort => (target.hold.reason(now), None),
            SendVerdict::Free | SendVerdict::Held { .. } => (None, None),
        }
    }
}

/// Returns the state of a request that arrives now with all the time that its route permits.
pub(super) fn explained_state(
    now: Instant,
    route: &Arc<RouteEntry>,
    services: &[ServiceName],
) -> RequestState {
    RequestState {
        key: 0,
        fingerprint: EXPLAINED_FINGERPRINT,
        arrived_at: now,
        deadline: now + route.timeout,
        legs: services.iter().cloned().map(RequestLeg::new).collect(),
        accepts_partial: false,
        origin: RequestOrigin::Caller,
        route: Arc::clone(route),
    }
}

fn listing_name(listing: ListingState) -> &'static str {
    match listing {
        ListingState::Listed => "listed",
        ListingState::Unlisted { .. } => "unlisted",
        ListingState::Leaving { .. } => "leaving",
        ListingState::Replaced => "replaced",
    }
}

/// Returns the time until `at`; `None` if it has passed.
fn millis_until(now: Instant, at: Instant) -> Option<u64> {
    let left = at.checked_duration_since(now)?;
    (!left.is_zero()).then(|| millis(left))
}

fn millis(time: Duration) -> u64 {
    time.as_millis().try_into().unwrap_or(u64::MAX)
}
