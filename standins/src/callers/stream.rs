//! Kinds, texts and rates of the requests of a load.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use yuccalift_core::ids::{AccountName, CollectionName, ShardId};

/// A stream of similar requests of one client account.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// Client account that sends the requests.
    pub account: AccountName,
    /// Collection that the requests name.
    pub collection: CollectionName,
    /// Kind of the requests.
    pub kind: CallKind,
    /// Texts of the requests.
    pub text: StreamText,
    /// Steps of the request rate, sorted by time; the rate is zero before the first step.
    pub rates: Vec<RateStep>,
    /// Time that a caller waits for a result, from the due time.
    pub wait: Duration,
    /// Maximum number of times that a caller sends a request again after a failed send.
    pub max_resends: u32,
}

/// A request rate that holds until the next step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStep {
    /// Start of the step, since the start of the load.
    pub from: Duration,
    /// Requests per second.
    pub per_second: f64,
}

/// Kind of the requests of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Searches over every shard.
    Search,
    /// Non-idempotent requests under a ticket.
    Execute {
        /// Shards from which each request picks one at random.
        shards: Vec<ShardId>,
        /// Number of copies of each request that are sent at once, to successive daemons.
        copies: u32,
    },
    /// Non-idempotent requests without a ticket, which are never sent again.
    ExecuteWithoutTicket {
        /// Shards from which each request picks one at random.
        shards: Vec<ShardId>,
    },
}

/// Texts of the requests of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamText {
    /// Each request has its own text.
    Unique,
    /// All requests have the same text.
    Fixed(Box<str>),
}

impl LoadStream {
    /// Returns the due time of the request after one at `now`; `None` if the final rate is zero.
    pub(crate) fn next_due(&self, now: Duration, rng: &mut ChaCha8Rng) -> Option<Duration> {
        let mut from = now;
        loop {
            let next_step = self.rates.partition_point(|step| step.from <= from);
            let until = self.rates.get(next_step).map(|step| step.from);
            let rate = next_step
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
