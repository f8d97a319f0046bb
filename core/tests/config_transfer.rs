//! Transfer of a long configuration between control planes whose links are narrow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccalift_core::control::{
    ConfigValue, ControlAction, ControlEvent, ControlNode, ControlSettings, ExchangeMessage,
    HostConflictPolicy, MemberRecord, MemberState, ReadSettings,
};
use yuccalift_core::ids::ConfigVersion;

/// Daemons of the data centre; the first two read the platform.
const DAEMONS: usize = 30;
/// Capacity of each daemon's link, in each direction.
const LINK_BYTES_PER_SECOND: f64 = 20e6 / 8.0;
/// Time limit of an exchange in the daemon.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
const DELAY: Duration = Duration::from_millis(2);
const STEP: Duration = Duration::from_millis(5);
/// Time within which a change must be in effect everywhere.
const APPLY_TIME: Duration = Duration::from_secs(5);

/// A message on its way, or an exchange that has run into its time limit.
struct Transfer {
    from: usize,
    to: usize,
    exchange: u64,
    /// Start of the exchange.
    begun: Instant,
    arrives_after: Instant,
    bytes_left: f64,
    message: Box<ExchangeMessage>,
    is_answer: bool,
}

/// Control planes of one data centre, connected by links that concurrent transfers share.
struct NarrowFleet {
    now: Instant,
    nodes: Vec<ControlNode>,
    transfers: Vec<Transfer>,
    timed_out: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

fn node(now: Instant, index: usize) -> ControlNode {
    let settings = ControlSettings {
        own: MemberRecord {
            host: format!("host-{index:02}").into(),
            data_centre: "centre".into(),
            address: address(index),
            incarnation: 1,
            refutation: 0,
            state: MemberState::Alive,
        },
        seeds: vec![address(0), address(1), address(2)],
        seed: index as u64,
        check: |_key, _value| Ok(()),
        rank: |_key, _value| (0, 0),
        read_settings: ReadSettings {
            lists_hosts: false,
            ..ReadSettings::default()
        },
        host_conflict: HostConflictPolicy::Supersede,
    };
    ControlNode::new(now, settings)
}

/// Returns a configuration as published, whose version precedes its routes; each has a name of its
/// own, and those of later growths lie between the earlier ones.
fn configuration(version: ConfigVersion, growths: usize) -> Arc<str> {
    let mut routes: Vec<String> = (0..1_400 * growths)
        .map(|number| {
            let name = (number as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 24;
            format!(
                r#"{{"name":"r-{name:010x}","hostname":"shop.example","prefix":"/{name:08x}/","route_type":"idempotent","timeout_ms":1000,"target_latency_ms":1000,"priority":0,"backend":"service-a","attempts":2}}"#
            )
        })
        .collect();
    routes.sort_unstable();
    format!(r#"{{"version":{version},"routes":[{}]}}"#, routes.join(",")).into()
}

impl NarrowFleet {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            nodes: (0..DAEMONS).map(|index| node(now, index)).collect(),
            transfers: Vec::new(),
            timed_out: 0,
        }
    }

    fn publish(&mut self, version: ConfigVersion, text: &Arc<str>) {
        for reader in 0..2 {
            let values = vec![ConfigValue {
                key: "config".into(),
                version,
                value: Some(Arc::clone(text)),
            }];
            let event = ControlEvent::Published {
                position: version.into(),
                values,
                is_listing: version == 1,
            };
            self.feed(reader, event);
        }
    }

    fn feed(&mut self, index: usize, event: ControlEvent) {
        let mut actions = Vec::new();
        self.nodes[index].handle(self.now, event, &mut actions);
        self.carry_out(index, actions);
    }

    fn carry_out(&mut self, from: usize, actions: Vec<ControlAction>) {
        for action in actions {
            let ControlAction::Exchange {
                exchange,
                address,
                message,
            } = action
            else {
                continue;
            };
            let to = usize::from(address.port()) - 1_000;
            self.start_transfer(from, to, exchange, self.now, message, false);
        }
    }

    fn start_transfer(
        &mut self,
        from: usize,
        to: usize,
        exchange: u64,
        begun: Instant,
        message: Box<ExchangeMessage>,
        is_answer: bool,
    ) {
        let bytes = rmp_serde::to_vec_named(&message).expect("a message can be written");
        self.transfers.push(Transfer {
            from,
            to,
            exchange,
            begun,
            arrives_after: self.now + DELAY,
            bytes_left: bytes.len() as f64,
            message,
            is_answer,
        });
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (mut up, mut down) = ([0_u32; DAEMONS], [0_u32; DAEMONS]);
        for transfer in &self.transfers {
            up[transfer.from] += 1;
            down[transfer.to] += 1;
        }
        let budget = LINK_BYTES_PER_SECOND * STEP.as_secs_f64();
        for transfer in &mut self.transfers {
            let sharers = up[transfer.from].max(down[transfer.to]);
            transfer.bytes_left -= budget / f64::from(sharers);
        }
        let (ended, rest): (Vec<_>, Vec<_>) = self.transfers.drain(..).partition(|transfer| {
            let is_late = now >= transfer.begun + EXCHANGE_TIMEOUT;
            is_late || (transfer.bytes_left <= 0.0 && now >= transfer.arrives_after)
        });
        self.transfers = rest;
        for transfer in ended {
            self.end_transfer(transfer);
        }
        for index in 0..DAEMONS {
            if now >= self.nodes[index].next_wake() {
                self.feed(index, ControlEvent::Tick);
            }
        }
    }

    fn end_transfer(&mut self, transfer: Transfer) {
        let exchange = transfer.exchange;
        if self.now >= transfer.begun + EXCHANGE_TIMEOUT {
            let asker = [transfer.from, transfer.to][usize::from(transfer.is_answer)];
            self.timed_out += 1;
            self.feed(asker, ControlEvent::Unanswered { exchange });
        } else if transfer.is_answer {
            let message = transfer.message;
            self.feed(transfer.to, ControlEvent::Replied { exchange, message });
        } else {
            let mut actions = Vec::new();
            let to = transfer.to;
            let reply = self.nodes[to].answer(self.now, &transfer.message, &mut actions);
            self.carry_out(to, actions);
            let (asker, begun) = (transfer.from, transfer.begun);
            self.start_transfer(to, asker, exchange, begun, Box::new(reply), true);
        }
    }

    fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until each daemon has a version, and returns how long that took.
    fn time_until_reached(&mut self, version: ConfigVersion, limit: Duration) -> Duration {
        let begun = self.now;
        while self.now < begun + limit {
            let store_versions = self.nodes.iter().map(|node| node.store().version());
            if store_versions.min() >= Some(version) {
                break;
            }
            self.step();
        }
        self.now - begun
    }
}

#[test]
fn long_configuration_is_in_effect_in_time_on_narrow_links() {
    let mut fleet = NarrowFleet::new();
    fleet.run(Duration::from_secs(8));
    fleet.publish(1, &configuration(1, 2));
    fleet.run(Duration::from_secs(20));
    fleet.publish(2, &configuration(2, 3));
    let took = fleet.time_until_reached(2, 3 * APPLY_TIME);
    assert!(
        took <= APPLY_TIME,
        "in effect after {took:?}; {} exchanges timed out",
        fleet.timed_out
    );
    assert_eq!(
        fleet.timed_out, 0,
        "exchanges between live daemons time out"
    );
}
