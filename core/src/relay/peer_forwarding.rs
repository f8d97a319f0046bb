//! Forwards requests to peers while this daemon is cut off from its targets: [`ForwardingState`].
//!
//! A peer takes a forwarded request as if a caller had sent it, but never forwards it again. Peers
//! that are cut off as well say so at once, and another one is asked. See `docs/DESIGN.md`, "Hosts
//! without targets".

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::action::{ForwardOrder, RelayAction, RelayAnswer, RelayDecision, RelayRefusal};
use super::event::{ForwardOutcome, PeerAddress, RelayRequest, RequestOrigin};
use super::finish::NOT_RUN_STATUSES;
use super::request::AttemptDisposition;
use super::route::{RepeatKind, ServiceName};
use super::timers::TimerKind;
use super::{RelayEngine, RequestKey};

/// Maximum number of peers that a request is forwarded to, one after the other.
const MAX_PEERS: usize = 6;
/// Time for which a peer that served no request is not asked again; doubles with each further one.
const INITIAL_HOLD: Duration = Duration::from_secs(1);
/// Interval at which a held peer is asked if there is no other.
const HELD_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of times that the time doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Time after the deadline in which the answer of a peer still arrives.
const ANSWER_SLACK: Duration = Duration::from_millis(100);
/// Factor on the load of a peer that has not served a forwarded request lately.
const UNPROVEN_FACTOR: f64 = 2.0;
/// Factor on the load of a peer in another data centre.
const REMOTE_FACTOR: f64 = 1.35;
/// Increase of the load of a peer, relative to 1, for each peer of its data centre that is held: a
/// data centre is often cut off as a whole.
const HELD_NEIGHBOUR_FACTOR: f64 = 2.0;

/// A peer that requests may be forwarded to.
#[derive(Debug)]
struct PeerState {
    peer: PeerAddress,
    in_flight: u32,
    /// Whether the last forwarded request was served.
    is_proven: bool,
    failures: u32,
    held_until: Option<Instant>,
    last_sent: Option<Instant>,
}

/// What may have happened to a request before it is forwarded.
#[derive(Clone, Copy, Debug, Default)]
struct FormerAttempts {
    /// Number of attempts that targets may have received from this daemon or from a peer.
    used: u32,
    /// Whether a target may have run the request.
    may_have_run: bool,
}

/// A request that a peer serves.
#[derive(Debug)]
struct ForwardedRequest {
    request: RelayRequest,
    peer: SocketAddr,
    tried: Vec<SocketAddr>,
    sent_at: Instant,
    former: FormerAttempts,
}

/// The peers, and the requests that they serve for this daemon.
#[derive(Debug, Default)]
pub(super) struct ForwardingState {
    /// Sorted by address.
    peers: Vec<PeerState>,
    /// Sorted by key.
    requests: Vec<ForwardedRequest>,
}

impl ForwardingState {
    /// Replaces the known peers; what is known of those that stay is kept.
    pub(super) fn set_peers(&mut self, mut peers: Vec<PeerAddress>) {
        peers.sort_unstable_by_key(|peer| peer.address);
        peers.dedup_by_key(|peer| peer.address);
        let mut former = std::mem::take(&mut self.peers);
        self.peers = peers
            .into_iter()
            .map(|peer| {
                let known = former.binary_search_by_key(&peer.address, |state| state.peer.address);
                match known {
                    Ok(index) => PeerState {
                        peer,
                        ..former.remove(index)
                    },
                    Err(_) => PeerState {
                        peer,
                        in_flight: 0,
                        is_proven: false,
                        failures: 0,
                        held_until: None,
                        last_sent: None,
                    },
                }
            })
            .collect();
    }

    /// Returns the peer that a request is forwarded to next.
    pub(super) fn choose(
        &self,
        now: Instant,
        data_centre: &str,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        if tried.len() >= MAX_PEERS {
            return None;
        }
        let is_held = |state: &&PeerState| state.held_until.is_some_and(|until| now < until);
        let mut held: Vec<&str> = self
            .peers
            .iter()
            .filter(is_held)
            .map(|state| state.peer.data_centre.as_ref())
            .collect();
        held.sort_unstable();
        let may_ask_held = |state: &PeerState| {
            let last_sent = state.last_sent;
            last_sent.is_none_or(|sent| now.saturating_duration_since(sent) >= HELD_INTERVAL)
        };
        let usable = self.peers.iter().filter(|state| {
            let is_untried = !tried.contains(&state.peer.address);
            is_untried && (!is_held(state) || may_ask_held(state))
        });
        let load = |state: &PeerState| {
            let name = state.peer.data_centre.as_ref();
            let distance = if name == data_centre {
                1.0
            } else {
                REMOTE_FACTOR
            };
            let trust = if state.is_proven {
                1.0
            } else {
                UNPROVEN_FACTOR
            };
            let from = held.partition_point(|other| *other < name);
            let neighbours = held[from..].partition_point(|other| *other == name);
            let doubt = 1.0 + HELD_NEIGHBOUR_FACTOR * neighbours as f64;
            let load = f64::from(state.in_flight + 1) * distance * trust * doubt;
            (is_held(&state), load)
        };
        let least = usable.min_by(|left, right| {
            let (left_held, left_load) = load(left);
            let (right_held, right_load) = load(right);
            let by_load = left_load.total_cmp(&right_load);
            left_held
                .cmp(&right_held)
                .then(by_load)
                .then(left.last_sent.cmp(&right.last_sent))
        });
        least.map(|state| state.peer.address)
    }

    fn peer_mut(&mut self, address: SocketAddr) -> Option<&mut PeerState> {
        let index = self
            .peers
            .binary_search_by_key(&address, |state| state.peer.address);
        index.ok().map(|index| &mut self.peers[index])
    }

    fn add(&mut self, now: Instant, request: ForwardedRequest) {
        if let Some(peer) = self.peer_mut(request.peer) {
            peer.in_flight += 1;
            peer.last_sent = Some(now);
        }
        let index = self
            .index(request.request.key)
            .unwrap_or_else(|index| index);
        self.requests.insert(index, request);
    }

    fn remove(&mut self, key: RequestKey) -> Option<ForwardedRequest> {
        let index = self.index(key).ok()?;
        let request = self.requests.remove(index);
        if let Some(peer) = self.peer_mut(request.peer) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
        }
        Some(request)
    }

    fn record_outcome(&mut self, now: Instant, address: SocketAddr, is_served: bool) {
        let Some(peer) = self.peer_mut(address) else {
            return;
        };
        peer.is_proven = is_served;
        if is_served {
            peer.failures = 0;
            peer.held_until = None;
        } else {
            peer.held_until = Some(now + INITIAL_HOLD * (1 << peer.failures.min(MAX_DOUBLINGS)));
            peer.failures += 1;
        }
    }

    fn index(&self, key: RequestKey) -> Result<usize, usize> {
        self.requests
            .binary_search_by_key(&key, |request| request.request.key)
    }
}

impl RelayEngine {
    /// Forwards a caller's request to a peer if this daemon is cut off, or was just now and has no
    /// target for the request yet; returns false if the request must be handled here.
    pub(super) fn forward_if_cut_off(
        &mut self,
        now: Instant,
        request: &RelayRequest,
        actions: &mut Vec<RelayAction>,
    ) -> bool {
        let is_unserved =
            || self.reach.is_regaining(now) && self.is_without_targets(now, &request.route);
        let is_due = self.reach.is_cut_off() || is_unserved();
        if request.origin != RequestOrigin::Caller || !is_due {
            return false;
        }
        let former = FormerAttempts::default();
        self.forward(now, request.clone(), Vec::new(), former, actions)
    }

    /// Forwards a request to a peer that has not been tried; returns false if there is none.
    fn forward(
        &mut self,
        now: Instant,
        request: RelayRequest,
        mut tried: Vec<SocketAddr>,
        former: FormerAttempts,
        actions: &mut Vec<RelayAction>,
    ) -> bool {
        let deadline = request.deadline.min(now + request.route.timeout);
        let data_centre = &self.options.data_centre;
        let peer = self.forwarding.choose(now, data_centre, &tried);
        let Some(peer) = peer.filter(|_| now < deadline) else {
            return false;
        };
        tried.push(peer);
        if tried.len() == 1 {
            let kind = TimerKind::ForwardDeadline {
                request: request.key,
            };
            self.timers.add(deadline + ANSWER_SLACK, kind);
        }
        actions.push(RelayAction::Forward(ForwardOrder {
            request: request.key,
            peer,
            deadline,
            at_most_once: request.route.repeat == RepeatKind::NonIdempotent,
            attempts_used: former.used,
        }));
        self.forwarding.add(
            now,
            ForwardedRequest {
                request: RelayRequest {
                    deadline,
                    ..request
                },
                peer,
                tried,
                sent_at: now,
                former,
            },
        );
        true
    }

    /// Hands over the requests of callers that can still be served, since this daemon has been found
    /// to be cut off. Those that may run once are handed over only if no target has received them.
    pub(super) fn forward_all(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        let movable = self.requests.iter().filter(|state| state.is_movable());
        let keys: Vec<RequestKey> = movable.map(|state| state.key).collect();
        for key in keys {
            let Some(state) = self.requests.get(key) else {
                continue;
            };
            let used = state
                .legs
                .iter()
                .map(|leg| leg.possible_runs + leg.in_flight.len() as u32);
            let used = used.max().unwrap_or(0);
            let request = RelayRequest {
                key,
                route: std::sync::Arc::clone(&state.route),
                fingerprint: state.fingerprint,
                deadline: state.deadline,
                origin: state.origin,
            };
            match request.origin {
                RequestOrigin::Caller => {
                    let former = FormerAttempts {
                        used,
                        may_have_run: used > 0,
                    };
                    if self.forward(now, request, Vec::new(), former, actions) {
                        self.remove_request(now, key, AttemptDisposition::Cancelled, actions);
                    }
                }
                RequestOrigin::Peer { .. } => {
                    let refusal = RelayRefusal::CutOff {
                        may_have_run: used > 0,
                    };
                    self.refuse(now, key, refusal, ServiceName::default(), actions);
                }
            }
        }
    }

    /// Processes the end of a forwarded request.
    pub(super) fn handle_forward_ended(
        &mut self,
        now: Instant,
        key: RequestKey,
        outcome: ForwardOutcome,
        actions: &mut Vec<RelayAction>,
    ) {
        let Some(forwarded) = self.forwarding.remove(key) else {
            return;
        };
        let is_served = matches!(outcome, ForwardOutcome::Answered(_));
        self.forwarding
            .record_outcome(now, forwarded.peer, is_served);
        if !is_served {
            actions.push(RelayAction::Decided(RelayDecision::ForwardFailed {
                request: key,
                peer: forwarded.peer,
                outcome: outcome.as_str(),
                took: now.saturating_duration_since(forwarded.sent_at),
            }));
        }
        let is_lost = match outcome {
            // True for the peer, but not if a target may have the request from this daemon.
            ForwardOutcome::Answered(reply)
                if forwarded.former.may_have_run && NOT_RUN_STATUSES.contains(&reply.status) =>
            {
                refuse_forwarded(key, actions);
                return;
            }
            ForwardOutcome::Answered(reply) => {
                let answer = RelayAnswer::FromPeer(reply);
                actions.push(RelayAction::Answer {
                    request: key,
                    answer,
                });
                return;
            }
            ForwardOutcome::NotSent
            | ForwardOutcome::Unserved {
                may_have_run: false,
            } => false,
            ForwardOutcome::Lost | ForwardOutcome::Unserved { may_have_run: true } => true,
        };
        self.continue_forwarding(now, forwarded, is_lost, actions);
    }

    /// Asks another peer to serve a request, or handles it here if there is none.
    fn continue_forwarding(
        &mut self,
        now: Instant,
        forwarded: ForwardedRequest,
        is_lost: bool,
        actions: &mut Vec<RelayAction>,
    ) {
        let ForwardedRequest {
            request,
            tried,
            mut former,
            ..
        } = forwarded;
        former.used += u32::from(is_lost);
        former.may_have_run |= is_lost;
        let is_repeatable = request.route.repeat == RepeatKind::Idempotent || !former.may_have_run;
        if is_repeatable && self.forward(now, request.clone(), tried, former, actions) {
            return;
        }
        if former.may_have_run {
            refuse_forwarded(request.key, actions);
        } else {
            self.submit_here(now, request, actions);
        }
    }

    /// Ends a forwarded request; returns false if there is none with that key.
    pub(super) fn drop_forwarded(
        &mut self,
        key: RequestKey,
        refusal: Option<RelayRefusal>,
        actions: &mut Vec<RelayAction>,
    ) -> bool {
        if self.forwarding.remove(key).is_none() {
            return false;
        }
        actions.push(RelayAction::CancelForward { request: key });
        if let Some(refusal) = refusal {
            actions.push(RelayAction::Refuse {
                request: key,
                refusal,
                service: ServiceName::default(),
            });
        }
        true
    }

    /// Ends all forwarded requests, since the process ends.
    pub(super) fn end_forwarded(&mut self, actions: &mut Vec<RelayAction>) {
        let requests = self.forwarding.requests.iter();
        let keys: Vec<RequestKey> = requests.map(|request| request.request.key).collect();
        for key in keys {
            self.drop_forwarded(key, Some(RelayRefusal::Failed), actions);
        }
    }

    /// Returns the number of requests that peers serve for this daemon.
    pub(super) fn forwarded_requests(&self) -> usize {
        self.forwarding.requests.len()
    }
}

/// Refuses a request that a target may have run.
fn refuse_forwarded(request: RequestKey, actions: &mut Vec<RelayAction>) {
    actions.push(RelayAction::Refuse {
        request,
        refusal: RelayRefusal::Failed,
        service: ServiceName::default(),
    });
}
