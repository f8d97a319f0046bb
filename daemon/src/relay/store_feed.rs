//! Reads the platform's store and feeds what it says to the hub: [`StoreFeed`].
//!
//! Everything is read once, then one watch over all keys tells of changes. A watch that is cut, or
//! whose history is gone, is taken up again or replaced by another whole reading. See
//! `docs/PLATFORM.md`, "The store".

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::ServiceConfig;
use rand::Rng;
use tokio_util::sync::CancellationToken;
use yuccalift_core::relay::{RelayEvent, TargetListing};
use yuccalift_exchange::LinkOptions;
use yuccalift_platform::listing::decode_target;
use yuccalift_platform::routes::decode_routes;
use yuccalift_platform::store::{
    StoreClient, StoreEntry, StoreError, StorePage, StoreRevision, StoreSubject,
};

use super::hub::RelayHub;
use super::readiness::RelayReadiness;

/// How long a watch waits for changes. It is short, since only its end shows that the store has
/// forgotten it: a change must be in force 3 s after a store is well again for 4 s.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// How much longer than it should a call may take; a slow store takes a quarter of a second.
const CALL_SLACK: Duration = Duration::from_millis(1_500);
/// The shortest time between two watches, in which changes gather: a fleet that follows a storm
/// of changes should not ask for each of them.
const WATCH_PAUSE: Duration = Duration::from_millis(60);
/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failed calls; a store that is back must be noticed within a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// How the connection to the store finds out that the other end is gone.
const STORE_LINK: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_millis(1_000),
    probe_interval: Duration::from_secs(1),
    probes: 2,
};

/// Why the feed goes on with another whole reading, or ends.
enum WatchEnd {
    HistoryGone,
    Stopped,
}

/// The reader of the store.
pub(super) struct StoreFeed {
    client: StoreClient,
    listing: TargetListing,
    hub: Rc<RelayHub>,
    readiness: Rc<RelayReadiness>,
    pause: Duration,
    failing: bool,
}

impl StoreFeed {
    /// A feed from the store at an address.
    pub(super) fn new(
        address: SocketAddr,
        config: ServiceConfig,
        hub: Rc<RelayHub>,
        readiness: Rc<RelayReadiness>,
    ) -> Self {
        Self {
            client: StoreClient::new(address, STORE_LINK, config),
            listing: TargetListing::default(),
            hub,
            readiness,
            pause: FIRST_PAUSE,
            failing: false,
        }
    }

    /// Reads until the token is cancelled.
    pub(super) async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            match self.read_all().await {
                Ok(revision) => {
                    self.note_success();
                    if let WatchEnd::Stopped = self.follow(revision, &stop).await {
                        return;
                    }
                }
                Err(error) => self.note_failure(&error, &stop).await,
            }
        }
    }

    /// Reads everything; the revision is one after which no change has been missed.
    async fn read_all(&mut self) -> Result<StoreRevision, StoreError> {
        let first = within(&mut self.client, async |client| {
            client.read_targets(None).await
        });
        let mut page = first.await?;
        let revision = page.revision;
        let mut found = Vec::new();
        loop {
            for entry in &page.entries {
                if let StoreSubject::Target(name) = &entry.subject {
                    found.push(name.clone());
                }
            }
            let last = page.entries.last().map(|entry| entry.key.clone());
            let more = page.more;
            self.take_page(page);
            let Some(last) = last.filter(|_| more) else {
                break;
            };
            page = within(&mut self.client, async |client| {
                client.read_targets(Some(&last)).await
            })
            .await?;
        }
        let now = Instant::now();
        self.listing.note_success(now);
        for event in self.listing.keep_only(now, &found, revision) {
            self.hub.feed(event);
        }
        let config = within(&mut self.client, async |client| client.read_config().await);
        if let Some(entry) = config.await? {
            self.take_config(&entry);
        }
        Ok(revision)
    }

    /// Watches for changes after a revision.
    async fn follow(&mut self, revision: StoreRevision, stop: &CancellationToken) -> WatchEnd {
        let mut revision = revision;
        loop {
            let watch = watch(&mut self.client, revision);
            let page = tokio::select! {
                page = watch => page,
                () = stop.cancelled() => return WatchEnd::Stopped,
            };
            match page {
                Ok(page) => {
                    self.note_success();
                    revision = revision.max(page.revision);
                    let changed = !page.entries.is_empty();
                    self.take_page(page);
                    if changed {
                        tokio::time::sleep(WATCH_PAUSE).await;
                    }
                }
                Err(error @ StoreError::HistoryGone { .. }) => {
                    self.hub.report.store_lost(&error);
                    return WatchEnd::HistoryGone;
                }
                Err(error) => {
                    self.note_failure(&error, stop).await;
                    if stop.is_cancelled() {
                        return WatchEnd::Stopped;
                    }
                }
            }
        }
    }

    fn take_page(&mut self, page: StorePage) {
        // Only the newest of several configurations is worth decoding.
        let config = page
            .entries
            .iter()
            .rfind(|entry| entry.subject == StoreSubject::Config);
        if let Some(entry) = config {
            self.take_config(entry);
        }
        for entry in page.entries {
            if let StoreSubject::Target(name) = &entry.subject {
                self.take_target(name, &entry);
            }
        }
    }

    fn take_config(&mut self, entry: &StoreEntry) {
        let Some(value) = &entry.value else {
            return;
        };
        match decode_routes(value) {
            Ok(table) => {
                let newer = table.version > self.hub.routes().version;
                if newer {
                    self.hub.report.routes(&table, entry.revision);
                    self.hub.feed(RelayEvent::RoutesChanged(Arc::new(table)));
                }
                self.readiness.configured.set(true);
            }
            Err(error) => self.hub.report.bad_entry(&entry.key, &error),
        }
    }

    fn take_target(&mut self, name: &str, entry: &StoreEntry) {
        let now = Instant::now();
        let decoded = entry.value.as_ref().map(|value| decode_target(name, value));
        let event = match decoded {
            Some(Ok(record)) => self.listing.put(record, entry.revision),
            Some(Err(error)) => {
                self.hub.report.bad_entry(&entry.key, &error);
                self.listing.remove(now, name, entry.revision)
            }
            None => self.listing.remove(now, name, entry.revision),
        };
        if let Some(event) = event {
            self.hub.feed(event);
        }
    }

    fn note_success(&mut self) {
        self.listing.note_success(Instant::now());
        self.pause = FIRST_PAUSE;
        if std::mem::take(&mut self.failing) {
            self.hub.report.store_regained();
        }
    }

    /// Waits after a failed call; longer each time, and not in step with other daemons.
    async fn note_failure(&mut self, error: &StoreError, stop: &CancellationToken) {
        self.client.disconnect();
        self.listing.note_failure();
        if !std::mem::replace(&mut self.failing, true) {
            self.hub.report.store_lost(error);
        }
        let pause = self.pause.mul_f64(rand::rng().random_range(0.5..1.0));
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = stop.cancelled() => {}
        }
    }
}

async fn watch(client: &mut StoreClient, revision: StoreRevision) -> Result<StorePage, StoreError> {
    let watching = client.watch(revision, WATCH_WAIT);
    tokio::time::timeout(WATCH_WAIT + CALL_SLACK, watching)
        .await
        .unwrap_or_else(|_elapsed| Err(StoreError::TimedOut))
}

/// Makes a call that should be answered at once.
async fn within<T>(
    client: &mut StoreClient,
    call: impl AsyncFnOnce(&mut StoreClient) -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    tokio::time::timeout(CALL_SLACK, call(client))
        .await
        .unwrap_or_else(|_elapsed| Err(StoreError::TimedOut))
}
