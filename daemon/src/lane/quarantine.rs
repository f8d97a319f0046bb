//! What the lane does about requests that crash targets.

use std::time::Instant;

use actix::Context;
use yuccalift_core::control::NewsKind;
use yuccalift_core::event::EngineEvent;
use yuccalift_core::quarantine::{NoticeKind, QuarantineNotice};
use yuccalift_wire::operator::QuarantineReport;

use super::EngineLane;
use crate::events::LogEvent;
use crate::status_board::{STATUS_SERVICE, StatusBoard};

impl EngineLane {
    /// Sends the attempts that waited for a trial which has ended.
    pub(super) fn send_waiting(&mut self, now: Instant, context: &mut Context<Self>) {
        for (target, verdict) in self.quarantine.admit_waiting(now) {
            self.follow_verdict(target, verdict, context);
        }
    }

    /// Tells the engine, the operators and the peers of requests that are held back from now on.
    pub(super) fn hold_back(
        &mut self,
        now: Instant,
        notices: &[QuarantineNotice],
        context: &mut Context<Self>,
    ) {
        for notice in notices {
            let NoticeKind::Held { left } = notice.kind else {
                continue;
            };
            let fingerprint = notice.fingerprint;
            LogEvent::RequestHeldBack {
                fingerprint: &format!("{fingerprint:016x}"),
                left_ms: left.as_millis() as u64,
            }
            .emit();
            self.announce(NewsKind::Quarantine(fingerprint), left);
            let held = true;
            let event = EngineEvent::Quarantine { fingerprint, held };
            self.handle_event(now, event, context);
            self.show_quarantines(now);
        }
    }

    pub(super) fn release_quarantines(&mut self, now: Instant, context: &mut Context<Self>) {
        for fingerprint in self.quarantine.expire(now) {
            let held = false;
            let event = EngineEvent::Quarantine { fingerprint, held };
            self.handle_event(now, event, context);
            self.show_quarantines(now);
        }
    }

    fn show_quarantines(&self, now: Instant) {
        let Ok(board) = self.registry.find::<StatusBoard>(STATUS_SERVICE) else {
            return;
        };
        let held = self.quarantine.list(now).into_iter();
        let reports = held.map(|entry| QuarantineReport {
            fingerprint: format!("{:016x}", entry.fingerprint).into(),
            left_ms: entry.left.as_millis() as u64,
        });
        board.set_quarantines(reports.collect());
    }
}
