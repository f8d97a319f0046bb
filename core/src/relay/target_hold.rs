//! Decides whether a target may get a request now, by what it says of itself: [`TargetHold`].
//!
//! A target that is short of capacity names the rate of requests that it accepts from all daemons
//! together. Daemons share no state, so each keeps to an equal part of that rate. In a large fleet
//! this part is less than one request in many seconds, and daemons that each saved up one request
//! could exceed the rate together. Time is therefore divided into short periods, and the number of
//! requests that may be sent in a period is drawn anew for each: on average it is the daemon's part
//! of the rate, and what is not used is lost.
//!
//! A target that turns a request away may say how long it wants none, and one that leaves says so.
//!
//! See `docs/DESIGN.md`, "What targets say of themselves".

use std::time::{Duration, Instant};

use super::self_report::{ReportedRate, SelfReport};

/// Length of the periods for which numbers of requests are drawn.
const PERIOD: Duration = Duration::from_millis(500);
/// Lowest rate that is kept to, in requests per second over all daemons. A target that accepts none
/// must still get some, since only its answers tell when it accepts more.
const MIN_RATE: f64 = 0.1;
/// Share of the named rate that is used. What daemons draw varies, and the sum must not exceed the
/// rate by much in any few seconds.
const USED_SHARE: f64 = 0.9;
/// The fractional part of the golden ratio, as a fraction of 2^64.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
/// Number of periods that are searched for the next one in which a request may be sent.
const MAX_PERIODS_AHEAD: u64 = 20;

/// Greatest number of requests in a second that daemons draw together, as a multiple of the rate
/// and beyond it; `core/tests/target_hold.rs` measures fleets against it.
const PEAK_FACTOR: f64 = 1.5;
const PEAK_SLACK: f64 = 5.0;
/// Longest remaining cold time that is recorded.
pub(super) const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

/// Longest time for which a target that turned a request away gets none, whatever it says.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Time after which a target that is still there, although it said that it leaves, may be used again.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// Whether a target may get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendVerdict {
    /// It may.
    Free,
    /// It is leaving and may get a request if there is no other target.
    LastResort,
    /// It may not.
    Held {
        /// Earliest time at which it may; `None` if that can't be foreseen.
        until: Option<Instant>,
    },
}

/// A change of a hold that is logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HoldChange {
    /// The target is leaving.
    Leaving,
    /// The target wants no request for this time.
    Paused(Duration),
    /// The target accepts only so many requests per second from all daemons together.
    Limited(f64),
    /// The target names no limit any more.
    Unlimited,
    /// The target is cold and remains so for this time.
    Cold(Duration),
    /// The target is no longer cold.
    Warm,
}

/// Published tolerances of the rate at which cold targets get requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate that a cold target tolerates in any second.
    pub overage: f64,
    /// Requests beyond that multiple that a cold target tolerates in any second.
    pub slack: f64,
}

impl ColdTolerance {
    /// Returns the rate to keep to on average. What daemons draw varies, so the full rate is used
    /// only where the tolerances leave room for that.
    pub fn usable_rate(self, rate: f64) -> f64 {
        let peak = PEAK_FACTOR * rate + PEAK_SLACK;
        let tolerated = self.overage * rate + self.slack;
        rate * (tolerated / peak).clamp(0.0, 1.0)
    }
}

/// Limit that holds for a target while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests per second over all daemons.
    pub rate: f64,
    /// Longest time for which a target is cold without saying so again; zero if none is published.
    pub time: Duration,
}

impl ColdLimit {
    /// Returns the longest time for which a target's word counts.
    fn word_time(self) -> Duration {
        if self.time.is_zero() {
            MAX_COLD_TIME
        } else {
            self.time
        }
    }
}

/// What a target has said of itself, and the requests sent to it since.
#[derive(Clone, Debug)]
pub struct TargetHold {
    /// Seed of the draws; differs between targets and between daemons.
    seed: u64,
    rate: Option<RateHold>,
    paused_until: Option<Instant>,
    /// Time at which the target first said that it leaves; forgotten after [`LEAVING_MEMORY`].
    leaving_since: Option<Instant>,
    cold: Option<ColdHold>,
}

/// The time for which a target is cold, and the requests sent to it since.
#[derive(Clone, Copy, Debug)]
struct ColdHold {
    /// What the target last said of its cold time.
    word: Option<ColdWord>,
    /// Time since which the target is presumed cold for the published cold time.
    presumed_since: Option<Instant>,
    /// Use of the rate; its limit is set whenever it is asked.
    rate: RateHold,
}

/// A remaining cold time that a target has named.
#[derive(Clone, Copy, Debug)]
struct ColdWord {
    since: Instant,
    until: Instant,
}

/// A limited rate and its use in the current period.
#[derive(Clone, Copy, Debug)]
struct RateHold {
    /// Requests per second over all daemons.
    limit: f64,
    since: Instant,
    period: u64,
    used: u32,
}

impl TargetHold {
    /// Creates the hold of a target that has said nothing yet.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            rate: None,
            paused_until: None,
            leaving_since: None,
            cold: None,
        }
    }

    /// Records what a target says in the answer to a request that was sent at `sent_at`, and appends
    /// what changed.
    pub fn record(
        &mut self,
        now: Instant,
        sent_at: Instant,
        report: &SelfReport,
        changes: &mut Vec<HoldChange>,
    ) {
        if report.is_leaving && self.leaving_for(now).is_none() {
            self.leaving_since = Some(now);
            changes.push(HoldChange::Leaving);
        }
        if let Some(pause) = report.pause.filter(|pause| !pause.is_zero()) {
            self.pause(now, pause.min(MAX_PAUSE), changes);
        }
        changes.extend(self.record_rate(now, sent_at, report.rate_limit));
        if let Some(cold_left) = report.cold_left {
            changes.extend(self.record_cold(now, sent_at, cold_left));
        }
    }

    /// Records for how long the target remains cold, by an answer to a request that was sent at
    /// `sent_at`. It ends a presumption from before the request.
    pub fn record_cold(
        &mut self,
        now: Instant,
        sent_at: Instant,
        cold_left: Duration,
    ) -> Option<HoldChange> {
        if let Some(cold) = &mut self.cold {
            cold.presumed_since = cold.presumed_since.filter(|since| sent_at < *since);
        }
        let until = now + cold_left.min(MAX_COLD_TIME);
        let known = self.cold.and_then(|cold| cold.word);
        match known {
            // An answer to a request from before the word may be older than it, and must not shorten
            // the cold time.
            Some(word) if sent_at < word.since && until <= word.until => None,
            Some(word) if now < word.until => {
                self.set_cold_word(now, until);
                cold_left.is_zero().then_some(HoldChange::Warm)
            }
            Some(_) | None if cold_left.is_zero() => None,
            Some(_) | None => {
                self.set_cold_word(now, until);
                Some(HoldChange::Cold(cold_left))
            }
        }
    }

    /// Records for how long the target remains cold, by its entry. The entry may be older than what
    /// is known, so it never shortens the cold time.
    pub fn record_listed_cold(&mut self, now: Instant, cold_left: Duration) -> Option<HoldChange> {
        if cold_left.is_zero() {
            return None;
        }
        let until = now + cold_left.min(MAX_COLD_TIME);
        let word = self.cold.and_then(|cold| cold.word);
        let known_until = word.map(|word| word.until).filter(|until| now < *until);
        self.set_cold_word(now, known_until.map_or(until, |known| known.max(until)));
        known_until.is_none().then_some(HoldChange::Cold(cold_left))
    }

    /// Presumes that the target is cold since `since`, for the published cold time, until an answer
    /// to a later request says for how long it is.
    pub fn presume_cold(&mut self, since: Instant) {
        self.cold_hold(since).presumed_since = Some(since);
    }

    fn set_cold_word(&mut self, since: Instant, until: Instant) {
        self.cold_hold(since).word = Some(ColdWord { since, until });
    }

    fn cold_hold(&mut self, since: Instant) -> &mut ColdHold {
        self.cold.get_or_insert(ColdHold {
            word: None,
            presumed_since: None,
            rate: RateHold {
                limit: 0.0,
                since,
                period: 0,
                used: 0,
            },
        })
    }

    /// Returns the earliest time, `now` or later, at which the target may get a request although it
    /// is cold.
    pub fn earliest_cold_send(&self, now: Instant, daemons: u32, limit: ColdLimit) -> Instant {
        let Some(cold) = self.cold else {
            return now;
        };
        let word_until = cold
            .word
            .map(|word| word.until.min(word.since + limit.word_time()));
        let presumed_until = cold
            .presumed_since
            .map(|since| since + limit.time.min(MAX_COLD_TIME));
        let until = word_until.max(presumed_until);
        let Some(until) = until.filter(|until| *until > now) else {
            return now;
        };
        let rate = RateHold {
            limit: limit.rate,
            ..cold.rate
        };
        rate.earliest_send(now, daemons, self.seed).min(until)
    }

    /// Starts or extends a pause; a later word does not shorten it.
    fn pause(&mut self, now: Instant, pause: Duration, changes: &mut Vec<HoldChange>) {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        self.paused_until = self.paused_until.max(Some(now + pause));
        if !is_paused {
            changes.push(HoldChange::Paused(pause));
        }
    }

    fn record_rate(
        &mut self,
        now: Instant,
        sent_at: Instant,
        reported: ReportedRate,
    ) -> Option<HoldChange> {
        match (reported, &mut self.rate) {
            (ReportedRate::Limited(limit), Some(rate)) => {
                rate.limit = limit;
                None
            }
            (ReportedRate::Limited(limit), None) => {
                self.rate = Some(RateHold {
                    limit,
                    since: now,
                    period: 0,
                    used: 0,
                });
                Some(HoldChange::Limited(limit))
            }
            // An answer to a request from before the limit may be older than the limit.
            (ReportedRate::Unlimited, Some(rate)) if sent_at >= rate.since => {
                self.rate = None;
                Some(HoldChange::Unlimited)
            }
            (ReportedRate::Unlimited | ReportedRate::Unreadable, _) => None,
        }
    }

    /// Counts a request that is sent now.
    pub fn count_send(&mut self, now: Instant) {
        if let Some(rate) = &mut self.rate {
            rate.count_send(now);
        }
        if let Some(cold) = &mut self.cold {
            cold.rate.count_send(now);
        }
    }

    /// Returns whether a request may be sent now, if `daemons` daemons share the target and a leaving
    /// target is used for `last_resort_time`.
    pub fn verdict(&self, now: Instant, daemons: u32, last_resort_time: Duration) -> SendVerdict {
        let leaving_for = self.leaving_for(now);
        if leaving_for.is_some_and(|elapsed| elapsed >= last_resort_time) {
            return SendVerdict::Held { until: None };
        }
        let earliest = self.earliest_send(now, daemons);
        if earliest > now {
            let until = Some(earliest).filter(|_| leaving_for.is_none());
            return SendVerdict::Held { until };
        }
        match leaving_for {
            Some(_) => SendVerdict::LastResort,
            None => SendVerdict::Free,
        }
    }

    /// Returns what restricts the requests to the target, if anything does, whether or not one may be
    /// sent now.
    pub fn reason(&self, now: Instant) -> Option<&'static str> {
        if self.leaving_for(now).is_some() {
            return Some("leaving");
        }
        if self.paused_until.is_some_and(|until| now < until) {
            return Some("paused");
        }
        self.rate.as_ref().map(|_| "limited")
    }

    /// Returns how long ago the target said that it leaves; `None` if it did not or too long ago.
    fn leaving_for(&self, now: Instant) -> Option<Duration> {
        let since = self.leaving_since?;
        let elapsed = now.saturating_duration_since(since);
        (elapsed < LEAVING_MEMORY).then_some(elapsed)
    }

    /// Returns the earliest time, `now` or later, at which pause and limit let a request be sent; for
    /// a limit, at most ten seconds are looked ahead.
    fn earliest_send(&self, now: Instant, daemons: u32) -> Instant {
        let resumed = self.paused_until.map_or(now, |until| until.max(now));
        self.rate.as_ref().map_or(resumed, |rate| {
            rate.earliest_send(resumed, daemons, self.seed)
        })
    }
}

impl RateHold {
    fn count_send(&mut self, now: Instant) {
        let period = self.period_at(now);
        if period != self.period {
            (self.period, self.used) = (period, 0);
        }
        self.used += 1;
    }

    fn period_at(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.since);
        (elapsed.as_nanos() / PERIOD.as_nanos()) as u64
    }

    /// Returns the number of requests that may be sent in a period.
    fn allowance(&self, period: u64, daemons: u32, seed: u64) -> u32 {
        let rate = (self.limit * USED_SHARE).max(MIN_RATE) / f64::from(daemons.max(1));
        // Consecutive multiples of the golden ratio are spread evenly, so that the number of
        // requests in several periods varies less than with independent draws.
        let drawn = seed.wrapping_add(period.wrapping_mul(GOLDEN_RATIO)) as f64 / u64::MAX as f64;
        (rate * PERIOD.as_secs_f64() + drawn) as u32
    }

    fn may_send(&self, now: Instant, daemons: u32, seed: u64) -> bool {
        let current = self.period_at(now);
        let used = if current == self.period { self.used } else { 0 };
        used < self.allowance(current, daemons, seed)
    }

    fn earliest_send(&self, now: Instant, daemons: u32, seed: u64) -> Instant {
        if self.may_send(now, daemons, seed) {
            return now;
        }
        let current = self.period_at(now);
        let ahead = (1..MAX_PERIODS_AHEAD)
            .find(|ahead| self.allowance(current + ahead, daemons, seed) > 0)
            .unwrap_or(MAX_PERIODS_AHEAD);
        self.since + PERIOD.saturating_mul((current + ahead) as u32)
    }
}
