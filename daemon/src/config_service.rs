//! Puts the platform's values in force: client accounts and shard maps reach the engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::Addr;
use futures_util::StreamExt;
use tracing::{info, warn};
use yuccalift_core::event::{EngineEvent, TargetNews, TargetNewsKind};
use yuccalift_core::ids::ConfigVersion;
use yuccalift_core::{ShardMap, TargetEntry};
use yuccalift_kernel::ServiceGuard;
use yuccalift_settings::DaemonSettings;
use yuccalift_wire::codec::from_json;
use yuccalift_wire::leaf::LeafStatus;
use yuccalift_wire::platform::{ACCOUNTS_KEY, MAP_PREFIX, PublishedValue};

use crate::lane::{EngineLane, FeedEngine};
use crate::platform_reader::watch_values;

/// How long the reader rests after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How many targets are asked for their index versions at once.
const PROBES_AT_ONCE: usize = 16;

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
            Ok(Ok(map)) => {
                let map = Arc::new(map);
                self.feed(EngineEvent::MapChanged(Arc::clone(&map)));
                actix_rt::spawn(probe_versions(self.lane.clone(), map));
            }
            Ok(Err(error)) => warn!(%error, key, "shard map refused"),
            Err(error) => warn!(%error, key, "shard map refused"),
        }
    }

    fn feed(&self, event: EngineEvent) {
        self.lane.do_send(FeedEngine(event));
    }
}

/// Asks the targets of a new map which index versions they hold, since no query can be pinned to a
/// snapshot before that is known.
async fn probe_versions(lane: Addr<EngineLane>, map: Arc<ShardMap>) {
    let client = awc::Client::builder().disable_redirects().finish();
    let probes = map
        .targets
        .iter()
        .map(|entry| probe_version(&client, &lane, entry));
    futures_util::stream::iter(probes)
        .for_each_concurrent(PROBES_AT_ONCE, |probe| probe)
        .await;
}

async fn probe_version(client: &awc::Client, lane: &Addr<EngineLane>, entry: &TargetEntry) {
    let url = format!("http://{}/status", entry.address);
    let Ok(mut response) = client.get(url).send().await else {
        return;
    };
    let Ok(body) = response.body().await else {
        return;
    };
    let peer = entry.address.to_string();
    if let Ok(status) = from_json::<LeafStatus>("read leaf status", &peer, &body) {
        lane.do_send(FeedEngine(EngineEvent::TargetNews(TargetNews {
            target: entry.target,
            kind: TargetNewsKind::Held(status.held),
        })));
    }
}
