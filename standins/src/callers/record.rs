//! Results of the requests of a load.

use std::time::Duration;

use yuccalift_core::coverage::MissingShard;
use yuccalift_core::ids::{IndexVersion, RequestId, ShardId};
use yuccalift_core::{Refusal, SearchAnswer, Snapshot};

/// A request with its result.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRecord {
    /// Index of the request's stream in the load.
    pub stream: usize,
    /// Request id that the caller chose.
    pub request: RequestId,
    /// Due time of the request, since the start of the load.
    pub due: Duration,
    /// Time from the due time to the result.
    pub latency: Duration,
    /// Number of times that the request was sent.
    pub sends: u32,
    /// Number of sends that failed after a connection had been established.
    pub lost_sends: u32,
    /// Refusals of all sends, including the last one.
    pub refusals: Vec<Refusal>,
    /// Final result of the request.
    pub result: CallResult,
}

/// Final result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// An answer to a search.
    Answered(AnsweredSearch),
    /// A non-idempotent request was executed.
    Executed {
        /// Whether the daemon repeated the stored answer of an earlier execution.
        repeated: bool,
        /// Whether the answer belongs to another request or is truncated.
        foreign: bool,
    },
    /// A typed refusal.
    Refused(Refusal),
    /// Neither an answer nor a typed refusal.
    Lost {
        /// Step at which the request was lost: `search`, `ticket` or `execute`.
        step: &'static str,
        /// Description of the failure.
        message: Box<str>,
    },
}

/// The parts of a search answer that the checks use.
#[derive(Clone, Debug, PartialEq)]
pub struct AnsweredSearch {
    /// Snapshot that the answer names.
    pub snapshot: Snapshot,
    /// Number of shards that were queried, according to the answer.
    pub asked: u32,
    /// Shards that answered, according to the answer.
    pub answered: Vec<ShardId>,
    /// Shards that are missing, according to the answer.
    pub missing: Vec<MissingShard>,
    /// Index versions in the keys of the hits, sorted.
    pub hit_versions: Vec<IndexVersion>,
    /// Shards in the keys of the hits, sorted.
    pub hit_shards: Vec<ShardId>,
    /// Number of hits that belong to another request or whose keys are malformed.
    pub foreign_hits: u32,
    /// Whether the answer names another request or lacks its end marker.
    pub foreign: bool,
}

impl AnsweredSearch {
    /// Reads an answer to `request`, which searched for `text`.
    pub fn read(answer: &SearchAnswer, request: &str, text: &str) -> Self {
        let mut hit_versions = Vec::new();
        let mut hit_shards = Vec::new();
        let mut foreign_hits = 0;
        for hit in &answer.hits {
            match parse_hit_key(&hit.key) {
                Some(key) if key.text == text && key.shard == hit.shard => {
                    hit_versions.push(key.version);
                    hit_shards.push(key.shard);
                }
                _ => foreign_hits += 1,
            }
        }
        hit_versions.sort_unstable();
        hit_versions.dedup();
        hit_shards.sort_unstable();
        hit_shards.dedup();
        Self {
            snapshot: answer.snapshot,
            asked: answer.coverage.asked,
            answered: answer.coverage.answered.clone(),
            missing: answer.coverage.missing.clone(),
            hit_versions,
            hit_shards,
            foreign_hits,
            foreign: answer.request.as_ref() != request || !answer.complete,
        }
    }

    /// Returns the fraction of the queried shards that answered; 1 if no shard was queried.
    pub fn share(&self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        self.answered.len() as f64 / f64::from(self.asked)
    }
}

/// Parts of a hit key, which a leaf stand-in writes as `shard/version/rank/text`.
pub(crate) struct HitKey<'key> {
    pub(crate) shard: ShardId,
    pub(crate) version: IndexVersion,
    pub(crate) text: &'key str,
}

pub(crate) fn parse_hit_key(key: &str) -> Option<HitKey<'_>> {
    let mut parts = key.splitn(4, '/');
    let shard = parts.next()?.parse().ok()?;
    let version = parts.next()?.parse().ok()?;
    let _rank = parts.next()?;
    let text = parts.next()?;
    Some(HitKey {
        shard,
        version,
        text,
    })
}
