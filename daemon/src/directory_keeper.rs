//! Fills the [`PeerDirectory`] from the members that the control plane knows.

use std::time::Duration;

use actix::Addr;
use yuccalift_core::control::MemberRecord;
use yuccalift_kernel::ServiceGuard;

use crate::control::control_lane::{ControlLane, GetControlSnapshot};
use crate::peer_directory::{PeerAddress, PeerDirectory};

/// How often the directory is filled anew.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);

/// Keeps the directory of one daemon.
#[derive(Clone, Debug)]
pub(crate) struct DirectoryKeeper {
    control: Addr<ControlLane>,
    directory: PeerDirectory,
}

impl DirectoryKeeper {
    pub(crate) fn new(control: Addr<ControlLane>, directory: PeerDirectory) -> Self {
        Self { control, directory }
    }

    /// Fills the directory until the daemon stops.
    pub(crate) async fn run(self, guard: ServiceGuard) {
        loop {
            self.refresh().await;
            tokio::select! {
                () = guard.token.cancelled() => return,
                () = tokio::time::sleep(REFRESH_PERIOD) => {}
            }
        }
    }

    /// The peer on a host; the control plane is asked if the directory lacks it or has an older
    /// incarnation, since peers are replaced all day long.
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
