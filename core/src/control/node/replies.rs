//! Handling of replies to this daemon's exchanges, and of their absence.

use std::time::{Duration, Instant};

use super::ControlNode;
use super::exchanges::PendingExchange;
use crate::control::event::{ControlAction, ControlNotice, ExchangeId};
use crate::control::exchange::{ExchangeMessage, MAX_DELTA_BYTES};

/// Time for which the member table must be unchanged before differences to a peer's are resolved.
const TABLE_SETTLE_TIME: Duration = Duration::from_secs(5);
/// Minimum time between two exchanges of full member tables.
const FULL_TABLE_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of follow-up messages in one exchange.
const MAX_ROUNDS: u32 = 64;

impl ControlNode {
    pub(super) fn handle_reply(
        &mut self,
        now: Instant,
        exchange: ExchangeId,
        message: &ExchangeMessage,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(pending) = self.remove_pending(exchange) else {
            return;
        };
        let before = self.store.position();
        self.handle_message(now, message, actions);
        if pending.round >= MAX_ROUNDS {
            return;
        }
        let position = self.store.position();
        let theirs = message.config.position();
        let has_sent = pending.delta_sent_after.is_some_and(|sent| theirs <= sent);
        if message.wants.delta && theirs < position && !has_sent {
            self.send_changes(now, &pending, message, actions);
        } else if theirs > position && position > before {
            self.send_follow_up(now, &pending, false, actions);
        } else if self.needs_full_table(now, message) {
            self.exchange_schedule.next_full_table = now + FULL_TABLE_PERIOD;
            self.send_follow_up(now, &pending, true, actions);
        }
    }

    pub(super) fn handle_unanswered(
        &mut self,
        now: Instant,
        exchange: ExchangeId,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(pending) = self.remove_pending(exchange) else {
            return;
        };
        let Some((host, incarnation)) = pending.peer else {
            return;
        };
        self.contacts.record_failure(&host);
        let known = self.members.find(&host);
        let is_same = known.is_some_and(|record| record.incarnation == incarnation);
        if is_same && self.members.suspect(now, &host) {
            let notice = ControlNotice::PeerSuspected(host);
            actions.push(ControlAction::Notice(notice));
        }
    }

    /// Sends a peer the changes that it lacks and has requested.
    fn send_changes(
        &mut self,
        now: Instant,
        pending: &PendingExchange,
        message: &ExchangeMessage,
        actions: &mut Vec<ControlAction>,
    ) {
        let base = message.config.position();
        let whole = &message.wants.whole;
        let mut next = self.new_message(now, false);
        let format = message.wants.format;
        let delta = self.store.delta_since(base, whole, format, MAX_DELTA_BYTES);
        next.delta = Some(delta);
        // A peer that requests whole values could not apply a patch and gets another delta.
        let delta_sent_after = whole.is_empty().then_some(base);
        let peer = pending.peer.clone();
        let round = pending.round + 1;
        self.send(
            pending.address,
            peer,
            round,
            delta_sent_after,
            next,
            actions,
        );
    }

    fn send_follow_up(
        &mut self,
        now: Instant,
        pending: &PendingExchange,
        includes_members: bool,
        actions: &mut Vec<ControlAction>,
    ) {
        let mut next = self.new_message(now, true);
        if includes_members {
            next.wants.members = true;
            next.rumors = self.members.records().cloned().collect();
            next.announcements = self.announcements.active_records(now);
        }
        let peer = pending.peer.clone();
        let round = pending.round + 1;
        self.send(pending.address, peer, round, None, next, actions);
    }

    fn needs_full_table(&self, now: Instant, message: &ExchangeMessage) -> bool {
        let is_local = message.from.data_centre == self.members.own().data_centre;
        let is_settled =
            now.saturating_duration_since(self.members.last_changed()) >= TABLE_SETTLE_TIME;
        let is_due = now >= self.exchange_schedule.next_full_table;
        is_local && is_settled && is_due && message.digest != self.members.digest()
    }
}
