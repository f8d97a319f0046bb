//! Scheduling of exchanges: when to exchange messages, and with which peers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use super::ControlNode;
use crate::control::config_delta::DeltaFormat;
use crate::control::event::{ControlAction, ExchangeId};
use crate::control::exchange::ExchangeMessage;
use crate::control::member_record::{MemberRecord, MemberState};
use crate::control::store_position::StorePosition;
use crate::ids::{HostName, Incarnation};

/// Interval of exchanges with a member of the local data centre.
pub const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);
/// Interval of exchanges with a contact of another data centre.
pub const REMOTE_PERIOD: Duration = Duration::from_secs(2);
/// Interval of exchanges with a seed or with a daemon that is gone or only listed. These
/// exchanges reconnect the fleet after a network partition.
pub const RECONNECT_PERIOD: Duration = Duration::from_secs(5);
/// Number of members of the local data centre to which a change is pushed.
const PUSH_FANOUT: usize = 3;
/// Minimum time between two pushes.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum configuration text in a push, in bytes; peers request larger changes themselves.
const MAX_PUSH_BYTES: usize = 8 * 1024;
/// Number of peers that a new daemon contacts at once.
const JOIN_FANOUT: usize = 3;
/// Time that one peer gets to send requested changes before another one is asked.
const DELTA_TIMEOUT: Duration = Duration::from_millis(500);

/// Times of the next exchanges, and which changes to push.
#[derive(Debug)]
pub(super) struct ExchangeSchedule {
    next_probe: Instant,
    next_remote: Instant,
    next_reconnect: Instant,
    pub(super) next_full_table: Instant,
    probe_order: Vec<HostName>,
    joined: bool,
    /// Position after which changes are pushed; `StorePosition::MAX` to push no configuration.
    push_after: Option<StorePosition>,
    next_push: Instant,
    pub(super) delta_granted_until: Option<Instant>,
    next_exchange: ExchangeId,
}

/// An exchange that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingExchange {
    pub(super) exchange: ExchangeId,
    pub(super) address: SocketAddr,
    pub(super) peer: Option<(HostName, Incarnation)>,
    pub(super) round: u32,
    pub(super) delta_sent_after: Option<StorePosition>,
}

impl ExchangeSchedule {
    pub(super) fn new(now: Instant, rng: &mut impl Rng) -> Self {
        Self {
            next_probe: now + EXCHANGE_PERIOD.mul_f64(rng.random()),
            next_remote: now + REMOTE_PERIOD.mul_f64(rng.random()),
            next_reconnect: now + RECONNECT_PERIOD.mul_f64(rng.random()),
            next_full_table: now,
            probe_order: Vec::new(),
            joined: false,
            push_after: None,
            next_push: now,
            delta_granted_until: None,
            next_exchange: 1,
        }
    }

    pub(super) fn next_due(&self) -> Instant {
        let due = self
            .next_probe
            .min(self.next_remote)
            .min(self.next_reconnect);
        if self.push_after.is_some() {
            due.min(self.next_push)
        } else {
            due
        }
    }

    /// Makes the next exchanges due at once, after a pause.
    pub(super) fn restart(&mut self, now: Instant) {
        self.next_probe = now;
        self.next_remote = now;
        self.delta_granted_until = None;
    }

    /// Schedules a push of the configuration changes after a position.
    pub(super) fn schedule_push_after(&mut self, base: StorePosition) {
        let earlier = self.push_after.unwrap_or(base);
        self.push_after = Some(earlier.min(base));
    }

    /// Schedules a push of announcements or member records.
    pub(super) fn schedule_push(&mut self) {
        self.schedule_push_after(StorePosition::MAX);
    }
}

impl ControlNode {
    pub(super) fn is_leaving(&self) -> bool {
        self.members.own().state == MemberState::Leaving
    }

    pub(super) fn run_exchanges(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        if !self.exchange_schedule.joined {
            self.exchange_schedule.joined = true;
            self.join(now, actions);
        }
        if now >= self.exchange_schedule.next_probe {
            self.exchange_schedule.next_probe = now + self.with_jitter(EXCHANGE_PERIOD);
            self.probe_next_member(now, actions);
        }
        if now >= self.exchange_schedule.next_remote {
            self.exchange_schedule.next_remote = now + self.with_jitter(REMOTE_PERIOD);
            let contact = self.contacts.choose(&mut self.rng).cloned();
            self.start_exchange(now, contact.as_ref(), actions);
        }
        if now >= self.exchange_schedule.next_reconnect {
            self.exchange_schedule.next_reconnect = now + self.with_jitter(RECONNECT_PERIOD);
            self.reconnect(now, actions);
        }
        if self.exchange_schedule.push_after.is_some() && now >= self.exchange_schedule.next_push {
            self.push_changes(now, actions);
        }
    }

    /// Asks a few peers for all members and announcements, since this daemon knows no peers.
    pub(super) fn join(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let candidates = self.disconnected_addresses();
        let chosen: Vec<SocketAddr> = candidates
            .choose_multiple(&mut self.rng, JOIN_FANOUT)
            .copied()
            .collect();
        for address in chosen {
            self.start_exchange_at(now, address, true, actions);
        }
    }

    pub(super) fn send(
        &mut self,
        address: SocketAddr,
        peer: Option<(HostName, Incarnation)>,
        round: u32,
        delta_sent_after: Option<StorePosition>,
        message: ExchangeMessage,
        actions: &mut Vec<ControlAction>,
    ) {
        let exchange = self.exchange_schedule.next_exchange;
        self.exchange_schedule.next_exchange += 1;
        self.pending.push(PendingExchange {
            exchange,
            address,
            peer,
            round,
            delta_sent_after,
        });
        actions.push(ControlAction::Exchange {
            exchange,
            address,
            message: Box::new(message),
        });
    }

    /// Starts an exchange with the next member. Members are taken in a random order, which is drawn
    /// anew once each of them has been probed.
    fn probe_next_member(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        while let Some(host) = self.exchange_schedule.probe_order.pop() {
            let record = self.members.find(&host).cloned();
            if let Some(record) = record.filter(|record| record.state != MemberState::Gone) {
                self.start_exchange(now, Some(&record), actions);
                return;
            }
        }
        let mut order: Vec<HostName> = self
            .members
            .present()
            .map(|record| record.host.clone())
            .collect();
        order.shuffle(&mut self.rng);
        let first = order.pop();
        self.exchange_schedule.probe_order = order;
        match first.and_then(|host| self.members.find(&host).cloned()) {
            Some(record) => self.start_exchange(now, Some(&record), actions),
            None => self.reconnect(now, actions),
        }
    }

    /// Starts an exchange with a random daemon that is not known to be present.
    fn reconnect(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let disconnected_addresses = self.disconnected_addresses();
        if let Some(&address) = disconnected_addresses.choose(&mut self.rng) {
            let knows_nobody = !self.knows_peers();
            self.start_exchange_at(now, address, knows_nobody, actions);
        }
    }

    /// Returns the addresses of daemons that are not known to be present: members that are gone,
    /// hosts that are only listed, and seeds.
    fn disconnected_addresses(&self) -> Vec<SocketAddr> {
        let own = self.members.own().address;
        let mut known: Vec<SocketAddr> = self
            .members
            .present()
            .chain(self.contacts.records())
            .map(|record| record.address)
            .collect();
        known.push(own);
        known.sort_unstable();
        let gone = self.members.gone().map(|record| record.address);
        let listed = self.listed_hosts.iter().map(|listed| listed.address);
        let mut disconnected_addresses: Vec<SocketAddr> = gone
            .chain(listed)
            .chain(self.seeds.iter().copied())
            .filter(|address| known.binary_search(address).is_err())
            .collect();
        disconnected_addresses.sort_unstable();
        disconnected_addresses.dedup();
        disconnected_addresses
    }

    /// Pushes changes to a few random peers. Small configuration changes are included within the
    /// data centre. Another one mostly has them from its own readers and asks for them otherwise.
    fn push_changes(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let Some(base) = self.exchange_schedule.push_after.take() else {
            return;
        };
        self.exchange_schedule.next_push = now + MIN_PUSH_INTERVAL;
        let peers: Vec<MemberRecord> = self
            .members
            .alive()
            .cloned()
            .choose_multiple(&mut self.rng, PUSH_FANOUT);
        let remote = self.contacts.choose(&mut self.rng).cloned();
        let delta = (base < self.store.position())
            .then(|| {
                self.store
                    .delta_since(base, &[], DeltaFormat::Plain, MAX_PUSH_BYTES)
            })
            .filter(|delta| delta.bytes() <= MAX_PUSH_BYTES);
        for peer in peers {
            let mut message = self.new_message(now, true);
            message.delta.clone_from(&delta);
            self.start_exchange_with(&peer, message, actions);
        }
        self.start_exchange(now, remote.as_ref(), actions);
    }

    fn start_exchange(
        &mut self,
        now: Instant,
        peer: Option<&MemberRecord>,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(peer) = peer else {
            return;
        };
        let message = self.new_message(now, true);
        self.start_exchange_with(peer, message, actions);
    }

    fn start_exchange_with(
        &mut self,
        peer: &MemberRecord,
        mut message: ExchangeMessage,
        actions: &mut Vec<ControlAction>,
    ) {
        self.add_suspicion(peer, &mut message);
        let identity = Some((peer.host.clone(), peer.incarnation));
        self.send(peer.address, identity, 0, None, message, actions);
    }

    fn start_exchange_at(
        &mut self,
        now: Instant,
        address: SocketAddr,
        wants_members: bool,
        actions: &mut Vec<ControlAction>,
    ) {
        let mut message = self.new_message(now, true);
        message.wants.members = wants_members;
        self.send(address, None, 0, None, message, actions);
    }

    /// Returns whether to request changes from a peer now. Only one peer is asked at a time, so
    /// that a large value is transferred once.
    pub(super) fn grant_delta(&mut self, now: Instant) -> bool {
        let schedule = &mut self.exchange_schedule;
        if schedule
            .delta_granted_until
            .is_some_and(|until| now < until)
        {
            return false;
        }
        schedule.delta_granted_until = Some(now + DELTA_TIMEOUT);
        true
    }

    pub(super) fn remove_pending(&mut self, exchange: ExchangeId) -> Option<PendingExchange> {
        let position = self
            .pending
            .binary_search_by_key(&exchange, |pending| pending.exchange)
            .ok()?;
        Some(self.pending.remove(position))
    }

    fn with_jitter(&mut self, period: Duration) -> Duration {
        period.mul_f64(self.rng.random_range(0.8..1.2))
    }
}
