//! When this daemon reads the platform.

use std::time::{Duration, Instant};

use rand::Rng;

use super::ControlNode;
use crate::control::call_budget::CallBudget;
use crate::control::config_delta::ConfigValue;
use crate::control::config_store::OfferVerdict;
use crate::control::event::{ControlAction, ControlNotice, ListedHost};
use crate::control::fleet_bounds::FleetBounds;
use crate::control::reader_beat::{BeatNews, ReaderBeat};
use crate::control::reader_election::{poll_interval, reader_count, reader_rank};
use crate::ids::ConfigVersion;

/// How long a reader lets the platform wait for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);
/// How often a reader reads the list of hosts.
const HOSTS_PERIOD: Duration = Duration::from_secs(2);
/// How long without a sign of a reader a daemon takes it that nobody relays.
const RELAY_TIMEOUT: Duration = Duration::from_secs(6);
/// A reader without an answer for so many times the wait of a watch could not reach the platform: a
/// watch without changes ends after one.
const SILENT_WATCHES: f64 = 1.2;
/// Over which time the first calls of daemons without peers to ask are spread.
const LONE_WINDOW: Duration = Duration::from_secs(2);
/// When a fresh daemon that has found peers looks whether it is the first among them.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Over which time the first calls of the first of each view are spread.
const SETTLE_WINDOW: Duration = Duration::from_secs(1);

/// How fast the platform is read: what its own promises ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSettings {
    /// How long a reader lets the platform wait for a change.
    pub watch_wait: Duration,
    /// The least time between a reader's answer and its next watch.
    pub watch_gap: Duration,
    /// The first wait of a reader whose call failed; it doubles with each further failure.
    pub initial_backoff: Duration,
    /// The longest wait of a reader whose calls fail.
    pub max_backoff: Duration,
    /// Over which time the first calls of daemons that ask peers first are spread.
    pub start_window: Duration,
    /// Whether the platform lists the daemons.
    pub lists_hosts: bool,
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
        }
    }
}

/// When the next calls are due.
#[derive(Debug)]
pub(super) struct ReadingPlan {
    read_settings: ReadSettings,
    is_reader: bool,
    in_flight: bool,
    failures: u32,
    budget: CallBudget,
    next_read: Instant,
    next_hosts: Instant,
    next_poll: Instant,
    first_look: Option<Instant>,
    wants_hosts: bool,
    /// When the platform last answered, while this daemon is a reader.
    answered: Option<Instant>,
}

impl ReadingPlan {
    pub(super) fn new(
        now: Instant,
        read_settings: ReadSettings,
        is_alone: bool,
        rng: &mut impl Rng,
    ) -> Self {
        let window = if is_alone {
            LONE_WINDOW.min(read_settings.start_window)
        } else {
            read_settings.start_window
        };
        let settled = SETTLE_TIME + SETTLE_WINDOW.mul_f64(rng.random());
        Self {
            read_settings,
            is_reader: false,
            in_flight: false,
            failures: 0,
            budget: CallBudget::new(now),
            next_read: now,
            next_hosts: now,
            next_poll: now + window.mul_f64(rng.random()),
            first_look: Some(now + settled),
            wants_hosts: false,
            answered: None,
        }
    }

    /// Notes an answer of the platform; true if it is a reader's first after an outage.
    fn note_answer(&mut self, now: Instant) -> bool {
        let silence = self.read_settings.watch_wait.mul_f64(SILENT_WATCHES);
        let before = self.answered.replace(now).filter(|_| self.is_reader);
        before.is_some_and(|before| now.saturating_duration_since(before) > silence)
    }

    /// Forgets when the platform last answered, after a pause.
    pub(super) fn forget_ages(&mut self) {
        self.answered = None;
    }

    pub(super) fn is_reader(&self) -> bool {
        self.is_reader
    }
}

impl ControlNode {
    pub(super) fn next_read_due(&mut self, now: Instant) -> Instant {
        let plan = &mut self.reading;
        if !plan.is_reader {
            let look = plan.first_look.unwrap_or(plan.next_poll);
            let due = plan.next_poll.min(look);
            let hosts = now + plan.budget.wait(now);
            return if plan.wants_hosts {
                due.min(hosts)
            } else {
                due
            };
        }
        let values = (!plan.in_flight).then_some(plan.next_read);
        let hosts = plan.read_settings.lists_hosts.then_some(plan.next_hosts);
        let due = values.into_iter().chain(hosts).min();
        due.map_or(plan.next_poll.max(now + HOSTS_PERIOD), |due| {
            due.max(now + plan.budget.wait(now))
        })
    }

    pub(super) fn drive_reading(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let view = self.members.alive().count() + 1;
        let alive = self.members.alive().map(|record| record.host.as_ref());
        let rank = reader_rank(&self.members.own().host, alive);
        let is_leaving = self.is_leaving();
        let is_reader = !is_leaving && rank < reader_count(view, &self.bounds);
        self.set_reader(now, is_reader, actions);
        if is_reader {
            self.read_as_reader(now, actions);
        } else if !is_leaving {
            self.look_first(now, view, rank);
            self.poll(now, view, actions);
            if self.reading.wants_hosts && self.reading.budget.take(now) {
                self.reading.wants_hosts = false;
                actions.push(ControlAction::ReadHosts);
            }
        }
    }

    pub(super) fn take_published(
        &mut self,
        now: Instant,
        version: ConfigVersion,
        values: &[ConfigValue],
        actions: &mut Vec<ControlAction>,
    ) {
        let plan = &mut self.reading;
        plan.in_flight = false;
        plan.failures = 0;
        plan.next_read = now + plan.read_settings.watch_gap;
        self.raise_beat(now, actions);
        let before = self.store.version();
        let mut changes = Vec::new();
        let verdict = self.store.take_published(version, values, &mut changes);
        self.take_changes(before, None, changes, actions);
        if verdict == OfferVerdict::Stale {
            let notice = ControlNotice::PlatformStale {
                offered: version,
                known: self.store.version(),
            };
            actions.push(ControlAction::Noticed(notice));
        }
        self.reading.wants_hosts = self.reading.read_settings.lists_hosts && !self.knows_peers();
    }

    pub(super) fn take_read_failure(&mut self, now: Instant) {
        let plan = &mut self.reading;
        plan.in_flight = false;
        let backoff =
            plan.read_settings.initial_backoff * 2_u32.saturating_pow(plan.failures.min(8));
        plan.failures += 1;
        let jitter = self.rng.random_range(0.5..1.5);
        plan.next_read = now + backoff.min(plan.read_settings.max_backoff).mul_f64(jitter);
    }

    pub(super) fn take_hosts(
        &mut self,
        now: Instant,
        hints: Vec<ListedHost>,
        actions: &mut Vec<ControlAction>,
    ) {
        if self.reading.failures == 0 {
            self.raise_beat(now, actions);
        }
        let is_first = !self.knows_peers();
        self.take_hints(now, hints);
        if is_first {
            self.join(now, actions);
        }
    }

    fn set_reader(&mut self, now: Instant, is_reader: bool, actions: &mut Vec<ControlAction>) {
        let bounds: &FleetBounds = &self.bounds;
        self.reading.budget.set_rate(now, bounds, is_reader);
        if is_reader == self.reading.is_reader {
            return;
        }
        self.reading.is_reader = is_reader;
        self.reading.answered = None;
        self.reading.next_read = now;
        self.reading.next_hosts = now;
        let notice = ControlNotice::ReaderChanged(is_reader);
        actions.push(ControlAction::Noticed(notice));
    }

    fn read_as_reader(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        let plan = &mut self.reading;
        if !plan.in_flight && now >= plan.next_read && plan.budget.take(now) {
            plan.in_flight = true;
            let after = self.store.version();
            // After a failure a call that ends at once shows soonest that the platform is back: one
            // that waits, sent just before, would hang on a connection that is lost.
            let wait = if after == 0 || plan.failures > 0 {
                Duration::ZERO
            } else {
                plan.read_settings.watch_wait
            };
            actions.push(ControlAction::ReadValues { after, wait });
        }
        if plan.read_settings.lists_hosts && now >= plan.next_hosts && plan.budget.take(now) {
            plan.next_hosts = now + HOSTS_PERIOD;
            actions.push(ControlAction::ReadHosts);
        }
    }

    /// Lets the first daemon of a fresh view read early, so that a small fleet that starts whole
    /// does not wait for the window that a large one without any view needs.
    fn look_first(&mut self, now: Instant, view: usize, rank: usize) {
        if self.reading.first_look.is_none_or(|look| now < look) {
            return;
        }
        self.reading.first_look = None;
        if view > 1 && rank == 0 && self.store.version() == 0 {
            self.reading.next_poll = now;
        }
    }

    /// Reads once where nobody relays.
    fn poll(&mut self, now: Instant, view: usize, actions: &mut Vec<ControlAction>) {
        if now < self.reading.next_poll {
            return;
        }
        let interval = poll_interval(view, &self.bounds, &mut self.rng);
        let relayed = self
            .heartbeats
            .latest()
            .map(|latest| latest + RELAY_TIMEOUT);
        if let Some(relayed) = relayed.filter(|&relayed| relayed > now) {
            self.reading.next_poll = relayed + interval.mul_f64(self.rng.random());
            return;
        }
        self.reading.next_poll = now + interval;
        if !self.reading.in_flight && self.reading.budget.take(now) {
            self.reading.in_flight = true;
            let after = self.store.version();
            let wait = Duration::ZERO;
            actions.push(ControlAction::ReadValues { after, wait });
        }
    }

    /// Counts an answer of the platform, and tells all whether it is the first after an outage.
    fn raise_beat(&mut self, now: Instant, actions: &mut Vec<ControlAction>) {
        self.own_beat.count += 1;
        if self.reading.note_answer(now) {
            self.own_beat.regained = self.own_beat.count;
        }
        let beat = self.own_beat.clone();
        self.hear_beat(now, &beat, actions);
    }

    /// Takes a sign that somebody reads the platform. That one reader was without it for a while says
    /// nothing where others were answered meanwhile.
    pub(super) fn hear_beat(
        &mut self,
        now: Instant,
        beat: &ReaderBeat,
        actions: &mut Vec<ControlAction>,
    ) {
        let latest = self.heartbeats.latest();
        let silence = self.reading.read_settings.watch_wait;
        let silent = latest.is_some_and(|at| now.saturating_duration_since(at) > silence);
        match self.heartbeats.merge(now, beat) {
            BeatNews::Regained if silent => actions.push(ControlAction::PlatformRecovered),
            BeatNews::Known | BeatNews::Raised | BeatNews::Regained => {}
        }
    }
}
