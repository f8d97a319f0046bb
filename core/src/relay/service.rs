//! State of each service: [`ServiceState`], stored in a [`ServiceTable`].

use std::time::Instant;

use super::budget::RetryBudget;
use super::route::{RouteTable, ServiceName};
use super::{RequestKey, TargetKey};

/// Minimum number of daemons among which the connections of a target are divided. The number of
/// daemons is not published, and shortly after a start only few of them are known.
pub(super) const MIN_PRESUMED_DAEMONS: u32 = 10;
/// Maximum number of requests in flight from one daemon to one target.
const MAX_IN_FLIGHT: u32 = 8;

/// A leg that waits for a target with capacity; ordered by the sequence in which legs are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ParkedLeg {
    /// Rank of the route; 0 is served first.
    pub(super) priority: u32,
    /// Deadline of the request.
    pub(super) deadline: Instant,
    /// The request that the leg belongs to.
    pub(super) request: RequestKey,
    /// Index of the leg in its request.
    pub(super) leg_index: usize,
}

/// State of a service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) name: ServiceName,
    /// Keys of the service's targets, sorted.
    pub(super) targets: Vec<TargetKey>,
    /// Limits hedges and retries to this service.
    pub(super) budget: RetryBudget,
    /// Maximum number of requests in flight from this daemon to each target.
    pub(super) in_flight_limit: u32,
    /// Legs that wait for a target with capacity, sorted.
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

    /// Adds a leg to the waiting ones.
    pub(super) fn park(&mut self, leg: ParkedLeg) {
        if let Err(index) = self.parked.binary_search(&leg) {
            self.parked.insert(index, leg);
        }
    }

    /// Removes all waiting legs of a request.
    pub(super) fn unpark(&mut self, request: RequestKey) {
        self.parked.retain(|leg| leg.request != request);
    }

    /// Adds a target, unless it is known.
    pub(super) fn add_target(&mut self, target: TargetKey) {
        if let Err(index) = self.targets.binary_search(&target) {
            self.targets.insert(index, target);
        }
    }

    pub(super) fn remove_target(&mut self, target: TargetKey) {
        self.targets.retain(|other| *other != target);
    }
}

/// All services that are named by a route or a target, sorted by name.
#[derive(Debug, Default)]
pub(super) struct ServiceTable {
    services: Vec<ServiceState>,
}

impl ServiceTable {
    /// Returns the service with the given name, if it is known.
    pub(super) fn get(&self, name: &str) -> Option<&ServiceState> {
        let index = self.index(name).ok()?;
        self.services.get(index)
    }

    /// Returns the service with the given name for modification, if it is known.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut ServiceState> {
        let index = self.index(name).ok()?;
        self.services.get_mut(index)
    }

    /// Returns the service with the given name, adding it if it is unknown.
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

    /// Divides the published connection limits among the given number of daemons, and removes
    /// services that are neither published nor in use.
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

    /// Iterates over all services.
    pub(super) fn iter(&self) -> impl Iterator<Item = &ServiceState> {
        self.services.iter()
    }

    fn index(&self, name: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|service| service.name.as_ref().cmp(name))
    }
}
