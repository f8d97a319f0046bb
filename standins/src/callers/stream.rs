//! What a load asks, and at which rates.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use yuccalift_core::ids::{AccountName, CollectionName, ShardId};

/// Requests of one client account that are alike.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// The client account.
    pub account: AccountName,
    /// The collection.
    pub collection: CollectionName,
    /// What kind of request it sends.
    pub kind: CallKind,
    /// What its requests ask.
    pub text: StreamText,
    /// How many requests are due a second, from when on; sorted by time.
    pub rates: Vec<RateStep>,
    /// How long a caller waits for its answer.
    pub wait: Duration,
    /// How often a caller sends its request again when no answer came.
    pub resends: u32,
}

/// A rate from a time on, until the next step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStep {
    /// When the rate begins, since the start of the load.
    pub from: Duration,
    /// Requests a second.
    pub per_second: f64,
}

/// What kind of request a stream sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Searches over every shard.
    Search,
    /// Non-idempotent requests under a ticket.
    Execute {
        /// The shards, of which each request takes one.
        shards: Vec<ShardId>,
        /// Through how many daemons each request is sent at once.
        copies: u32,
    },
    /// Non-idempotent requests without a ticket.
    ExecuteOnce {
        /// The shards, of which each request takes one.
        shards: Vec<ShardId>,
    },
}

/// What a stream's requests ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamText {
    /// Each asks something of its own.
    Unique,
    /// All ask the same.
    Fixed(Box<str>),
}

impl LoadStream {
    /// When the next request is due after one at `now`; none if the rates end in rest.
    pub(crate) fn next_due(&self, now: Duration, rng: &mut ChaCha8Rng) -> Option<Duration> {
        let mut from = now;
        loop {
            let position = self.rates.partition_point(|step| step.from <= from);
            let until = self.rates.get(position).map(|step| step.from);
            let rate = position
                .checked_sub(1)
                .map_or(0.0, |last| self.rates[last].per_second);
            if rate > 0.0 {
                let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
                let due = from + Duration::from_secs_f64(gap);
                if until.is_none_or(|until| due < until) {
                    return Some(due);
                }
            }
            from = until?;
        }
    }
}
