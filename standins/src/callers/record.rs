//! What each request got.

use std::time::Duration;

use yuccalift_core::coverage::MissingShard;
use yuccalift_core::ids::{IndexVersion, RequestId, ShardId};
use yuccalift_core::{Refusal, SearchAnswer, Snapshot};

/// One request with what it got.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRecord {
    /// The stream that it belongs to, by its place in the load.
    pub stream: usize,
    /// The caller's id of the request.
    pub request: RequestId,
    /// When it was due, since the start of the load.
    pub due: Duration,
    /// How long after that its result came.
    pub latency: Duration,
    /// How often it was sent.
    pub sends: u32,
    /// How many sendings ended with a connection that was lost after it had been made.
    pub lost_sends: u32,
    /// Every refusal that one of its sendings got, the last one included.
    pub refusals: Vec<Refusal>,
    /// What it got in the end.
    pub result: CallResult,
}

/// What a request got in the end.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// An answer to a search.
    Answered(AnsweredSearch),
    /// A non-idempotent request ran.
    Executed {
        /// Whether the answer repeats an earlier one.
        repeated: bool,
        /// Whether the answer is another request's.
        foreign: bool,
    },
    /// A typed refusal.
    Refused(Refusal),
    /// Nothing that could be understood.
    Lost {
        /// The step at which it was lost.
        step: &'static str,
        /// What went wrong.
        message: Box<str>,
    },
}

/// What a caller keeps of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnsweredSearch {
    /// The snapshot that the answer names.
    pub snapshot: Snapshot,
    /// How many shards it says were asked.
    pub asked: u32,
    /// The shards that it says answered.
    pub answered: Vec<ShardId>,
    /// The shards that it says are missing.
    pub missing: Vec<MissingShard>,
    /// The index versions that the targets wrote into its hits, sorted.
    pub hit_versions: Vec<IndexVersion>,
    /// The shards that the targets wrote into its hits, sorted.
    pub hit_shards: Vec<ShardId>,
    /// Hits that belong to another request.
    pub foreign_hits: u32,
    /// Whether it names another request, or lacks the mark of its end.
    pub foreign: bool,
}

impl AnsweredSearch {
    /// Reads an answer as the caller of `request`, who asked for `text`.
    pub fn read(answer: &SearchAnswer, request: &str, text: &str) -> Self {
        let mut hit_versions = Vec::new();
        let mut hit_shards = Vec::new();
        let mut foreign_hits = 0;
        for hit in &answer.hits {
            match read_key(&hit.key) {
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

    /// The share of the shards that answered.
    pub fn share(&self) -> f64 {
        if self.asked == 0 {
            return 1.0;
        }
        self.answered.len() as f64 / f64::from(self.asked)
    }
}

/// What a leaf stand-in wrote into the key of a hit.
pub(crate) struct HitKey<'key> {
    pub(crate) shard: ShardId,
    pub(crate) version: IndexVersion,
    pub(crate) text: &'key str,
}

pub(crate) fn read_key(key: &str) -> Option<HitKey<'_>> {
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
