//! State of a searchable collection: [`CollectionState`].

use crate::engine::admission::AdmissionQueue;
use crate::engine::latency::LatencyHistogram;
use crate::engine::slots::Slot;

#[derive(Debug, Default)]
pub(crate) struct CollectionState {
    /// Plan that new queries run on; absent once the collection is no longer published.
    pub(crate) current: Option<Slot>,
    /// Plan of a newer map that cannot be served as completely as the current one yet.
    pub(crate) pending: Option<Slot>,
    /// Number of existing plans, including retired ones.
    pub(crate) plans: u32,
    /// Latencies of those targets of the collection that are not slow.
    pub(crate) latencies: LatencyHistogram,
    /// Queries that wait to start.
    pub(crate) queue: AdmissionQueue,
}

impl CollectionState {
    /// Creates a collection without a plan.
    pub(crate) fn new(reserves_starts: bool) -> Self {
        Self {
            queue: AdmissionQueue::new(reserves_starts),
            ..Self::default()
        }
    }
}
