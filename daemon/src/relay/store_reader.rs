//! Reads the platform's store for the control plane: [`StoreReader`].
//!
//! See `docs/PLATFORM.md`, "The store".

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::ServiceConfig;
use yuccalift_core::control::{ConfigValue, StorePosition};
use yuccalift_exchange::{LinkOptions, TransferLimit, TransferProgress};
use yuccalift_platform::store::{StoreClient, StoreEntry, StoreError, StorePage};

/// Time that a call may take beyond its requested wait without making progress; a slow store takes a
/// quarter of a second.
const CALL_SLACK: Duration = Duration::from_millis(1_500);
/// Time that a call may take beyond its requested wait while bytes arrive.
const MAX_CALL_TIME: Duration = Duration::from_secs(10);
/// Connect timeout and liveness probing of the connection to the store.
const STORE_LINK_OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_secs(1),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};

/// What the store answered to a read.
#[derive(Debug)]
pub(super) struct StoreChanges {
    /// The store's position.
    pub(super) position: StorePosition,
    /// The requested changes up to that position.
    pub(super) values: Vec<ConfigValue>,
    /// Whether everything was read, instead of the changes after a position.
    pub(super) is_listing: bool,
}

/// Reader of the store, with one call at a time.
#[derive(Debug)]
pub(super) struct StoreReader {
    client: StoreClient,
    reads_evacuations: bool,
}

impl StoreReader {
    /// Creates a reader that is not connected yet. Evacuations are listed only if
    /// `reads_evacuations` is set, since each call to the store has a cost.
    pub(super) fn new(address: SocketAddr, config: ServiceConfig, reads_evacuations: bool) -> Self {
        Self {
            reads_evacuations,
            client: StoreClient::new(address, STORE_LINK_OPTIONS, config),
        }
    }

    /// Reads the changes after a position, waiting up to `wait` for one. Everything is read if none
    /// is known, if the store no longer has the history since then, or if it is in another era:
    /// it has then assigned versions anew, and may have one that is not the known one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if a call fails, is refused, times out or has an answer that can't be
    /// decoded.
    pub(super) async fn read(
        &mut self,
        after: StorePosition,
        wait: Duration,
    ) -> Result<StoreChanges, StoreError> {
        let result = self.try_read(after, wait).await;
        if result.is_err() {
            self.client.disconnect();
        }
        result
    }

    async fn try_read(
        &mut self,
        after: StorePosition,
        wait: Duration,
    ) -> Result<StoreChanges, StoreError> {
        if !after.is_known() {
            return self.read_all().await;
        }
        let progress = self.client.progress();
        let watch = self.client.watch(after.era, after.version, wait);
        match limit_call(&progress, wait, watch).await {
            Ok(page) if page.era != after.era => self.read_all().await,
            Ok(page) => Ok(StoreChanges {
                position: position_of(&page),
                values: page.entries.into_iter().map(config_value).collect(),
                is_listing: false,
            }),
            Err(StoreError::HistoryGone { .. }) => self.read_all().await,
            Err(error) => Err(error),
        }
    }

    /// Reads everything. The returned position is that of the first page, so that a later watch
    /// misses no change.
    async fn read_all(&mut self) -> Result<StoreChanges, StoreError> {
        let progress = self.client.progress();
        let no_wait = Duration::ZERO;
        let mut values = Vec::new();
        let position = self.read_pages(ListedKeys::Targets, &mut values).await?;
        let config = limit_call(&progress, no_wait, self.client.read_config()).await?;
        self.check_era(position)?;
        values.extend(config.map(config_value));
        if self.reads_evacuations {
            // Evacuations are applied first, so that nothing is sent to a target that is listed with
            // them.
            let mut evacuations = Vec::new();
            let keys = ListedKeys::Evacuations;
            self.read_pages(keys, &mut evacuations).await?;
            self.check_era(position)?;
            evacuations.append(&mut values);
            values = evacuations;
        }
        Ok(StoreChanges {
            position,
            values,
            is_listing: true,
        })
    }

    /// Fails if the store has been restored since it answered with a position: the listing would mix
    /// two eras.
    fn check_era(&self, position: StorePosition) -> Result<(), StoreError> {
        if self.client.era() == position.era {
            return Ok(());
        }
        Err(StoreError::Restored {
            address: self.client.address(),
        })
    }

    /// Reads all pages of a kind of keys, and returns the position of the first page.
    async fn read_pages(
        &mut self,
        keys: ListedKeys,
        values: &mut Vec<ConfigValue>,
    ) -> Result<StorePosition, StoreError> {
        let mut page = self.read_page(keys, None).await?;
        let position = position_of(&page);
        loop {
            let last = page.entries.last().map(|entry| entry.key.clone());
            values.extend(page.entries.into_iter().map(config_value));
            let Some(last) = last.filter(|_| page.has_more) else {
                return Ok(position);
            };
            page = self.read_page(keys, Some(&last)).await?;
            self.check_era(position)?;
        }
    }

    async fn read_page(
        &mut self,
        keys: ListedKeys,
        after: Option<&str>,
    ) -> Result<StorePage, StoreError> {
        let progress = self.client.progress();
        let client = &mut self.client;
        let call = async {
            match keys {
                ListedKeys::Targets => client.read_targets(after).await,
                ListedKeys::Evacuations => client.read_evacuations(after).await,
            }
        };
        limit_call(&progress, Duration::ZERO, call).await
    }
}

/// Keys of the store that are listed by their prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListedKeys {
    Targets,
    Evacuations,
}

fn position_of(page: &StorePage) -> StorePosition {
    StorePosition {
        era: page.era,
        version: page.revision,
    }
}

fn config_value(entry: StoreEntry) -> ConfigValue {
    ConfigValue {
        key: entry.key,
        version: entry.revision,
        value: entry.value.map(Arc::from),
    }
}

/// Makes a call that the store may hold for `wait`.
async fn limit_call<T>(
    progress: &TransferProgress,
    wait: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let limit = TransferLimit {
        stall: wait + CALL_SLACK,
        total: wait + MAX_CALL_TIME,
    };
    let result = progress.run(limit, call).await;
    result.unwrap_or(Err(StoreError::TimedOut))
}
