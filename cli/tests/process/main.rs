//! Tests over separate processes, which are started and ended by the tests themselves.

mod daemon_faults;
mod exit_status;
mod fleet;
mod search;
mod spawned;
