//! The links to all targets: their connections, their shares, and the probes of their state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::Addr;
use yuccalift_core::ShardMap;
use yuccalift_core::event::TargetShare;
use yuccalift_core::ids::{AttemptId, TargetId};

use crate::lane::{EngineLane, TargetObserved};
use crate::leaf::{LeafClient, MaintenanceTask};

/// How often a target is asked for its status, once it has answered the first time.
const STATUS_PERIOD: Duration = Duration::from_secs(1);
/// The most status probes that are sent in one check period; with many targets the period of each
/// grows instead.
const STATUS_PROBES_PER_CHECK: usize = 5;
/// The most first status probes of new targets in one check period.
const FIRST_PROBES_PER_CHECK: usize = 64;

/// How long the others believe that a target drains since it said so itself; it is said again while
/// the target goes on saying it, so that one which takes work again is not avoided for long.
pub(crate) const DRAIN_NEWS_LIFE: Duration = Duration::from_secs(5);
/// How often it is said again.
const DRAIN_NEWS_PERIOD: Duration = Duration::from_millis(2_500);

/// The connections to one target.
struct TargetLink {
    target: TargetId,
    address: SocketAddr,
    client: Rc<LeafClient>,
    status_due: Instant,
    met: bool,
    drain_told: Option<Instant>,
}

/// The links of one lane, sorted by target.
pub(crate) struct TargetLinks {
    sender: Box<str>,
    links: Vec<TargetLink>,
    maps: Vec<Arc<ShardMap>>,
    shares: Arc<[TargetShare]>,
    probe_cursor: usize,
}

impl TargetLinks {
    /// Makes an empty table; `sender` names the process to targets.
    pub(crate) fn new(sender: Box<str>) -> Self {
        Self {
            sender,
            links: Vec::new(),
            maps: Vec::new(),
            shares: Arc::from([]),
            probe_cursor: 0,
        }
    }

    /// How many targets are linked.
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    /// The connections to a target; made anew when the target has moved.
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
            met: false,
            drain_told: None,
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

    /// Asks a target to cancel an attempt.
    pub(crate) fn cancel(&self, attempt: AttemptId, target: TargetId) {
        if let Ok(position) = self.position(target) {
            let client = Rc::clone(&self.links[position].client);
            actix::spawn(async move { client.cancel(attempt).await });
        }
    }

    /// Notes that a target has told its state.
    pub(crate) fn note_met(&mut self, target: TargetId) {
        if let Ok(position) = self.position(target) {
            self.links[position].met = true;
        }
    }

    /// Notes that a target says that it drains; whether the others must be told now.
    pub(crate) fn note_drain(&mut self, target: TargetId, now: Instant) -> bool {
        let Ok(position) = self.position(target) else {
            return false;
        };
        let told = &mut self.links[position].drain_told;
        let recent = told.is_some_and(|at| now.saturating_duration_since(at) < DRAIN_NEWS_PERIOD);
        if !recent {
            *told = Some(now);
        }
        !recent
    }

    /// Doubts every connection until it proves itself alive.
    pub(crate) fn suspect_all(&self) {
        for link in &self.links {
            link.client.suspect_all();
        }
    }

    /// Puts the daemon's connection shares in force.
    pub(crate) fn put_shares(&mut self, shares: &Arc<[TargetShare]>) {
        self.shares = Arc::clone(shares);
        for link in &self.links {
            link.client.set_limit(self.share(link.target));
        }
    }

    /// Follows a map that is in force, new or changed.
    pub(crate) fn put_map(&mut self, map: &Arc<ShardMap>, lane: &Addr<EngineLane>) {
        let found = self
            .maps
            .binary_search_by(|known| known.collection.cmp(&map.collection));
        match found {
            Ok(position) => self.maps[position] = Arc::clone(map),
            Err(position) => self.maps.insert(position, Arc::clone(map)),
        }
        self.follow_maps(lane);
    }

    /// Follows the end of a map.
    pub(crate) fn remove_map(&mut self, collection: &str, lane: &Addr<EngineLane>) {
        self.maps
            .retain(|map| map.collection.as_ref() != collection);
        self.follow_maps(lane);
    }

    /// Does what must be done every check period.
    pub(crate) fn check(&mut self, now: Instant, lane: &Addr<EngineLane>) {
        for link in &self.links {
            for task in link.client.due_maintenance(now) {
                spawn_maintenance(lane, link, task);
            }
        }
        self.probe(now, lane);
    }

    /// Meets the targets of the maps in force, and closes the connections to those of none.
    fn follow_maps(&mut self, lane: &Addr<EngineLane>) {
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

    /// Asks new targets for their status at once, and the others in turn and slowly.
    fn probe(&mut self, now: Instant, lane: &Addr<EngineLane>) {
        let count = self.links.len();
        let mut first = FIRST_PROBES_PER_CHECK;
        let mut later = STATUS_PROBES_PER_CHECK;
        for _ in 0..count {
            if first == 0 || later == 0 {
                break;
            }
            self.probe_cursor = (self.probe_cursor + 1) % count;
            let link = &mut self.links[self.probe_cursor];
            if link.status_due > now {
                continue;
            }
            let budget = if link.met { &mut later } else { &mut first };
            *budget -= 1;
            let jitter = rand::random_range(0.75..1.25);
            link.status_due = now + STATUS_PERIOD.mul_f64(jitter);
            spawn_status(lane, link);
        }
    }

    /// The connections that may be held to a target; none before the shares are known.
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
