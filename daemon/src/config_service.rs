//! Puts the platform's values in force: client accounts and shard maps reach the engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::Addr;
use tracing::{info, warn};
use yuccalift_core::ShardMap;
use yuccalift_core::event::EngineEvent;
use yuccalift_core::ids::ConfigVersion;
use yuccalift_kernel::ServiceGuard;
use yuccalift_settings::DaemonSettings;
use yuccalift_wire::codec::from_json;
use yuccalift_wire::platform::{ACCOUNTS_KEY, MAP_PREFIX, PublishedValue};

use crate::lane::{EngineLane, FeedEngine};
use crate::platform_reader::watch_values;

/// How long the reader rests after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Watches the platform until the daemon stops.
pub(crate) struct ConfigService {
    lane: Addr<EngineLane>,
    ready: Arc<AtomicBool>,
    version: ConfigVersion,
}

impl ConfigService {
    pub(crate) fn new(lane: Addr<EngineLane>, ready: Arc<AtomicBool>) -> Self {
        Self {
            lane,
            ready,
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
                        warn!(%error, "platform not read");
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
        info!(version, "configuration in force");
    }

    fn apply_value(&self, change: &PublishedValue) {
        let Some(value) = &change.value else { return };
        if change.key.as_ref() == ACCOUNTS_KEY {
            match yuccalift_settings::parse_accounts(ACCOUNTS_KEY, value, change.version) {
                Ok(table) => self.feed(EngineEvent::AccountsChanged(Arc::new(table))),
                Err(errors) => warn!(%errors, "accounts refused"),
            }
        } else if change.key.starts_with(MAP_PREFIX) {
            self.apply_map(&change.key, value);
        }
    }

    fn apply_map(&self, key: &str, value: &str) {
        let parsed = from_json::<ShardMap>("read shard map", key, value.as_bytes());
        match parsed.map(ShardMap::normalize) {
            Ok(Ok(map)) => self.feed(EngineEvent::MapChanged(Arc::new(map))),
            Ok(Err(error)) => warn!(%error, key, "shard map refused"),
            Err(error) => warn!(%error, key, "shard map refused"),
        }
    }

    fn feed(&self, event: EngineEvent) {
        self.lane.do_send(FeedEngine(event));
    }
}
