//! What the services tell of themselves for operators, in one place.
//!
//! Each service writes its own part when it changes; the operators' listener reads a copy. The
//! engine's part is asked of the lane instead, since it changes with each request.

use std::sync::{Arc, Mutex, PoisonError};

use yuccalift_core::ids::{ConfigVersion, ValueKey};
use yuccalift_wire::operator::{ControlReport, PeerReport, QuarantineReport};

/// The name under which the board is published.
pub const STATUS_SERVICE: &str = "status";

/// A published value that is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedValue {
    /// Its key.
    pub key: ValueKey,
    /// Why it was refused.
    pub fault: Box<str>,
}

/// What the services have told.
#[derive(Clone, Debug, Default)]
pub struct StatusSnapshot {
    /// The configuration version in force.
    pub config_version: ConfigVersion,
    /// The values that were refused, sorted by key.
    pub refused_values: Vec<RefusedValue>,
    /// The peers, sorted by host.
    pub peers: Vec<PeerReport>,
    /// The fingerprints held back.
    pub quarantines: Vec<QuarantineReport>,
    /// What control has cost.
    pub control: ControlReport,
}

/// The board; clones are the same board.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus {
    view: Arc<Mutex<StatusSnapshot>>,
}

impl SharedStatus {
    /// A copy of what the services have told.
    pub fn view(&self) -> StatusSnapshot {
        self.with(|view| view.clone())
    }

    /// Notes the configuration version in force.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.with(|view| view.config_version = version);
    }

    /// Notes that a published value was refused.
    pub fn record_refused(&self, key: &str, fault: &str) {
        let value = RefusedValue {
            key: key.into(),
            fault: fault.into(),
        };
        self.with(|view| match find_refused(view, key) {
            Ok(position) => view.refused_values[position] = value,
            Err(position) => view.refused_values.insert(position, value),
        });
    }

    /// Notes that a published value is in force, or gone.
    pub fn clear_refused(&self, key: &str) {
        self.with(|view| {
            if let Ok(position) = find_refused(view, key) {
                view.refused_values.remove(position);
            }
        });
    }

    /// Notes the peers, sorted by host.
    pub fn set_peers(&self, peers: Vec<PeerReport>) {
        self.with(|view| view.peers = peers);
    }

    /// Notes the fingerprints held back.
    pub fn set_quarantines(&self, quarantines: Vec<QuarantineReport>) {
        self.with(|view| view.quarantines = quarantines);
    }

    /// Notes what control has cost since the start.
    pub fn set_control(&self, cost: ControlReport) {
        self.with(|view| view.control = cost);
    }

    fn with<T>(&self, change: impl FnOnce(&mut StatusSnapshot) -> T) -> T {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut view)
    }
}

fn find_refused(view: &StatusSnapshot, key: &str) -> Result<usize, usize> {
    view.refused_values
        .binary_search_by(|value| value.key.as_ref().cmp(key))
}
