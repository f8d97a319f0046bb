//! Reads the platform's store for the control plane: [`StoreReader`].
//!
//! See `docs/PLATFORM.md`, "The store".

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::ServiceConfig;
use yuccalift_core::control::ConfigValue;
use yuccalift_core::ids::{ConfigVersion, ValueKey};
use yuccalift_exchange::LinkOptions;
use yuccalift_platform::store::{StoreClient, StoreEntry, StoreError};

/// How much longer than it should a call may take; a slow store takes a quarter of a second.
const CALL_SLACK: Duration = Duration::from_millis(1_500);
/// How the connection to the store finds out that the other end is gone.
const STORE_LINK: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_secs(1),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};

/// What the store said: its version, and every change up to it that was asked for.
pub(super) type StoreNews = (ConfigVersion, Vec<ConfigValue>);

/// A reader of the store, one call at a time.
#[derive(Debug)]
pub(super) struct StoreReader {
    client: StoreClient,
}

impl StoreReader {
    /// A reader without a connection.
    pub(super) fn new(address: SocketAddr, config: ServiceConfig) -> Self {
        Self {
            client: StoreClient::new(address, STORE_LINK, config),
        }
    }

    /// Reads what changed after a version, waiting up to `wait` for a change; or everything, where
    /// nothing is known or the store has forgotten that far back. `known` are the keys that have a
    /// value so far: those that a whole reading does not find have been removed.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub(super) async fn read(
        &mut self,
        after: ConfigVersion,
        wait: Duration,
        known: &[ValueKey],
    ) -> Result<StoreNews, StoreError> {
        let result = self.try_read(after, wait, known).await;
        if result.is_err() {
            self.client.disconnect();
        }
        result
    }

    async fn try_read(
        &mut self,
        after: ConfigVersion,
        wait: Duration,
        known: &[ValueKey],
    ) -> Result<StoreNews, StoreError> {
        if after == 0 {
            return self.read_all(known).await;
        }
        let watch = self.client.watch(after, wait);
        match within(wait + CALL_SLACK, watch).await {
            Ok(page) => Ok((
                page.revision,
                page.entries.into_iter().map(config_value).collect(),
            )),
            Err(StoreError::HistoryGone { .. }) => self.read_all(known).await,
            Err(error) => Err(error),
        }
    }

    /// Reads everything. The version is the one at its beginning, after which a watch misses
    /// nothing.
    async fn read_all(&mut self, known: &[ValueKey]) -> Result<StoreNews, StoreError> {
        let mut page = within(CALL_SLACK, self.client.read_targets(None)).await?;
        let version = page.revision;
        let mut values = Vec::new();
        loop {
            let last = page.entries.last().map(|entry| entry.key.clone());
            values.extend(page.entries.into_iter().map(config_value));
            let Some(last) = last.filter(|_| page.has_more) else {
                break;
            };
            page = within(CALL_SLACK, self.client.read_targets(Some(&last))).await?;
        }
        let config = within(CALL_SLACK, self.client.read_config()).await?;
        values.extend(config.map(config_value));
        add_removed(&mut values, version, known);
        Ok((version, values))
    }
}

/// Adds the removal of each known key that was not found.
fn add_removed(values: &mut Vec<ConfigValue>, version: ConfigVersion, known: &[ValueKey]) {
    let mut found: Vec<ValueKey> = values.iter().map(|value| value.key.clone()).collect();
    found.sort_unstable();
    let gone = known.iter().filter(|key| found.binary_search(key).is_err());
    values.extend(gone.map(|key| ConfigValue {
        key: key.clone(),
        version,
        value: None,
    }));
}

fn config_value(entry: StoreEntry) -> ConfigValue {
    ConfigValue {
        key: entry.key,
        version: entry.revision,
        value: entry.value.map(Arc::from),
    }
}

async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(limit, call)
        .await
        .unwrap_or_else(|_elapsed| Err(StoreError::TimedOut))
}
