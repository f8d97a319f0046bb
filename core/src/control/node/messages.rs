//! What a daemon says to a peer, and what it makes of what a peer says.

use std::time::Instant;

use rand::seq::IteratorRandom;

use super::{ControlNode, HostConflictPolicy};
use crate::control::config_store::OfferVerdict;
use crate::control::event::{ControlAction, ControlNotice, ListedHost};
use crate::control::exchange::{
    ConfigDigest, ExchangeMessage, ExchangeWants, MAX_DELTA_BYTES, MAX_NEWS, MAX_RUMORS,
};
use crate::control::member_record::{MemberRecord, MemberState};
use crate::control::member_table::MergeOutcome;

/// How many daemons of its own data centre one tells to a daemon of another.
const SAMPLE: usize = 2;

impl ControlNode {
    /// Keeps the platform's list as a hint: whom to try, and who may be forgotten.
    pub(super) fn take_hints(&mut self, now: Instant, hints: Vec<ListedHost>) {
        let own = self.members.own().clone();
        for hint in &hints {
            if hint.data_centre != own.data_centre {
                self.contacts.hint(hint);
            }
        }
        self.listed = true;
        self.hints = hints;
        self.hints
            .retain(|hint| hint.data_centre == own.data_centre && hint.host != own.host);
        self.hints
            .sort_unstable_by(|left, right| left.host.cmp(&right.host));
        let hints = &self.hints;
        self.members.forget_gone(now, |host| {
            hints
                .binary_search_by(|hint| hint.host.as_ref().cmp(host))
                .is_err()
        });
    }

    /// Takes all that a peer says.
    pub(super) fn take_message(
        &mut self,
        now: Instant,
        message: &ExchangeMessage,
        actions: &mut Vec<ControlAction>,
    ) {
        self.take_record(now, &message.from, actions);
        let version = message.config.version;
        self.contacts.answered(&message.from.host, version);
        self.members.note_version(&message.from.host, version);
        for record in &message.rumors {
            self.take_record(now, record, actions);
        }
        for item in &message.announcements {
            self.take_news(now, item, actions);
        }
        for beat in &message.heartbeats {
            if beat.host != self.own_beat.host {
                self.hear_beat(now, beat, actions);
            }
        }
        self.take_config(message, actions);
        self.ready.heard_peer = true;
        self.ready.heard_version = self.ready.heard_version.max(version);
    }

    /// The answer to a peer's message, which has been taken already.
    pub(super) fn reply_to(&mut self, now: Instant, message: &ExchangeMessage) -> ExchangeMessage {
        let version = self.store.version();
        let wants_delta = message.config.version > version && self.grant(now);
        let mut reply = self.message(now, wants_delta);
        let is_behind = message.config.version < version || !message.wants.whole.is_empty();
        if message.wants.delta && is_behind {
            let base = message.config.version;
            let whole = &message.wants.whole;
            let delta = self.store.delta_since(base, whole, MAX_DELTA_BYTES);
            reply.delta = (!delta.entries.is_empty() || delta.through > base).then_some(delta);
        }
        self.add_members(now, message, &mut reply);
        reply
    }

    fn take_record(
        &mut self,
        now: Instant,
        record: &MemberRecord,
        actions: &mut Vec<ControlAction>,
    ) {
        if record.data_centre != self.members.own().data_centre {
            self.contacts.merge(record, &mut self.rng);
            return;
        }
        match self.members.merge(now, record) {
            MergeOutcome::Known | MergeOutcome::Changed => {}
            MergeOutcome::Refuted => {
                self.exchange_plan.push_now();
                actions.push(ControlAction::Noticed(ControlNotice::Refuted));
            }
            MergeOutcome::Replaced => match self.host_conflict {
                HostConflictPolicy::Stop => actions.push(ControlAction::Replaced),
                HostConflictPolicy::Supersede => {
                    self.members.succeed(record.incarnation);
                    self.own_beat.incarnation = self.members.own().incarnation;
                    self.exchange_plan.push_now();
                }
            },
        }
    }

    fn take_config(&mut self, message: &ExchangeMessage, actions: &mut Vec<ControlAction>) {
        let peer = &message.from.host;
        if let Some(delta) = &message.delta {
            let before = self.store.version();
            let mut changes = Vec::new();
            let verdict = self.store.take_delta(delta, &mut changes);
            if matches!(verdict, OfferVerdict::Advanced | OfferVerdict::Mismatch) {
                self.exchange_plan.granted_until = None;
            }
            self.take_changes(before, Some(peer), changes, actions);
        }
        let version = self.store.version();
        if message.config.version == version && message.config.hash != self.store.hash() {
            let peer = peer.clone();
            let notice = ControlNotice::ConfigDiverged { peer, version };
            actions.push(ControlAction::Noticed(notice));
        }
    }

    pub(super) fn message(&mut self, now: Instant, wants_delta: bool) -> ExchangeMessage {
        ExchangeMessage {
            from: self.members.own().clone(),
            config: ConfigDigest {
                version: self.store.version(),
                hash: self.store.hash(),
            },
            digest: self.members.digest(),
            heartbeats: self.heartbeats.sent(now),
            rumors: self.members.rumors(now, MAX_RUMORS),
            announcements: self.announcements.rumors(now, MAX_NEWS),
            delta: None,
            wants: ExchangeWants {
                members: false,
                delta: wants_delta,
                whole: self.store.wanted().to_vec(),
            },
        }
    }

    /// Adds what the other asked for of members and news, and what it must know of itself.
    fn add_members(
        &mut self,
        now: Instant,
        message: &ExchangeMessage,
        reply: &mut ExchangeMessage,
    ) {
        let is_near = message.from.data_centre == self.members.own().data_centre;
        if is_near {
            self.add_doubt(&message.from, reply);
        } else {
            let sample = self.members.alive().cloned();
            reply
                .rumors
                .extend(sample.choose_multiple(&mut self.rng, SAMPLE));
            reply.rumors.retain(|record| {
                record.state == MemberState::Alive && record.host != message.from.host
            });
        }
        if message.wants.members {
            if is_near {
                reply.rumors = self.members.records().cloned().collect();
            }
            reply.rumors.extend(self.contacts.records().cloned());
            reply.announcements = self.announcements.all(now);
        }
    }

    /// Tells a peer that it is not believed to be alive, so that it can refute that.
    pub(super) fn add_doubt(&self, peer: &MemberRecord, message: &mut ExchangeMessage) {
        let doubt = self
            .members
            .find(&peer.host)
            .filter(|record| matches!(record.state, MemberState::Suspect | MemberState::Gone));
        if let Some(record) = doubt
            && !message.rumors.contains(record)
        {
            message.rumors.push(record.clone());
        }
    }
}
