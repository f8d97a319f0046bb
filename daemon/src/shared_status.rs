//! Status that the services record for operators.
//!
//! Each service records its own part when it changes; the operators' listener reads a copy. The
//! engine's part is requested from the lane instead, since it changes with every request.

use std::sync::{Arc, Mutex, PoisonError};

use yuccalift_core::ids::{ConfigVersion, ValueKey};
use yuccalift_wire::operator::{ControlReport, PeerReport, QuarantineReport};

/// Registry name of the [`SharedStatus`].
pub const STATUS_SERVICE: &str = "status";

/// A published value that was refused and is not in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedValue {
    /// Key of the value in the platform.
    pub key: ValueKey,
    /// Reason of the refusal.
    pub reason: Box<str>,
}

/// Copy of the status that the services have recorded.
#[derive(Clone, Debug, Default)]
pub struct StatusSnapshot {
    /// Configuration version in effect.
    pub config_version: ConfigVersion,
    /// Refused values, sorted by key.
    pub refused_values: Vec<RefusedValue>,
    /// Known peers, sorted by host.
    pub peers: Vec<PeerReport>,
    /// Quarantined fingerprints.
    pub quarantines: Vec<QuarantineReport>,
    /// Traffic and cost of the control plane since the start.
    pub control: ControlReport,
}

/// Status of one daemon, shared by its services. Clones share the same status.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus {
    snapshot: Arc<Mutex<StatusSnapshot>>,
}

impl SharedStatus {
    /// Returns a copy of the current status.
    pub fn snapshot(&self) -> StatusSnapshot {
        self.with_snapshot(|snapshot| snapshot.clone())
    }

    /// Sets the configuration version in effect.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.with_snapshot(|snapshot| snapshot.config_version = version);
    }

    /// Records that a published value was refused.
    pub fn record_refused(&self, key: &str, reason: &str) {
        let value = RefusedValue {
            key: key.into(),
            reason: reason.into(),
        };
        self.with_snapshot(|snapshot| match refused_position(snapshot, key) {
            Ok(position) => snapshot.refused_values[position] = value,
            Err(position) => snapshot.refused_values.insert(position, value),
        });
    }

    /// Removes the refusal of a value that is now in effect or deleted.
    pub fn clear_refused(&self, key: &str) {
        self.with_snapshot(|snapshot| {
            if let Ok(position) = refused_position(snapshot, key) {
                snapshot.refused_values.remove(position);
            }
        });
    }

    /// Sets the known peers, which must be sorted by host.
    pub fn set_peers(&self, peers: Vec<PeerReport>) {
        self.with_snapshot(|snapshot| snapshot.peers = peers);
    }

    /// Sets the quarantined fingerprints.
    pub fn set_quarantines(&self, quarantines: Vec<QuarantineReport>) {
        self.with_snapshot(|snapshot| snapshot.quarantines = quarantines);
    }

    /// Sets the traffic and cost of the control plane since the start.
    pub fn set_control(&self, control: ControlReport) {
        self.with_snapshot(|snapshot| snapshot.control = control);
    }

    fn with_snapshot<T>(&self, change: impl FnOnce(&mut StatusSnapshot) -> T) -> T {
        let mut snapshot = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut snapshot)
    }
}

fn refused_position(snapshot: &StatusSnapshot, key: &str) -> Result<usize, usize> {
    snapshot
        .refused_values
        .binary_search_by(|value| value.key.as_ref().cmp(key))
}
