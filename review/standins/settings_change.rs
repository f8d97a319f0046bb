//! The settings file of some machines changes, and the machines are stopped and started in turn.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::at_most_once::{HOSTS, site};
use crate::daemon::Daemon;
use crate::record::Record;

/// Machines whose settings change: 0.6 of them.
const CHANGED: usize = 4;
/// The new bound, with and without the trouble.
const FRACTION: &str = "6.5";
const WHOLE: &str = "7";
/// Time between the signals to two machines.
const GAP: Duration = Duration::from_secs(2);
/// Delay after which the platform starts a process again that has ended by itself.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// An end this soon after planned work on its machine is excused.
const EXCUSED_TIME: Duration = Duration::from_secs(1);
/// Time between the last planned work and the verdict.
const TAIL: Duration = Duration::from_secs(15);
/// Ends of its own in a day from which a machine counts, and the machines that break the rule: a
/// tenth of those in use, two at least.
const MAX_ENDS: usize = 3;
const MAX_MACHINES: usize = 2;

/// The platform's supervision of one machine.
struct Machine {
    daemon: Daemon,
    last_work: Instant,
    start_at: Option<Instant>,
    own_ends: usize,
}

impl Machine {
    /// Starts the process again if it has ended by itself.
    fn supervise(&mut self, record: &Record) {
        if self.start_at.is_some_and(|at| at <= Instant::now()) {
            self.start_at = None;
            self.daemon.start();
        } else if self.start_at.is_none() && self.daemon.has_ended() {
            let is_excused = self.last_work.elapsed() < EXCUSED_TIME;
            self.own_ends += usize::from(!is_excused);
            let name = &self.daemon.plan.name;
            record.add(&format!(
                "{name} has ended by itself, excused: {is_excused}"
            ));
            self.daemon.kill();
            self.start_at = Some(Instant::now() + RESTART_DELAY);
        }
    }
}

fn supervise_for(machines: &mut [Machine], record: &Record, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        for machine in machines.iter_mut() {
            machine.supervise(record);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn play(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let (_store, _leafs, daemons) = match site(record, scratch) {
        Ok(site) => site,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let mut machines: Vec<Machine> = daemons
        .into_iter()
        .map(|daemon| Machine {
            daemon,
            last_work: Instant::now(),
            start_at: None,
            own_ends: 0,
        })
        .collect();
    supervise_for(&mut machines, record, GAP);
    let grace = if has_trouble { FRACTION } else { WHOLE };
    for machine in machines.iter_mut().take(CHANGED) {
        let name = machine.daemon.plan.name.clone();
        record.add(&format!("{name}: grace_s is {grace} from now on; SIGHUP"));
        machine.daemon.write_settings(grace);
        machine.daemon.signal("-HUP");
        machine.last_work = Instant::now();
    }
    supervise_for(&mut machines, record, GAP);
    for index in 0..HOSTS {
        let machine = &mut machines[index];
        record.add(&format!("{}: SIGTERM", machine.daemon.plan.name));
        machine.daemon.signal("-TERM");
        let signalled = Instant::now();
        while !machine.daemon.has_ended() && signalled.elapsed() < Duration::from_secs(8) {
            std::thread::sleep(Duration::from_millis(20));
        }
        machine.daemon.kill();
        record.add(&format!("{}: started again", machine.daemon.plan.name));
        machine.daemon.start();
        machine.last_work = Instant::now();
        supervise_for(&mut machines, record, GAP);
    }
    supervise_for(&mut machines, record, TAIL);
    judge(record, &mut machines)
}

fn judge(record: &Record, machines: &mut [Machine]) -> Verdict {
    for machine in machines.iter() {
        let name = &machine.daemon.plan.name;
        let state = if machine.daemon.is_ready() {
            "ready"
        } else {
            "not ready"
        };
        record.say(&format!(
            "{name}: {} ends of its own, {state}",
            machine.own_ends
        ));
        let log = machine.daemon.log_text();
        if let Some(line) = log.lines().find(|line| line.starts_with("yuccaliftd:")) {
            record.add(&format!("{name} says: {line}"));
        }
    }
    let broken = machines
        .iter()
        .filter(|machine| machine.own_ends >= MAX_ENDS);
    if broken.count() >= MAX_MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
