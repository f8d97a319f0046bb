//! Finds the peer on a host, and refreshes the [`PeerDirectory`] from the control plane's members.

use std::time::Duration;

use actix::Addr;
use yuccalift_core::control::MemberRecord;
use yuccalift_kernel::ServiceGuard;

use crate::control::control_lane::{ControlLane, GetControlSnapshot};
use crate::peer_directory::{PeerAddress, PeerDirectory};

/// Interval between refreshes of the directory.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);

/// Looks up peers in a daemon's directory, and refreshes the directory.
#[derive(Clone, Debug)]
pub(crate) struct PeerLocator {
    control: Addr<ControlLane>,
    directory: PeerDirectory,
}

impl PeerLocator {
    pub(crate) fn new(control: Addr<ControlLane>, directory: PeerDirectory) -> Self {
        Self { control, directory }
    }

    /// Refreshes the directory periodically until the daemon stops.
    pub(crate) async fn run(self, guard: ServiceGuard) {
        loop {
            self.refresh().await;
            tokio::select! {
                () = guard.token.cancelled() => return,
                () = tokio::time::sleep(REFRESH_PERIOD) => {}
            }
        }
    }

    /// Returns the peer on a host. If the directory lacks the host or holds an older incarnation,
    /// refreshes it from the control plane first, since daemons are replaced at any time.
    pub(crate) async fn find(&self, host: &str, incarnation: u64) -> Option<PeerAddress> {
        let known = self.directory.find(host);
        if known
            .as_ref()
            .is_some_and(|peer| peer.incarnation >= incarnation)
        {
            return known;
        }
        self.refresh().await;
        self.directory.find(host)
    }

    async fn refresh(&self) {
        if let Ok(snapshot) = self.control.send(GetControlSnapshot).await {
            let peers = snapshot.peers.iter().chain([&snapshot.own]);
            self.directory.replace(newest_of_each_host(peers));
        }
    }
}

fn newest_of_each_host<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> Vec<PeerAddress> {
    let mut peers: Vec<PeerAddress> = records
        .map(|record| PeerAddress {
            host: record.host.clone(),
            incarnation: record.incarnation,
            address: record.address,
        })
        .collect();
    peers.sort_by(|left, right| {
        let newest_first = right.incarnation.cmp(&left.incarnation);
        left.host.cmp(&right.host).then(newest_first)
    });
    peers.dedup_by(|later, first| later.host == first.host);
    peers
}
