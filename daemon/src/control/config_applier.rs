//! Applies the decisions of the control plane: accounts, shard maps, connection shares and
//! announcements are passed to the engine, and the daemon becomes ready.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;
use yuccalift_core::control::{
    AnnouncementKind, ConfigValue, DaemonLocation, FleetBounds, connection_shares,
};
use yuccalift_core::event::{EngineEvent, TargetUpdate, TargetUpdateKind};
use yuccalift_core::ids::HostName;
use yuccalift_core::quarantine::{NoticeKind, QuarantineNotice};
use yuccalift_core::{ShardMap, TargetEntry};
use yuccalift_kernel::ServiceGuard;
use yuccalift_wire::operator::QuarantineReport;
use yuccalift_wire::platform::{ACCOUNTS_KEY, FLEET_KEY, SHARD_MAP_PREFIX};

use super::control_lane::{Announce, ControlLane, ControlOutput, GetControlSnapshot, SetBounds};
use super::notice_log::record_notice;
use crate::decision_log::millis;
use crate::events::LogEvent;
use crate::lane::{EngineLane, FeedEngine, ReceiveNotice};
use crate::metrics::{DaemonMetric, MetricsClient};
use crate::ready_flag::ReadyFlag;
use crate::shared_status::SharedStatus;

/// How long a target counts as draining after the platform last listed its host as leaving.
const DRAINING_TTL: Duration = Duration::from_secs(60);
/// Interval at which the control plane's state is published to operators.
const STATUS_UPDATE_PERIOD: Duration = Duration::from_secs(1);
/// Accounts document that takes effect when the published one is removed.
const EMPTY_ACCOUNTS: &str = "templates: {}\naccounts: {}\n";

/// Service that applies the control plane's output until the daemon stops.
pub(crate) struct ConfigApplier {
    pub(crate) location: DaemonLocation,
    pub(crate) lane: Addr<EngineLane>,
    pub(crate) control: Addr<ControlLane>,
    pub(crate) ready: Arc<ReadyFlag>,
    pub(crate) stop: CancellationToken,
    pub(crate) bounds: Option<FleetBounds>,
    pub(crate) maps: Vec<Arc<ShardMap>>,
    pub(crate) shared_status: SharedStatus,
    pub(crate) metrics: MetricsClient,
}

impl ConfigApplier {
    /// Runs until the guard's token is cancelled.
    pub(crate) async fn run(
        mut self,
        mut output: UnboundedReceiver<ControlOutput>,
        guard: ServiceGuard,
    ) {
        let mut status_timer = tokio::time::interval(STATUS_UPDATE_PERIOD);
        loop {
            let next = tokio::select! {
                () = guard.token.cancelled() => return,
                _ = status_timer.tick() => {
                    self.update_status().await;
                    continue;
                }
                next = output.recv() => next,
            };
            match next {
                Some(output) => self.handle_output(output),
                None => return,
            }
        }
    }

    /// Publishes the control plane's state to operators.
    async fn update_status(&self) {
        let Ok(snapshot) = self.control.send(GetControlSnapshot).await else {
            return;
        };
        self.shared_status.set_peers(snapshot.reports);
        self.shared_status.set_control(snapshot.traffic);
        let age_ms = millis(snapshot.knowledge_age);
        self.metrics.gauge(DaemonMetric::KnowledgeAge, age_ms);
        let quarantines = snapshot.announcements.iter().filter_map(quarantine_report);
        self.shared_status.set_quarantines(quarantines.collect());
    }

    fn handle_output(&mut self, output: ControlOutput) {
        match output {
            ControlOutput::ValueInEffect(value) => self.apply_value(&value),
            ControlOutput::AnnouncementChanged { kind, active } => {
                self.apply_announcement(kind, active);
            }
            ControlOutput::LeavingHosts(hosts) => self.announce_draining(&hosts),
            ControlOutput::Ready(ready) => self.ready.set_confirmed(ready),
            ControlOutput::Replaced => {
                LogEvent::DaemonReplaced {
                    host: &self.location.host,
                }
                .emit();
                self.stop.cancel();
            }
            ControlOutput::Notice(notice) => {
                record_notice(
                    &self.location.host,
                    &notice,
                    &self.shared_status,
                    &self.metrics,
                );
            }
            ControlOutput::PlatformReadFailed(fault) => {
                LogEvent::PlatformUnread { fault: &fault }.emit();
            }
        }
    }

    /// Applies a value that has passed validation; one that can't be parsed after all is ignored.
    fn apply_value(&mut self, value: &ConfigValue) {
        self.shared_status.clear_refused(&value.key);
        let key = value.key.as_ref();
        if key == ACCOUNTS_KEY {
            self.apply_accounts(value);
        } else if key == FLEET_KEY {
            self.apply_bounds(value);
        } else if let Some(collection) = key.strip_prefix(SHARD_MAP_PREFIX) {
            self.apply_map(collection, value);
        }
    }

    fn apply_accounts(&self, value: &ConfigValue) {
        let text = value.value.as_deref().unwrap_or(EMPTY_ACCOUNTS);
        if let Ok(table) = yuccalift_settings::parse_accounts(ACCOUNTS_KEY, text, value.version) {
            self.feed(EngineEvent::AccountsChanged(Arc::new(table)));
        }
    }

    /// Applies the fleet's bounds. After a removal the last bounds remain: connection shares need
    /// some bounds, and the other daemons also use the last ones.
    fn apply_bounds(&mut self, value: &ConfigValue) {
        let text = value.value.as_deref().unwrap_or_default();
        if let Ok(bounds) = yuccalift_settings::parse_fleet_bounds(FLEET_KEY, text) {
            self.control.do_send(SetBounds(bounds.clone()));
            self.bounds = Some(bounds);
            self.feed_shares();
            self.ready.set_bounds_known();
        }
    }

    fn apply_map(&mut self, collection: &str, value: &ConfigValue) {
        self.maps
            .retain(|known| known.collection.as_ref() != collection);
        match &value.value {
            None => self.feed(EngineEvent::MapRemoved(collection.into())),
            Some(text) => {
                let Ok(map) = yuccalift_settings::parse_shard_map(&value.key, text) else {
                    return;
                };
                let map = Arc::new(map);
                self.maps.push(Arc::clone(&map));
                self.feed_shares();
                self.feed(EngineEvent::MapChanged(map));
            }
        }
    }

    fn feed_shares(&self) {
        let Some(bounds) = &self.bounds else {
            return;
        };
        let targets: Vec<TargetEntry> = self
            .maps
            .iter()
            .flat_map(|map| map.targets.iter().cloned())
            .collect();
        let shares = connection_shares(&self.location, bounds, &targets);
        self.feed(EngineEvent::SharesChanged(shares.into()));
    }

    fn announce_draining(&self, hosts: &[HostName]) {
        let targets = self.maps.iter().flat_map(|map| map.targets.iter());
        for entry in targets.filter(|entry| hosts.contains(&entry.host)) {
            self.control.do_send(Announce {
                kind: AnnouncementKind::Draining(entry.target),
                lifetime: DRAINING_TTL,
            });
        }
    }

    fn apply_announcement(&self, kind: AnnouncementKind, active: bool) {
        match kind {
            AnnouncementKind::Quarantine(fingerprint) => self.feed(EngineEvent::Quarantine {
                fingerprint,
                held: active,
            }),
            AnnouncementKind::Suspect {
                fingerprint,
                shard,
                wide,
                blame,
            } if active => {
                let kind = NoticeKind::Suspected { shard, wide, blame };
                let notice = QuarantineNotice { fingerprint, kind };
                self.lane.do_send(ReceiveNotice(notice));
            }
            // A suspicion expires by itself wherever it was received.
            AnnouncementKind::Suspect { .. } => {}
            AnnouncementKind::Draining(target) => {
                self.feed(EngineEvent::TargetUpdate(TargetUpdate {
                    target,
                    kind: TargetUpdateKind::Leaving(active),
                }));
            }
        }
    }

    fn feed(&self, event: EngineEvent) {
        self.lane.do_send(FeedEngine(event));
    }
}

fn quarantine_report(announcement: &(AnnouncementKind, Duration)) -> Option<QuarantineReport> {
    match *announcement {
        (AnnouncementKind::Quarantine(fingerprint), left) => Some(QuarantineReport {
            fingerprint: format!("{fingerprint:016x}").into(),
            left_ms: left.as_millis() as u64,
        }),
        (AnnouncementKind::Suspect { .. } | AnnouncementKind::Draining(_), _) => None,
    }
}
