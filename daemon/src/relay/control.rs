//! The control plane of a relay: [`RelayControl`] carries out the actions of
//! [`yuccalift_core::control::ControlNode`].
//!
//! A few daemons of each data centre read the store; the others learn of changes from them.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, ServiceConfig, StatusCode};
use tokio::sync::{Mutex, Notify, mpsc};
use tokio_util::sync::CancellationToken;
use yuccalift_core::control::announcements::MAX_LIFETIME;
use yuccalift_core::control::exchange::MAX_MESSAGE_BYTES;
use yuccalift_core::control::{
    AnnouncementKind, ConfigValue, ControlAction, ControlEvent, ControlNode, ControlSettings,
    ExchangeMessage, FleetBounds, HostConflictPolicy, MemberRecord, MemberState, ReadSettings,
    StorePosition,
};
use yuccalift_core::ids::{ConfigVersion, HostName};
use yuccalift_core::quarantine::{NoticeKind, QuarantineNotice};
use yuccalift_core::relay::{PeerAddress, RelayEvent, RouteTable};
use yuccalift_platform::caller::empty_answer;
use yuccalift_platform::listing::decode_target;
use yuccalift_platform::routes::decode_routes;
use yuccalift_platform::store::{StoreKeyKind, key_kind, value_rank};
use yuccalift_settings::RelaySettings;
use yuccalift_wire::codec::{from_rmp, to_rmp};
use yuccalift_wire::peer::EXCHANGE_PATH;

use super::engine_driver::EngineDriver;
use super::peer_call::call_peer;
use super::readiness::RelayReadiness;
use super::report::RelayReport;
use super::request_body::RequestBody;
use super::store_reader::StoreReader;
use crate::control::{log_failed_exchange, log_notice};
use crate::events::LogEvent;
use crate::quarantine_driver::{announcement_of, log_quarantine_notice};

/// Returns the timing of store reads. A change must take effect within 3 s of its acknowledgement
/// by a store that has been available for 4 s. A watch that the store has lost must therefore end
/// within that time, and failed calls are repeated within a second.
pub(super) fn store_read_settings(settings: &RelaySettings) -> ReadSettings {
    ReadSettings {
        watch_wait: settings.evacuation_time.map_or(MAX_WATCH_WAIT, |time| {
            time.mul_f64(WATCH_SHARE).min(MAX_WATCH_WAIT)
        }),
        watch_gap: Duration::from_millis(60),
        initial_backoff: Duration::from_millis(100),
        max_backoff: Duration::from_millis(800),
        start_window: START_READ_SPACING * settings.fleet_daemons,
        lists_hosts: false,
        platform_calls: settings.store_calls,
    }
}

/// Share of the time within which an evacuation must take effect that a watch waits. The rest is for
/// a repeated call and for its answer.
const WATCH_SHARE: f64 = 0.6;
/// Maximum time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(3);
/// Spacing of the first store reads when a whole fleet starts, per daemon that the fleet may have.
/// A small fleet does not wait, and in a large one most daemons learn the state from a peer first.
const START_READ_SPACING: Duration = Duration::from_millis(1);

/// Maximum time in which a peer's message must be complete; peers give up on a call long before.
const MAX_MESSAGE_TIME: Duration = Duration::from_secs(15);

/// The control plane and the services that its actions need; shared by the tasks of one thread.
pub(super) struct RelayControl {
    node: RefCell<ControlNode>,
    host: HostName,
    reader: Mutex<StoreReader>,
    link_config: ServiceConfig,
    driver: Rc<EngineDriver>,
    readiness: Rc<RelayReadiness>,
    last_daemon_count: Cell<u32>,
    /// When the members last changed, and the contacts, as passed to the engine.
    last_peers: RefCell<Option<(Instant, Vec<PeerAddress>)>>,
    /// Whether the deployment uses evacuations; their keys are ignored otherwise.
    follows_evacuations: bool,
    /// Routes that are withheld until the evacuations known to the peers are known here.
    withheld_routes: RefCell<Option<(RouteTable, ConfigVersion)>>,
    wake: Notify,
    wake_due: Cell<Instant>,
}

impl RelayControl {
    /// Creates a control plane that knows only this daemon and its seeds. [`RelayControl::run`]
    /// must run alongside it.
    pub(super) fn new(
        settings: &RelaySettings,
        link_config: ServiceConfig,
        driver: Rc<EngineDriver>,
        readiness: Rc<RelayReadiness>,
    ) -> Rc<Self> {
        let now = Instant::now();
        let mut node = ControlNode::new(now, control_settings(settings));
        let bounds = FleetBounds {
            daemons: settings.fleet_daemons,
            daemons_per_data_centre: settings.fleet_daemons,
        };
        let mut actions = Vec::new();
        node.handle(now, ControlEvent::BoundsChanged(bounds), &mut actions);
        let control = Rc::new(Self {
            node: RefCell::new(node),
            host: settings.host.clone(),
            reader: Mutex::new(StoreReader::new(
                settings.store,
                link_config.clone(),
                settings.evacuation_time.is_some(),
            )),
            link_config,
            driver,
            readiness,
            last_daemon_count: Cell::new(0),
            last_peers: RefCell::default(),
            follows_evacuations: settings.evacuation_time.is_some(),
            withheld_routes: RefCell::default(),
            wake: Notify::new(),
            wake_due: Cell::new(now),
        });
        control.carry_out_all(actions);
        control
    }

    /// Runs the control plane's timers and announces quarantine notices until `stop` is cancelled.
    pub(super) async fn run(
        self: Rc<Self>,
        mut notices: mpsc::UnboundedReceiver<QuarantineNotice>,
        stop: CancellationToken,
    ) {
        loop {
            let due = tokio::time::Instant::from_std(self.wake_due.get());
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.wake.notified() => {}
                Some(notice) = notices.recv() => {
                    let (kind, lifetime) = announcement_of(&notice);
                    self.feed(ControlEvent::Announce { kind, lifetime });
                }
                () = tokio::time::sleep_until(due) => self.feed(ControlEvent::Tick),
            }
        }
    }

    /// Announces to the peers that this daemon is leaving.
    pub(super) fn leave(self: &Rc<Self>) {
        self.feed(ControlEvent::Leave);
    }

    fn feed(self: &Rc<Self>, event: ControlEvent) {
        let mut actions = Vec::new();
        let now = Instant::now();
        self.node.borrow_mut().handle(now, event, &mut actions);
        self.carry_out_all(actions);
    }

    /// Handles a peer's message and returns the answer to it.
    fn answer(self: &Rc<Self>, message: &ExchangeMessage) -> ExchangeMessage {
        let mut actions = Vec::new();
        let now = Instant::now();
        let reply = self.node.borrow_mut().answer(now, message, &mut actions);
        self.carry_out_all(actions);
        reply
    }

    fn carry_out_all(self: &Rc<Self>, actions: Vec<ControlAction>) {
        for action in actions {
            self.carry_out(action);
        }
        self.release_routes();
        self.update_daemon_count();
        self.update_peers();
        let age = self.node.borrow().knowledge_age(Instant::now());
        self.driver.report.set_knowledge_age(age);
        let due = self.node.borrow().next_wake();
        if due != self.wake_due.replace(due) {
            self.wake.notify_one();
        }
    }

    /// Passes the estimated number of daemons to the engine. Only some daemons of other data
    /// centres are known, so each data centre is assumed to be as large as this one.
    fn update_daemon_count(&self) {
        let node = self.node.borrow();
        let own = node.members().alive().count() as u32 + 1;
        let mut others: Vec<&str> = node
            .contacts()
            .records()
            .map(|record| record.data_centre.as_ref())
            .collect();
        others.sort_unstable();
        others.dedup();
        let daemons = own * (others.len() as u32 + 1);
        if self.last_daemon_count.replace(daemons) != daemons {
            self.driver.feed(RelayEvent::DaemonCountChanged(daemons));
        }
    }

    /// Passes the daemons that are alive to the engine, which may forward requests to them.
    fn update_peers(&self) {
        let node = self.node.borrow();
        let contacts = node.contacts().records();
        let remote: Vec<PeerAddress> = contacts.map(peer_address).collect();
        let changed_at = node.members().last_changed();
        let known = (changed_at, remote);
        if self.last_peers.borrow().as_ref() == Some(&known) {
            return;
        }
        let local = node.members().alive().map(peer_address);
        let peers: Vec<PeerAddress> = local.chain(known.1.iter().cloned()).collect();
        self.last_peers.replace(Some(known));
        self.driver.feed(RelayEvent::PeersChanged(peers));
    }

    fn carry_out(self: &Rc<Self>, action: ControlAction) {
        match action {
            ControlAction::Exchange {
                exchange,
                address,
                message,
            } => self.exchange(exchange, address, message),
            ControlAction::ReadValues { after, wait } => self.read_store(after, wait),
            ControlAction::PlatformRecovered => {
                LogEvent::OutageEnded { host: &self.host }.emit();
                self.driver.feed(RelayEvent::ListRegained);
            }
            ControlAction::ApplyValue(value) => self.apply_value(&value),
            ControlAction::Notice(notice) => log_notice(&self.host, &notice),
            // Not used by the relay: its platform lists no daemons, a host runs only one, and
            // readiness depends on the applied configuration.
            ControlAction::ReadHosts | ControlAction::Replaced | ControlAction::Ready(_) => {}
            ControlAction::AnnouncementChanged { kind, active } => {
                self.apply_announcement(kind, active);
            }
        }
    }

    fn read_store(self: &Rc<Self>, after: StorePosition, wait: Duration) {
        let control = Rc::clone(self);
        self.driver.report.count_store_call();
        actix_rt::spawn(async move {
            let reply = control.reader.lock().await.read(after, wait).await;
            match reply {
                Ok(changes) => {
                    control.driver.report.record_store_answer(changes.position);
                    control.feed(ControlEvent::Published {
                        position: changes.position,
                        values: changes.values,
                        is_listing: changes.is_listing,
                    });
                }
                Err(error) => {
                    control.driver.report.record_store_failure(&error);
                    control.feed(ControlEvent::ReadFailed);
                }
            }
        });
    }

    fn exchange(self: &Rc<Self>, exchange: u64, peer: SocketAddr, message: Box<ExchangeMessage>) {
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let begun = Instant::now();
            let result = call_peer(peer, &message, &control.link_config).await;
            control.feed(match result {
                Ok(message) => ControlEvent::Replied {
                    exchange,
                    message: Box::new(message),
                },
                Err(fault) => {
                    let fault = format!("exchange, peer {peer}: {fault}");
                    log_failed_exchange(&fault, message.text_bytes(), begun.elapsed());
                    ControlEvent::Unanswered { exchange }
                }
            });
        });
    }

    /// Passes announcements of peers about requests that crash targets to the engine.
    fn apply_announcement(&self, kind: AnnouncementKind, active: bool) {
        let event = match kind {
            AnnouncementKind::Quarantine(fingerprint) if active => {
                RelayEvent::Notice(QuarantineNotice {
                    fingerprint,
                    kind: NoticeKind::Held { left: MAX_LIFETIME },
                })
            }
            AnnouncementKind::Quarantine(fingerprint) => RelayEvent::NoticeEnded(fingerprint),
            AnnouncementKind::Suspect {
                fingerprint,
                shard,
                wide,
                blame,
            } if active => RelayEvent::Notice(QuarantineNotice {
                fingerprint,
                kind: NoticeKind::Suspected { shard, wide, blame },
            }),
            // Suspicions expire by themselves, and target states come from the store.
            AnnouncementKind::Suspect { .. } | AnnouncementKind::Draining(_) => return,
        };
        if let RelayEvent::Notice(notice) = &event {
            log_quarantine_notice(notice);
        }
        self.driver.feed(event);
    }

    fn apply_value(&self, value: &ConfigValue) {
        match key_kind(&value.key) {
            StoreKeyKind::Config => self.apply_routes(value),
            StoreKeyKind::Target(name) => self.apply_target(&name, value),
            StoreKeyKind::Evacuation(data_centre) if self.follows_evacuations => {
                self.driver.feed(RelayEvent::EvacuationChanged {
                    data_centre,
                    active: value.value.is_some(),
                });
            }
            StoreKeyKind::Evacuation(_) | StoreKeyKind::Other => {}
        }
    }

    fn apply_routes(&self, value: &ConfigValue) {
        let Some(text) = &value.value else {
            return;
        };
        match decode_routes(text) {
            Ok(table) => {
                if self.follows_evacuations && !self.readiness.configured.get() {
                    self.withheld_routes.replace(Some((table, value.version)));
                } else {
                    self.set_routes(table, value.version);
                }
            }
            Err(error) => self.driver.report.log_refused_entry(&value.key, &error),
        }
    }

    fn set_routes(&self, table: RouteTable, version: ConfigVersion) {
        RelayReport::log_routes(&table, version);
        self.driver.feed(RelayEvent::RoutesChanged(Arc::new(table)));
        self.driver.report.set_routes(&self.driver.routes());
        self.readiness.configured.set(true);
    }

    /// Applies the first routes once all that the peers know has arrived. A peer that passes on a
    /// large state sends it in several messages, and an evacuation may be in the last one.
    fn release_routes(&self) {
        let is_complete = {
            let node = self.node.borrow();
            node.is_caught_up() || node.is_ready()
        };
        if is_complete && let Some((table, version)) = self.withheld_routes.take() {
            self.set_routes(table, version);
        }
    }

    /// Applies a target's entry; one that can't be decoded counts as removed.
    fn apply_target(&self, name: &str, value: &ConfigValue) {
        let decoded = value.value.as_ref().map(|text| decode_target(name, text));
        let event = match decoded {
            Some(Ok(record)) => RelayEvent::TargetListed(record),
            Some(Err(error)) => {
                self.driver.report.log_refused_entry(&value.key, &error);
                RelayEvent::TargetUnlisted { name: name.into() }
            }
            None => RelayEvent::TargetUnlisted { name: name.into() },
        };
        self.driver.feed(event);
    }
}

fn peer_address(record: &MemberRecord) -> PeerAddress {
    PeerAddress {
        address: record.address,
        data_centre: record.data_centre.clone(),
    }
}

fn control_settings(settings: &RelaySettings) -> ControlSettings {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    let incarnation = since_epoch
        .saturating_sub(settings.clock_behind)
        .as_micros() as u64;
    ControlSettings {
        own: MemberRecord {
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings.peer_listen,
            incarnation,
            refutation: 0,
            state: MemberState::Alive,
        },
        seeds: settings.seed_peers.clone(),
        seed: rand::random(),
        check: check_value,
        rank: value_rank,
        read_settings: store_read_settings(settings),
        host_conflict: HostConflictPolicy::Supersede,
    }
}

/// Validates a published value. Only the configuration keeps its last valid value; an invalid
/// target entry is accepted here and later treated as removed.
fn check_value(key: &str, value: &str) -> Result<(), Box<str>> {
    match key_kind(key) {
        StoreKeyKind::Config => decode_routes(value)
            .map(drop)
            .map_err(|error| error.to_string().into()),
        StoreKeyKind::Target(_) | StoreKeyKind::Evacuation(_) | StoreKeyKind::Other => Ok(()),
    }
}

/// Handles an HTTP request of a peer: an exchange of control-plane messages.
pub(super) async fn answer_peer(
    control: Rc<RelayControl>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let mut request_body = RequestBody::take(&mut request);
    let is_exchange = request.path() == EXCHANGE_PATH && request.method() == Method::POST;
    if !is_exchange {
        return Ok(request_body.attach_to(empty_answer(StatusCode::NOT_FOUND, None)));
    }
    let peer = request
        .peer_addr()
        .map_or_else(String::new, |peer| peer.to_string());
    let deadline = Instant::now() + MAX_MESSAGE_TIME;
    let body = match request_body.read_by(deadline, MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(status) => return Ok(request_body.attach_to(empty_answer(status, None))),
    };
    let begun = Instant::now();
    let message = from_rmp::<ExchangeMessage>("read exchange", &peer, &body);
    let reply = message.and_then(|message| {
        let reply = control.answer(&message);
        to_rmp("write exchange", &peer, &reply)
    });
    Ok(match reply {
        Ok(body) => Response::build(StatusCode::OK)
            .body(body)
            .map_into_boxed_body(),
        Err(error) => {
            log_failed_exchange(&error.to_string(), 0, begun.elapsed());
            empty_answer(StatusCode::BAD_REQUEST, None)
        }
    })
}
