//! What the engine keeps for each searchable collection: [`CollectionState`].

use crate::engine::admission::AdmissionQueue;
use crate::engine::latency::LatencyHistogram;
use crate::engine::slots::Slot;

/// One searchable collection.
#[derive(Debug, Default)]
pub(crate) struct CollectionState {
    /// The plan that new queries go by; none once the collection is no longer published.
    pub(crate) current: Option<Slot>,
    /// The plan of a newer map that cannot be served whole yet.
    pub(crate) pending: Option<Slot>,
    /// How many plans of it exist, retired ones included.
    pub(crate) plans: u32,
    /// The latencies of its targets that are not slow.
    pub(crate) latencies: LatencyHistogram,
    /// The queries that wait for it.
    pub(crate) queue: AdmissionQueue,
}

impl CollectionState {
    /// A collection without a plan.
    pub(crate) fn new(reserves_starts: bool) -> Self {
        Self {
            queue: AdmissionQueue::new(reserves_starts),
            ..Self::default()
        }
    }
}
