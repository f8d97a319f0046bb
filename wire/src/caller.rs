//! Messages exchanged with callers, as JSON over HTTP.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/search` | [`SearchBody`] | [`yuccalift_core::SearchAnswer`] |
//! | `POST /v1/tickets` | [`TicketBody`] | [`TicketGrant`] |
//! | `POST /v1/execute` | [`ExecuteBody`] | [`ExecuteAnswer`] |
//! | `GET /ready` | none | 200 when the daemon accepts requests, 503 otherwise |
//!
//! An error answer to any of the `POST` calls is a [`yuccalift_core::Refusal`].

use serde::{Deserialize, Serialize};
use yuccalift_core::ids::{AccountName, CollectionName, HostName, Incarnation, RequestId, ShardId};

/// An idempotent search over all shards of a collection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchBody {
    /// Request id chosen by the caller; unchanged when the caller resends the request.
    pub request: RequestId,
    /// Client account that the request is charged to.
    pub account: AccountName,
    /// Collection to search.
    pub collection: CollectionName,
    /// Query text.
    pub text: Box<str>,
    /// Maximum number of hits in the answer.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Time in milliseconds that the caller will wait; the account's deadline applies if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_left_ms: Option<u64>,
}

/// A request for a ticket, which allows one non-idempotent request to run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketBody {
    /// Client account that will use the ticket.
    pub account: AccountName,
}

/// A ticket for one non-idempotent request. Callers send it back unchanged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// The only daemon that may run the request.
    pub owner: HostName,
    /// Incarnation of the owner that granted the ticket; later incarnations do not know the ticket.
    pub incarnation: Incarnation,
    /// Ticket number, assigned by the owner.
    pub number: u64,
    /// Client account that the ticket was granted to.
    pub account: AccountName,
}

/// Answer to a [`TicketBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketGrant {
    /// The granted ticket.
    pub ticket: Ticket,
    /// Validity of the ticket, in milliseconds from now.
    pub expires_in_ms: u64,
}

/// A non-idempotent request to one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteBody {
    /// Ticket of the request. Without one the request is sent once, and a request that the caller
    /// resends counts as a new one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<Ticket>,
    /// Request id chosen by the caller.
    pub request: RequestId,
    /// Client account that the request is charged to.
    pub account: AccountName,
    /// Collection that holds the shard.
    pub collection: CollectionName,
    /// Shard to run the request on.
    pub shard: ShardId,
    /// Request text.
    pub text: Box<str>,
    /// Time in milliseconds that the caller will wait; the account's deadline applies if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_left_ms: Option<u64>,
}

/// The answer to a non-idempotent request that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteAnswer {
    /// Request id chosen by the caller.
    pub request: RequestId,
    /// Always `ran`: a request that did not run is answered by a refusal.
    pub outcome: yuccalift_core::Outcome,
    /// Result text returned by the target.
    pub result: Box<str>,
    /// Whether this is the recorded answer to an earlier delivery of the same request.
    pub repeated: bool,
    /// Always true. Serialized last, so that a truncated answer lacks it.
    pub complete: bool,
}

/// Maximum number of hits in an answer when the caller does not set [`SearchBody::limit`].
pub const DEFAULT_HIT_LIMIT: u32 = 20;

fn default_limit() -> u32 {
    DEFAULT_HIT_LIMIT
}
