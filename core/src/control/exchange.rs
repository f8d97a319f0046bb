//! The message that daemons exchange; requests and replies have the same format.
//!
//! Unknown fields are ignored, since newer daemons may send them during a rolling upgrade.

use serde::{Deserialize, Serialize};

use super::announcements::AnnouncementRecord;
use super::config_delta::{ConfigDelta, DeltaFormat, MAX_VALUE_BYTES};
use super::member_record::MemberRecord;
use super::reader_heartbeat::ReaderHeartbeat;
use super::store_position::StorePosition;
use crate::ids::{ConfigVersion, StoreEra, ValueKey};

/// Maximum configuration text in one message, in bytes, unless a single value is larger.
pub const MAX_DELTA_BYTES: usize = 256 * 1024;
/// Maximum size of a message, in bytes: a value, its last valid predecessor, and all the rest.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + 2 * MAX_DELTA_BYTES;
/// Maximum number of member changes in one message.
pub const MAX_RUMORS: usize = 24;
/// Maximum number of announcements in one message.
pub const MAX_ANNOUNCEMENTS: usize = 16;

/// Summary of the sender's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDigest {
    /// Era of the version; older daemons do not say.
    #[serde(rename = "e", default)]
    pub era: StoreEra,
    /// Version up to which the sender knows every change.
    #[serde(rename = "v")]
    pub version: ConfigVersion,
    /// Hash of the sender's configuration.
    #[serde(rename = "h")]
    pub hash: u64,
}

impl ConfigDigest {
    /// Returns the position up to which the sender knows every change.
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            version: self.version,
        }
    }
}

/// Data that the sender requests from the receiver.
///
/// Fields that an older daemon does not send have their default value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ExchangeWants {
    /// Whether to send all members of the data centre, contacts elsewhere, and all announcements.
    #[serde(rename = "m")]
    pub members: bool,
    /// Whether to send the configuration changes after the sender's version.
    #[serde(rename = "d")]
    pub delta: bool,
    /// Keys whose whole value the sender lacks, sorted.
    #[serde(rename = "k")]
    pub whole: Vec<ValueKey>,
    /// Forms of changes that the sender can read; older daemons do not say.
    #[serde(rename = "p")]
    pub format: DeltaFormat,
}

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// The sender's record of itself.
    #[serde(rename = "f")]
    pub from: MemberRecord,
    /// Summary of the sender's configuration.
    #[serde(rename = "c")]
    pub config: ConfigDigest,
    /// Hash of the sender's member table.
    #[serde(rename = "g")]
    pub digest: u64,
    /// Heartbeats of platform readers.
    #[serde(rename = "b")]
    pub heartbeats: Vec<ReaderHeartbeat>,
    /// Recently changed member records.
    #[serde(rename = "r")]
    pub rumors: Vec<MemberRecord>,
    /// Recent announcements.
    #[serde(rename = "n")]
    pub announcements: Vec<AnnouncementRecord>,
    /// Configuration changes.
    #[serde(rename = "e")]
    pub delta: Option<ConfigDelta>,
    /// Data that the sender requests.
    #[serde(rename = "w")]
    pub wants: ExchangeWants,
}

impl ExchangeMessage {
    /// Returns the number of bytes of configuration text in the message.
    pub fn text_bytes(&self) -> usize {
        self.delta.as_ref().map_or(0, ConfigDelta::bytes)
    }
}
