//! Aliases for the identifiers that every package shares, so that a signature says what a number is.

/// One search as one daemon runs it; chosen at random when the search is admitted.
pub type QueryId = u64;
/// One request to one target on behalf of a query; counts up within one daemon's incarnation.
pub type AttemptId = u64;
/// A shard's number within its collection's shard map.
pub type ShardId = u32;
/// A target's (leaf's) number, unique over all collections that the platform publishes.
pub type TargetId = u32;
/// The version of a collection's shard map; it grows whenever shards split or move.
pub type MapEpoch = u64;
/// The version of the index that a target has loaded.
pub type IndexVersion = u64;
/// The platform's version of the whole configuration; it grows with each accepted change.
pub type ConfigVersion = u64;
/// The start of one daemon process; a restarted daemon always has a greater one.
pub type Incarnation = u64;
/// A hash of what a request asks, equal for a resent request.
pub type Fingerprint = u64;
/// The name of an entry host, as the platform lists it.
pub type HostName = Box<str>;
/// The name of a data centre.
pub type DataCentreName = Box<str>;
/// The name of a client account.
pub type AccountName = Box<str>;
/// The name of a searchable collection of shards.
pub type CollectionName = Box<str>;
/// The caller's own name for its request, echoed in the answer.
pub type RequestId = Box<str>;
/// The name of a published configuration value.
pub type ValueKey = Box<str>;
