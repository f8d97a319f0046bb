//! The control plane of one daemon as a state machine: it decides about configuration, membership
//! and announcements, taking events and returning actions.
//!
//! - `exchanges`: when to exchange messages, and with which peers.
//! - `messages`: contents of outgoing messages and handling of received ones.
//! - `platform_reads`: when to read the platform.
//! - `replies`: handling of replies to this daemon's exchanges, and of their absence.
//!
//! See `docs/DESIGN.md`, "Configuration" and "Membership".

mod exchanges;
mod messages;
mod platform_reads;
mod replies;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::exchanges::{ExchangeSchedule, PendingExchange};
use self::platform_reads::{READER_TIMEOUT, ReadSchedule};
pub use self::platform_reads::{ReadSettings, WATCH_WAIT};
use super::announcements::{AnnouncementKind, AnnouncementRecord, AnnouncementTable};
use super::config_store::{ConfigStore, StoreChange, ValueCheck, ValueRank};
use super::contact_table::ContactTable;
use super::event::{ControlAction, ControlEvent, ControlNotice, ListedHost};
use super::exchange::ExchangeMessage;
use super::fleet_bounds::FleetBounds;
use super::knowledge_age::KnowledgeAge;
use super::member_record::MemberRecord;
use super::member_table::MemberTable;
use super::reader_heartbeat::{HeartbeatTable, ReaderHeartbeat};
use super::store_position::StorePosition;
use crate::ids::HostName;

/// Maximum delay of a tick. After a longer one the process is considered to have been paused.
pub const MAX_TICK_DELAY: Duration = Duration::from_secs(2);
/// Time for which a daemon with a configuration waits for a peer to confirm that it is the newest,
/// after its start and after a pause. After this time it accepts requests without confirmation.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of a [`ControlNode`].
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This daemon's own record.
    pub own: MemberRecord,
    /// Addresses of the peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Validation that a configuration value must pass before it takes effect.
    pub check: ValueCheck,
    /// Order that writers give their values, which holds also after the platform was restored.
    pub rank: ValueRank,
    /// Timing of platform reads.
    pub read_settings: ReadSettings,
    /// Reaction to a record of a later process on this daemon's host.
    pub host_conflict: HostConflictPolicy,
}

/// Reaction of a daemon when peers report a process on its host with a greater incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostConflictPolicy {
    /// Trust the report and stop this process.
    Stop,
    /// Take a greater incarnation than the reported one. For daemons that are known to be the only
    /// process on their host: the other process must be an earlier one whose incarnation came from
    /// a clock that was ahead.
    Supersede,
}

/// Whether the configuration has been confirmed since the start or the last pause.
#[derive(Clone, Copy, Debug)]
struct ReadinessState {
    since: Instant,
    has_peer_reply: bool,
    newest_peer_position: StorePosition,
    confirmed: bool,
    is_signalled: bool,
}

/// The control plane of one daemon.
#[derive(Debug)]
pub struct ControlNode {
    host_conflict: HostConflictPolicy,
    seeds: Vec<SocketAddr>,
    listed_hosts: Vec<ListedHost>,
    has_host_list: bool,
    bounds: FleetBounds,
    store: ConfigStore,
    members: MemberTable,
    contacts: ContactTable,
    announcements: AnnouncementTable,
    heartbeats: HeartbeatTable,
    own_heartbeat: ReaderHeartbeat,
    knowledge: KnowledgeAge,
    exchange_schedule: ExchangeSchedule,
    pending: Vec<PendingExchange>,
    read_schedule: ReadSchedule,
    readiness: ReadinessState,
    rng: ChaCha8Rng,
    last_handled: Instant,
    next_tick: Instant,
}

impl ControlNode {
    /// Creates a control plane that knows no peers and no configuration.
    pub fn new(now: Instant, settings: ControlSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let own_heartbeat = ReaderHeartbeat {
            host: settings.own.host.clone(),
            incarnation: settings.own.incarnation,
            count: 0,
            first_after_outage: 0,
        };
        let read_schedule = ReadSchedule::new(
            now,
            settings.read_settings,
            settings.seeds.is_empty(),
            &mut rng,
        );
        Self {
            host_conflict: settings.host_conflict,
            seeds: settings.seeds,
            listed_hosts: Vec::new(),
            has_host_list: false,
            bounds: FleetBounds::default(),
            store: ConfigStore::new(settings.check).ranked_by(settings.rank),
            members: MemberTable::new(now, settings.own),
            contacts: ContactTable::default(),
            announcements: AnnouncementTable::default(),
            heartbeats: HeartbeatTable::default(),
            own_heartbeat,
            knowledge: KnowledgeAge::new(now, READER_TIMEOUT),
            exchange_schedule: ExchangeSchedule::new(now, &mut rng),
            pending: Vec::new(),
            read_schedule,
            readiness: ReadinessState::new(now),
            rng,
            last_handled: now,
            next_tick: now,
        }
    }

    /// Returns the configuration.
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// Returns the members of the local data centre.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the known daemons of other data centres.
    pub fn contacts(&self) -> &ContactTable {
        &self.contacts
    }

    /// Returns the announcements.
    pub fn announcements(&self) -> &AnnouncementTable {
        &self.announcements
    }

    /// Returns the fleet bounds in effect.
    pub fn bounds(&self) -> &FleetBounds {
        &self.bounds
    }

    /// Returns whether this daemon reads the platform for its data centre.
    pub fn is_reader(&self) -> bool {
        self.read_schedule.is_reader()
    }

    /// Returns whether the daemon may accept requests with the configuration it knows.
    pub fn is_ready(&self) -> bool {
        self.readiness.confirmed
    }

    /// Returns whether the daemon knows all changes that the peers it has heard from know.
    pub fn is_caught_up(&self) -> bool {
        self.store.position() >= self.readiness.newest_peer_position
    }

    /// Returns the time since the platform last answered a reader, as far as this daemon knows.
    pub fn knowledge_age(&self, now: Instant) -> Duration {
        self.knowledge.elapsed(now)
    }

    /// Returns when the next [`ControlEvent::Tick`] is due.
    pub fn next_wake(&self) -> Instant {
        self.next_tick
    }

    /// Handles an event and appends the resulting actions, which must be carried out in order.
    pub fn handle(&mut self, now: Instant, event: ControlEvent, actions: &mut Vec<ControlAction>) {
        self.detect_pause(now);
        match event {
            ControlEvent::Tick => {}
            ControlEvent::Replied { exchange, message } => {
                self.handle_reply(now, exchange, &message, actions);
            }
            ControlEvent::Unanswered { exchange } => self.handle_unanswered(now, exchange, actions),
            ControlEvent::Published {
                position,
                values,
                is_listing,
            } => self.apply_published(now, position, &values, is_listing, actions),
            ControlEvent::Listed(listed_hosts) => self.handle_host_list(now, listed_hosts, actions),
            ControlEvent::ReadFailed => self.handle_read_failure(now),
            ControlEvent::BoundsChanged(bounds) => self.bounds = bounds,
            ControlEvent::Announce { kind, lifetime } => {
                self.announce(now, kind, lifetime, actions);
            }
            ControlEvent::Paused(_) => self.reset_timers(now),
            ControlEvent::Leave => {
                self.members.leave(now);
                self.exchange_schedule.schedule_push();
            }
        }
        self.run_due_work(now, actions);
    }

    /// Handles a message from a peer and returns the reply.
    pub fn answer(
        &mut self,
        now: Instant,
        message: &ExchangeMessage,
        actions: &mut Vec<ControlAction>,
    ) -> ExchangeMessage {
        self.detect_pause(now);
        self.handle_message(now, message, actions);
        let reply = self.build_reply(now, message);
        self.run_due_work(now, actions);
        reply
    }

    /// Runs all work that is due and schedules the next tick.
    fn run_due_work(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        self.expire_records(now, actions);
        self.check_knowledge(now, actions);
        self.run_reads(now, actions);
        self.run_exchanges(now, actions);
        self.update_readiness(now, actions);
        self.last_handled = now;
        self.next_tick = self.next_due(now);
    }

    fn next_due(&mut self, now: Instant) -> Instant {
        let mut next_tick = self
            .exchange_schedule
            .next_due()
            .min(self.next_read_due(now));
        let expiries = [
            self.members.next_expiry(),
            self.announcements.next_expiry(now),
            self.knowledge.next_check(),
        ];
        for expiry in expiries.into_iter().flatten() {
            next_tick = next_tick.min(expiry);
        }
        let confirm = self.readiness.since + CONFIRM_TIMEOUT;
        if !self.readiness.confirmed && confirm > now {
            next_tick = next_tick.min(confirm);
        }
        next_tick.max(now + Duration::from_millis(1))
    }

    /// Treats a tick that is far too late as a pause, before any state that depends on ages is
    /// used.
    fn detect_pause(&mut self, now: Instant) {
        if now > self.next_tick + MAX_TICK_DELAY {
            self.reset_timers(now);
        }
    }

    /// Drops all state that depends on ages, after a pause. Peers must not become suspect because
    /// this daemon was not listening, and a peer must confirm the configuration before it is used.
    fn reset_timers(&mut self, now: Instant) {
        self.members.reset_timers(now);
        self.heartbeats.reset_timers();
        self.read_schedule.reset_timers();
        self.pending.clear();
        self.exchange_schedule.restart(now);
        self.readiness = ReadinessState {
            is_signalled: self.readiness.is_signalled,
            ..ReadinessState::new(now)
        };
    }

    fn expire_records(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        for host in self.members.expire(now) {
            let notice = ControlNotice::PeerGone(host);
            actions.push(ControlAction::Notice(notice));
        }
        for kind in self.announcements.expire(self.last_handled, now) {
            let active = false;
            actions.push(ControlAction::AnnouncementChanged { kind, active });
        }
    }

    fn announce(
        &mut self,
        now: Instant,
        kind: AnnouncementKind,
        lifetime: Duration,
        actions: &mut Vec<ControlAction>,
    ) {
        let active = self.announcements.active(now);
        let is_fresh = active
            .binary_search_by_key(&kind, |entry| entry.0)
            .is_ok_and(|position| active[position].1 > lifetime / 2);
        if is_fresh {
            return;
        }
        let record = AnnouncementRecord {
            kind,
            id: rand::Rng::random(&mut self.rng),
            remaining_ms: lifetime.as_millis() as u64,
        };
        self.handle_announcement(now, &record, actions);
    }

    fn handle_announcement(
        &mut self,
        now: Instant,
        record: &AnnouncementRecord,
        actions: &mut Vec<ControlAction>,
    ) {
        let kind = record.kind;
        if self.announcements.merge(now, record) {
            self.exchange_schedule.schedule_push();
            let active = true;
            actions.push(ControlAction::AnnouncementChanged { kind, active });
        }
    }

    /// Converts changes of the store into actions, and schedules a push if its position advanced.
    fn apply_changes(
        &mut self,
        before: StorePosition,
        peer: Option<&HostName>,
        bytes: usize,
        changes: Vec<StoreChange>,
        actions: &mut Vec<ControlAction>,
    ) {
        let position = self.store.position();
        if position.era > before.era && before.is_known() {
            let former = before;
            let notice = ControlNotice::PlatformRestored { position, former };
            actions.push(ControlAction::Notice(notice));
            // What is missing from the copy is written again, as after an outage.
            actions.push(ControlAction::PlatformRecovered);
        }
        for change in changes {
            actions.push(match change {
                StoreChange::Applied(value) => ControlAction::ApplyValue(value),
                StoreChange::Refused(refused) => {
                    ControlAction::Notice(ControlNotice::ValueRefused(refused))
                }
            });
        }
        if position > before {
            self.exchange_schedule.schedule_push_after(before);
            let peer = peer.cloned();
            let notice = ControlNotice::ConfigAdvanced {
                position,
                peer,
                bytes,
            };
            actions.push(ControlAction::Notice(notice));
        }
    }

    /// Updates whether the daemon may accept requests. It needs a configuration, and confirmation
    /// by a peer that it is the newest, knowledge that there are no peers, or a time-out.
    fn update_readiness(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let has_config = self.store.position().is_known();
        if !has_config {
            self.readiness.since = now;
        }
        let caught_up = self.is_caught_up();
        let is_current = self.readiness.has_peer_reply && caught_up;
        let timed_out = now >= self.readiness.since + CONFIRM_TIMEOUT;
        let is_confirmed = is_current || self.is_alone() || timed_out;
        self.readiness.confirmed |= has_config && is_confirmed;
        if self.readiness.is_signalled != self.readiness.confirmed {
            self.readiness.is_signalled = self.readiness.confirmed;
            actions.push(ControlAction::Ready(self.readiness.confirmed));
        }
    }

    fn is_alone(&self) -> bool {
        self.has_host_list
            && self.seeds.is_empty()
            && self.listed_hosts.is_empty()
            && !self.knows_peers()
    }

    fn knows_peers(&self) -> bool {
        self.members.present().next().is_some() || self.contacts.records().next().is_some()
    }
}

impl ReadinessState {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            has_peer_reply: false,
            newest_peer_position: StorePosition::default(),
            confirmed: false,
            is_signalled: false,
        }
    }
}
