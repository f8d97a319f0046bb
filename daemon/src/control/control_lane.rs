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
    ConfigValue, ControlAction, ControlEvent, ControlNode, ControlNotice, ControlSettings,
    ExchangeMessage, MemberRecord, NewsKind, RefusedValue,
};
use yuccalift_core::ids::{ConfigVersion, HostName};
use yuccalift_wire::operator::{ControlReport, PeerReport};

use super::control_traffic::ControlTraffic;
use super::peer_client::{control_client, exchange};
use super::platform_client::{leaving_hosts, listed_hosts, read_hosts, read_values};
use crate::events::LogEvent;

/// The name under which the lane's address is published.
pub const CONTROL_SERVICE: &str = "control";

/// What one control lane is made of.
#[derive(Clone, Debug)]
pub struct ControlLaneSettings {
    /// The control plane's part.
    pub node: ControlSettings,
    /// The key that is shown to peers.
    pub key: Box<str>,
    /// Where the platform answers.
    pub platform: Vec<SocketAddr>,
    /// The address that calls leave from; any if absent.
    pub local_address: Option<IpAddr>,
}

/// What the control plane decided for the other services.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// A value is in force; without a value its key has none.
    ValueInEffect(ConfigValue),
    /// Something was said, or is no longer.
    News {
        /// What.
        kind: NewsKind,
        /// Whether it is said from now on.
        active: bool,
    },
    /// Hosts of targets that the platform lists as leaving, sorted.
    LeavingHosts(Vec<HostName>),
    /// Whether the configuration is known well enough to take requests.
    Ready(bool),
    /// A later process runs on this daemon's host.
    Replaced,
    /// Something worth a line in the log.
    Noticed(ControlNotice),
    /// A call to the platform failed.
    PlatformReadFailed(Box<str>),
}

/// A peer's message, to be answered.
#[derive(Debug, Message)]
#[rtype(result = "ExchangeMessage")]
pub struct ReceiveExchange {
    /// The message.
    pub message: ExchangeMessage,
    /// Its length as it came, in bytes.
    pub bytes: usize,
}

/// News of this daemon for the others.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Announce {
    /// What it says.
    pub kind: NewsKind,
    /// How long it is true.
    pub life: Duration,
}

/// The fleet's bounds are in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct SetBounds(pub yuccalift_core::control::FleetBounds);

/// The process was paused for this long.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ReportPause(pub Duration);

/// The daemon begins its graceful stop.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct LeaveFleet;

/// Ends the lane at once, without a word to the others.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct StopLane;

/// Asks what the control plane knows.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "ControlSnapshot")]
pub struct GetControlSnapshot;

/// What the control plane knows.
#[derive(Clone, Debug)]
pub struct ControlSnapshot {
    /// This daemon.
    pub own: MemberRecord,
    /// Whether it may take requests.
    pub ready: bool,
    /// Whether it reads the platform for its data centre.
    pub is_reader: bool,
    /// The configuration version that it has.
    pub version: ConfigVersion,
    /// The hash over all values, equal on daemons that hold the same.
    pub hash: u64,
    /// The values that were refused, sorted by key.
    pub refused: Vec<RefusedValue>,
    /// The other daemons that it knows, those of its own data centre first.
    pub peers: Vec<MemberRecord>,
    /// The same daemons with what each told of its configuration, sorted by host.
    pub reports: Vec<PeerReport>,
    /// What is said now, with the time left.
    pub news: Vec<(NewsKind, Duration)>,
    /// What control has cost.
    pub traffic: ControlReport,
}

/// The actor that runs the control plane.
#[derive(Debug)]
pub struct ControlLane {
    node: ControlNode,
    key: Box<str>,
    platform: Vec<SocketAddr>,
    platform_index: usize,
    client: ControlClient,
    traffic: Arc<ControlTraffic>,
    output: UnboundedSender<ControlOutput>,
    wake: Option<(Instant, SpawnHandle)>,
}

/// The client for calls to peers and to the platform.
struct ControlClient(Client);

impl std::fmt::Debug for ControlClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ControlClient")
    }
}

impl ControlLane {
    /// Makes a lane; it must be made on the thread that it is to run on.
    pub fn new(settings: ControlLaneSettings, output: UnboundedSender<ControlOutput>) -> Self {
        Self {
            node: ControlNode::new(Instant::now(), settings.node),
            key: settings.key,
            platform: settings.platform,
            platform_index: 0,
            client: ControlClient(control_client(settings.local_address)),
            traffic: Arc::default(),
            output,
            wake: None,
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
            ControlAction::ReadValues { after, wait } => self.read_values(after, wait, context),
            ControlAction::ReadHosts => self.read_hosts(context),
            // Shard maps name their targets, and nothing of them lapses.
            ControlAction::PlatformRegained => {}
            ControlAction::PutInForce(value) => self.publish(ControlOutput::ValueInEffect(value)),
            ControlAction::News { kind, active } => {
                self.publish(ControlOutput::News { kind, active });
            }
            ControlAction::Ready(ready) => self.publish(ControlOutput::Ready(ready)),
            ControlAction::Replaced => self.publish(ControlOutput::Replaced),
            ControlAction::Noticed(notice) => self.publish(ControlOutput::Noticed(notice)),
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
        let call = async move { exchange(client, peer, &key, &message, &traffic).await };
        context.spawn(call.into_actor(self).map(move |result, lane, context| {
            let event = match result {
                Ok(message) => ControlEvent::Replied {
                    exchange: number,
                    message: Box::new(message),
                },
                Err(error) => {
                    LogEvent::ExchangeFailed {
                        fault: &error.to_string(),
                    }
                    .emit();
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
                Ok((version, values)) => ControlEvent::Published { version, values },
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

    /// Has the next tick come when the control plane asks for it.
    fn schedule_wake(&mut self, context: &mut Context<Self>) {
        let due = self.node.next_wake();
        if let Some((wake, handle)) = self.wake {
            if wake <= due {
                return;
            }
            context.cancel_future(handle);
        }
        let delay = due.saturating_duration_since(Instant::now());
        let handle = context.run_later(delay, |lane, context| {
            lane.wake = None;
            lane.feed(ControlEvent::Tick, context);
        });
        self.wake = Some((due, handle));
    }

    fn snapshot(&self) -> ControlSnapshot {
        let node = &self.node;
        let near = node.members().records();
        ControlSnapshot {
            own: node.members().own().clone(),
            ready: node.is_ready(),
            is_reader: node.is_reader(),
            version: node.store().version(),
            hash: node.store().hash(),
            refused: node.store().refused(),
            peers: near.chain(node.contacts().records()).cloned().collect(),
            reports: peer_reports(node),
            news: node.news().active(Instant::now()),
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
        self.traffic.received(msg.bytes);
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
        let Announce { kind, life } = msg;
        self.feed(ControlEvent::Announce { kind, life }, ctx);
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
