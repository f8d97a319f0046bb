//! Scheduling of platform reads by readers and by other daemons.

use std::time::{Duration, Instant};

use rand::Rng;

use super::ControlNode;
use crate::control::call_budget::{CallBudget, DEFAULT_PLATFORM_CALLS, PlatformCallRate};
use crate::control::config_delta::ConfigValue;
use crate::control::config_store::UpdateOutcome;
use crate::control::event::{ControlAction, ControlNotice, ListedHost};
use crate::control::fleet_bounds::FleetBounds;
use crate::control::knowledge_age::KnowledgeChange;
use crate::control::reader_election::{poll_interval, reader_count, reader_rank};
use crate::control::reader_heartbeat::{HeartbeatUpdate, ReaderHeartbeat};
use crate::control::store_position::StorePosition;

/// Maximum time for which the platform holds a reader's watch until there is a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Interval at which a reader reads the list of hosts.
const HOSTS_PERIOD: Duration = Duration::from_secs(2);
/// Time without a new reader heartbeat after which a daemon assumes that no reader is distributing
/// changes.
pub(super) const READER_TIMEOUT: Duration = Duration::from_secs(6);
/// Multiple of the watch wait after which a reader without an answer counts as partitioned from
/// the platform. A watch without changes ends after one watch wait.
const OUTAGE_WATCH_FACTOR: f64 = 1.2;
/// Time over which the first reads of daemons without seed peers are spread.
const ALONE_START_WINDOW: Duration = Duration::from_secs(2);
/// Delay until a new daemon that has found peers checks whether it ranks first among them.
const EARLY_READ_DELAY: Duration = Duration::from_millis(500);
/// Time over which the first reads of the daemons that rank first in their views are spread.
const EARLY_READ_WINDOW: Duration = Duration::from_secs(1);

/// Timing of platform reads, chosen to match the platform's own guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSettings {
    /// Maximum time for which the platform holds a reader's watch until there is a change.
    pub watch_wait: Duration,
    /// Minimum time between an answer to a reader and its next watch.
    pub watch_gap: Duration,
    /// Delay after a reader's first failed call; doubles with each further failure.
    pub initial_backoff: Duration,
    /// Maximum delay after failed calls of a reader.
    pub max_backoff: Duration,
    /// Time over which the first reads of daemons that ask peers first are spread.
    pub start_window: Duration,
    /// Whether the platform provides a list of the daemons' hosts.
    pub lists_hosts: bool,
    /// Calls per second that the platform answers, over all daemons.
    pub platform_calls: PlatformCallRate,
}

impl Default for ReadSettings {
    fn default() -> Self {
        Self {
            watch_wait: WATCH_WAIT,
            watch_gap: Duration::from_millis(250),
            initial_backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(4),
            start_window: Duration::from_secs(7),
            lists_hosts: true,
            platform_calls: DEFAULT_PLATFORM_CALLS,
        }
    }
}

/// Times of the next platform reads.
#[derive(Debug)]
pub(super) struct ReadSchedule {
    settings: ReadSettings,
    is_reader: bool,
    in_flight: bool,
    failures: u32,
    budget: CallBudget,
    next_read: Instant,
    next_host_list: Instant,
    next_poll: Instant,
    /// Time before which a daemon with seed peers but no configuration is not a reader. When a whole
    /// fleet starts, each daemon at first sees only itself, and most learn the configuration from a
    /// peer that read it earlier.
    first_read_at: Instant,
    early_read_at: Option<Instant>,
    wants_hosts: bool,
    /// Time of the platform's last answer while this daemon is a reader.
    last_answer: Option<Instant>,
}

impl ReadSchedule {
    pub(super) fn new(
        now: Instant,
        settings: ReadSettings,
        is_alone: bool,
        rng: &mut impl Rng,
    ) -> Self {
        let window = if is_alone {
            ALONE_START_WINDOW.min(settings.start_window)
        } else {
            settings.start_window
        };
        let early_read = EARLY_READ_DELAY + EARLY_READ_WINDOW.mul_f64(rng.random());
        let first_poll = now + window.mul_f64(rng.random());
        Self {
            settings,
            is_reader: false,
            in_flight: false,
            failures: 0,
            budget: CallBudget::new(now),
            next_read: now,
            next_host_list: now,
            next_poll: first_poll,
            first_read_at: if is_alone { now } else { first_poll },
            early_read_at: Some(now + early_read),
            wants_hosts: false,
            last_answer: None,
        }
    }

    /// Records an answer of the platform. Returns true if it is a reader's first after an outage.
    fn record_answer(&mut self, now: Instant) -> bool {
        let silence = self.settings.watch_wait.mul_f64(OUTAGE_WATCH_FACTOR);
        let before = self.last_answer.replace(now).filter(|_| self.is_reader);
        before.is_some_and(|before| now.saturating_duration_since(before) > silence)
    }

    /// Discards the time of the last answer of the platform; called after a pause.
    pub(super) fn reset_timers(&mut self) {
        self.last_answer = None;
    }

    pub(super) fn is_reader(&self) -> bool {
        self.is_reader
    }
}

impl ControlNode {
    pub(super) fn next_read_due(&mut self, now: Instant) -> Instant {
        let schedule = &mut self.read_schedule;
        if !schedule.is_reader {
            let early_read = schedule.early_read_at.unwrap_or(schedule.next_poll);
            let due = schedule.next_poll.min(early_read);
            let hosts = now + schedule.budget.wait(now);
            return if schedule.wants_hosts {
                due.min(hosts)
            } else {
                due
            };
        }
        let values = (!schedule.in_flight).then_some(schedule.next_read);
        let hosts = schedule
            .settings
            .lists_hosts
            .then_some(schedule.next_host_list);
        let due = values.into_iter().chain(hosts).min();
        due.map_or(schedule.next_poll.max(now + HOSTS_PERIOD), |due| {
            due.max(now + schedule.budget.wait(now))
        })
    }

    pub(super) fn run_reads(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let view = self.members.alive().count() + 1;
        let alive = self.members.alive().map(|record| record.host.as_ref());
        let rank = reader_rank(&self.members.own().host, alive);
        let is_leaving = self.is_leaving();
        let platform_calls = self.read_schedule.settings.platform_calls;
        let readers = reader_count(view, &self.bounds, platform_calls);
        let may_read = self.store.position().is_known() || now >= self.read_schedule.first_read_at;
        let is_reader = !is_leaving && may_read && rank < readers;
        self.set_reader(now, is_reader, actions);
        if is_reader {
            self.read_as_reader(now, actions);
        } else if !is_leaving {
            self.schedule_early_read(now, view, rank);
            self.poll(now, view, actions);
            if self.read_schedule.wants_hosts && self.read_schedule.budget.take(now) {
                self.read_schedule.wants_hosts = false;
                actions.push(ControlAction::ReadHosts);
            }
        }
    }

    pub(super) fn apply_published(
        &mut self,
        now: Instant,
        position: StorePosition,
        values: &[ConfigValue],
        is_listing: bool,
        actions: &mut Vec<ControlAction>,
    ) {
        let schedule = &mut self.read_schedule;
        schedule.in_flight = false;
        schedule.failures = 0;
        schedule.next_read = now + schedule.settings.watch_gap;
        self.advance_heartbeat(now, actions);
        let before = self.store.position();
        let mut changes = Vec::new();
        let outcome = self
            .store
            .apply_published(position, values, is_listing, &mut changes);
        let texts = values.iter().filter_map(|value| value.value.as_deref());
        let bytes = texts.map(str::len).sum();
        self.apply_changes(before, None, bytes, changes, actions);
        if outcome == UpdateOutcome::Stale {
            let notice = ControlNotice::PlatformStale {
                offered: position,
                known: self.store.position(),
            };
            actions.push(ControlAction::Notice(notice));
        }
        self.read_schedule.wants_hosts =
            self.read_schedule.settings.lists_hosts && !self.knows_peers();
    }

    pub(super) fn handle_read_failure(&mut self, now: Instant) {
        let schedule = &mut self.read_schedule;
        schedule.in_flight = false;
        let backoff =
            schedule.settings.initial_backoff * 2_u32.saturating_pow(schedule.failures.min(8));
        schedule.failures += 1;
        let jitter = self.rng.random_range(0.5..1.5);
        schedule.next_read = now + backoff.min(schedule.settings.max_backoff).mul_f64(jitter);
    }

    pub(super) fn handle_host_list(
        &mut self,
        now: Instant,
        listed_hosts: Vec<ListedHost>,
        actions: &mut Vec<ControlAction>,
    ) {
        if self.read_schedule.failures == 0 {
            self.advance_heartbeat(now, actions);
        }
        let is_first = !self.knows_peers();
        self.update_listed_hosts(now, listed_hosts);
        if is_first {
            self.join(now, actions);
        }
    }

    fn set_reader(&mut self, now: Instant, is_reader: bool, actions: &mut Vec<ControlAction>) {
        let bounds: &FleetBounds = &self.bounds;
        let platform_calls = self.read_schedule.settings.platform_calls;
        self.read_schedule
            .budget
            .set_rate(now, bounds, platform_calls, is_reader);
        if is_reader == self.read_schedule.is_reader {
            return;
        }
        self.read_schedule.is_reader = is_reader;
        self.read_schedule.last_answer = None;
        self.read_schedule.next_read = now;
        self.read_schedule.next_host_list = now;
        let notice = ControlNotice::ReaderChanged(is_reader);
        actions.push(ControlAction::Notice(notice));
    }

    fn read_as_reader(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let schedule = &mut self.read_schedule;
        if !schedule.in_flight && now >= schedule.next_read && schedule.budget.take(now) {
            schedule.in_flight = true;
            let after = self.store.position();
            // After a failure use calls that return at once, since they show soonest that the
            // platform is back. A watch sent just before that would hang on a dead connection.
            let wait = if !after.is_known() || schedule.failures > 0 {
                Duration::ZERO
            } else {
                schedule.settings.watch_wait
            };
            actions.push(ControlAction::ReadValues { after, wait });
        }
        if schedule.settings.lists_hosts
            && now >= schedule.next_host_list
            && schedule.budget.take(now)
        {
            schedule.next_host_list = now + HOSTS_PERIOD;
            actions.push(ControlAction::ReadHosts);
        }
    }

    /// Lets the first-ranked daemon of a new view read early, so that a small fleet whose daemons
    /// all start together does not wait for the start window, which a large fleet needs while its
    /// daemons do not know each other.
    fn schedule_early_read(&mut self, now: Instant, view: usize, rank: usize) {
        if self
            .read_schedule
            .early_read_at
            .is_none_or(|early_read| now < early_read)
        {
            return;
        }
        self.read_schedule.early_read_at = None;
        if view > 1 && rank == 0 && !self.store.position().is_known() {
            self.read_schedule.next_poll = now;
        }
    }

    /// Reads values once if no reader distributes changes.
    fn poll(&mut self, now: Instant, view: usize, actions: &mut Vec<ControlAction>) {
        if now < self.read_schedule.next_poll {
            return;
        }
        let interval = poll_interval(
            view,
            &self.bounds,
            self.read_schedule.settings.platform_calls,
            &mut self.rng,
        );
        let reader_deadline = self
            .heartbeats
            .last_advanced()
            .map(|last_advanced| last_advanced + READER_TIMEOUT);
        if let Some(reader_deadline) =
            reader_deadline.filter(|&reader_deadline| reader_deadline > now)
        {
            self.read_schedule.next_poll = reader_deadline + interval.mul_f64(self.rng.random());
            return;
        }
        self.read_schedule.next_poll = now + interval;
        if !self.read_schedule.in_flight && self.read_schedule.budget.take(now) {
            self.read_schedule.in_flight = true;
            let after = self.store.position();
            let wait = Duration::ZERO;
            actions.push(ControlAction::ReadValues { after, wait });
        }
    }

    /// Counts an answer of the platform in this daemon's own heartbeat.
    fn advance_heartbeat(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        self.own_heartbeat.count += 1;
        if self.read_schedule.record_answer(now) {
            self.own_heartbeat.first_after_outage = self.own_heartbeat.count;
        }
        let heartbeat = self.own_heartbeat.clone();
        self.handle_heartbeat(now, &heartbeat, actions);
    }

    /// Handles a reader's heartbeat. An outage that one reader reports is ignored if other readers
    /// were answered meanwhile.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &ReaderHeartbeat,
        actions: &mut Vec<ControlAction>,
    ) {
        let last_advanced = self.heartbeats.last_advanced();
        let silence = self.read_schedule.settings.watch_wait;
        let silent = last_advanced.is_some_and(|at| now.saturating_duration_since(at) > silence);
        let update = self.heartbeats.merge(now, heartbeat);
        if update == HeartbeatUpdate::Recovered && silent {
            actions.push(ControlAction::PlatformRecovered);
        }
        if update != HeartbeatUpdate::Known {
            push_knowledge_change(self.knowledge.refresh(now), actions);
        }
    }

    /// Reports that no reader has been answered for too long.
    pub(super) fn check_knowledge(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        push_knowledge_change(self.knowledge.check(now), actions);
    }
}

fn push_knowledge_change(change: Option<KnowledgeChange>, actions: &mut Vec<ControlAction>) {
    let notice = change.map(ControlNotice::KnowledgeChanged);
    actions.extend(notice.map(ControlAction::Notice));
}
