//! The control plane of a relay: [`RelayControl`] carries out what
//! [`yuccalift_core::control::ControlNode`] decides.
//!
//! A few daemons of each data centre read the store; the others hear from them.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::body::BoxBody;
use actix_http::header::{HOST, HeaderValue};
use actix_http::{Method, Request, RequestHead, Response, ServiceConfig, StatusCode, Uri};
use tokio::sync::{Mutex, Notify, mpsc};
use tokio_util::sync::CancellationToken;
use yuccalift_core::control::exchange::MAX_MESSAGE_BYTES;
use yuccalift_core::control::news::MAX_LIFE;
use yuccalift_core::control::{
    ConfigValue, ControlAction, ControlEvent, ControlNode, ControlSettings, ExchangeMessage,
    FleetBounds, MemberRecord, MemberState, NewsKind, ReadingPace, Succession,
};
use yuccalift_core::ids::{ConfigVersion, HostName};
use yuccalift_core::quarantine::{NoticeKind, QuarantineNotice};
use yuccalift_core::relay::RelayEvent;
use yuccalift_exchange::{ExchangeLink, LinkOptions, OutgoingRequest};
use yuccalift_platform::caller::empty_answer;
use yuccalift_platform::listing::decode_target;
use yuccalift_platform::routes::decode_routes;
use yuccalift_platform::store::{StoreKeyKind, key_kind};
use yuccalift_settings::RelaySettings;
use yuccalift_wire::codec::{from_rmp, to_rmp};
use yuccalift_wire::peer::EXCHANGE_PATH;

use super::front::read_body;
use super::hub::RelayHub;
use super::readiness::RelayReadiness;
use super::report::RelayReport;
use super::store_reader::StoreReader;
use crate::control::{EXCHANGE_TIMEOUT, log_notice};
use crate::events::LogEvent;
use crate::quarantine_desk::{log_suspect, news_of};

/// How connections to peers find out that the other end is gone.
const PEER_LINK: LinkOptions = LinkOptions {
    connect_timeout: Duration::from_millis(500),
    keepalive_interval: Duration::from_secs(1),
    keepalive_probes: 2,
};
/// How fast the store is read. A change must be in force 3 s after it was acknowledged, by a
/// store that has been well for 4 s: so a watch that the store has forgotten must end within that
/// time, and failed calls are repeated within a second.
pub(super) fn reading_pace(fleet_daemons: u32) -> ReadingPace {
    ReadingPace {
        watch_wait: Duration::from_secs(3),
        watch_gap: Duration::from_millis(60),
        first_backoff: Duration::from_millis(100),
        longest_backoff: Duration::from_millis(800),
        start_window: START_SPREAD * fleet_daemons,
        lists_hosts: false,
    }
}

/// How far apart the first readings of a fleet that starts whole are, for each daemon that it may
/// have. A small one is not kept waiting, and in a large one most hear from a peer before their turn.
const START_SPREAD: Duration = Duration::from_millis(1);

/// The control plane and what its actions need; shared by the tasks of the thread.
pub(super) struct RelayControl {
    node: RefCell<ControlNode>,
    host: HostName,
    reader: Mutex<StoreReader>,
    links: ServiceConfig,
    hub: Rc<RelayHub>,
    readiness: Rc<RelayReadiness>,
    fleet_told: Cell<u32>,
    wake: Notify,
    wake_due: Cell<Instant>,
}

impl RelayControl {
    /// A control plane that knows only itself and its seeds; [`RelayControl::run`] must run beside
    /// it.
    pub(super) fn new(
        settings: &RelaySettings,
        links: ServiceConfig,
        hub: Rc<RelayHub>,
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
            reader: Mutex::new(StoreReader::new(settings.store, links.clone())),
            links,
            hub,
            readiness,
            fleet_told: Cell::new(0),
            wake: Notify::new(),
            wake_due: Cell::new(now),
        });
        control.carry_out_all(actions);
        control
    }

    /// Wakes the control plane when it wants to be and passes news on, until the token is cancelled.
    pub(super) async fn run(
        self: Rc<Self>,
        mut news: mpsc::UnboundedReceiver<QuarantineNotice>,
        stop: CancellationToken,
    ) {
        loop {
            let due = tokio::time::Instant::from_std(self.wake_due.get());
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.wake.notified() => {}
                Some(notice) = news.recv() => {
                    let (kind, life) = news_of(&notice);
                    self.feed(ControlEvent::Announce { kind, life });
                }
                () = tokio::time::sleep_until(due) => self.feed(ControlEvent::Tick),
            }
        }
    }

    /// Tells the peers that this daemon is leaving.
    pub(super) fn leave(self: &Rc<Self>) {
        self.feed(ControlEvent::Leave);
    }

    fn feed(self: &Rc<Self>, event: ControlEvent) {
        let mut actions = Vec::new();
        let now = Instant::now();
        self.node.borrow_mut().handle(now, event, &mut actions);
        self.carry_out_all(actions);
    }

    /// Answers a peer's message.
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
        self.tell_fleet_size();
        let due = self.node.borrow().next_wake();
        if due != self.wake_due.replace(due) {
            self.wake.notify_one();
        }
    }

    /// Tells the engine how many daemons there seem to be: of other data centres only some are
    /// known, so that each is taken for as large as the own.
    fn tell_fleet_size(&self) {
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
        if self.fleet_told.replace(daemons) != daemons {
            self.hub.feed(RelayEvent::FleetSized(daemons));
        }
    }

    fn carry_out(self: &Rc<Self>, action: ControlAction) {
        match action {
            ControlAction::Exchange {
                exchange,
                address,
                message,
            } => self.exchange(exchange, address, message),
            ControlAction::ReadValues { after, wait } => self.read(after, wait),
            ControlAction::PlatformRegained => {
                LogEvent::OutageEnded { host: &self.host }.emit();
                self.hub.feed(RelayEvent::ListRegained);
            }
            ControlAction::PutInForce(value) => self.put_in_force(&value),
            ControlAction::Noticed(notice) => log_notice(&self.host, &notice),
            // The platform lists no daemons, a host runs one, and readiness is by what is in force.
            ControlAction::ReadHosts | ControlAction::Replaced | ControlAction::Ready(_) => {}
            ControlAction::News { kind, active } => self.pass_on(kind, active),
        }
    }

    fn read(self: &Rc<Self>, after: ConfigVersion, wait: Duration) {
        let control = Rc::clone(self);
        let known = self
            .node
            .borrow()
            .store()
            .keys()
            .cloned()
            .collect::<Vec<_>>();
        self.hub.report.store_call();
        actix_rt::spawn(async move {
            let news = control.reader.lock().await.read(after, wait, &known).await;
            match news {
                Ok((version, values)) => {
                    control.hub.report.store_answered();
                    control.feed(ControlEvent::Published { version, values });
                }
                Err(error) => {
                    control.hub.report.store_failed(&error);
                    control.feed(ControlEvent::ReadFailed);
                }
            }
        });
    }

    fn exchange(self: &Rc<Self>, exchange: u64, peer: SocketAddr, message: Box<ExchangeMessage>) {
        let control = Rc::clone(self);
        actix_rt::spawn(async move {
            let call = call_peer(peer, &message, &control.links);
            let result = tokio::time::timeout(EXCHANGE_TIMEOUT, call).await;
            let result = result.unwrap_or_else(|_elapsed| Err("timed out".to_owned()));
            control.feed(match result {
                Ok(message) => ControlEvent::Replied {
                    exchange,
                    message: Box::new(message),
                },
                Err(fault) => {
                    let fault = format!("exchange, peer {peer}: {fault}");
                    LogEvent::ExchangeFailed { fault: &fault }.emit();
                    ControlEvent::Unanswered { exchange }
                }
            });
        });
    }

    /// Tells the engine what peers say of requests that crash targets.
    fn pass_on(&self, kind: NewsKind, active: bool) {
        let event = match kind {
            NewsKind::Quarantine(fingerprint) if active => RelayEvent::Noticed(QuarantineNotice {
                fingerprint,
                kind: NoticeKind::Held { left: MAX_LIFE },
            }),
            NewsKind::Quarantine(fingerprint) => RelayEvent::NoticeEnded(fingerprint),
            NewsKind::Suspect {
                fingerprint,
                shard,
                wide,
                blame,
            } if active => RelayEvent::Noticed(QuarantineNotice {
                fingerprint,
                kind: NoticeKind::Suspected { shard, wide, blame },
            }),
            // Suspicions end by themselves, and targets' states come from the store.
            NewsKind::Suspect { .. } | NewsKind::Draining(_) => return,
        };
        if let RelayEvent::Noticed(notice) = &event {
            log_suspect(notice);
        }
        self.hub.feed(event);
    }

    fn put_in_force(&self, value: &ConfigValue) {
        match key_kind(&value.key) {
            StoreKeyKind::Config => self.put_routes(value),
            StoreKeyKind::Target(name) => self.put_target(&name, value),
            StoreKeyKind::Other => {}
        }
    }

    fn put_routes(&self, value: &ConfigValue) {
        let Some(text) = &value.value else {
            return;
        };
        match decode_routes(text) {
            Ok(table) => {
                RelayReport::routes(&table, value.version);
                self.hub.feed(RelayEvent::RoutesChanged(Arc::new(table)));
                self.readiness.configured.set(true);
            }
            Err(error) => self.hub.report.bad_entry(&value.key, &error),
        }
    }

    /// An entry that can't be decoded names no target to use.
    fn put_target(&self, name: &str, value: &ConfigValue) {
        let decoded = value.value.as_ref().map(|text| decode_target(name, text));
        let event = match decoded {
            Some(Ok(record)) => RelayEvent::TargetListed(record),
            Some(Err(error)) => {
                self.hub.report.bad_entry(&value.key, &error);
                RelayEvent::TargetUnlisted { name: name.into() }
            }
            None => RelayEvent::TargetUnlisted { name: name.into() },
        };
        self.hub.feed(event);
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
        check: check_published,
        pace: reading_pace(settings.fleet_daemons),
        succession: Succession::Claim,
    }
}

/// Only a configuration has a last good value that stays in force: a target's entry that can't be
/// decoded is as good as none.
fn check_published(key: &str, value: &str) -> Result<(), Box<str>> {
    match key_kind(key) {
        StoreKeyKind::Config => decode_routes(value)
            .map(drop)
            .map_err(|error| error.to_string().into()),
        StoreKeyKind::Target(_) | StoreKeyKind::Other => Ok(()),
    }
}

async fn call_peer(
    peer: SocketAddr,
    message: &ExchangeMessage,
    links: &ServiceConfig,
) -> Result<ExchangeMessage, String> {
    let name = peer.to_string();
    let body = to_rmp("write exchange", &name, message).map_err(|error| error.to_string())?;
    let mut link = ExchangeLink::open(peer, &PEER_LINK, links)
        .await
        .map_err(|error| error.to_string())?;
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = Uri::from_static(EXCHANGE_PATH);
    if let Ok(host) = HeaderValue::from_str(&name) {
        head.headers.insert(HOST, host);
    }
    let request = OutgoingRequest {
        head,
        body: Some(body.into()),
    };
    let answer = link.exchange(request, |_head| true).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status));
    }
    from_rmp("read exchange", &name, &answer.body).map_err(|error| error.to_string())
}

/// Answers a peer's exchange.
pub(super) async fn answer_peer(
    control: Rc<RelayControl>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let known = request.path() == EXCHANGE_PATH && request.method() == Method::POST;
    if !known {
        return Ok(empty_answer(StatusCode::NOT_FOUND, None));
    }
    let peer = request
        .peer_addr()
        .map_or_else(String::new, |peer| peer.to_string());
    let body = match read_body(request.take_payload(), MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(status) => return Ok(empty_answer(status, None)),
    };
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
            let fault = error.to_string();
            LogEvent::ExchangeFailed { fault: &fault }.emit();
            empty_answer(StatusCode::BAD_REQUEST, None)
        }
    })
}
