//! Processor time that the daemons of this process have used, read from the system.
//!
//! Stand-ins and callers run on threads with names of their own; what all other threads used,
//! but for the main one, is the daemons'.

use std::path::Path;
use std::time::Duration;

/// How much processor time one tick of the system's counters is.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// The names of threads that are not a daemon's, as the stand-ins give them.
const NON_DAEMON_THREADS: [&str; 6] =
    ["callers", "leaf", "leafs", "links", "platform", "yuccalift"];
/// The places of the user's and the system's time after the name in a thread's `stat`.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Measures processor time from a moment on.
#[derive(Clone, Copy, Debug)]
pub struct DaemonCpuTime {
    at_start: Duration,
}

impl DaemonCpuTime {
    /// Starts to measure.
    pub fn start() -> Self {
        Self {
            at_start: read_daemon_cpu_time(),
        }
    }

    /// What the daemons that still run have used since the start.
    pub fn elapsed(&self) -> Duration {
        read_daemon_cpu_time().saturating_sub(self.at_start)
    }
}

fn read_daemon_cpu_time() -> Duration {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let times = threads
        .filter_map(Result::ok)
        .filter_map(|thread| read_thread_cpu_time(&thread.path()));
    times.sum()
}

/// What a thread has used; none if it is not a daemon's, or has ended.
fn read_thread_cpu_time(thread: &Path) -> Option<Duration> {
    let stat = std::fs::read_to_string(thread.join("stat")).ok()?;
    let (head, tail) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    if NON_DAEMON_THREADS.contains(&name) {
        return None;
    }
    let fields: Vec<&str> = tail.split_whitespace().collect();
    let ticks = TIME_FIELDS
        .iter()
        .filter_map(|&field| fields.get(field)?.parse::<u32>().ok());
    Some(CLOCK_TICK * ticks.sum::<u32>())
}
