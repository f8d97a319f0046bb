//! Goodput of many daemons that share targets, with more load than the targets can serve.
//!
//! Twelve services of three targets, each with four slots and a queue of 24; two kinds of merged
//! requests. A caller that is refused repeats its request once, after the time that it is told, if
//! a third of the time left allows it.

use std::ops::Range;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccalift_core::relay::{
    AdmissionMode, AttemptKey, RelayEvent, RelayRefusal, RequestKey, RouteEntry,
};
use yuccalift_testkit::cases;

use crate::load::LoadSimulation;
use crate::support::{gather_route, ms, target, tuning};

pub const DAEMONS: usize = 40;
const SERVICES: usize = 12;
const SLOTS: usize = 4;
const QUEUE_LIMIT: usize = 24;
/// Factor on the work of an attempt at a slow target.
const SLOWDOWN: f64 = 5.0;
/// Time during which [`DAEMONS`] relays learn the usual latencies, at a low load.
const WARM_UP: Duration = Duration::from_millis(1_500);
const WARM_UP_LOAD: f64 = 0.5;
/// Time during which the load that is tested is applied.
const LOADED: Duration = Duration::from_millis(2_500);
/// Longest time left at which a caller still waits for a refusal's `retry_after`.
const RETRY_SHARE: f64 = 1.0 / 3.0;

/// A kind of request.
pub struct RequestKind {
    pub route: &'static str,
    work_ms: u64,
    aim: Duration,
    deadline: Duration,
    priority: u32,
    coverage: f64,
    /// Share of all requests that are of this kind.
    share: f64,
}

/// Two kinds of which the more urgent one has more work.
pub const SEARCH_MIX: [RequestKind; 2] = [
    RequestKind {
        route: "ranked",
        work_ms: 11,
        aim: ms(200),
        deadline: ms(1_500),
        priority: 1,
        coverage: 0.95,
        share: 0.75,
    },
    RequestKind {
        route: "brief",
        work_ms: 4,
        aim: ms(80),
        deadline: ms(800),
        priority: 2,
        coverage: 0.85,
        share: 0.25,
    },
];

/// Two kinds of which the more urgent one has less work and a shorter latency aim.
pub const URGENT_MIX: [RequestKind; 2] = [
    RequestKind {
        route: "heavy",
        work_ms: 15,
        aim: ms(150),
        deadline: ms(800),
        priority: 1,
        coverage: 0.95,
        share: 0.64,
    },
    RequestKind {
        route: "urgent",
        work_ms: 5,
        aim: ms(50),
        deadline: ms(300),
        priority: 0,
        coverage: 0.85,
        share: 0.36,
    },
];

/// A request of a caller that has not ended.
struct OpenRequest {
    daemon: usize,
    key: RequestKey,
    kind: usize,
    submitted: Instant,
    deadline: Instant,
    is_repeat: bool,
}

/// A refused caller that repeats its request.
struct RepeatedRequest {
    at: Instant,
    kind: usize,
    deadline: Instant,
}

/// Results by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindResult {
    pub requests: usize,
    /// Answers within the latency aim.
    pub in_aim: usize,
    pub late: usize,
    /// Refusals as not run.
    refused: usize,
    failed: usize,
}

/// The results of a run.
#[derive(Debug)]
pub struct RunResult {
    pub kinds: [KindResult; 2],
    /// Attempts that targets rejected while the load was applied.
    rejections: usize,
    /// Attempts that each daemon sent, with the names of their targets.
    sends: Vec<Vec<(AttemptKey, Box<str>)>>,
}

impl RunResult {
    /// Returns the number of answers within the latency aim per second.
    pub fn goodput(&self) -> f64 {
        let in_aim: usize = self.kinds.iter().map(|kind| kind.in_aim).sum();
        in_aim as f64 / LOADED.as_secs_f64()
    }

    /// Returns the row of the run in the table of `docs/MEASUREMENTS.md`.
    pub fn table_row(&self, load: f64) -> String {
        let kinds = self.kinds.map(|kind| {
            let ended = (
                kind.requests,
                kind.in_aim,
                kind.late,
                kind.refused,
                kind.failed,
            );
            format!(
                "{} | {} | {} | {} | {}",
                ended.0, ended.1, ended.2, ended.3, ended.4
            )
        });
        let (goodput, rejections) = (self.goodput(), self.rejections);
        format!(
            "| {load} | {goodput:.0} | {} | {rejections} |",
            kinds.join(" | ")
        )
    }
}

/// Which targets are slow while the load is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowTargets {
    None,
    /// Half of the targets, drawn at random.
    Half,
}

pub struct GoodputRun {
    mix: &'static [RequestKind; 2],
    daemons: usize,
    warm_up: Duration,
    load: LoadSimulation,
    rng: ChaCha8Rng,
    open: Vec<OpenRequest>,
    repeats: Vec<RepeatedRequest>,
    kinds: [KindResult; 2],
    counted_from: Instant,
}

impl GoodputRun {
    fn new(mix: &'static [RequestKind; 2], admission: AdmissionMode, daemons: usize) -> Self {
        let names: Vec<String> = (0..SERVICES).map(|number| format!("s{number}")).collect();
        let services: Vec<&str> = names.iter().map(String::as_str).collect();
        let targets = services.iter().flat_map(|service| {
            ["a", "b", "c"].map(|name| target(&format!("{service}-{name}"), service))
        });
        let routes = mix.each_ref().map(|kind| RouteEntry {
            name: kind.route.into(),
            prefix: format!("/{}/", kind.route).into(),
            latency_aim: kind.aim,
            timeout: kind.deadline,
            priority: kind.priority,
            ..gather_route(&services, kind.coverage)
        });
        let targets: Vec<_> = targets.collect();
        let hosts: Vec<String> = (0..daemons)
            .map(|number| format!("entry-{number}"))
            .collect();
        let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
        let mut load = LoadSimulation::on_hosts(&hosts, &routes, |_| targets.clone(), SLOTS);
        for target in &mut load.targets {
            target.queue_limit = QUEUE_LIMIT;
        }
        load.feed_all(&RelayEvent::DaemonCountChanged(daemons as u32));
        load.feed_all(&RelayEvent::TuningChanged(tuning(admission)));
        // Each daemon sees as many requests meanwhile, whatever their number is.
        let warm_up = WARM_UP.mul_f64(daemons as f64 / DAEMONS as f64);
        let counted_from = load.now() + warm_up;
        Self {
            mix,
            daemons,
            warm_up,
            load,
            rng: ChaCha8Rng::seed_from_u64(5),
            open: Vec::new(),
            repeats: Vec::new(),
            kinds: [KindResult::default(); 2],
            counted_from,
        }
    }

    fn submit(&mut self, kind_index: usize, deadline: Instant, is_repeat: bool) {
        let kind = &self.mix[kind_index];
        let daemon = self.rng.random_range(0..self.daemons);
        let now = self.load.now();
        let work = work_range(kind.work_ms);
        let key = self.load.submit(daemon, kind.route, deadline - now, work);
        if now >= self.counted_from && !is_repeat {
            self.kinds[kind_index].requests += 1;
        }
        self.open.push(OpenRequest {
            daemon,
            key,
            kind: kind_index,
            submitted: now,
            deadline,
            is_repeat,
        });
    }

    /// Applies a load, as a multiple of the capacity of all targets at normal speed.
    fn apply(&mut self, load: f64, length: Duration) {
        let work: f64 = self
            .mix
            .iter()
            .map(|kind| kind.share * kind.work_ms as f64)
            .sum();
        let rate = load * (3 * SLOTS) as f64 / work;
        let end = self.load.now() + length;
        let mut next = 0.0;
        let mut passed_ms = 0.0;
        while self.load.now() < end {
            while next <= passed_ms {
                let kind = usize::from(self.rng.random::<f64>() >= self.mix[0].share);
                self.submit(kind, self.load.now() + self.mix[kind].deadline, false);
                next += -(1.0 - self.rng.random::<f64>()).ln() / rate;
            }
            self.step();
            passed_ms += 1.0;
        }
    }

    fn step(&mut self) {
        let now = self.load.now();
        for repeat in self
            .repeats
            .extract_if(.., |repeat| repeat.at <= now)
            .collect::<Vec<_>>()
        {
            self.submit(repeat.kind, repeat.deadline, true);
        }
        self.load.step();
        for (daemon, end) in self.load.take_ends() {
            let mut open = self.open.iter();
            let index = open.position(|open| (open.daemon, open.key) == (daemon, end.request));
            let open = self.open.swap_remove(index.expect("the request is open"));
            let wait = match &end.result {
                Err(RelayRefusal::NotRun { retry_after, .. }) => Some(*retry_after),
                Ok(_) | Err(_) => None,
            };
            let left = open.deadline.saturating_duration_since(end.at);
            if let Some(wait) = wait.filter(|wait| *wait <= left.mul_f64(RETRY_SHARE))
                && !open.is_repeat
            {
                self.repeats.push(RepeatedRequest {
                    at: end.at + wait,
                    kind: open.kind,
                    deadline: open.deadline,
                });
                continue;
            }
            if end.at < self.counted_from {
                continue;
            }
            let took = end.at.duration_since(open.submitted);
            let kind = &mut self.kinds[open.kind];
            match &end.result {
                Ok(_) if took <= self.mix[open.kind].aim => kind.in_aim += 1,
                Ok(_) => kind.late += 1,
                Err(RelayRefusal::NotRun { .. }) => kind.refused += 1,
                Err(_) => kind.failed += 1,
            }
        }
    }

    pub fn run(
        mix: &'static [RequestKind; 2],
        load: f64,
        slow: SlowTargets,
        admission: AdmissionMode,
    ) -> RunResult {
        Self::run_with_daemons(DAEMONS, mix, load, slow, admission)
    }

    pub fn run_with_daemons(
        daemons: usize,
        mix: &'static [RequestKind; 2],
        load: f64,
        slow: SlowTargets,
        admission: AdmissionMode,
    ) -> RunResult {
        let mut run = Self::new(mix, admission, daemons);
        run.apply(WARM_UP_LOAD, run.warm_up);
        if slow == SlowTargets::Half {
            let count = run.load.targets.len();
            for index in rand::seq::index::sample(&mut run.rng, count, count / 2) {
                run.load.targets[index].slowdown = SLOWDOWN;
            }
        }
        run.apply(load, LOADED);
        RunResult {
            kinds: run.kinds,
            rejections: run
                .load
                .targets
                .iter()
                .map(|target| target.rejections)
                .sum(),
            sends: run.load.sends(),
        }
    }
}

fn work_range(work_ms: u64) -> Range<Duration> {
    let work = ms(work_ms);
    work.mul_f64(0.6)..work.mul_f64(1.4)
}

/// Prints the table of `docs/MEASUREMENTS.md`.
fn print_table(mix: &'static [RequestKind; 2], admission: AdmissionMode) {
    for slow in [SlowTargets::None, SlowTargets::Half] {
        println!("{admission:?}, slow targets: {slow:?}");
        for load in [0.1, 0.3, 0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0] {
            let result = GoodputRun::run(mix, load, slow, admission);
            println!("{}", result.table_row(load));
        }
    }
}

/// Without pressure, nothing is refused, and the same attempts are sent to the same targets in the
/// same order as without admission control.
fn check_nothing_changes(mix: &'static [RequestKind; 2], load: f64) {
    let off = GoodputRun::run(mix, load, SlowTargets::None, AdmissionMode::Off);
    let adaptive = GoodputRun::run(mix, load, SlowTargets::None, AdmissionMode::Adaptive);
    assert_eq!(adaptive.kinds, off.kinds);
    assert_eq!(adaptive.kinds.map(|kind| kind.refused), [0, 0]);
    assert!(adaptive.sends == off.sends, "the same attempts are sent");
}

/// Loads at which goodput is compared with the best.
pub const GOODPUT_LOADS: [f64; 5] = [1.0, 1.5, 2.0, 3.0, 5.0];
/// Least goodput at any of these loads, as a share of the best.
pub const MIN_GOODPUT_SHARE: f64 = 0.9;
/// Least share of an urgent kind's requests that is answered within its aim.
const MIN_URGENT_SHARE: f64 = 0.95;

/// Guards against the collapse under overload: most answers late or failed, since more is sent than
/// the targets can serve.
fn check_goodput(load: f64, slow: SlowTargets) {
    let goodput =
        |load| GoodputRun::run(&SEARCH_MIX, load, slow, AdmissionMode::Adaptive).goodput();
    let best = GOODPUT_LOADS.map(goodput).into_iter().fold(0.0, f64::max);
    let share = goodput(load) / best;
    assert!(share >= MIN_GOODPUT_SHARE, "{share} of the best goodput");
}

/// Guards against overload control that costs more answers than it saves.
fn check_gain(load: f64, slow: SlowTargets) {
    let goodput = |mode| GoodputRun::run(&SEARCH_MIX, load, slow, mode).goodput();
    let (off, adaptive) = (
        goodput(AdmissionMode::Off),
        goodput(AdmissionMode::Adaptive),
    );
    assert!(adaptive >= off, "{adaptive} with, {off} without");
}

/// Guards against late answers of an urgent kind with a short latency aim, while a less urgent one
/// makes its own.
fn check_urgent_kind(load: f64, slow: SlowTargets) {
    let result = GoodputRun::run(&URGENT_MIX, load, slow, AdmissionMode::Adaptive);
    let urgent = result.kinds[1];
    let share = urgent.in_aim as f64 / urgent.requests as f64;
    assert!(
        share >= MIN_URGENT_SHARE,
        "{share}: {}",
        result.table_row(load)
    );
}

/// Guards against refusals that shorten nothing: targets that are slow at a low load hardly queue.
fn check_slow_service(mix: &'static [RequestKind; 2]) {
    let result = GoodputRun::run(mix, 0.1, SlowTargets::Half, AdmissionMode::Adaptive);
    let refused = result.kinds.map(|kind| kind.refused);
    assert_eq!(refused, [0, 0], "{}", result.table_row(0.1));
}

cases! {
    slow_service_alone_sheds_nothing: check_slow_service(&SEARCH_MIX);
    slow_service_alone_sheds_nothing_for_an_urgent_kind: check_slow_service(&URGENT_MIX);
    #[ignore = "prints the table of docs/MEASUREMENTS.md; run with --release --nocapture"]
    goodput_without_admission_control: print_table(&SEARCH_MIX, AdmissionMode::Off);
    #[ignore = "prints the table of docs/MEASUREMENTS.md; run with --release --nocapture"]
    goodput_with_admission_control: print_table(&SEARCH_MIX, AdmissionMode::Adaptive);
    #[ignore = "prints the table of docs/MEASUREMENTS.md; run with --release --nocapture"]
    urgent_goodput_without_admission_control: print_table(&URGENT_MIX, AdmissionMode::Off);
    #[ignore = "prints the table of docs/MEASUREMENTS.md; run with --release --nocapture"]
    urgent_goodput_with_admission_control: print_table(&URGENT_MIX, AdmissionMode::Adaptive);
    nothing_changes_without_pressure: check_nothing_changes(&SEARCH_MIX, 0.75);
    goodput_holds_at_1_5_times_the_capacity: check_goodput(1.5, SlowTargets::None);
    goodput_holds_at_2_times_the_capacity: check_goodput(2.0, SlowTargets::None);
    goodput_holds_at_3_times_the_capacity: check_goodput(3.0, SlowTargets::None);
    goodput_holds_at_5_times_the_capacity: check_goodput(5.0, SlowTargets::None);
    goodput_holds_with_slow_targets_at_3_times: check_goodput(3.0, SlowTargets::Half);
    answers_are_gained_at_3_times_the_capacity: check_gain(3.0, SlowTargets::None);
    answers_are_gained_with_slow_targets: check_gain(0.3, SlowTargets::Half);
    answers_are_gained_with_slow_targets_at_half_the_capacity: check_gain(0.5, SlowTargets::Half);
    an_urgent_kind_keeps_its_aim: check_urgent_kind(1.5, SlowTargets::None);
}
