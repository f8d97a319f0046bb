//! Long random runs, with invariants asserted inside the relay and from outside.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use proptest::prelude::*;
use yuccalift_core::relay::{
    AdmissionMode, RelayAnswer, RelayEvent, RelayRefusal, RepeatKind, ReportedLoad, ReportedRate,
    RequestKey, SelfReport, TargetKey, TargetOutcome, TargetPhase, TargetRecord,
};

use crate::support::{
    DRAIN_TIME, RelayHarness, failure, forward_route, gather_route, ms, success, target, tuning,
};

const SERVICES: [&str; 3] = ["s0", "s1", "s2"];
const TARGETS: [&str; 4] = ["a", "b", "c", "d"];
/// Data centres of the targets of a service.
const DATA_CENTRES: [&str; 4] = ["here", "here", "south", "north"];

/// Port of the first target of a service; those of the others follow.
const FIRST_PORT: u16 = 8080;

#[derive(Clone, Debug)]
enum Step {
    Submit {
        route: usize,
        time_left: u64,
    },
    End {
        selector: usize,
        outcome: usize,
        word: usize,
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
    Evacuation {
        data_centre: usize,
        active: bool,
    },
    Paused,
    Ending,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_usize, 1..1_000_u64).prop_map(|(route, time_left)| Step::Submit { route, time_left }),
        8 => (any::<usize>(), 0..9_usize, 0..20_usize)
            .prop_map(|(selector, outcome, word)| Step::End { selector, outcome, word }),
        4 => (0..120_u64).prop_map(|time| Step::Advance { time }),
        1 => any::<usize>().prop_map(|selector| Step::CallerDisconnected { selector }),
        1 => (0..3_usize, 0..4_usize, any::<bool>(), 0..3_u64).prop_map(
            |(service, name, draining, started)| Step::List { service, name, draining, started }
        ),
        1 => (0..3_usize, 0..4_usize).prop_map(|(service, name)| Step::Unlist { service, name }),
        1 => (1..4_usize, any::<bool>())
            .prop_map(|(data_centre, active)| Step::Evacuation { data_centre, active }),
        1 => Just(Step::Paused),
        1 => Just(Step::Ending),
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

/// Returns what a target says of itself with an outcome; nothing without a complete answer.
fn report(word: usize, outcome: &TargetOutcome) -> Option<SelfReport> {
    let is_answer = matches!(outcome, TargetOutcome::Replied(_) | TargetOutcome::Rejected);
    is_answer.then(|| SelfReport {
        is_leaving: word == 0,
        pause: (1..4).contains(&word).then(|| ms(150 * word as u64)),
        rate_limit: match word {
            4..7 => ReportedRate::Limited(word as f64 - 4.0),
            7 => ReportedRate::Unreadable,
            _ => ReportedRate::Unlimited,
        },
        load: (8..14).contains(&word).then_some(ReportedLoad {
            running: word as u32,
            waiting: if word == 13 { u32::MAX } else { 0 },
            slots: 9,
            pace: if word == 12 { f64::MAX } else { 1.0 },
        }),
        cold_left: None,
    })
}

/// A random run and the data for checking it.
struct RandomRun {
    harness: RelayHarness,
    in_flight: Vec<(RequestKey, yuccalift_core::relay::AttemptOrder)>,
    collected_sends: usize,
    submitted: Vec<(RequestKey, usize)>,
    disconnected: Vec<RequestKey>,
    run_counts: BTreeMap<RequestKey, u32>,
    /// Time until which a target wants nothing, and the time from which it is no longer used.
    words: BTreeMap<TargetKey, (Instant, Option<Instant>)>,
    /// Data centres that are evacuated, by their first position in [`DATA_CENTRES`].
    evacuated: BTreeSet<usize>,
    checked_probes: usize,
}

impl RandomRun {
    fn new(admission: AdmissionMode) -> Self {
        let routes = vec![
            forward_route("s0", RepeatKind::Idempotent, 2),
            forward_route("s1", RepeatKind::NonIdempotent, 3),
            gather_route(&SERVICES, 0.6),
        ];
        let targets =
            (0..SERVICES.len()).flat_map(|service| [0, 1, 2, 3].map(|name| record(service, name)));
        let mut harness = RelayHarness::new(routes, targets.collect());
        harness.feed(RelayEvent::TuningChanged(tuning(admission)));
        if admission == AdmissionMode::Adaptive {
            // Routes without known latencies admit everything.
            harness.warm_up("to-s0", 64, ms(5));
            harness.warm_up("gather", 22, ms(5));
            harness.sends.clear();
            harness.ends.clear();
        }
        Self {
            harness,
            in_flight: Vec::new(),
            collected_sends: 0,
            submitted: Vec::new(),
            disconnected: Vec::new(),
            run_counts: BTreeMap::new(),
            words: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            checked_probes: 0,
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
                word,
            } => self.end_one_attempt(selector, number, word),
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
                    ..record(service, name)
                };
                self.harness.feed(RelayEvent::TargetListed(record));
            }
            Step::Unlist { service, name } => {
                let name = target_name(service, name).into();
                self.harness.feed(RelayEvent::TargetUnlisted { name });
            }
            Step::Evacuation {
                data_centre,
                active,
            } => self.change_evacuation(data_centre, active),
            Step::Paused => self.harness.feed(RelayEvent::Paused),
            Step::Ending => self.harness.feed(RelayEvent::Ending),
        }
        self.collect_sends();
    }

    fn change_evacuation(&mut self, data_centre: usize, active: bool) {
        if active {
            self.evacuated.insert(data_centre);
        } else {
            self.evacuated.remove(&data_centre);
        }
        self.harness.feed(RelayEvent::EvacuationChanged {
            data_centre: DATA_CENTRES[data_centre].into(),
            active,
        });
    }

    /// Checks the attempts and probes of the last step against the evacuations after it.
    fn check_evacuations(&mut self) {
        let sends = self.harness.sends[self.collected_sends..].iter();
        let addresses = sends.map(|(_, order)| order.address);
        let probes = self.harness.probes[self.checked_probes..].iter();
        for address in addresses.chain(probes.map(|probe| probe.address)) {
            let name = usize::from(address.port() - FIRST_PORT);
            let is_evacuated = self
                .evacuated
                .iter()
                .any(|evacuated| DATA_CENTRES[*evacuated] == DATA_CENTRES[name]);
            assert!(!is_evacuated, "nothing is sent to an evacuated data centre");
        }
        self.checked_probes = self.harness.probes.len();
    }

    fn end_one_attempt(&mut self, selector: usize, number: usize, word: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let (request, order) = self.in_flight.remove(selector % self.in_flight.len());
        let outcome = outcome(number);
        if !outcome.is_not_run() {
            *self.run_counts.entry(request).or_default() += 1;
        }
        let report = report(word, &outcome);
        if let Some(report) = report {
            let now = self.harness.now;
            let entry = self.words.entry(order.target).or_insert((now, None));
            entry.0 = entry.0.max(now + report.pause.unwrap_or_default());
            if report.is_leaving {
                entry.1.get_or_insert(now + DRAIN_TIME);
            }
        }
        self.harness.end_with_report(order.attempt, outcome, report);
    }

    /// Checks the attempts that have just been sent against what their targets said.
    fn check_words(&self) {
        for (at, order) in &self.harness.sends[self.collected_sends..] {
            let Some((paused_until, left_at)) = self.words.get(&order.target) else {
                continue;
            };
            assert!(at >= paused_until, "a paused target gets no request");
            let has_left = left_at.is_some_and(|left_at| *at > left_at);
            assert!(!has_left, "a target that has left gets no request");
        }
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
        self.check_words();
        self.check_evacuations();
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
            self.end_one_attempt(0, 6, 0);
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
            Ok(RelayAnswer::FromPeer(_)) | Err(RelayRefusal::CutOff { .. }) => {
                panic!("no peer takes part: {:?}", end.result)
            }
        }
    }
}

/// Returns the record of a target; its port tells its data centre.
fn record(service: usize, name: usize) -> TargetRecord {
    TargetRecord {
        address: ([10, 0, 0, 1], FIRST_PORT + name as u16).into(),
        data_centre: DATA_CENTRES[name].into(),
        ..target(&target_name(service, name), SERVICES[service])
    }
}

fn target_name(service: usize, name: usize) -> String {
    format!("{}-{}", SERVICES[service], TARGETS[name])
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_runs_keep_the_guarantees_to_callers(
        steps in prop::collection::vec(step(), 1..160),
        adaptive in any::<bool>(),
    ) {
        let mut run = RandomRun::new(if adaptive {
            AdmissionMode::Adaptive
        } else {
            AdmissionMode::Off
        });
        for step in steps {
            run.apply(&step);
        }
        run.finish();
    }
}
