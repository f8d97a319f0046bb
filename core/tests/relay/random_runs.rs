//! Long random runs, with invariants asserted inside the relay and from outside.

use std::collections::BTreeMap;

use proptest::prelude::*;
use yuccalift_core::relay::{
    RelayAnswer, RelayEvent, RelayRefusal, RepeatKind, RequestKey, TargetOutcome, TargetPhase,
    TargetRecord,
};

use crate::support::{RelayHarness, failure, forward_route, gather_route, ms, success, target};

const SERVICES: [&str; 3] = ["s0", "s1", "s2"];
const TARGETS: [&str; 4] = ["a", "b", "c", "d"];

#[derive(Clone, Debug)]
enum Step {
    Submit {
        route: usize,
        time_left: u64,
    },
    End {
        selector: usize,
        outcome: usize,
    },
    Advance {
        time: u64,
    },
    CallerDisconnected {
        selector: usize,
    },
    List {
        service: usize,
        name: usize,
        draining: bool,
        started: u64,
    },
    Unlist {
        service: usize,
        name: usize,
    },
    Paused,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize, 1..1_000_u64).prop_map(|(route, time_left)| Step::Submit { route, time_left }),
        8 => (any::<usize>(), 0..9_usize).prop_map(|(selector, outcome)| Step::End { selector, outcome }),
        4 => (0..120_u64).prop_map(|time| Step::Advance { time }),
        1 => any::<usize>().prop_map(|selector| Step::CallerDisconnected { selector }),
        1 => (0..3_usize, 0..4_usize, any::<bool>(), 0..3_u64).prop_map(
            |(service, name, draining, started)| Step::List { service, name, draining, started }
        ),
        1 => (0..3_usize, 0..4_usize).prop_map(|(service, name)| Step::Unlist { service, name }),
        1 => Just(Step::Paused),
    ]
}

fn outcome(number: usize) -> TargetOutcome {
    match number {
        0 => TargetOutcome::Rejected,
        1 => TargetOutcome::Misdirected,
        2 => TargetOutcome::NotSent,
        3 => TargetOutcome::Lost,
        4 => TargetOutcome::Garbled,
        5 => failure(500),
        6 => TargetOutcome::Abandoned { sent: true },
        _ => success(b"0123456789abcdef"),
    }
}

/// A random run and the data for checking it.
struct RandomRun {
    harness: RelayHarness,
    in_flight: Vec<(RequestKey, yuccalift_core::relay::AttemptOrder)>,
    collected_sends: usize,
    submitted: Vec<(RequestKey, usize)>,
    disconnected: Vec<RequestKey>,
    run_counts: BTreeMap<RequestKey, u32>,
}

impl RandomRun {
    fn new() -> Self {
        let routes = vec![
            forward_route("s0", RepeatKind::Idempotent, 2),
            forward_route("s1", RepeatKind::NonIdempotent, 3),
            gather_route(&SERVICES, 0.6),
        ];
        let targets = SERVICES
            .iter()
            .flat_map(|service| TARGETS.map(|name| target(&format!("{service}-{name}"), service)));
        Self {
            harness: RelayHarness::new(routes, targets.collect()),
            in_flight: Vec::new(),
            collected_sends: 0,
            submitted: Vec::new(),
            disconnected: Vec::new(),
            run_counts: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Submit { route, time_left } => {
                let name = ["to-s0", "to-s1", "gather"][route];
                let key = self.harness.submit(name, ms(time_left));
                self.submitted.push((key, route));
            }
            Step::End {
                selector,
                outcome: number,
            } => self.end_one_attempt(selector, number),
            Step::Advance { time } => self.harness.advance(ms(time)),
            Step::CallerDisconnected { selector } => self.disconnect_caller(selector),
            Step::List {
                service,
                name,
                draining,
                started,
            } => {
                let record = TargetRecord {
                    phase: if draining {
                        TargetPhase::Draining
                    } else {
                        TargetPhase::Serving
                    },
                    started_ms: Some(started),
                    ..target(&target_name(service, name), SERVICES[service])
                };
                self.harness.feed(RelayEvent::TargetListed(record));
            }
            Step::Unlist { service, name } => {
                let name = target_name(service, name).into();
                self.harness.feed(RelayEvent::TargetUnlisted { name });
            }
            Step::Paused => self.harness.feed(RelayEvent::Paused),
        }
        self.collect_sends();
    }

    fn end_one_attempt(&mut self, selector: usize, number: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let (request, order) = self.in_flight.remove(selector % self.in_flight.len());
        let outcome = outcome(number);
        if !outcome.is_not_run() {
            *self.run_counts.entry(request).or_default() += 1;
        }
        self.harness.end(order.attempt, outcome);
    }

    fn disconnect_caller(&mut self, selector: usize) {
        let waiting: Vec<RequestKey> = self
            .submitted
            .iter()
            .map(|(key, _)| *key)
            .filter(|key| !self.harness.has_ended(*key) && !self.disconnected.contains(key))
            .collect();
        if waiting.is_empty() {
            return;
        }
        let request = waiting[selector % waiting.len()];
        self.disconnected.push(request);
        self.harness
            .feed(RelayEvent::CallerDisconnected { request });
    }

    fn collect_sends(&mut self) {
        let new = &self.harness.sends[self.collected_sends..];
        self.in_flight
            .extend(new.iter().map(|(_, order)| (order.request, order.clone())));
        self.collected_sends = self.harness.sends.len();
    }

    /// Ends all attempts, and checks the results of callers and targets.
    fn finish(mut self) {
        self.harness.advance(ms(2_000));
        self.collect_sends();
        while !self.in_flight.is_empty() {
            self.end_one_attempt(0, 6);
            self.collect_sends();
        }
        assert_eq!(
            self.harness.engine.active_requests(),
            0,
            "no request is left active"
        );
        for (key, route) in &self.submitted {
            let ends = self.harness.ends.iter().filter(|end| end.request == *key);
            let expected = usize::from(!self.disconnected.contains(key));
            assert_eq!(
                ends.count(),
                expected,
                "each connected caller is answered once"
            );
            if *route == 1 {
                let runs = self.run_counts.get(key).copied().unwrap_or_default();
                assert!(runs <= 1, "a non-idempotent request runs at most once");
            }
        }
        for end in &self.harness.ends {
            self.check_end(end);
        }
    }

    fn check_end(&self, end: &crate::support::RequestEnd) {
        match &end.result {
            Err(RelayRefusal::NotRun { .. }) => {
                let runs = self.run_counts.get(&end.request);
                assert!(runs.is_none(), "a request reported as not run has not run");
            }
            Ok(RelayAnswer::Merged {
                signatures,
                missing,
                ..
            }) => {
                let total = signatures.len() + *missing as usize;
                assert_eq!(
                    total,
                    SERVICES.len(),
                    "present and missing replies add up to all services"
                );
                assert!(
                    signatures.len() >= 2,
                    "the coverage is never below the minimum"
                );
            }
            Ok(RelayAnswer::Forwarded(_)) | Err(RelayRefusal::Failed | RelayRefusal::TimedOut) => {}
        }
    }
}

fn target_name(service: usize, name: usize) -> String {
    format!("{}-{}", SERVICES[service], TARGETS[name])
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_runs_keep_the_guarantees_to_callers(steps in prop::collection::vec(step(), 1..160)) {
        let mut run = RandomRun::new();
        for step in steps {
            run.apply(&step);
        }
        run.finish();
    }
}
