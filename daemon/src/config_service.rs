//! Puts the platform's values in force: client accounts and shard maps reach the engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::Addr;
use yuccalift_core::event::EngineEvent;
use yuccalift_core::ids::ConfigVersion;
use yuccalift_kernel::ServiceGuard;
use yuccalift_settings::{DaemonSettings, SettingsErrors, parse_accounts, parse_shard_map};
use yuccalift_wire::platform::{ACCOUNTS_KEY, MAP_PREFIX, PublishedValue};

use crate::events::LogEvent;
use crate::lane::{EngineLane, FeedEngine};
use crate::metrics::{DaemonMetric, MetricsClient};
use crate::platform_reader::watch_values;
use crate::status_board::StatusBoard;

/// How long the reader rests after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Watches the platform until the daemon stops.
pub(crate) struct ConfigService {
    lane: Addr<EngineLane>,
    ready: Arc<AtomicBool>,
    board: StatusBoard,
    metrics: MetricsClient,
    version: ConfigVersion,
}

impl ConfigService {
    pub(crate) fn new(
        lane: Addr<EngineLane>,
        ready: Arc<AtomicBool>,
        board: StatusBoard,
        metrics: MetricsClient,
    ) -> Self {
        Self {
            lane,
            ready,
            board,
            metrics,
            version: 0,
        }
    }

    /// Runs until the guard's token is cancelled.
    pub(crate) async fn run(mut self, settings: DaemonSettings, guard: ServiceGuard) {
        let client = awc::Client::builder().disable_redirects().finish();
        let Some(&address) = settings.platform.first() else {
            return;
        };
        while !guard.token.is_cancelled() {
            let watch = watch_values(&client, address, self.version);
            tokio::select! {
                () = guard.token.cancelled() => break,
                result = watch => match result {
                    Ok(changes) => self.apply(changes.version, &changes.changes),
                    Err(error) => {
                        let fault = error.to_string();
                        LogEvent::PlatformUnread { fault: &fault }.emit();
                        tokio::time::sleep(RETRY_PAUSE).await;
                    }
                },
            }
        }
    }

    fn apply(&mut self, version: ConfigVersion, changes: &[PublishedValue]) {
        if version <= self.version {
            return;
        }
        for change in changes {
            self.apply_value(change);
        }
        self.version = version;
        self.ready.store(true, Ordering::Release);
        self.board.set_config_version(version);
        self.metrics.gauge(DaemonMetric::ConfigVersion, version);
        LogEvent::ConfigurationInForce { version }.emit();
    }

    fn apply_value(&self, change: &PublishedValue) {
        let result = match &change.value {
            Some(value) if change.key.as_ref() == ACCOUNTS_KEY => {
                self.apply_accounts(change, value)
            }
            Some(value) if change.key.starts_with(MAP_PREFIX) => self.apply_map(change, value),
            _ => Ok(()),
        };
        match result {
            Ok(()) => self.board.clear_refused(&change.key),
            Err(errors) => self.refuse(change, &errors.to_string()),
        }
    }

    fn apply_accounts(&self, change: &PublishedValue, value: &str) -> Result<(), SettingsErrors> {
        let table = parse_accounts(ACCOUNTS_KEY, value, change.version)?;
        self.feed(EngineEvent::AccountsChanged(Arc::new(table)));
        Ok(())
    }

    fn apply_map(&self, change: &PublishedValue, value: &str) -> Result<(), SettingsErrors> {
        let map = parse_shard_map(&change.key, value)?;
        self.feed(EngineEvent::MapChanged(Arc::new(map)));
        Ok(())
    }

    fn refuse(&self, change: &PublishedValue, fault: &str) {
        self.board.note_refused(&change.key, fault);
        LogEvent::ValueRefused {
            key: &change.key,
            version: change.version,
            fault,
        }
        .emit();
    }

    fn feed(&self, event: EngineEvent) {
        self.lane.do_send(FeedEngine(event));
    }
}
