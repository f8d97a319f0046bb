//! The message that daemons exchange; a request and its reply have the same form.
//!
//! Fields that a daemon does not know are passed over, since a newer one may send them while the
//! fleet is being replaced.

use serde::{Deserialize, Serialize};

use super::announcements::AnnouncementRecord;
use super::config_delta::{ConfigDelta, MAX_VALUE_BYTES};
use super::member_record::MemberRecord;
use super::reader_heartbeat::ReaderHeartbeat;
use crate::ids::{ConfigVersion, ValueKey};

/// Text of configuration in one message, unless one value alone is larger.
pub const MAX_DELTA_BYTES: usize = 256 * 1024;
/// The largest message: one value with its last good one, and everything else.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + 2 * MAX_DELTA_BYTES;
/// Changes of members in one message.
pub const MAX_RUMORS: usize = 24;
/// Items of news in one message.
pub const MAX_NEWS: usize = 16;

/// How far the sender's configuration has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDigest {
    /// The version through which it knows every change.
    #[serde(rename = "v")]
    pub version: ConfigVersion,
    /// The hash of what it holds.
    #[serde(rename = "h")]
    pub hash: u64,
}

/// What the sender asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeWants {
    /// Every member of the data centre, some contacts of others, and all news.
    #[serde(rename = "m")]
    pub members: bool,
    /// The changes after its version, if the other has any.
    #[serde(rename = "d")]
    pub delta: bool,
    /// The keys whose whole value it lacks, sorted.
    #[serde(rename = "k")]
    pub whole: Vec<ValueKey>,
}

/// What one daemon tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// The sender, as it knows itself.
    #[serde(rename = "f")]
    pub from: MemberRecord,
    /// How far its configuration has come.
    #[serde(rename = "c")]
    pub config: ConfigDigest,
    /// The hash of its table of members.
    #[serde(rename = "g")]
    pub digest: u64,
    /// Signs that readers are answered by the platform.
    #[serde(rename = "b")]
    pub heartbeats: Vec<ReaderHeartbeat>,
    /// Beliefs about daemons.
    #[serde(rename = "r")]
    pub rumors: Vec<MemberRecord>,
    /// News.
    #[serde(rename = "n")]
    pub announcements: Vec<AnnouncementRecord>,
    /// Changes of the configuration.
    #[serde(rename = "e")]
    pub delta: Option<ConfigDelta>,
    /// What it asks for.
    #[serde(rename = "w")]
    pub wants: ExchangeWants,
}
