//! Puts what the control plane decided in force: accounts, shard maps, shares and news reach the
//! engine, and the daemon becomes ready.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;
use yuccalift_core::control::{ConfigValue, DaemonPlace, FleetBounds, NewsKind, connection_shares};
use yuccalift_core::event::{EngineEvent, TargetNews, TargetNewsKind};
use yuccalift_core::ids::HostName;
use yuccalift_core::quarantine::{NoticeKind, QuarantineNotice};
use yuccalift_core::{ShardMap, TargetEntry};
use yuccalift_kernel::ServiceGuard;
use yuccalift_wire::operator::QuarantineReport;
use yuccalift_wire::platform::{ACCOUNTS_KEY, FLEET_KEY, SHARD_MAP_PREFIX};

use super::control_lane::{AnnounceNews, ControlLane, ControlOutput, GetControl, SetBounds};
use super::notice_log::report_notice;
use crate::events::LogEvent;
use crate::lane::{EngineLane, FeedEngine, TakeNotice};
use crate::metrics::MetricsClient;
use crate::ready_flag::ReadyFlag;
use crate::status_board::StatusBoard;

/// How long a target is taken to drain after the platform's list said so last.
const DRAINING_LIFE: Duration = Duration::from_secs(60);
/// How often operators' view of the control plane is brought up to date.
const BOARD_PERIOD: Duration = Duration::from_secs(1);
/// What is in force where the accounts' document was removed.
const NO_ACCOUNTS: &str = "templates: {}\naccounts: {}\n";

/// Takes the control plane's output until the daemon stops.
pub(crate) struct ForceService {
    pub(crate) place: DaemonPlace,
    pub(crate) lane: Addr<EngineLane>,
    pub(crate) control: Addr<ControlLane>,
    pub(crate) ready: Arc<ReadyFlag>,
    pub(crate) stop: CancellationToken,
    pub(crate) bounds: Option<FleetBounds>,
    pub(crate) maps: Vec<Arc<ShardMap>>,
    pub(crate) board: StatusBoard,
    pub(crate) metrics: MetricsClient,
}

impl ForceService {
    /// Runs until the guard's token is cancelled.
    pub(crate) async fn run(
        mut self,
        mut output: UnboundedReceiver<ControlOutput>,
        guard: ServiceGuard,
    ) {
        let mut board_due = tokio::time::interval(BOARD_PERIOD);
        loop {
            let next = tokio::select! {
                () = guard.token.cancelled() => return,
                _ = board_due.tick() => {
                    self.update_board().await;
                    continue;
                }
                next = output.recv() => next,
            };
            match next {
                Some(output) => self.take(output),
                None => return,
            }
        }
    }

    /// Tells the board what the control plane knows.
    async fn update_board(&self) {
        let Ok(known) = self.control.send(GetControl).await else {
            return;
        };
        self.board.set_peers(known.reports);
        self.board.set_control(known.traffic);
        let quarantines = known.news.iter().filter_map(quarantine_report);
        self.board.set_quarantines(quarantines.collect());
    }

    fn take(&mut self, output: ControlOutput) {
        match output {
            ControlOutput::InForce(value) => self.put_in_force(&value),
            ControlOutput::News { kind, active } => self.pass_news(kind, active),
            ControlOutput::LeavingHosts(hosts) => self.announce_draining(&hosts),
            ControlOutput::Ready(ready) => self.ready.set_confirmed(ready),
            ControlOutput::Replaced => {
                LogEvent::DaemonReplaced {
                    host: &self.place.host,
                }
                .emit();
                self.stop.cancel();
            }
            ControlOutput::Noticed(notice) => {
                report_notice(&self.place.host, &notice, &self.board, &self.metrics);
            }
            ControlOutput::PlatformUnread(fault) => {
                LogEvent::PlatformUnread { fault: &fault }.emit();
            }
        }
    }

    /// Feeds a value that has passed its check; what can't be read all the same is passed over.
    fn put_in_force(&mut self, value: &ConfigValue) {
        self.board.clear_refused(&value.key);
        let key = value.key.as_ref();
        if key == ACCOUNTS_KEY {
            self.put_accounts(value);
        } else if key == FLEET_KEY {
            self.put_bounds(value);
        } else if let Some(collection) = key.strip_prefix(SHARD_MAP_PREFIX) {
            self.put_map(collection, value);
        }
    }

    fn put_accounts(&self, value: &ConfigValue) {
        let text = value.value.as_deref().unwrap_or(NO_ACCOUNTS);
        if let Ok(table) = yuccalift_settings::parse_accounts(ACCOUNTS_KEY, text, value.version) {
            self.feed(EngineEvent::AccountsChanged(Arc::new(table)));
        }
    }

    /// Takes the fleet's bounds. A removed key leaves the last ones in force: shares must rest on
    /// some bound, and the last one is still what the others go by.
    fn put_bounds(&mut self, value: &ConfigValue) {
        let text = value.value.as_deref().unwrap_or_default();
        if let Ok(bounds) = yuccalift_settings::parse_fleet_bounds(FLEET_KEY, text) {
            self.control.do_send(SetBounds(bounds.clone()));
            self.bounds = Some(bounds);
            self.feed_shares();
            self.ready.set_bounded();
        }
    }

    fn put_map(&mut self, collection: &str, value: &ConfigValue) {
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
        let shares = connection_shares(&self.place, bounds, &targets);
        self.feed(EngineEvent::SharesChanged(shares.into()));
    }

    fn announce_draining(&self, hosts: &[HostName]) {
        let targets = self.maps.iter().flat_map(|map| map.targets.iter());
        for entry in targets.filter(|entry| hosts.contains(&entry.host)) {
            self.control.do_send(AnnounceNews {
                kind: NewsKind::Draining(entry.target),
                life: DRAINING_LIFE,
            });
        }
    }

    fn pass_news(&self, kind: NewsKind, active: bool) {
        match kind {
            NewsKind::Quarantine(fingerprint) => self.feed(EngineEvent::Quarantine {
                fingerprint,
                held: active,
            }),
            NewsKind::Suspect {
                fingerprint,
                shard,
                wide,
                blame,
            } if active => {
                let kind = NoticeKind::Suspected { shard, wide, blame };
                let notice = QuarantineNotice { fingerprint, kind };
                self.lane.do_send(TakeNotice(notice));
            }
            // A suspicion ends by itself wherever it was taken.
            NewsKind::Suspect { .. } => {}
            NewsKind::Draining(target) => self.feed(EngineEvent::TargetNews(TargetNews {
                target,
                kind: TargetNewsKind::Leaving(active),
            })),
        }
    }

    fn feed(&self, event: EngineEvent) {
        self.lane.do_send(FeedEngine(event));
    }
}
fn quarantine_report(news: &(NewsKind, Duration)) -> Option<QuarantineReport> {
    match *news {
        (NewsKind::Quarantine(fingerprint), left) => Some(QuarantineReport {
            fingerprint: format!("{fingerprint:016x}").into(),
            left_ms: left.as_millis() as u64,
        }),
        (NewsKind::Suspect { .. } | NewsKind::Draining(_), _) => None,
    }
}
