//! Handling of expired timers.

use std::time::Instant;

use crate::action::EngineAction;
use crate::engine::SearchEngine;
use crate::engine::timers::TimerKind;

impl SearchEngine {
    /// Runs every timer that is due; timers that are no longer relevant have no effect.
    pub(super) fn run_expired_timers(&mut self, now: Instant, actions: &mut Vec<EngineAction>) {
        while let Some((due, kind)) = self.timers.pop_due(now) {
            match kind {
                TimerKind::Deadline(query) => self.end_deadline(query, actions),
                TimerKind::Patience(query) => self.end_patience(now, query, actions),
                TimerKind::Hedge(query) => self.check_hedges(now, due, query, actions),
                TimerKind::TargetExclusion(target) => {
                    self.end_expired_exclusion(now, target, actions);
                }
                TimerKind::AdoptMap(collection) => self.adopt_pending(collection),
                TimerKind::EndVersionWait(collection) => self.schedule_queue(collection),
            }
        }
    }
}
