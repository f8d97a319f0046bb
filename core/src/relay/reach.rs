//! Whether this daemon reaches its targets at all: [`ReachState`].
//!
//! Targets that fail one by one have failed. If connections to all of many targets fail and none can
//! be opened, the links of this daemon have failed: it is cut off, and its peers may not be. Only its
//! own attempts tell it so. See `docs/DESIGN.md`, "Hosts without targets".

use std::time::{Duration, Instant};

use super::action::{RelayAction, RelayDecision};
use super::target::{ListingState, RelayTarget};
use super::timers::TimerKind;
use super::{RelayEngine, RequestKey, TargetKey};

/// Number of targets that fail without a connection to any other from which the daemon's own links
/// are in doubt.
const DOUBTFUL_FAILURES: usize = 4;
/// Number of such targets from which the daemon is cut off, if it has checked some that had not
/// failed before; all of them if it knows fewer.
const CUT_OFF_FAILURES: usize = 6;
/// Number of targets that one check probes.
const CHECKED_TARGETS: usize = 2;
/// Minimum time between the first checks of two doubts.
const DOUBT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which a request waits for the result of a check before it is refused.
const MAX_VERDICT_WAIT: Duration = Duration::from_millis(500);
/// Time after a cut in which the other targets are found to be reachable again.
const REGAIN_TIME: Duration = Duration::from_secs(1);
/// Interval of the probes by which a daemon that is cut off finds out that it no longer is.
const CUT_OFF_INTERVAL: Duration = Duration::from_millis(250);

/// What this daemon's attempts to connect to targets say of its own links.
#[derive(Debug, Default)]
pub(super) struct ReachState {
    /// Targets that failed since a connection to any target was last opened, sorted.
    failed: Vec<TargetKey>,
    /// Targets that are probed since the links are in doubt.
    checked: Vec<TargetKey>,
    /// Number of such probes that failed since a connection was last opened.
    failed_checks: usize,
    /// Whether a peer is cut off, so that this daemon may be as well.
    is_peer_cut_off: bool,
    /// Requests that would be refused now, and wait for the result of a check.
    waiting: Vec<RequestKey>,
    last_check: Option<Instant>,
    /// When the daemon was found to be cut off from all targets.
    cut_off_at: Option<Instant>,
    /// When a target was reached again after a cut.
    regained_at: Option<Instant>,
    /// Target that was probed last while cut off; all take turns.
    last_probed: TargetKey,
}

impl ReachState {
    /// Returns whether no target is reached.
    pub(super) fn is_cut_off(&self) -> bool {
        self.cut_off_at.is_some()
    }

    /// Returns whether a cut has ended so recently that targets which work may still be suspended.
    pub(super) fn is_regaining(&self, now: Instant) -> bool {
        self.regained_at
            .is_some_and(|at| now.saturating_duration_since(at) < REGAIN_TIME)
    }

    /// Returns whether so many targets failed together, with those in `losses`, that the links of
    /// this daemon may be the cause.
    pub(super) fn is_in_doubt(&self, losses: impl Iterator<Item = TargetKey>) -> bool {
        let mut targets = self.failed.clone();
        targets.extend(losses);
        targets.sort_unstable();
        targets.dedup();
        let is_hinted = self.is_peer_cut_off && !targets.is_empty();
        is_hinted || targets.len() >= DOUBTFUL_FAILURES
    }

    fn record_failure(&mut self, target: TargetKey) {
        if let Err(index) = self.failed.binary_search(&target) {
            self.failed.insert(index, target);
        }
        if let Some(index) = self.checked.iter().position(|checked| *checked == target) {
            self.checked.swap_remove(index);
            self.failed_checks += 1;
        }
    }

    fn record_opened(&mut self) -> Option<Instant> {
        self.failed.clear();
        self.checked.clear();
        self.failed_checks = 0;
        self.is_peer_cut_off = false;
        self.cut_off_at.take()
    }

    /// Returns whether a check may begin: one that follows a failed one may at once.
    fn may_check(&self, now: Instant) -> bool {
        let is_due = self
            .last_check
            .is_none_or(|last| now.saturating_duration_since(last) >= DOUBT_INTERVAL);
        self.checked.is_empty() && (is_due || self.failed_checks > 0)
    }
}

impl RelayEngine {
    /// Records that a connection to a target could not be opened.
    pub(super) fn record_unreachable(
        &mut self,
        now: Instant,
        target: TargetKey,
        actions: &mut Vec<RelayAction>,
    ) {
        self.reach.record_failure(target);
        if !self.reach.is_cut_off() {
            self.check_doubtful_reach(now, actions);
        }
    }

    /// Records that a connection to a target was opened.
    pub(super) fn record_link_opened(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        let cut_off_at = self.reach.record_opened();
        self.confirm_doubted_losses(now, actions);
        if let Some(cut_off_at) = cut_off_at {
            let outage = now.saturating_duration_since(cut_off_at);
            actions.push(RelayAction::Decided(RelayDecision::TargetsRegained {
                outage,
            }));
            self.reach.regained_at = Some(now);
            let unreachable = self.targets.iter().filter(|target| !target.is_reachable());
            let keys: Vec<TargetKey> = unreachable.map(|target| target.key).collect();
            for key in keys {
                self.probe(key, actions);
            }
        }
        for request in std::mem::take(&mut self.reach.waiting) {
            self.finish(now, request, actions);
        }
    }

    /// Checks the links of this daemon since a peer is cut off.
    pub(super) fn check_reach_for_peer(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        if !self.reach.is_cut_off() && self.reach.may_check(now) {
            self.reach.is_peer_cut_off = true;
            self.begin_check(now, actions);
        }
    }

    /// Lets a request that would be refused wait for the result of a check, after which it is
    /// forwarded or refused; returns false if it must end now.
    pub(super) fn await_verdict(
        &mut self,
        now: Instant,
        request: RequestKey,
        actions: &mut Vec<RelayAction>,
    ) -> bool {
        let Some(state) = self.requests.get(request) else {
            return false;
        };
        let may_wait = now < state.deadline && state.is_movable();
        if !may_wait || self.reach.is_cut_off() || !self.are_links_in_doubt() {
            return false;
        }
        if self.reach.checked.is_empty() {
            self.begin_check(now, actions);
        }
        if self.reach.checked.is_empty() {
            return false;
        }
        if !self.reach.waiting.contains(&request) {
            self.reach.waiting.push(request);
            self.timers
                .add(now + MAX_VERDICT_WAIT, TimerKind::VerdictWait { request });
        }
        true
    }

    /// Ends a request that has waited too long for the result of a check.
    pub(super) fn end_verdict_wait(
        &mut self,
        now: Instant,
        request: RequestKey,
        actions: &mut Vec<RelayAction>,
    ) {
        let waiting = &mut self.reach.waiting;
        if let Some(index) = waiting.iter().position(|other| *other == request) {
            waiting.swap_remove(index);
            self.finish(now, request, actions);
        }
    }

    /// Decides whether the daemon is cut off if its links are in doubt. Probes targets that have not
    /// failed before: many that are known to have failed can fail once more at the same time.
    pub(super) fn check_doubtful_reach(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        if !self.are_links_in_doubt() {
            return;
        }
        let is_checked =
            self.reach.failed_checks >= CHECKED_TARGETS || self.targets_to_check().is_empty();
        let usable = self.targets.iter().filter(|target| self.is_usable(target));
        let needed = usable.take(CUT_OFF_FAILURES).count();
        if is_checked && self.reach.failed.len() >= needed {
            self.begin_cut_off(now, actions);
        } else if self.reach.may_check(now) {
            self.begin_check(now, actions);
        }
    }

    /// Returns whether many targets failed together, or all of a service: open connections to the
    /// others may outlive the path on which they were opened.
    fn are_links_in_doubt(&self) -> bool {
        self.reach.is_in_doubt(self.suspicion.lost_targets())
            || self.reach.failed.iter().any(|target| {
                let target = self.targets.get(*target);
                target.is_some_and(|target| self.have_all_failed(&target.record.service))
            })
    }

    /// Returns whether all targets of a service have failed since a connection was last opened.
    fn have_all_failed(&self, service: &str) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let targets = service.targets.iter();
        let known = targets.filter_map(|key| self.targets.get(*key));
        let mut usable = known.filter(|target| self.is_usable(target)).peekable();
        usable.peek().is_some()
            && usable.all(|target| self.reach.failed.binary_search(&target.key).is_ok())
    }

    /// Returns whether requests may be sent to a target when it is reached.
    fn is_usable(&self, target: &RelayTarget) -> bool {
        !self.is_evacuated(target) && !matches!(target.listing, ListingState::Replaced)
    }

    fn begin_check(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        let targets = self.targets_to_check();
        self.reach.last_check = Some(now);
        self.reach.checked.clone_from(&targets);
        for target in targets {
            self.probe(target, actions);
        }
    }

    fn begin_cut_off(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        self.reach.cut_off_at = Some(now);
        actions.push(RelayAction::Decided(RelayDecision::TargetsLost {
            failed: self.reach.failed.len(),
        }));
        self.timers
            .add(now + CUT_OFF_INTERVAL, TimerKind::ReachCheck);
        self.drop_doubted_losses();
        self.forward_all(now, actions);
        for request in std::mem::take(&mut self.reach.waiting) {
            self.finish(now, request, actions);
        }
    }

    /// Probes a target while the daemon is cut off.
    pub(super) fn check_reach(&mut self, now: Instant, actions: &mut Vec<RelayAction>) {
        if !self.reach.is_cut_off() {
            return;
        }
        let keys: Vec<TargetKey> = self.targets.iter().map(|target| target.key).collect();
        let next = keys.iter().find(|key| **key > self.reach.last_probed);
        if let Some(target) = next.or(keys.first()).copied() {
            self.reach.last_probed = target;
            self.probe(target, actions);
        }
        self.timers
            .add(now + CUT_OFF_INTERVAL, TimerKind::ReachCheck);
    }

    /// Returns a few targets that have not failed, of this data centre and of others: a partition
    /// between data centres leaves those of this one.
    fn targets_to_check(&self) -> Vec<TargetKey> {
        let candidates = self.targets.iter().filter(|target| {
            target.is_reachable()
                && !target.probe_pending
                && !self.is_evacuated(target)
                && self.reach.failed.binary_search(&target.key).is_err()
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by_key(|target| target.tie_order);
        let is_first = |is_local| {
            let found = candidates
                .iter()
                .find(move |target| target.is_local == is_local);
            found.map(|target| target.key)
        };
        let chosen = is_first(true).into_iter().chain(is_first(false));
        let others = candidates.iter().map(|target| target.key);
        let mut keys: Vec<TargetKey> = Vec::new();
        for key in chosen.chain(others) {
            if keys.len() < CHECKED_TARGETS && !keys.contains(&key) {
                keys.push(key);
            }
        }
        keys
    }
}
