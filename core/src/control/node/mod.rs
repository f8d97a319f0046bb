//! The control plane of one daemon: every decision about configuration, membership and news, as
//! events in and actions out.
//!
//! - `exchanges`: whom to exchange with, and when.
//! - `messages`: what to say, and what to make of what a peer says.
//! - `platform_reads`: when to read the platform.
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
use self::platform_reads::ReadSchedule;
pub use self::platform_reads::{ReadSettings, WATCH_WAIT};
use super::announcements::{AnnouncementKind, AnnouncementRecord, AnnouncementTable};
use super::config_store::{ConfigStore, StoreChange, ValueCheck};
use super::contact_table::ContactTable;
use super::event::{ControlAction, ControlEvent, ControlNotice, ListedHost};
use super::exchange::ExchangeMessage;
use super::fleet_bounds::FleetBounds;
use super::member_record::MemberRecord;
use super::member_table::MemberTable;
use super::reader_heartbeat::{HeartbeatTable, ReaderHeartbeat};
use crate::ids::{ConfigVersion, HostName};

/// How far behind its due time a tick may come before the process is taken to have been paused.
pub const MAX_TICK_DELAY: Duration = Duration::from_secs(2);
/// How long a daemon that knows a configuration waits for a peer to confirm it, at the start and
/// after a pause, before it takes requests all the same.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// What one control plane is made of.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This daemon.
    pub own: MemberRecord,
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The seed of every random choice.
    pub seed: u64,
    /// The check that a value must pass before it is in force.
    pub check: ValueCheck,
    /// How fast the platform is read.
    pub read_settings: ReadSettings,
    /// What to do when a later process seems to run on this host.
    pub host_conflict: HostConflictPolicy,
}

/// What a daemon does when it hears of a process on its host that seems to have started later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostConflictPolicy {
    /// It takes the other's word and stops.
    Stop,
    /// It knows that it is the only one on its host, and that the other must be an earlier one
    /// that started by a clock which was ahead; it tells the others that it is the later one.
    Supersede,
}

/// Whether what is known has been confirmed since the start or the last pause.
#[derive(Clone, Copy, Debug)]
struct ReadinessState {
    since: Instant,
    has_peer_reply: bool,
    reported_version: ConfigVersion,
    confirmed: bool,
    reported: bool,
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
    exchange_schedule: ExchangeSchedule,
    pending: Vec<PendingExchange>,
    read_schedule: ReadSchedule,
    readiness: ReadinessState,
    rng: ChaCha8Rng,
    last_handled: Instant,
    next_tick: Instant,
}

impl ControlNode {
    /// Makes a control plane that knows only itself.
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
            store: ConfigStore::new(settings.check),
            members: MemberTable::new(now, settings.own),
            contacts: ContactTable::default(),
            announcements: AnnouncementTable::default(),
            heartbeats: HeartbeatTable::default(),
            own_heartbeat,
            exchange_schedule: ExchangeSchedule::new(now, &mut rng),
            pending: Vec::new(),
            read_schedule,
            readiness: ReadinessState::new(now),
            rng,
            last_handled: now,
            next_tick: now,
        }
    }

    /// The configuration.
    pub fn store(&self) -> &ConfigStore {
        &self.store
    }

    /// The daemons of the own data centre.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The known daemons of other data centres.
    pub fn contacts(&self) -> &ContactTable {
        &self.contacts
    }

    /// The news.
    pub fn announcements(&self) -> &AnnouncementTable {
        &self.announcements
    }

    /// The fleet's bounds that are in force.
    pub fn bounds(&self) -> &FleetBounds {
        &self.bounds
    }

    /// Whether this daemon reads the platform for its data centre.
    pub fn is_reader(&self) -> bool {
        self.read_schedule.is_reader()
    }

    /// Whether the configuration is known well enough to take requests.
    pub fn is_ready(&self) -> bool {
        self.readiness.confirmed
    }

    /// When the next [`ControlEvent::Tick`] is due.
    pub fn next_wake(&self) -> Instant {
        self.next_tick
    }

    /// Takes an event and appends what follows from it to `actions`, in the order to carry out.
    pub fn handle(&mut self, now: Instant, event: ControlEvent, actions: &mut Vec<ControlAction>) {
        self.detect_pause(now);
        match event {
            ControlEvent::Tick => {}
            ControlEvent::Replied { exchange, message } => {
                self.handle_reply(now, exchange, &message, actions);
            }
            ControlEvent::Unanswered { exchange } => self.handle_unanswered(now, exchange, actions),
            ControlEvent::Published { version, values } => {
                self.apply_published(now, version, &values, actions);
            }
            ControlEvent::Listed(listed_hosts) => self.handle_host_list(now, listed_hosts, actions),
            ControlEvent::ReadFailed => self.handle_read_failure(now),
            ControlEvent::BoundsChanged(bounds) => self.bounds = bounds,
            ControlEvent::Announce { kind, lifetime } => {
                self.announce(now, kind, lifetime, actions)
            }
            ControlEvent::Paused(_) => self.reset_timers(now),
            ControlEvent::Leave => {
                self.members.leave(now);
                self.exchange_schedule.schedule_push();
            }
        }
        self.run_due_work(now, actions);
    }

    /// Answers a peer's exchange.
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

    /// Does what has become due, and sets when the next tick is.
    fn run_due_work(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        self.expire(now, actions);
        self.run_reads(now, actions);
        self.run_exchanges(now, actions);
        self.update_ready(now, actions);
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

    /// Takes a wake-up that is far too late for a pause, before anything is concluded from ages.
    fn detect_pause(&mut self, now: Instant) {
        if now > self.next_tick + MAX_TICK_DELAY {
            self.reset_timers(now);
        }
    }

    /// Drops every belief that rests on an age, after a pause: nobody is suspected because this
    /// daemon did not listen, and what it knows is confirmed by a peer before it is relied on.
    fn reset_timers(&mut self, now: Instant) {
        self.members.reset_timers(now);
        self.heartbeats.reset_timers();
        self.read_schedule.reset_timers();
        self.pending.clear();
        self.exchange_schedule.restart(now);
        self.readiness = ReadinessState {
            reported: self.readiness.reported,
            ..ReadinessState::new(now)
        };
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        for host in self.members.expire(now) {
            let notice = ControlNotice::PeerGone(host);
            actions.push(ControlAction::Noticed(notice));
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
        let item = AnnouncementRecord {
            kind,
            id: rand::Rng::random(&mut self.rng),
            remaining_ms: lifetime.as_millis() as u64,
        };
        self.handle_announcement(now, &item, actions);
    }

    fn handle_announcement(
        &mut self,
        now: Instant,
        item: &AnnouncementRecord,
        actions: &mut Vec<ControlAction>,
    ) {
        let kind = item.kind;
        if self.announcements.merge(now, item) {
            self.exchange_schedule.schedule_push();
            let active = true;
            actions.push(ControlAction::AnnouncementChanged { kind, active });
        }
    }

    /// Turns changes of the store into actions, and passes an advance on at once.
    fn apply_changes(
        &mut self,
        before: ConfigVersion,
        peer: Option<&HostName>,
        changes: Vec<StoreChange>,
        actions: &mut Vec<ControlAction>,
    ) {
        for change in changes {
            actions.push(match change {
                StoreChange::Applied(value) => ControlAction::ApplyValue(value),
                StoreChange::Refused(refused) => {
                    ControlAction::Noticed(ControlNotice::ValueRefused(refused))
                }
            });
        }
        let version = self.store.version();
        if version > before {
            self.exchange_schedule.schedule_push_after(before);
            let peer = peer.cloned();
            let notice = ControlNotice::ConfigAdvanced { version, peer };
            actions.push(ControlAction::Noticed(notice));
        }
    }

    /// A daemon that knows a configuration takes requests once a peer has confirmed that it is the
    /// newest, once it is known to be alone, or once nobody has answered for a while.
    fn update_ready(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let has_config = self.store.version() > 0;
        if !has_config {
            self.readiness.since = now;
        }
        let caught_up = self.store.version() >= self.readiness.reported_version;
        let is_current = self.readiness.has_peer_reply && caught_up;
        let timed_out = now >= self.readiness.since + CONFIRM_TIMEOUT;
        let is_confirmed = is_current || self.is_alone() || timed_out;
        self.readiness.confirmed |= has_config && is_confirmed;
        if self.readiness.reported != self.readiness.confirmed {
            self.readiness.reported = self.readiness.confirmed;
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
            reported_version: 0,
            confirmed: false,
            reported: false,
        }
    }
}
