//! Connections to all targets of a lane, their connection limits, and periodic status probes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::Addr;
use yuccalift_core::ShardMap;
use yuccalift_core::event::ConnectionShare;
use yuccalift_core::ids::{AttemptId, TargetId};

use crate::lane::{EngineLane, TargetObserved};
use crate::leaf::{LeafClient, MaintenanceTask};

/// Interval between status probes of a target, once it has answered the first one.
const STATUS_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of status probes sent in one check period. With many targets, each is probed
/// less often than [`STATUS_PERIOD`].
const STATUS_PROBES_PER_CHECK: usize = 5;
/// Maximum number of first status probes of new targets in one check period.
const FIRST_PROBES_PER_CHECK: usize = 64;

/// How long the peers consider a target draining after it reported so itself. The announcement is
/// repeated while the target keeps reporting it, so a target that resumes is not avoided for long.
pub(crate) const DRAIN_ANNOUNCEMENT_TTL: Duration = Duration::from_secs(5);
/// Interval between repeated announcements of a draining target.
const DRAIN_ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(2_500);

/// Connections to one target.
struct TargetLink {
    target: TargetId,
    address: SocketAddr,
    client: Rc<LeafClient>,
    status_due: Instant,
    has_status: bool,
    drain_announced_at: Option<Instant>,
}

/// Connections of one lane to all of its targets; `links` is sorted by target.
pub(crate) struct TargetLinks {
    sender: Box<str>,
    links: Vec<TargetLink>,
    maps: Vec<Arc<ShardMap>>,
    shares: Arc<[ConnectionShare]>,
    probe_cursor: usize,
}

impl TargetLinks {
    /// Creates an empty table; `sender` identifies the process to targets.
    pub(crate) fn new(sender: Box<str>) -> Self {
        Self {
            sender,
            links: Vec::new(),
            maps: Vec::new(),
            shares: Arc::from([]),
            probe_cursor: 0,
        }
    }

    /// Returns the number of linked targets.
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns the client of a target, created anew if the target's address has changed.
    pub(crate) fn client(&mut self, target: TargetId, address: SocketAddr) -> Rc<LeafClient> {
        let found = self.links.binary_search_by_key(&target, |link| link.target);
        if let Ok(position) = found
            && self.links[position].address == address
        {
            return Rc::clone(&self.links[position].client);
        }
        let client = LeafClient::new(address, &self.sender, self.share(target));
        let link = TargetLink {
            target,
            address,
            client: Rc::clone(&client),
            status_due: Instant::now(),
            has_status: false,
            drain_announced_at: None,
        };
        match found {
            Ok(position) => {
                self.links[position].client.set_limit(0);
                self.links[position] = link;
            }
            Err(position) => self.links.insert(position, link),
        }
        client
    }

    /// Requests that a target cancels an attempt.
    pub(crate) fn cancel(&self, attempt: AttemptId, target: TargetId) {
        if let Ok(position) = self.position(target) {
            let client = Rc::clone(&self.links[position].client);
            actix::spawn(async move { client.cancel(attempt).await });
        }
    }

    /// Records that a target has reported its status.
    pub(crate) fn record_status(&mut self, target: TargetId) {
        if let Ok(position) = self.position(target) {
            self.links[position].has_status = true;
        }
    }

    /// Records that a target reports that it drains. Returns whether this must be announced to the
    /// peers now.
    pub(crate) fn record_drain(&mut self, target: TargetId, now: Instant) -> bool {
        let Ok(position) = self.position(target) else {
            return false;
        };
        let announced_at = &mut self.links[position].drain_announced_at;
        let is_recent = announced_at
            .is_some_and(|at| now.saturating_duration_since(at) < DRAIN_ANNOUNCEMENT_PERIOD);
        if !is_recent {
            *announced_at = Some(now);
        }
        !is_recent
    }

    /// Marks every connection as suspect until it proves to be alive.
    pub(crate) fn suspect_all(&self) {
        for link in &self.links {
            link.client.suspect_all();
        }
    }

    /// Sets the daemon's share of connections to each target.
    pub(crate) fn set_shares(&mut self, shares: &Arc<[ConnectionShare]>) {
        self.shares = Arc::clone(shares);
        for link in &self.links {
            link.client.set_limit(self.share(link.target));
        }
    }

    /// Adds or replaces a shard map that is in effect.
    pub(crate) fn set_map(&mut self, map: &Arc<ShardMap>, lane: &Addr<EngineLane>) {
        let found = self
            .maps
            .binary_search_by(|known| known.collection.cmp(&map.collection));
        match found {
            Ok(position) => self.maps[position] = Arc::clone(map),
            Err(position) => self.maps.insert(position, Arc::clone(map)),
        }
        self.sync_links(lane);
    }

    /// Removes the shard map of a collection.
    pub(crate) fn remove_map(&mut self, collection: &str, lane: &Addr<EngineLane>) {
        self.maps
            .retain(|map| map.collection.as_ref() != collection);
        self.sync_links(lane);
    }

    /// Performs the periodic maintenance and probes; called every check period.
    pub(crate) fn check(&mut self, now: Instant, lane: &Addr<EngineLane>) {
        for link in &self.links {
            for task in link.client.due_maintenance(now) {
                spawn_maintenance(lane, link, task);
            }
        }
        self.probe(now, lane);
    }

    /// Links the targets of the maps in effect, and unlinks and closes those of no map.
    fn sync_links(&mut self, lane: &Addr<EngineLane>) {
        let maps = std::mem::take(&mut self.maps);
        for entry in maps.iter().flat_map(|map| &map.targets) {
            self.client(entry.target, entry.address);
        }
        self.links.retain(|link| {
            let listed = maps.iter().any(|map| map.target(link.target).is_some());
            if !listed {
                link.client.set_limit(0);
            }
            listed
        });
        self.maps = maps;
        self.probe(Instant::now(), lane);
    }

    /// Probes new targets for their status at once, and the others in turn at a bounded rate.
    fn probe(&mut self, now: Instant, lane: &Addr<EngineLane>) {
        let count = self.links.len();
        let mut first_budget = FIRST_PROBES_PER_CHECK;
        let mut repeat_budget = STATUS_PROBES_PER_CHECK;
        for _ in 0..count {
            if first_budget == 0 || repeat_budget == 0 {
                break;
            }
            self.probe_cursor = (self.probe_cursor + 1) % count;
            let link = &mut self.links[self.probe_cursor];
            if link.status_due > now {
                continue;
            }
            let budget = if link.has_status {
                &mut repeat_budget
            } else {
                &mut first_budget
            };
            *budget -= 1;
            let jitter = rand::random_range(0.75..1.25);
            link.status_due = now + STATUS_PERIOD.mul_f64(jitter);
            spawn_status(lane, link);
        }
    }

    /// Returns the maximum number of connections to a target; 0 until the shares are known.
    fn share(&self, target: TargetId) -> u32 {
        let found = self
            .shares
            .binary_search_by_key(&target, |share| share.target);
        found.map_or(0, |position| self.shares[position].connections)
    }

    fn position(&self, target: TargetId) -> Result<usize, usize> {
        self.links.binary_search_by_key(&target, |link| link.target)
    }
}

fn spawn_maintenance(lane: &Addr<EngineLane>, link: &TargetLink, task: MaintenanceTask) {
    let target = link.target;
    let client = Rc::clone(&link.client);
    let lane = lane.clone();
    actix::spawn(async move {
        if let Some(kind) = client.run_maintenance(task).await {
            let updates = vec![kind];
            lane.do_send(TargetObserved { target, updates });
        }
    });
}

fn spawn_status(lane: &Addr<EngineLane>, link: &TargetLink) {
    let target = link.target;
    let client = Rc::clone(&link.client);
    let lane = lane.clone();
    actix::spawn(async move {
        if let Some(updates) = client.status().await {
            lane.do_send(TargetObserved { target, updates });
        }
    });
}
