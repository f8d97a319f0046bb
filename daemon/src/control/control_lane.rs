//! The actor that runs the control plane and carries out its actions.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, Message, MessageResult,
};
use actix::{SpawnHandle, WrapFuture};
use awc::Client;
use tokio::sync::mpsc::UnboundedSender;
use yuccalift_core::control::{
    AnnouncementKind, ConfigValue, ControlAction, ControlEvent, ControlNode, ControlNotice,
    ControlSettings, ExchangeMessage, MemberRecord, RefusedValue,
};
use yuccalift_core::ids::{ConfigVersion, HostName};
use yuccalift_wire::operator::{ControlReport, PeerReport};

use super::control_traffic::ControlTraffic;
use super::notice_log::log_failed_exchange;
use super::peer_client::{control_client, exchange};
use super::platform_client::{leaving_hosts, listed_hosts, read_hosts, read_values};

/// Registry name under which the control lane's address is published.
pub const CONTROL_SERVICE: &str = "control";

/// Settings of a control lane.
#[derive(Clone, Debug)]
pub struct ControlLaneSettings {
    /// Settings of the control plane itself.
    pub node: ControlSettings,
    /// Shared key that is sent to peers.
    pub key: Box<str>,
    /// Addresses of the platform, tried in turn after a failed call.
    pub platform: Vec<SocketAddr>,
    /// Local address of outgoing calls; any address if absent.
    pub local_address: Option<IpAddr>,
}

/// Decisions of the control plane, for the other services of the daemon.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// A published value that has taken effect; a record without a value removes its key.
    ValueInEffect(ConfigValue),
    /// An announcement that has become active or has ended.
    AnnouncementChanged {
        /// Content of the announcement.
        kind: AnnouncementKind,
        /// Whether the announcement is active from now on.
        active: bool,
    },
    /// The target hosts that the platform lists as leaving, sorted.
    LeavingHosts(Vec<HostName>),
    /// Whether the configuration is confirmed, so that the daemon may take requests.
    Ready(bool),
    /// A later process runs on this daemon's host.
    Replaced,
    /// An observation to be logged.
    Notice(ControlNotice),
    /// A read of the platform has failed, with the error as text.
    PlatformReadFailed(Box<str>),
}

/// Delivers a peer's message; the result is the answer to it.
#[derive(Debug, Message)]
#[rtype(result = "ExchangeMessage")]
pub struct ReceiveExchange {
    /// The peer's message.
    pub message: ExchangeMessage,
    /// Length of the encoded message in bytes.
    pub bytes: usize,
}

/// Spreads an announcement to the other daemons.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Announce {
    /// Content of the announcement.
    pub kind: AnnouncementKind,
    /// How long the announcement stays valid.
    pub lifetime: Duration,
}

/// Sets the bounds on the fleet's size.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetBounds(pub yuccalift_core::control::FleetBounds);

/// Reports that the process was paused, and for how long.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ReportPause(pub Duration);

/// Announces that the daemon is leaving, at the start of its graceful stop.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct LeaveFleet;

/// Stops the lane at once, without notice to the other daemons.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct StopLane;

/// Requests a snapshot of the control plane's state.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ControlSnapshot")]
pub struct GetControlSnapshot;

/// Snapshot of the control plane's state.
#[derive(Clone, Debug)]
pub struct ControlSnapshot {
    /// Membership record of this daemon.
    pub own: MemberRecord,
    /// Whether the configuration is confirmed, so that the daemon may take requests.
    pub ready: bool,
    /// Whether this daemon reads the platform for its data centre.
    pub is_reader: bool,
    /// Time since the platform last answered a reader, as far as this daemon knows.
    pub knowledge_age: Duration,
    /// Configuration version that this daemon holds.
    pub version: ConfigVersion,
    /// Hash of all configuration values, equal on daemons that hold the same values.
    pub hash: u64,
    /// Values that failed validation, sorted by key.
    pub refused: Vec<RefusedValue>,
    /// The other known daemons, those of the own data centre first.
    pub peers: Vec<MemberRecord>,
    /// The known daemons with their reported configuration versions, sorted by host.
    pub reports: Vec<PeerReport>,
    /// Active announcements, each with its remaining lifetime.
    pub announcements: Vec<(AnnouncementKind, Duration)>,
    /// Messages, bytes and platform calls of the control plane since the start.
    pub traffic: ControlReport,
}

/// Actor that runs the control plane.
#[derive(Debug)]
pub struct ControlLane {
    node: ControlNode,
    key: Box<str>,
    platform: Vec<SocketAddr>,
    platform_index: usize,
    client: ControlClient,
    traffic: Arc<ControlTraffic>,
    output: UnboundedSender<ControlOutput>,
    scheduled_wake: Option<(Instant, SpawnHandle)>,
}

/// HTTP client for calls to peers and to the platform.
struct ControlClient(Client);

impl std::fmt::Debug for ControlClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ControlClient")
    }
}

impl ControlLane {
    /// Creates a lane; must be called on the thread that will run it.
    pub fn new(settings: ControlLaneSettings, output: UnboundedSender<ControlOutput>) -> Self {
        Self {
            node: ControlNode::new(Instant::now(), settings.node),
            key: settings.key,
            platform: settings.platform,
            platform_index: 0,
            client: ControlClient(control_client(settings.local_address)),
            traffic: Arc::default(),
            output,
            scheduled_wake: None,
        }
    }

    fn feed(&mut self, event: ControlEvent, context: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.node.handle(Instant::now(), event, &mut actions);
        self.carry_out_all(actions, context);
    }

    fn carry_out_all(&mut self, actions: Vec<ControlAction>, context: &mut Context<Self>) {
        for action in actions {
            self.carry_out(action, context);
        }
        self.schedule_wake(context);
    }

    fn carry_out(&mut self, action: ControlAction, context: &mut Context<Self>) {
        match action {
            ControlAction::Exchange {
                exchange,
                address,
                message,
            } => self.exchange(exchange, address, message, context),
            ControlAction::ReadValues { after, wait } => {
                self.read_values(after.version, wait, context);
            }
            ControlAction::ReadHosts => self.read_hosts(context),
            // Shard maps list the targets, and none of them expires during an outage.
            ControlAction::PlatformRecovered => {}
            ControlAction::ApplyValue(value) => self.publish(ControlOutput::ValueInEffect(value)),
            ControlAction::AnnouncementChanged { kind, active } => {
                self.publish(ControlOutput::AnnouncementChanged { kind, active });
            }
            ControlAction::Ready(ready) => self.publish(ControlOutput::Ready(ready)),
            ControlAction::Replaced => self.publish(ControlOutput::Replaced),
            ControlAction::Notice(notice) => self.publish(ControlOutput::Notice(notice)),
        }
    }

    fn publish(&self, output: ControlOutput) {
        let _receiver_may_have_stopped = self.output.send(output);
    }

    fn exchange(
        &self,
        number: u64,
        peer: SocketAddr,
        message: Box<ExchangeMessage>,
        context: &mut Context<Self>,
    ) {
        let client = self.client.0.clone();
        let key = self.key.clone();
        let traffic = Arc::clone(&self.traffic);
        let (begun, sent_bytes) = (Instant::now(), message.text_bytes());
        let call = async move { exchange(client, peer, &key, &message, &traffic).await };
        context.spawn(call.into_actor(self).map(move |result, lane, context| {
            let event = match result {
                Ok(message) => ControlEvent::Replied {
                    exchange: number,
                    message: Box::new(message),
                },
                Err(error) => {
                    log_failed_exchange(&error.to_string(), sent_bytes, begun.elapsed());
                    ControlEvent::Unanswered { exchange: number }
                }
            };
            lane.feed(event, context);
        }));
    }

    fn read_values(&mut self, after: ConfigVersion, wait: Duration, context: &mut Context<Self>) {
        let Some(platform) = self.platform_address() else {
            return;
        };
        let client = self.client.0.clone();
        let traffic = Arc::clone(&self.traffic);
        let call = async move { read_values(client, platform, after, wait, &traffic).await };
        context.spawn(call.into_actor(self).map(|result, lane, context| {
            let event = match result {
                // The answer to a first read includes what was removed before.
                Ok((version, values)) => ControlEvent::Published {
                    position: version.into(),
                    values,
                    is_listing: false,
                },
                Err(error) => {
                    lane.platform_index += 1;
                    lane.publish(ControlOutput::PlatformReadFailed(error.to_string().into()));
                    ControlEvent::ReadFailed
                }
            };
            lane.feed(event, context);
        }));
    }

    fn read_hosts(&mut self, context: &mut Context<Self>) {
        let Some(platform) = self.platform_address() else {
            return;
        };
        let client = self.client.0.clone();
        let traffic = Arc::clone(&self.traffic);
        let call = async move { read_hosts(client, platform, &traffic).await };
        context.spawn(call.into_actor(self).map(|result, lane, context| {
            if let Ok(list) = result {
                lane.publish(ControlOutput::LeavingHosts(leaving_hosts(&list)));
                lane.feed(ControlEvent::Listed(listed_hosts(&list)), context);
            }
        }));
    }

    fn platform_address(&self) -> Option<SocketAddr> {
        let position = self.platform_index % self.platform.len().max(1);
        self.platform.get(position).copied()
    }

    /// Keeps one tick scheduled, no later than the control plane requires.
    fn schedule_wake(&mut self, context: &mut Context<Self>) {
        let due = self.node.next_wake();
        if let Some((scheduled_wake, handle)) = self.scheduled_wake {
            if scheduled_wake <= due {
                return;
            }
            context.cancel_future(handle);
        }
        let delay = due.saturating_duration_since(Instant::now());
        let handle = context.run_later(delay, |lane, context| {
            lane.scheduled_wake = None;
            lane.feed(ControlEvent::Tick, context);
        });
        self.scheduled_wake = Some((due, handle));
    }

    fn snapshot(&self) -> ControlSnapshot {
        let node = &self.node;
        let members = node.members().records();
        ControlSnapshot {
            own: node.members().own().clone(),
            ready: node.is_ready(),
            is_reader: node.is_reader(),
            knowledge_age: node.knowledge_age(Instant::now()),
            version: node.store().version(),
            hash: node.store().hash(),
            refused: node.store().refused_values(),
            peers: members.chain(node.contacts().records()).cloned().collect(),
            reports: peer_reports(node),
            announcements: node.announcements().active(Instant::now()),
            traffic: self.traffic.report(),
        }
    }
}

fn peer_reports(node: &ControlNode) -> Vec<PeerReport> {
    let peers = node.members().versions().chain(node.contacts().versions());
    let mut reports: Vec<PeerReport> = peers
        .map(|(record, config_version)| PeerReport {
            host: record.host.clone(),
            data_centre: record.data_centre.clone(),
            incarnation: record.incarnation,
            state: record.state.name().into(),
            config_version,
        })
        .collect();
    reports.sort_unstable_by(|left, right| left.host.cmp(&right.host));
    reports
}

impl Actor for ControlLane {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.feed(ControlEvent::Tick, ctx);
    }
}

impl Handler<ReceiveExchange> for ControlLane {
    type Result = MessageResult<ReceiveExchange>;

    fn handle(&mut self, msg: ReceiveExchange, ctx: &mut Self::Context) -> Self::Result {
        self.traffic.count_received(msg.bytes);
        let mut actions = Vec::new();
        let now = Instant::now();
        let reply = self.node.answer(now, &msg.message, &mut actions);
        self.carry_out_all(actions, ctx);
        MessageResult(reply)
    }
}

impl Handler<Announce> for ControlLane {
    type Result = ();

    fn handle(&mut self, msg: Announce, ctx: &mut Self::Context) {
        let Announce { kind, lifetime } = msg;
        self.feed(ControlEvent::Announce { kind, lifetime }, ctx);
    }
}

impl Handler<SetBounds> for ControlLane {
    type Result = ();

    fn handle(&mut self, msg: SetBounds, ctx: &mut Self::Context) {
        self.feed(ControlEvent::BoundsChanged(msg.0), ctx);
    }
}

impl Handler<ReportPause> for ControlLane {
    type Result = ();

    fn handle(&mut self, msg: ReportPause, ctx: &mut Self::Context) {
        self.feed(ControlEvent::Paused(msg.0), ctx);
    }
}

impl Handler<LeaveFleet> for ControlLane {
    type Result = ();

    fn handle(&mut self, _msg: LeaveFleet, ctx: &mut Self::Context) {
        self.feed(ControlEvent::Leave, ctx);
    }
}

impl Handler<StopLane> for ControlLane {
    type Result = ();

    fn handle(&mut self, _msg: StopLane, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

impl Handler<GetControlSnapshot> for ControlLane {
    type Result = MessageResult<GetControlSnapshot>;

    fn handle(&mut self, _msg: GetControlSnapshot, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(self.snapshot())
    }
}
