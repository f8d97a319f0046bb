//! One control plane of a fleet probe, and the record of its output.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Instant;

use actix::{Actor, Addr, ArbiterHandle};
use tokio::sync::mpsc;
use yuccalift_core::control::{
    ControlSettings, HostConflictPolicy, MemberRecord, MemberState, ReadSettings,
};
use yuccalift_core::ids::{ConfigVersion, Incarnation};
use yuccalift_wire::platform::FLEET_KEY;

use super::control_lane::{ControlLane, ControlLaneSettings, ControlOutput, SetBounds, StopLane};
use super::fleet_probe::ProbeDaemon;
use super::value_check::check_value;

/// Shared key of the control planes in a fleet probe.
pub(super) const PROBE_KEY: &str = "probe-key-probe-key";

/// Time at which a control plane reached a configuration version.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReachedVersion {
    pub(super) version: ConfigVersion,
    pub(super) at: Instant,
}

/// Record of the output of one control plane.
#[derive(Debug, Default)]
pub(super) struct ProbeRecord {
    pub(super) reached_versions: Vec<ReachedVersion>,
    pub(super) ready: bool,
    pub(super) replaced: bool,
}

/// Slot of one control plane in a fleet probe, which keeps its address across restarts.
#[derive(Debug)]
pub(super) struct ProbeSlot {
    daemon: ProbeDaemon,
    pub(super) address: SocketAddr,
    lane: RwLock<Option<Addr<ControlLane>>>,
    record: Arc<Mutex<ProbeRecord>>,
}

impl ProbeSlot {
    /// Creates a slot whose control plane is not running.
    pub(super) fn new(daemon: ProbeDaemon) -> Self {
        Self {
            address: daemon.listen,
            daemon,
            lane: RwLock::new(None),
            record: Arc::default(),
        }
    }

    /// Returns the lane of the running control plane, or `None` if it was stopped.
    pub(super) fn lane(&self) -> Option<Addr<ControlLane>> {
        let lane = self.lane.read().unwrap_or_else(PoisonError::into_inner);
        lane.clone()
    }

    /// Stops the running control plane without notice to the others.
    pub(super) fn stop(&self) {
        let mut lane = self.lane.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(lane) = lane.take() {
            lane.do_send(StopLane);
        }
    }

    /// Returns the record of the control plane since its last start.
    pub(super) fn record(&self) -> MutexGuard<'_, ProbeRecord> {
        lock(&self.record)
    }

    /// Starts a control plane in this slot, with an empty record.
    pub(super) fn start(&self, position: usize, incarnation: Incarnation, arbiter: &ArbiterHandle) {
        *self.record() = ProbeRecord::default();
        let settings = self.control_lane_settings(position, incarnation);
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

    fn control_lane_settings(
        &self,
        position: usize,
        incarnation: Incarnation,
    ) -> ControlLaneSettings {
        let daemon = &self.daemon;
        ControlLaneSettings {
            node: ControlSettings {
                own: MemberRecord {
                    host: format!("entry-{position:04}").into(),
                    data_centre: format!("dc-{:02}", daemon.data_centre).into(),
                    address: daemon.reached_address.unwrap_or(daemon.listen),
                    incarnation,
                    refutation: 0,
                    state: MemberState::Alive,
                },
                seeds: daemon.seeds.clone(),
                seed: incarnation,
                check: check_value,
                rank: |_key, _value| (0, 0),
                read_settings: ReadSettings::default(),
                host_conflict: HostConflictPolicy::Stop,
            },
            key: PROBE_KEY.into(),
            platform: vec![daemon.platform],
            local_address: daemon.local_address,
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
            ControlOutput::ValueInEffect(value) => {
                let at = Instant::now();
                let version = value.version;
                lock(&record)
                    .reached_versions
                    .push(ReachedVersion { version, at });
                let text = value.value.as_deref().unwrap_or_default();
                if value.key.as_ref() == FLEET_KEY
                    && let Ok(bounds) = yuccalift_settings::parse_fleet_bounds(FLEET_KEY, text)
                {
                    lane.do_send(SetBounds(bounds));
                }
            }
            ControlOutput::Ready(ready) => lock(&record).ready = ready,
            ControlOutput::Replaced => lock(&record).replaced = true,
            ControlOutput::AnnouncementChanged { .. }
            | ControlOutput::LeavingHosts(_)
            | ControlOutput::Notice(_)
            | ControlOutput::PlatformReadFailed(_) => {}
        }
    }
}
