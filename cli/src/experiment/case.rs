//! Definition of a case: fleet, load and a schedule of faults.

use std::time::Duration;

use yuccalift_core::ShardMap;
use yuccalift_standins::{LeafCommand, LoadStream, PlatformMode};

use crate::error::CommandError;
use crate::experiment::cases;
use crate::experiment::measure::{ReportField, RunRecord};
use crate::experiment::plot::PlotLine;
use crate::fleet::FleetShape;

/// Makes the lines of a plot from the name of a policy and the records of its runs.
pub type DrawLines = fn(&str, &[&RunRecord]) -> Vec<PlotLine>;

/// Definition of a case.
#[derive(Clone, Copy, Debug)]
pub struct CaseSpec {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description for the list of experiments and the report.
    pub summary: &'static str,
    /// Whether a report also runs the case with the baseline policy.
    pub compares_baseline: bool,
    /// Whether the faults or the load of the case justify refused requests. Planned stops and
    /// configuration changes do not.
    pub allows_refusals: bool,
    /// Duration of the load in seconds, unless the command line gives one.
    pub seconds: u64,
    /// Returns the shape of the fleet.
    pub shape: fn() -> FleetShape,
    /// Returns the load for a fleet of the given shape and a run of the given duration.
    pub load: fn(&FleetShape, Duration) -> Vec<LoadStream>,
    /// Returns streams that are added to the load, also if another case of a combination defines
    /// the load.
    pub additional_load: fn(&FleetShape, Duration) -> Vec<LoadStream>,
    /// Returns the schedule of faults.
    pub faults: fn(&FleetShape, Duration) -> Vec<FaultStep>,
    /// Returns the fields that only this case reports.
    pub fields: fn(&RunRecord) -> Vec<ReportField>,
    /// Makes the lines of the case's plot over time; `None` if it has no such plot.
    pub plot: Option<DrawLines>,
}

/// A case or a combination of cases that can be run.
#[derive(Clone, Debug)]
pub struct ExperimentCase {
    /// Name of the case, or names joined by `+`, for instance `crest+straggler`.
    pub name: Box<str>,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// The cases; the first determines fleet and load, and all add faults and additional load.
    pub specs: Vec<&'static CaseSpec>,
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub struct FaultStep {
    /// Time of the fault since the start of the load.
    pub at: Duration,
    /// Effect of the fault.
    pub action: FaultAction,
}

/// Effect of a fault.
#[derive(Clone, Debug)]
pub enum FaultAction {
    /// Sends a command to some leafs.
    Leafs {
        /// Indices of the leafs in the fleet.
        leafs: Vec<usize>,
        /// Command that each of the leafs receives.
        command: LeafCommand,
    },
    /// Switches the platform to another mode.
    Platform(PlatformMode),
    /// Publishes a shard map that is derived from the current one.
    ChangeMap(fn(ShardMap) -> ShardMap),
    /// Marks the hosts of the leafs with these indices as leaving in the platform's host list.
    MarkLeaving(Vec<usize>),
    /// Partitions the links from the daemons to the remote leafs.
    PartitionRemote,
    /// Restores the links to the remote leafs.
    HealRemote,
    /// Stops the daemon with this index gracefully and starts a replacement.
    RestartDaemon(usize),
}

impl FaultStep {
    /// Creates a step that sends a command to some leafs.
    pub fn leafs(
        at: Duration,
        leafs: impl IntoIterator<Item = usize>,
        command: LeafCommand,
    ) -> Self {
        Self {
            at,
            action: FaultAction::Leafs {
                leafs: leafs.into_iter().collect(),
                command,
            },
        }
    }
}

impl ExperimentCase {
    /// Returns the shape of the fleet.
    pub fn shape(&self) -> FleetShape {
        (self.specs[0].shape)()
    }

    /// Returns whether any of the combined cases justifies refused requests.
    pub fn allows_refusals(&self) -> bool {
        self.specs.iter().any(|spec| spec.allows_refusals)
    }

    /// Returns the streams of the load and of all additional loads.
    pub fn streams(&self, shape: &FleetShape, duration: Duration) -> Vec<LoadStream> {
        let mut streams = (self.specs[0].load)(shape, duration);
        for spec in &self.specs {
            streams.extend((spec.additional_load)(shape, duration));
        }
        streams
    }

    /// Returns the faults of all combined cases, ordered by time.
    pub fn faults(&self, shape: &FleetShape, duration: Duration) -> Vec<FaultStep> {
        let steps = self.specs.iter();
        let mut steps: Vec<FaultStep> = steps
            .flat_map(|spec| (spec.faults)(shape, duration))
            .collect();
        steps.sort_by_key(|step| step.at);
        steps
    }
}

/// Finds the case with this name, or combines the cases whose names are joined by `+`.
pub fn find_case(name: &str) -> Result<ExperimentCase, CommandError> {
    let specs = name
        .split('+')
        .map(find_spec)
        .collect::<Result<Vec<_>, _>>()?;
    let seconds = specs.iter().map(|spec| spec.seconds).max().unwrap_or(0);
    Ok(ExperimentCase {
        name: name.into(),
        duration: Duration::from_secs(seconds),
        specs,
    })
}

fn find_spec(name: &str) -> Result<&'static CaseSpec, CommandError> {
    let found = cases::ALL.iter().find(|spec| spec.name == name);
    found.copied().ok_or_else(|| {
        let message = format!("no experiment is named {name:?}; see yuccalift experiment --list");
        lexopt::Error::from(message).into()
    })
}
