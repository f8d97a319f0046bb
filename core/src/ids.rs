//! Aliases for identifiers that all crates share, so that signatures tell the kinds of id apart.

/// Id of a query, that is, one search as run by one daemon; chosen at random when the search is
/// admitted.
pub type QueryId = u64;
/// Id of an attempt, that is, one request to one target for a query; increases within a daemon's
/// incarnation.
pub type AttemptId = u64;
/// Number of a shard within the shard map of its collection.
pub type ShardId = u32;
/// Number of a target (leaf), unique over all collections that the platform publishes.
pub type TargetId = u32;
/// Version of a collection's shard map; increases whenever shards are split or moved.
pub type MapEpoch = u64;
/// Version of the index that a target has loaded.
pub type IndexVersion = u64;
/// Platform's version of the whole configuration; increases with each accepted change.
pub type ConfigVersion = u64;
/// Number of times that the platform was restored from an older copy of its contents.
pub type StoreEra = u64;
/// Identifies a daemon process on its host; greater for each later process.
pub type Incarnation = u64;
/// Hash of the content of a request; the same when the request is resent.
pub type Fingerprint = u64;
/// Name of an entry host, as the platform lists it.
pub type HostName = Box<str>;
/// Name of a data centre.
pub type DataCentreName = Box<str>;
/// Name of a client account.
pub type AccountName = Box<str>;
/// Name of a collection: a set of shards that are searched together.
pub type CollectionName = Box<str>;
/// Id that the caller gave to its request; echoed in the answer.
pub type RequestId = Box<str>;
/// Key of a published configuration value.
pub type ValueKey = Box<str>;
