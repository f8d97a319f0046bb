//! News of targets, connection shares, quarantines and pauses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::action::EngineAction;
use crate::coverage::MissingReason;
use crate::engine::SearchEngine;
use crate::engine::query::{QueryStage, ShardStage};
use crate::engine::target::LoadReport;
use crate::engine::timers::{QueryRef, TargetRef};
use crate::event::{ConnectionShare, TargetUpdate, TargetUpdateKind};
use crate::ids::{Fingerprint, IndexVersion};
use crate::outcome::{Refusal, RefusalCode};

/// How long what a target told itself goes before reports of it, which lag.
const OWN_NEWS_LIFE: Duration = Duration::from_secs(5);

impl SearchEngine {
    /// Puts connection shares in force; a target that is not listed keeps the one it has.
    pub(super) fn put_shares(&mut self, shares: Arc<[ConnectionShare]>) {
        // Targets that come with a later map find their shares in the list.
        self.shares = shares;
        for share in Arc::clone(&self.shares).iter() {
            let Some(target) = self.targets.find(share.target) else {
                continue;
            };
            let Some(state) = self.targets.get_mut(target) else {
                continue;
            };
            let before = state.limit.share();
            state.limit.set_share(share.connections);
            if (before == 0) == (share.connections == 0) {
                self.mark_freed(target);
            } else {
                self.note_changed(target);
            }
        }
    }

    /// Takes news of a target; news of an unknown one says nothing.
    pub(super) fn take_news(
        &mut self,
        now: Instant,
        news: &TargetUpdate,
        actions: &mut Vec<EngineAction>,
    ) {
        let Some(target) = self.targets.find(news.target) else {
            return;
        };
        match &news.kind {
            TargetUpdateKind::Load { load, age } => {
                if let (Some(state), Some(taken_at)) =
                    (self.targets.get_mut(target), now.checked_sub(*age))
                {
                    let load = load.clamp(0.0, 1.0);
                    state.report = Some(LoadReport { load, taken_at });
                }
            }
            TargetUpdateKind::Held(held) => self.take_held_report(now, target, held),
            TargetUpdateKind::Draining => self.set_draining(now, target),
            TargetUpdateKind::Live => self.set_live(now, target),
            TargetUpdateKind::Leaving(leaving) => self.set_leaving(target, *leaving),
            TargetUpdateKind::Reachable => self.end_loss(now, target, actions),
        }
    }

    /// Takes a report of held versions, unless the target's own replies have told newer ones.
    fn take_held_report(&mut self, now: Instant, target: TargetRef, held: &[IndexVersion]) {
        let told = self.targets.get(target).and_then(|state| state.held_at);
        if told.is_none_or(|at| now.saturating_duration_since(at) >= OWN_NEWS_LIFE) {
            self.learn_held(target, held.to_vec());
        }
    }

    /// Notes that a target is leaving.
    pub(super) fn set_draining(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        state.drained_at = Some(now);
        if !state.departure.own {
            state.departure.own = true;
            self.note_changed(target);
        }
    }

    /// Takes a report that a target takes work, unless it was seen to be leaving just now: such
    /// reports lag.
    fn set_live(&mut self, now: Instant, target: TargetRef) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let left_just_now = state
            .drained_at
            .is_some_and(|at| now.saturating_duration_since(at) < OWN_NEWS_LIFE);
        if !state.departure.own || left_just_now {
            return;
        }
        state.departure.own = false;
        // It has been away, so its first requests will be slow.
        state.begin_cold();
        self.note_changed(target);
    }

    /// Notes whether others say that a target is leaving.
    fn set_leaving(&mut self, target: TargetRef, leaving: bool) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if state.departure.others == leaving {
            return;
        }
        state.departure.others = leaving;
        if !leaving {
            state.begin_cold();
        }
        self.note_changed(target);
    }

    fn end_loss(&mut self, now: Instant, target: TargetRef, actions: &mut Vec<EngineAction>) {
        if let Some(state) = self.targets.get_mut(target)
            && state.lost_until.is_some()
        {
            state.lost_until = Some(now);
            self.end_absence(now, target, actions);
        }
    }

    /// Whether requests of a fingerprint are held back.
    pub(super) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.options.protections.quarantine && self.quarantined.binary_search(&fingerprint).is_ok()
    }

    /// Holds back requests of a fingerprint, or no longer; those in work are held back as well.
    pub(super) fn put_quarantine(
        &mut self,
        fingerprint: Fingerprint,
        held: bool,
        actions: &mut Vec<EngineAction>,
    ) {
        match (self.quarantined.binary_search(&fingerprint), held) {
            (Err(place), true) => self.quarantined.insert(place, fingerprint),
            (Ok(place), false) => {
                self.quarantined.remove(place);
            }
            _ => return,
        }
        if !self.options.protections.quarantine {
            return;
        }
        let touched: Vec<QueryRef> = self
            .queries
            .iter()
            .filter(|(_, state)| state.fingerprint == fingerprint)
            .map(|(query, _)| query)
            .collect();
        for query in touched {
            self.set_quarantined(query, held, actions);
        }
    }

    fn set_quarantined(&mut self, query: QueryRef, held: bool, actions: &mut Vec<EngineAction>) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        state.quarantined = held;
        if !held {
            return;
        }
        if state.stage == QueryStage::Waiting {
            let refusal = Refusal::not_run(
                RefusalCode::Quarantined,
                "queue",
                "the request has crashed targets and is held back",
            );
            self.end_waiting(query, refusal, actions);
            return;
        }
        for place in 0..state.shards.len() as u32 {
            let parked = self.queries.get(query).is_some_and(|state| {
                matches!(state.shards[place as usize].stage, ShardStage::Parked(..))
            });
            if parked {
                self.close_shard(query, place, MissingReason::Quarantined, actions);
            }
        }
    }

    /// Drops every belief that has an age: after a pause nobody knows how things are now.
    pub(super) fn forget_aged(&mut self, now: Instant) {
        if !self.options.protections.pause_checks {
            return;
        }
        self.resumed_at = Some(now);
        for state in self.targets.iter_mut() {
            state.forget_aged();
        }
        for (_, collection) in self.collections.iter_mut() {
            collection.latencies.clear();
        }
        for (_, plan) in self.plans.iter_mut() {
            plan.stale = true;
        }
        self.due.freed = self.targets.references();
    }
}
