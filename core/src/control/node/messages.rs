//! Contents of outgoing messages and handling of received ones.

use std::time::Instant;

use rand::seq::IteratorRandom;

use super::{ControlNode, HostConflictPolicy};
use crate::control::config_delta::DeltaFormat;
use crate::control::config_store::UpdateOutcome;
use crate::control::event::{ControlAction, ControlNotice, ListedHost};
use crate::control::exchange::{
    ConfigDigest, ExchangeMessage, ExchangeWants, MAX_ANNOUNCEMENTS, MAX_DELTA_BYTES, MAX_RUMORS,
};
use crate::control::member_record::{MemberRecord, MemberState};
use crate::control::member_table::MergeOutcome;

/// Number of local members whose records are included in a reply to another data centre.
const REMOTE_SAMPLE_SIZE: usize = 2;

impl ControlNode {
    /// Stores the platform's host list, which tells which hosts to contact and which gone members
    /// may be forgotten.
    pub(super) fn update_listed_hosts(&mut self, now: Instant, listed_hosts: Vec<ListedHost>) {
        let own = self.members.own().clone();
        for listed in &listed_hosts {
            if listed.data_centre != own.data_centre {
                self.contacts.add_listed(listed);
            }
        }
        self.has_host_list = true;
        self.listed_hosts = listed_hosts;
        self.listed_hosts
            .retain(|listed| listed.data_centre == own.data_centre && listed.host != own.host);
        self.listed_hosts
            .sort_unstable_by(|left, right| left.host.cmp(&right.host));
        let listed_hosts = &self.listed_hosts;
        self.members.forget_gone(now, |host| {
            listed_hosts
                .binary_search_by(|listed| listed.host.as_ref().cmp(host))
                .is_err()
        });
    }

    /// Handles all parts of a peer's message.
    pub(super) fn handle_message(
        &mut self,
        now: Instant,
        message: &ExchangeMessage,
        actions: &mut Vec<ControlAction>,
    ) {
        self.handle_member_record(now, &message.from, actions);
        let version = message.config.version;
        let position = message.config.position();
        self.contacts.record_reply(&message.from.host, version);
        self.members.record_version(&message.from.host, version);
        for record in &message.rumors {
            self.handle_member_record(now, record, actions);
        }
        for record in &message.announcements {
            self.handle_announcement(now, record, actions);
        }
        for heartbeat in &message.heartbeats {
            if heartbeat.host != self.own_heartbeat.host {
                self.handle_heartbeat(now, heartbeat, actions);
            }
        }
        self.handle_config(message, actions);
        self.readiness.has_peer_reply = true;
        self.readiness.newest_peer_position = self.readiness.newest_peer_position.max(position);
    }

    /// Builds the reply to a message that has already been handled.
    pub(super) fn build_reply(
        &mut self,
        now: Instant,
        message: &ExchangeMessage,
    ) -> ExchangeMessage {
        let position = self.store.position();
        let theirs = message.config.position();
        let wants_delta = theirs > position && self.grant_delta(now);
        let mut reply = self.new_message(now, wants_delta);
        let lacks_values = theirs.era == position.era && !message.wants.whole.is_empty();
        if message.wants.delta && (theirs < position || lacks_values) {
            let whole = &message.wants.whole;
            let format = message.wants.format;
            let delta = self
                .store
                .delta_since(theirs, whole, format, MAX_DELTA_BYTES);
            let is_useful = !delta.entries.is_empty() || delta.through > delta.base;
            reply.delta = is_useful.then_some(delta);
        }
        self.add_members(now, message, &mut reply);
        reply
    }

    fn handle_member_record(
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
                self.exchange_schedule.schedule_push();
                actions.push(ControlAction::Notice(ControlNotice::Refuted));
            }
            MergeOutcome::Replaced => match self.host_conflict {
                HostConflictPolicy::Stop => actions.push(ControlAction::Replaced),
                HostConflictPolicy::Supersede => {
                    self.members.supersede(record.incarnation);
                    self.own_heartbeat.incarnation = self.members.own().incarnation;
                    self.exchange_schedule.schedule_push();
                }
            },
        }
    }

    fn handle_config(&mut self, message: &ExchangeMessage, actions: &mut Vec<ControlAction>) {
        let peer = &message.from.host;
        if let Some(delta) = &message.delta {
            let before = self.store.position();
            let mut changes = Vec::new();
            let outcome = self.store.apply_delta(delta, &mut changes);
            if matches!(outcome, UpdateOutcome::Advanced | UpdateOutcome::Mismatch) {
                self.exchange_schedule.delta_granted_until = None;
            }
            self.apply_changes(before, Some(peer), delta.bytes(), changes, actions);
        }
        let position = self.store.position();
        if message.config.position() == position && message.config.hash != self.store.hash() {
            let peer = peer.clone();
            let version = position.version;
            let notice = ControlNotice::ConfigDiverged { peer, version };
            actions.push(ControlAction::Notice(notice));
        }
    }

    pub(super) fn new_message(&mut self, now: Instant, wants_delta: bool) -> ExchangeMessage {
        ExchangeMessage {
            from: self.members.own().clone(),
            config: ConfigDigest {
                era: self.store.position().era,
                version: self.store.version(),
                hash: self.store.hash(),
            },
            digest: self.members.digest(),
            heartbeats: self.heartbeats.recent(now),
            rumors: self.members.rumors(now, MAX_RUMORS),
            announcements: self.announcements.rumors(now, MAX_ANNOUNCEMENTS),
            delta: None,
            wants: ExchangeWants {
                members: false,
                delta: wants_delta,
                whole: self.store.keys_to_request().to_vec(),
                format: DeltaFormat::Packed,
            },
        }
    }

    /// Adds the requested members and announcements to a reply, and any suspicion of the peer.
    fn add_members(
        &mut self,
        now: Instant,
        message: &ExchangeMessage,
        reply: &mut ExchangeMessage,
    ) {
        let is_local = message.from.data_centre == self.members.own().data_centre;
        if is_local {
            self.add_suspicion(&message.from, reply);
        } else {
            let sample = self.members.alive().cloned();
            reply
                .rumors
                .extend(sample.choose_multiple(&mut self.rng, REMOTE_SAMPLE_SIZE));
            reply.rumors.retain(|record| {
                record.state == MemberState::Alive && record.host != message.from.host
            });
        }
        if message.wants.members {
            if is_local {
                reply.rumors = self.members.records().cloned().collect();
            }
            reply.rumors.extend(self.contacts.records().cloned());
            reply.announcements = self.announcements.active_records(now);
        }
    }

    /// Adds the record of a peer that is suspect or gone, so that the peer can refute it.
    pub(super) fn add_suspicion(&self, peer: &MemberRecord, message: &mut ExchangeMessage) {
        let suspicion = self
            .members
            .find(&peer.host)
            .filter(|record| matches!(record.state, MemberState::Suspect | MemberState::Gone));
        if let Some(record) = suspicion
            && !message.rumors.contains(record)
        {
            message.rumors.push(record.clone());
        }
    }
}
