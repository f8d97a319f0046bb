//! A line in the log for what the control plane noticed.

use tracing::{info, warn};
use yuccalift_core::control::ControlNotice;

/// Writes a notice to the log.
pub(super) fn log_notice(notice: &ControlNotice) {
    match notice {
        ControlNotice::ConfigAdvanced { version, peer } => {
            let source = peer.as_deref().unwrap_or("platform");
            info!(version, source, "configuration in force");
        }
        ControlNotice::ValueRefused(refused) => warn!(
            key = &*refused.key,
            version = refused.version,
            fault = &*refused.reason,
            "value refused"
        ),
        ControlNotice::PlatformStale { offered, known } => {
            warn!(offered, known, "platform offers an older version");
        }
        ControlNotice::ConfigDiverged { peer, version } => {
            warn!(
                peer = &**peer,
                version, "configuration differs from a peer's"
            );
        }
        ControlNotice::PeerSuspected(peer) => info!(peer = &**peer, "peer suspected"),
        ControlNotice::PeerGone(peer) => info!(peer = &**peer, "peer gone"),
        ControlNotice::Refuted => info!("refuted a suspicion of this daemon"),
        ControlNotice::ReaderChanged(reads) => info!(reads, "reader of the platform changed"),
    }
}
