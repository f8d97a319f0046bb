//! The requests that a connection to a target has carried: [`LinkHistory`].
//!
//! A target may send a second copy of an answer late, when its connection carries another request
//! already. The copy is told from the answer by the request id that targets echo, but the id is the
//! caller's: each attempt of a request bears it, and nothing keeps two callers from using the same.
//! A connection therefore carries an id again only after the deadline of the earlier request, and
//! not directly after it; see `docs/PLATFORM.md`, "Connections to targets".

use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a request id. Two ids with the same hash only keep a request off a connection.
type IdHash = u64;

/// Maximum number of remembered requests; a connection that would have to remember more is not
/// reused.
const MAX_REQUESTS: usize = 1024;

/// A request that a connection has carried.
#[derive(Clone, Copy, Debug)]
struct CarriedRequest {
    id: IdHash,
    /// Deadline of the request, after which it is not sent again.
    deadline: Instant,
}

/// The requests that a connection has carried: the latest one, and all whose deadline has not
/// passed.
#[derive(Clone, Debug, Default)]
pub struct LinkHistory {
    requests: Vec<CarriedRequest>,
}

impl LinkHistory {
    /// Returns whether the connection has not carried a request yet.
    pub fn is_new(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether the answer to a request with this id could be told from a second copy of an
    /// earlier answer.
    pub fn can_carry(&self, request_id: &str) -> bool {
        let id = xxh3_64(request_id.as_bytes());
        self.requests.len() < MAX_REQUESTS && self.requests.iter().all(|request| request.id != id)
    }

    /// Records a request that is sent over the connection.
    pub fn record(&mut self, now: Instant, request_id: &str, deadline: Instant) {
        self.requests.retain(|request| now < request.deadline);
        self.requests.push(CarriedRequest {
            id: xxh3_64(request_id.as_bytes()),
            deadline,
        });
    }
}
