//! One control plane of a probe, and what it has told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Instant;

use actix::{Actor, Addr, ArbiterHandle};
use tokio::sync::mpsc;
use yuccalift_core::control::{
    ControlSettings, MemberRecord, MemberState, ReadingPace, Succession,
};
use yuccalift_core::ids::{ConfigVersion, Incarnation};
use yuccalift_wire::platform::FLEET_KEY;

use super::control_lane::{ControlLane, ControlOutput, LaneSettings, SetBounds, StopLane};
use super::fleet_probe::ProbeDaemon;
use super::value_check::check_value;

/// The key that the control planes of a probe show each other.
pub(super) const PROBE_KEY: &str = "probe-key-probe-key";

/// When a configuration version was reached by a control plane.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReachedVersion {
    pub(super) version: ConfigVersion,
    pub(super) at: Instant,
}

/// What one control plane has told.
#[derive(Debug, Default)]
pub(super) struct ProbeRecord {
    pub(super) reached: Vec<ReachedVersion>,
    pub(super) ready: bool,
    pub(super) replaced: bool,
}

/// One control plane of a probe; it outlives the processes that are put in its place.
#[derive(Debug)]
pub(super) struct ProbeSlot {
    daemon: ProbeDaemon,
    pub(super) address: SocketAddr,
    lane: RwLock<Option<Addr<ControlLane>>>,
    record: Arc<Mutex<ProbeRecord>>,
}

impl ProbeSlot {
    /// A place without a process.
    pub(super) fn new(daemon: ProbeDaemon) -> Self {
        Self {
            address: daemon.listen,
            daemon,
            lane: RwLock::new(None),
            record: Arc::default(),
        }
    }

    /// The lane of the process that runs; none if it has been ended.
    pub(super) fn lane(&self) -> Option<Addr<ControlLane>> {
        let lane = self.lane.read().unwrap_or_else(PoisonError::into_inner);
        lane.clone()
    }

    /// Ends the process that runs, without a word to the others.
    pub(super) fn end(&self) {
        let mut lane = self.lane.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(lane) = lane.take() {
            lane.do_send(StopLane);
        }
    }

    /// What the process has told.
    pub(super) fn record(&self) -> MutexGuard<'_, ProbeRecord> {
        lock(&self.record)
    }

    /// Starts a process in this place.
    pub(super) fn start(&self, position: usize, incarnation: Incarnation, arbiter: &ArbiterHandle) {
        *self.record() = ProbeRecord::default();
        let settings = self.lane_settings(position, incarnation);
        let (sender, output) = mpsc::unbounded_channel();
        let lane =
            ControlLane::start_in_arbiter(arbiter, move |_| ControlLane::new(settings, sender));
        arbiter.spawn(record_output(
            output,
            lane.clone(),
            Arc::clone(&self.record),
        ));
        let mut slot = self.lane.write().unwrap_or_else(PoisonError::into_inner);
        *slot = Some(lane);
    }

    fn lane_settings(&self, position: usize, incarnation: Incarnation) -> LaneSettings {
        let daemon = &self.daemon;
        LaneSettings {
            node: ControlSettings {
                own: MemberRecord {
                    host: format!("entry-{position:04}").into(),
                    data_centre: format!("dc-{:02}", daemon.data_centre).into(),
                    address: daemon.reached_at.unwrap_or(daemon.listen),
                    incarnation,
                    refutation: 0,
                    state: MemberState::Alive,
                },
                seeds: daemon.seeds.clone(),
                seed: incarnation,
                check: check_value,
                pace: ReadingPace::default(),
                succession: Succession::Yield,
            },
            key: PROBE_KEY.into(),
            platform: vec![daemon.platform],
            calls_from: daemon.calls_from,
        }
    }
}

fn lock(record: &Mutex<ProbeRecord>) -> MutexGuard<'_, ProbeRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn record_output(
    mut output: mpsc::UnboundedReceiver<ControlOutput>,
    lane: Addr<ControlLane>,
    record: Arc<Mutex<ProbeRecord>>,
) {
    while let Some(output) = output.recv().await {
        match output {
            ControlOutput::InForce(value) => {
                let at = Instant::now();
                let version = value.version;
                lock(&record).reached.push(ReachedVersion { version, at });
                let text = value.value.as_deref().unwrap_or_default();
                if value.key.as_ref() == FLEET_KEY
                    && let Ok(bounds) = yuccalift_settings::parse_fleet_bounds(FLEET_KEY, text)
                {
                    lane.do_send(SetBounds(bounds));
                }
            }
            ControlOutput::Ready(ready) => lock(&record).ready = ready,
            ControlOutput::Replaced => lock(&record).replaced = true,
            ControlOutput::News { .. }
            | ControlOutput::LeavingHosts(_)
            | ControlOutput::Noticed(_)
            | ControlOutput::PlatformUnread(_) => {}
        }
    }
}
