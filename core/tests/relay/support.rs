//! Test harness: a relay in simulated time, which records what the relay sends and answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use yuccalift_core::quarantine::QuarantineNotice;
use yuccalift_core::relay::route::{CallerLimits, ServiceEntry, ServiceName, WeightedService};
use yuccalift_core::relay::{
    AdmissionMode, AttemptKey, AttemptOrder, ForwardOrder, MergeRule, ProbeOrder, RelayAction,
    RelayAnswer, RelayDecision, RelayEngine, RelayEvent, RelayOptions, RelayRefusal, RelayRequest,
    RelayTuning, RepeatKind, ReplyBody, RequestKey, RequestOrigin, RouteDestination, RouteEntry,
    RouteTable, SelfReport, TargetOutcome, TargetPhase, TargetRecord, TargetReply,
};

pub const LATENCY_AIM: Duration = Duration::from_millis(100);
pub const TIMEOUT: Duration = Duration::from_millis(800);
pub const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Returns a duration of the given number of milliseconds.
pub const fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns the options of the tests, with this admission of requests.
pub fn tuning(admission: AdmissionMode) -> RelayTuning {
    RelayTuning {
        retry_share: 0.2,
        retry_window: Duration::from_secs(10),
        drain_time: DRAIN_TIME,
        cold: None,
        admission,
    }
}

/// Creates a route to one service.
pub fn forward_route(service: &str, repeat: RepeatKind, attempts: u32) -> RouteEntry {
    RouteEntry {
        name: format!("to-{service}").into(),
        host: "shop.example".into(),
        prefix: format!("/{service}/").into(),
        destination: RouteDestination::Split(vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }]),
        repeat,
        attempts,
        timeout: TIMEOUT,
        latency_aim: LATENCY_AIM,
        priority: 1,
    }
}

/// Creates a route that merges the replies of several services.
pub fn gather_route(services: &[&str], min_coverage: f64) -> RouteEntry {
    RouteEntry {
        destination: RouteDestination::Gather {
            services: services.iter().map(|name| Box::from(*name)).collect(),
            merge: MergeRule {
                top_records: 3,
                min_coverage,
            },
        },
        name: "gather".into(),
        prefix: "/gather/".into(),
        ..forward_route("gather", RepeatKind::Idempotent, 2)
    }
}

/// Creates the record of a target in the daemon's data centre.
pub fn target(name: &str, service: &str) -> TargetRecord {
    TargetRecord {
        name: name.into(),
        service: service.into(),
        address: ([10, 0, 0, 1], 8080).into(),
        data_centre: "here".into(),
        slots: 4,
        phase: TargetPhase::Serving,
        cold_left: Duration::ZERO,
        started_ms: Some(1),
    }
}

/// Creates a successful outcome with the given body.
pub fn success(body: &[u8]) -> TargetOutcome {
    TargetOutcome::Replied(TargetReply {
        status: 200,
        signature: Some("signed".into()),
        headers: Vec::new(),
        body: body.into(),
    })
}

/// Creates a failure reply with the given status.
pub fn failure(status: u16) -> TargetOutcome {
    TargetOutcome::Replied(TargetReply {
        status,
        signature: Some("signed".into()),
        headers: Vec::new(),
        body: ReplyBody::default(),
    })
}

/// The answer or refusal of a request, and its time.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    pub request: RequestKey,
    pub at: Instant,
    pub result: Result<RelayAnswer, RelayRefusal>,
}

/// A relay in simulated time.
pub struct RelayHarness {
    pub engine: RelayEngine,
    pub now: Instant,
    pub sends: Vec<(Instant, AttemptOrder)>,
    pub cancels: Vec<AttemptKey>,
    pub ends: Vec<RequestEnd>,
    pub decisions: Vec<RelayDecision>,
    /// The refused requests, and the service that each refusal is counted for.
    pub refused_for: Vec<(RequestKey, ServiceName)>,
    /// Fingerprint of the next requests; if `None`, each request has its own.
    pub fingerprint: Option<u64>,
    /// Sender of the next requests.
    pub origin: RequestOrigin,
    pub notices: Vec<QuarantineNotice>,
    pub probes: Vec<ProbeOrder>,
    pub forwards: Vec<ForwardOrder>,
    pub cancelled_forwards: Vec<RequestKey>,
    routes: Vec<Arc<RouteEntry>>,
    last_request: RequestKey,
}

impl RelayHarness {
    /// Creates a relay with these routes and targets.
    pub fn new(routes: Vec<RouteEntry>, targets: Vec<TargetRecord>) -> Self {
        Self::on_host("entry-1", routes, targets)
    }

    /// Creates a relay on the given host.
    pub fn on_host(host: &str, routes: Vec<RouteEntry>, targets: Vec<TargetRecord>) -> Self {
        let mut harness = Self {
            engine: RelayEngine::new(RelayOptions {
                host: host.into(),
                data_centre: "here".into(),
                tuning: tuning(AdmissionMode::Off),
            }),
            now: Instant::now(),
            sends: Vec::new(),
            cancels: Vec::new(),
            ends: Vec::new(),
            decisions: Vec::new(),
            refused_for: Vec::new(),
            fingerprint: None,
            origin: RequestOrigin::Caller,
            notices: Vec::new(),
            probes: Vec::new(),
            forwards: Vec::new(),
            cancelled_forwards: Vec::new(),
            routes: Vec::new(),
            last_request: 0,
        };
        let mut services: Vec<ServiceEntry> = targets
            .iter()
            .map(|target| ServiceEntry {
                name: target.service.clone(),
                connections: 30,
                ..ServiceEntry::default()
            })
            .collect();
        services.dedup();
        let table = RouteTable::new(1, routes, services, CallerLimits::default());
        harness.set_table(table);
        for target in targets {
            harness.feed(RelayEvent::TargetListed(target));
        }
        harness
    }

    /// Publishes routes and services, on whose routes requests are then submitted.
    pub fn set_table(&mut self, table: RouteTable) {
        self.routes.clone_from(&table.routes);
        self.feed(RelayEvent::RoutesChanged(Arc::new(table)));
    }

    /// Passes an event to the relay and records the resulting actions.
    pub fn feed(&mut self, event: RelayEvent) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: RelayAction) {
        let at = self.now;
        match action {
            RelayAction::Send(order) => self.sends.push((at, order)),
            RelayAction::Cancel { attempt } => self.cancels.push(attempt),
            RelayAction::Answer { request, answer } => self.ends.push(RequestEnd {
                request,
                at,
                result: Ok(answer),
            }),
            RelayAction::Refuse {
                request,
                refusal,
                service,
            } => {
                self.refused_for.push((request, service));
                self.ends.push(RequestEnd {
                    request,
                    at,
                    result: Err(refusal),
                });
            }
            RelayAction::ForgetTarget { .. } => {}
            RelayAction::Forward(order) => self.forwards.push(order),
            RelayAction::CancelForward { request } => self.cancelled_forwards.push(request),
            RelayAction::Probe(probe) => self.probes.push(probe),
            RelayAction::NotifyPeers(notice) => self.notices.push(notice),
            RelayAction::Decided(decision) => self.decisions.push(decision),
        }
    }

    /// Submits a request on the first route whose name starts with `route`.
    pub fn submit(&mut self, route: &str, time_left: Duration) -> RequestKey {
        self.last_request += 1;
        let found = self
            .routes
            .iter()
            .find(|entry| entry.name.starts_with(route));
        let route = Arc::clone(found.expect("the route is known"));
        self.feed(RelayEvent::Submit(RelayRequest {
            key: self.last_request,
            fingerprint: self.fingerprint.unwrap_or(self.last_request),
            route,
            deadline: self.now + time_left,
            origin: self.origin,
        }));
        self.last_request
    }

    /// Advances the time, running each timer when it is due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(due) = self.engine.next_wake().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.feed(RelayEvent::Tick);
        }
        self.now = end;
    }

    /// Reports the end of an attempt to the relay.
    pub fn end(&mut self, attempt: AttemptKey, outcome: TargetOutcome) {
        self.end_with_report(attempt, outcome, Some(SelfReport::default()));
    }

    /// Reports the end of an attempt and what the target said of itself.
    pub fn end_with_report(
        &mut self,
        attempt: AttemptKey,
        outcome: TargetOutcome,
        report: Option<SelfReport>,
    ) {
        self.feed(RelayEvent::AttemptEnded {
            attempt,
            outcome,
            report,
        });
    }

    /// Returns the last attempt that was sent.
    pub fn last_send(&self) -> &AttemptOrder {
        &self.sends.last().expect("an attempt was sent").1
    }

    /// Returns the end of a request, and checks that there is only one.
    pub fn end_of_request(&self, request: RequestKey) -> &RequestEnd {
        let mut ends = self.ends.iter().filter(|end| end.request == request);
        let end = ends.next().expect("the request has ended");
        assert!(ends.next().is_none(), "a request ends once");
        end
    }

    /// Returns whether a request has ended.
    pub fn has_ended(&self, request: RequestKey) -> bool {
        self.ends.iter().any(|end| end.request == request)
    }

    /// Answers requests one after the other, so that the relay learns the typical latency.
    pub fn warm_up(&mut self, route: &str, requests: u32, took: Duration) {
        for _ in 0..requests {
            let from = self.sends.len();
            self.submit(route, TIMEOUT);
            self.advance(took);
            let sent: Vec<AttemptKey> = self.sends[from..]
                .iter()
                .map(|(_, order)| order.attempt)
                .collect();
            for attempt in sent {
                self.end(attempt, success(b"0123456789abcdef"));
            }
            self.advance(ms(1));
        }
    }
}
