//! What is known of each service: [`ServiceState`], kept in a [`ServiceTable`].

use std::time::Instant;

use super::budget::RetryBudget;
use super::route::{RouteTable, ServiceName};
use super::{RequestKey, TargetKey};

/// Over how many daemons a target's connections are shared out at the least. Nothing published tells
/// their number, and just after a start few of them are known.
const MIN_PRESUMED_DAEMONS: u32 = 10;
/// The most requests in flight from one daemon to one target.
const MAX_IN_FLIGHT: u32 = 8;

/// A leg that waits until a target of its service has room, in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ParkedLeg {
    /// The route's rank; 0 is served first.
    pub(super) priority: u32,
    /// When its caller stops waiting.
    pub(super) deadline: Instant,
    /// The request.
    pub(super) request: RequestKey,
    /// The leg's place in the request.
    pub(super) leg_index: usize,
}

/// What is known of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) name: ServiceName,
    /// Its targets, sorted.
    pub(super) targets: Vec<TargetKey>,
    /// The leave for second sends.
    pub(super) budget: RetryBudget,
    /// How many requests may be in flight from here to one of its targets.
    pub(super) in_flight_limit: u32,
    /// The legs that wait for room, sorted.
    pub(super) parked: Vec<ParkedLeg>,
}

impl ServiceState {
    fn new(name: ServiceName) -> Self {
        Self {
            name,
            targets: Vec::new(),
            budget: RetryBudget::new(),
            in_flight_limit: 1,
            parked: Vec::new(),
        }
    }

    /// Lets a leg wait.
    pub(super) fn park(&mut self, leg: ParkedLeg) {
        if let Err(index) = self.parked.binary_search(&leg) {
            self.parked.insert(index, leg);
        }
    }

    /// Ends the waiting of a request's legs.
    pub(super) fn unpark(&mut self, request: RequestKey) {
        self.parked.retain(|leg| leg.request != request);
    }

    /// Adds a target.
    pub(super) fn add_target(&mut self, target: TargetKey) {
        if let Err(index) = self.targets.binary_search(&target) {
            self.targets.insert(index, target);
        }
    }

    /// Removes a target.
    pub(super) fn remove_target(&mut self, target: TargetKey) {
        self.targets.retain(|other| *other != target);
    }
}

/// All services that a route or a target has named, sorted by name.
#[derive(Debug, Default)]
pub(super) struct ServiceTable {
    services: Vec<ServiceState>,
}

impl ServiceTable {
    /// A service, if it is known.
    pub(super) fn get(&self, name: &str) -> Option<&ServiceState> {
        let index = self.index(name).ok()?;
        self.services.get(index)
    }

    /// A service, if it is known.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut ServiceState> {
        let index = self.index(name).ok()?;
        self.services.get_mut(index)
    }

    /// A service, made known if it is not.
    pub(super) fn get_or_add(&mut self, name: &str) -> &mut ServiceState {
        let index = match self.index(name) {
            Ok(index) => index,
            Err(index) => {
                self.services.insert(index, ServiceState::new(name.into()));
                index
            }
        };
        &mut self.services[index]
    }

    /// Shares the published limits of connections out over so many daemons, and drops services that
    /// nothing names.
    pub(super) fn set_connection_limits(&mut self, table: &RouteTable, daemons: u32) {
        for entry in &table.services {
            let share = entry.connections / daemons.max(MIN_PRESUMED_DAEMONS);
            self.get_or_add(&entry.name).in_flight_limit = share.clamp(1, MAX_IN_FLIGHT);
        }
        self.services.retain(|service| {
            let used = !service.targets.is_empty() || !service.parked.is_empty();
            used || table.service(&service.name).is_some()
        });
    }

    /// All services.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ServiceState> {
        self.services.iter()
    }

    fn index(&self, name: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|service| service.name.as_ref().cmp(name))
    }
}
