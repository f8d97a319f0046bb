//! Tests over separate processes, which are started and ended by the tests themselves.

mod daemon_faults;
mod search;
mod spawned;
