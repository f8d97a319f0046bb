//! The control plane of one daemon: every decision about configuration, membership and news, as
//! events in and actions out.
//!
//! - `exchanging`: whom to exchange with, and when.
//! - `messages`: what to say, and what to make of what a peer says.
//! - `reading`: when to read the platform.
//!
//! See `docs/DESIGN.md`, "Configuration" and "Membership".

mod answers;
mod exchanging;
mod messages;
mod reading;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::exchanging::{ExchangePlan, PendingExchange};
use self::reading::ReadingPlan;
pub use self::reading::{ReadSettings, WATCH_WAIT};
use super::announcements::{AnnouncementKind, AnnouncementRecord, AnnouncementTable};
use super::config_store::{ConfigStore, StoreChange, ValueCheck};
use super::contact_table::ContactTable;
use super::event::{ControlAction, ControlEvent, ControlNotice, ListedHost};
use super::exchange::ExchangeMessage;
use super::fleet_bounds::FleetBounds;
use super::member_record::MemberRecord;
use super::member_table::MemberTable;
use super::reader_beat::{BeatBoard, ReaderBeat};
use crate::ids::{ConfigVersion, HostName};

/// How far behind its due time a tick may come before the process is taken to have been paused.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(2);
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
struct ReadyPlan {
    since: Instant,
    heard_peer: bool,
    heard_version: ConfigVersion,
    confirmed: bool,
    told: bool,
}

/// The control plane of one daemon.
#[derive(Debug)]
pub struct ControlNode {
    host_conflict: HostConflictPolicy,
    seeds: Vec<SocketAddr>,
    hints: Vec<ListedHost>,
    listed: bool,
    bounds: FleetBounds,
    store: ConfigStore,
    members: MemberTable,
    contacts: ContactTable,
    announcements: AnnouncementTable,
    heartbeats: BeatBoard,
    own_beat: ReaderBeat,
    exchange_plan: ExchangePlan,
    pending: Vec<PendingExchange>,
    reading: ReadingPlan,
    ready: ReadyPlan,
    rng: ChaCha8Rng,
    handled: Instant,
    due: Instant,
}

impl ControlNode {
    /// Makes a control plane that knows only itself.
    pub fn new(now: Instant, settings: ControlSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let own_beat = ReaderBeat {
            host: settings.own.host.clone(),
            incarnation: settings.own.incarnation,
            count: 0,
            regained: 0,
        };
        let reading = ReadingPlan::new(
            now,
            settings.read_settings,
            settings.seeds.is_empty(),
            &mut rng,
        );
        Self {
            host_conflict: settings.host_conflict,
            seeds: settings.seeds,
            hints: Vec::new(),
            listed: false,
            bounds: FleetBounds::default(),
            store: ConfigStore::new(settings.check),
            members: MemberTable::new(now, settings.own),
            contacts: ContactTable::default(),
            announcements: AnnouncementTable::default(),
            heartbeats: BeatBoard::default(),
            own_beat,
            exchange_plan: ExchangePlan::new(now, &mut rng),
            pending: Vec::new(),
            reading,
            ready: ReadyPlan::new(now),
            rng,
            handled: now,
            due: now,
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
        self.reading.is_reader()
    }

    /// Whether the configuration is known well enough to take requests.
    pub fn is_ready(&self) -> bool {
        self.ready.confirmed
    }

    /// When the next [`ControlEvent::Tick`] is due.
    pub fn next_wake(&self) -> Instant {
        self.due
    }

    /// Takes an event and appends what follows from it to `actions`, in the order to carry out.
    pub fn handle(&mut self, now: Instant, event: ControlEvent, actions: &mut Vec<ControlAction>) {
        self.notice_pause(now);
        match event {
            ControlEvent::Tick => {}
            ControlEvent::Replied { exchange, message } => {
                self.take_reply(now, exchange, &message, actions);
            }
            ControlEvent::Unanswered { exchange } => self.take_silence(now, exchange, actions),
            ControlEvent::Published { version, values } => {
                self.take_published(now, version, &values, actions);
            }
            ControlEvent::Listed(hints) => self.take_hosts(now, hints, actions),
            ControlEvent::ReadFailed => self.take_read_failure(now),
            ControlEvent::BoundsChanged(bounds) => self.bounds = bounds,
            ControlEvent::Announce { kind, lifetime } => {
                self.announce(now, kind, lifetime, actions)
            }
            ControlEvent::Paused(_) => self.forget_ages(now),
            ControlEvent::Leave => {
                self.members.leave(now);
                self.exchange_plan.push_now();
            }
        }
        self.proceed(now, actions);
    }

    /// Answers a peer's exchange.
    pub fn answer(
        &mut self,
        now: Instant,
        message: &ExchangeMessage,
        actions: &mut Vec<ControlAction>,
    ) -> ExchangeMessage {
        self.notice_pause(now);
        self.take_message(now, message, actions);
        let reply = self.reply_to(now, message);
        self.proceed(now, actions);
        reply
    }

    /// Does what has become due, and sets when the next tick is.
    fn proceed(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        self.expire(now, actions);
        self.drive_reading(now, actions);
        self.drive_exchanges(now, actions);
        self.update_ready(now, actions);
        self.handled = now;
        self.due = self.next_due(now);
    }

    fn next_due(&mut self, now: Instant) -> Instant {
        let mut due = self.exchange_plan.next_due().min(self.next_read_due(now));
        let expiries = [self.members.next_expiry(), self.announcements.next_end(now)];
        for expiry in expiries.into_iter().flatten() {
            due = due.min(expiry);
        }
        let confirm = self.ready.since + CONFIRM_TIMEOUT;
        if !self.ready.confirmed && confirm > now {
            due = due.min(confirm);
        }
        due.max(now + Duration::from_millis(1))
    }

    /// Takes a wake-up that is far too late for a pause, before anything is concluded from ages.
    fn notice_pause(&mut self, now: Instant) {
        if now > self.due + PAUSE_LIMIT {
            self.forget_ages(now);
        }
    }

    /// Drops every belief that rests on an age, after a pause: nobody is suspected because this
    /// daemon did not listen, and what it knows is confirmed by a peer before it is relied on.
    fn forget_ages(&mut self, now: Instant) {
        self.members.forget_ages(now);
        self.heartbeats.forget_ages();
        self.reading.forget_ages();
        self.pending.clear();
        self.exchange_plan.restart(now);
        self.ready = ReadyPlan {
            told: self.ready.told,
            ..ReadyPlan::new(now)
        };
    }

    fn expire(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        for host in self.members.expire(now) {
            let notice = ControlNotice::PeerGone(host);
            actions.push(ControlAction::Noticed(notice));
        }
        for kind in self.announcements.expire(self.handled, now) {
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
            issue: rand::Rng::random(&mut self.rng),
            left_ms: lifetime.as_millis() as u64,
        };
        self.take_news(now, &item, actions);
    }

    fn take_news(
        &mut self,
        now: Instant,
        item: &AnnouncementRecord,
        actions: &mut Vec<ControlAction>,
    ) {
        let kind = item.kind;
        if self.announcements.merge(now, item) {
            self.exchange_plan.push_now();
            let active = true;
            actions.push(ControlAction::AnnouncementChanged { kind, active });
        }
    }

    /// Turns changes of the store into actions, and passes an advance on at once.
    fn take_changes(
        &mut self,
        before: ConfigVersion,
        peer: Option<&HostName>,
        changes: Vec<StoreChange>,
        actions: &mut Vec<ControlAction>,
    ) {
        for change in changes {
            actions.push(match change {
                StoreChange::InForce(value) => ControlAction::ApplyValue(value),
                StoreChange::Refused(refused) => {
                    ControlAction::Noticed(ControlNotice::ValueRefused(refused))
                }
            });
        }
        let version = self.store.version();
        if version > before {
            self.exchange_plan.push_after(before);
            let peer = peer.cloned();
            let notice = ControlNotice::ConfigAdvanced { version, peer };
            actions.push(ControlAction::Noticed(notice));
        }
    }

    /// A daemon that knows a configuration takes requests once a peer has confirmed that it is the
    /// newest, once it is known to be alone, or once nobody has answered for a while.
    fn update_ready(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let knows = self.store.version() > 0;
        if !knows {
            self.ready.since = now;
        }
        let caught_up = self.store.version() >= self.ready.heard_version;
        let has_heard = self.ready.heard_peer && caught_up;
        let timed_out = now >= self.ready.since + CONFIRM_TIMEOUT;
        let confirms = has_heard || self.is_alone() || timed_out;
        self.ready.confirmed |= knows && confirms;
        if self.ready.told != self.ready.confirmed {
            self.ready.told = self.ready.confirmed;
            actions.push(ControlAction::Ready(self.ready.confirmed));
        }
    }

    fn is_alone(&self) -> bool {
        self.listed && self.seeds.is_empty() && self.hints.is_empty() && !self.knows_peers()
    }

    fn knows_peers(&self) -> bool {
        self.members.present().next().is_some() || self.contacts.records().next().is_some()
    }
}

impl ReadyPlan {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            heard_peer: false,
            heard_version: 0,
            confirmed: false,
            told: false,
        }
    }
}
