//! `platform-outage`: the platform is down, then serves stale data, while a daemon is replaced.

use std::time::Duration;

use yuccalift_standins::PlatformMode;

use super::{default_load, default_shape, no_load};
use crate::experiment::case::{CaseSpec, FaultAction, FaultStep};
use crate::experiment::measure::{ReportField, RunRecord};
use crate::fleet::FleetShape;

/// Time at which the platform goes down.
const DOWN_AT: Duration = Duration::from_secs(2);
/// Time at which a daemon is replaced; the new one must get the configuration from its peers.
const RESTART_AT: Duration = Duration::from_secs(4);
/// Time at which the platform answers again, with an old version.
const STALE_AT: Duration = Duration::from_secs(7);
/// Version that the stale platform serves.
const STALE_VERSION: u64 = 1;
/// Time at which the platform serves current data again.
const NORMAL_AT: Duration = Duration::from_secs(10);

pub(super) const CASE: CaseSpec = CaseSpec {
    name: "platform-outage",
    summary: "the platform is down, then stale, while a daemon is replaced",
    compares_baseline: false,
    allows_refusals: false,
    seconds: 13,
    shape: default_shape,
    load: default_load,
    additional_load: no_load,
    faults,
    fields,
    plot: None,
};

fn faults(shape: &FleetShape, _duration: Duration) -> Vec<FaultStep> {
    let platform_mode = |at: Duration, mode: PlatformMode| FaultStep {
        at,
        action: FaultAction::Platform(mode),
    };
    vec![
        platform_mode(DOWN_AT, PlatformMode::Down),
        FaultStep {
            at: RESTART_AT,
            action: FaultAction::RestartDaemon(shape.daemons as usize - 1),
        },
        platform_mode(STALE_AT, PlatformMode::Stale(STALE_VERSION)),
        platform_mode(NORMAL_AT, PlatformMode::Normal),
    ]
}

fn fields(record: &RunRecord) -> Vec<ReportField> {
    vec![ReportField::new(
        "platform_calls_per_s",
        record.platform.total as f64 / record.elapsed.as_secs_f64(),
    )]
}
