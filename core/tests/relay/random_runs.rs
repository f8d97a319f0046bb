//! Long random runs with the invariants asserted inside the relay and from outside.

use std::collections::BTreeMap;

use proptest::prelude::*;
use yuccalift_core::relay::{
    RelayAnswer, RelayEvent, RelayRefusal, RepeatKind, RequestKey, TargetOutcome, TargetPhase,
    TargetRecord,
};

use crate::support::{RelayStage, failure, forward_route, gather_route, ms, success, target};

const SERVICES: [&str; 3] = ["s0", "s1", "s2"];
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

#[derive(Clone, Debug)]
enum Step {
    Submit {
        route: usize,
        time_left: u64,
    },
    End {
        which: usize,
        outcome: usize,
    },
    Pass {
        time: u64,
    },
    Gone {
        which: usize,
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
        8 => (any::<usize>(), 0..9_usize).prop_map(|(which, outcome)| Step::End { which, outcome }),
        4 => (0..120_u64).prop_map(|time| Step::Pass { time }),
        1 => any::<usize>().prop_map(|which| Step::Gone { which }),
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

/// A run, and what it is checked by.
struct RandomRun {
    stage: RelayStage,
    open: Vec<(RequestKey, yuccalift_core::relay::AttemptOrder)>,
    seen: usize,
    submitted: Vec<(RequestKey, usize)>,
    gone: Vec<RequestKey>,
    ran: BTreeMap<RequestKey, u32>,
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
            .flat_map(|service| NAMES.map(|name| target(&format!("{service}-{name}"), service)));
        Self {
            stage: RelayStage::new(routes, targets.collect()),
            open: Vec::new(),
            seen: 0,
            submitted: Vec::new(),
            gone: Vec::new(),
            ran: BTreeMap::new(),
        }
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Submit { route, time_left } => {
                let name = ["to-s0", "to-s1", "gather"][route];
                let key = self.stage.submit(name, ms(time_left));
                self.submitted.push((key, route));
            }
            Step::End {
                which,
                outcome: number,
            } => self.end_one(which, number),
            Step::Pass { time } => self.stage.pass(ms(time)),
            Step::Gone { which } => self.leave(which),
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
                    ..target(&full_name(service, name), SERVICES[service])
                };
                self.stage.feed(RelayEvent::TargetListed(record));
            }
            Step::Unlist { service, name } => {
                let name = full_name(service, name).into();
                self.stage.feed(RelayEvent::TargetUnlisted { name });
            }
            Step::Paused => self.stage.feed(RelayEvent::Paused),
        }
        self.follow_sends();
    }

    fn end_one(&mut self, which: usize, number: usize) {
        if self.open.is_empty() {
            return;
        }
        let (request, order) = self.open.remove(which % self.open.len());
        let outcome = outcome(number);
        if !outcome.is_not_run() {
            *self.ran.entry(request).or_default() += 1;
        }
        self.stage.end(order.attempt, outcome);
    }

    fn leave(&mut self, which: usize) {
        let waiting: Vec<RequestKey> = self
            .submitted
            .iter()
            .map(|(key, _)| *key)
            .filter(|key| !self.stage.has_ended(*key) && !self.gone.contains(key))
            .collect();
        if waiting.is_empty() {
            return;
        }
        let request = waiting[which % waiting.len()];
        self.gone.push(request);
        self.stage.feed(RelayEvent::CallerGone { request });
    }

    fn follow_sends(&mut self) {
        let new = &self.stage.sends[self.seen..];
        self.open
            .extend(new.iter().map(|(_, order)| (order.request, order.clone())));
        self.seen = self.stage.sends.len();
    }

    /// Ends all that is open, and checks what callers and targets saw.
    fn finish(mut self) {
        self.stage.pass(ms(2_000));
        self.follow_sends();
        while !self.open.is_empty() {
            self.end_one(0, 6);
            self.follow_sends();
        }
        assert_eq!(
            self.stage.engine.active_requests(),
            0,
            "nothing is left in work"
        );
        for (key, route) in &self.submitted {
            let ends = self.stage.ends.iter().filter(|end| end.request == *key);
            let expected = usize::from(!self.gone.contains(key));
            assert_eq!(
                ends.count(),
                expected,
                "each waiting caller is answered once"
            );
            if *route == 1 {
                let ran = self.ran.get(key).copied().unwrap_or_default();
                assert!(ran <= 1, "an order runs once at the most");
            }
        }
        for end in &self.stage.ends {
            self.check_end(end);
        }
    }

    fn check_end(&self, end: &crate::support::RequestEnd) {
        match &end.result {
            Err(RelayRefusal::NotRun { .. }) => {
                let ran = self.ran.get(&end.request);
                assert!(ran.is_none(), "what is said not to have run has not");
            }
            Ok(RelayAnswer::Merged {
                signatures,
                missing,
                ..
            }) => {
                let whole = signatures.len() + *missing as usize;
                assert_eq!(whole, SERVICES.len(), "the parts and the missing are all");
                assert!(signatures.len() >= 2, "coverage is never below the least");
            }
            Ok(RelayAnswer::Whole(_)) | Err(RelayRefusal::Failed | RelayRefusal::TimedOut) => {}
        }
    }
}

fn full_name(service: usize, name: usize) -> String {
    format!("{}-{}", SERVICES[service], NAMES[name])
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_course_keeps_the_promises(steps in prop::collection::vec(step(), 1..160)) {
        let mut run = RandomRun::new();
        for step in steps {
            run.take(&step);
        }
        run.finish();
    }
}
