//! Measures the processor time that the daemons of this process use, from `/proc`.
//!
//! Stand-ins and callers run on threads with known names. All other threads except the main thread
//! belong to daemons.

use std::path::Path;
use std::time::Duration;

/// Duration of one clock tick, the unit of the processor times in `/proc`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Names of threads that do not belong to a daemon: the main thread, `yuccalift`, and the threads
/// of stand-ins and callers.
const NON_DAEMON_THREADS: [&str; 6] =
    ["callers", "leaf", "leafs", "links", "platform", "yuccalift"];
/// Indices of user and system time among the fields that follow the name in a thread's `stat`.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Measures the processor time of all daemon threads since a given moment.
#[derive(Clone, Copy, Debug)]
pub struct DaemonCpuTime {
    at_start: Duration,
}

impl DaemonCpuTime {
    /// Starts a measurement.
    pub fn start() -> Self {
        Self {
            at_start: read_daemon_cpu_time(),
        }
    }

    /// Returns the processor time used since the start by the daemons that are still running.
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

/// Returns the processor time of a thread, or `None` if the thread is not a daemon's or has ended.
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
