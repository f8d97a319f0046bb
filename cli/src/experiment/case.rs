//! What a case is: a fleet, a load and a schedule of faults.

use std::time::Duration;

use yuccalift_core::ShardMap;
use yuccalift_standins::{LeafCommand, LoadStream, PlatformMode};

use crate::error::CommandError;
use crate::experiment::cases;
use crate::experiment::measure::{ReportField, RunRecord};
use crate::experiment::plot::PlotLine;
use crate::fleet::FleetShape;

/// Makes the lines of a plot for a policy's name and its runs.
pub type DrawLines = fn(&str, &[&RunRecord]) -> Vec<PlotLine>;

/// A case as its module describes it.
#[derive(Clone, Copy, Debug)]
pub struct CaseSpec {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows, in one line.
    pub summary: &'static str,
    /// Whether a report compares it with the baseline policy.
    pub compares_baseline: bool,
    /// Whether its faults or its load excuse refusals; planned stops and changes do not.
    pub excuses_refusals: bool,
    /// For how long requests are due, where the command line does not say.
    pub seconds: u64,
    /// The fleet.
    pub shape: fn() -> FleetShape,
    /// The load, for a fleet of this shape and a run of this length.
    pub load: fn(&FleetShape, Duration) -> Vec<LoadStream>,
    /// Streams that the case adds to any load, its own or that of the first of a pair.
    pub additional_load: fn(&FleetShape, Duration) -> Vec<LoadStream>,
    /// The faults.
    pub faults: fn(&FleetShape, Duration) -> Vec<FaultStep>,
    /// What it prints beside the fields of all cases.
    pub fields: fn(&RunRecord) -> Vec<ReportField>,
    /// The lines of its plot over time, if it has one.
    pub plot: Option<DrawLines>,
}

/// A case or a pair of cases, ready to be run.
#[derive(Clone, Debug)]
pub struct ExperimentCase {
    /// The name, for instance `crest+straggler`.
    pub name: Box<str>,
    /// For how long requests are due.
    pub duration: Duration,
    /// The first gives the fleet and the load; all give faults and side loads.
    pub specs: Vec<&'static CaseSpec>,
}

/// One fault at its time.
#[derive(Clone, Debug)]
pub struct FaultStep {
    /// When it acts, since the start of the load.
    pub at: Duration,
    /// What it does.
    pub action: FaultAction,
}

/// What a fault does.
#[derive(Clone, Debug)]
pub enum FaultAction {
    /// Commands some leafs, by their places in the fleet.
    Leafs {
        /// Their places.
        leafs: Vec<usize>,
        /// The command.
        command: LeafCommand,
    },
    /// Changes how the platform behaves.
    Platform(PlatformMode),
    /// Publishes a map that is made from the last one.
    ChangeMap(fn(ShardMap) -> ShardMap),
    /// Marks the hosts of some leafs as leaving in the platform's list.
    MarkLeaving(Vec<usize>),
    /// Cuts the daemons from the far leafs.
    PartitionRemote,
    /// Heals that cut.
    HealRemote,
    /// Stops a daemon gracefully and starts another in its place.
    RestartDaemon(usize),
}

impl FaultStep {
    /// A command to some leafs.
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
    /// The fleet.
    pub fn shape(&self) -> FleetShape {
        (self.specs[0].shape)()
    }

    /// Whether any of its parts excuses refusals.
    pub fn excuses_refusals(&self) -> bool {
        self.specs.iter().any(|spec| spec.excuses_refusals)
    }

    /// The streams of the whole load.
    pub fn streams(&self, shape: &FleetShape, duration: Duration) -> Vec<LoadStream> {
        let mut streams = (self.specs[0].load)(shape, duration);
        for spec in &self.specs {
            streams.extend((spec.additional_load)(shape, duration));
        }
        streams
    }

    /// The faults, in the order of their times.
    pub fn faults(&self, shape: &FleetShape, duration: Duration) -> Vec<FaultStep> {
        let steps = self.specs.iter();
        let mut steps: Vec<FaultStep> = steps
            .flat_map(|spec| (spec.faults)(shape, duration))
            .collect();
        steps.sort_by_key(|step| step.at);
        steps
    }
}

/// Finds a case, or makes a pair of two.
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
