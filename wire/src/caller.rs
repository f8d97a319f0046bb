//! What callers send and get, as JSON over HTTP.
//!
//! `POST /v1/search` takes a [`SearchBody`]; `POST /v1/tickets` a [`TicketBody`];
//! `POST /v1/execute` an [`ExecuteBody`]. Answers are [`yuccalift_core::SearchAnswer`],
//! [`TicketGrant`], [`ExecuteAnswer`]; each error is a [`yuccalift_core::Refusal`].
//! `GET /ready` answers 200 when the daemon takes requests, 503 otherwise.

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{AccountName, CollectionName, HostName, Incarnation, RequestId, ShardId};

/// An idempotent search over every shard of a collection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchBody {
    /// The caller's id of the request; a resent request has the same.
    pub request: RequestId,
    /// The client account.
    pub account: AccountName,
    /// The collection to search.
    pub collection: CollectionName,
    /// What to search for.
    pub text: Box<str>,
    /// The greatest number of hits wanted.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// How long the caller waits, in milliseconds; the account's deadline if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_left_ms: Option<u64>,
}

/// Asks for a ticket, under which one non-idempotent request may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketBody {
    /// The client account.
    pub account: AccountName,
}

/// A ticket: who owns it, as which incarnation, and until when. Callers send it back as it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The daemon that alone may run the request.
    pub owner: HostName,
    /// The owner's incarnation; a later one knows nothing of the ticket.
    pub incarnation: Incarnation,
    /// The ticket's number at its owner.
    pub number: u64,
    /// The account that it was granted to.
    pub account: AccountName,
}

/// A granted ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketGrant {
    /// The ticket.
    pub ticket: Ticket,
    /// How long it is valid, in milliseconds.
    pub expires_in_ms: u64,
}

/// A non-idempotent request to one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteBody {
    /// The ticket; without one the request is sent once and a resent one is another request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<Ticket>,
    /// The caller's id of the request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountName,
    /// The collection.
    pub collection: CollectionName,
    /// The shard that it runs on.
    pub shard: ShardId,
    /// What to do.
    pub text: Box<str>,
    /// How long the caller waits, in milliseconds; the account's deadline if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_left_ms: Option<u64>,
}

/// The answer to a non-idempotent request that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteAnswer {
    /// The caller's id of the request.
    pub request: RequestId,
    /// Always `ran`.
    pub outcome: yuccalift_core::Outcome,
    /// What the target answered.
    pub result: Box<str>,
    /// Whether this repeats what an earlier sending of the request was answered.
    pub repeated: bool,
    /// Always true and always last.
    pub complete: bool,
}

/// How many hits an answer has at the most where the caller does not say.
pub const DEFAULT_LIMIT: u32 = 20;

fn default_limit() -> u32 {
    DEFAULT_LIMIT
}
