//! Tests over separate processes, which are started and ended by the tests themselves.

mod daemon_command;
mod daemon_faults;
mod fleet;
mod search;
mod spawned;
