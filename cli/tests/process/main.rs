//! Tests that start platform, leafs, daemons or commands as separate processes.

mod daemon_faults;
mod exit_status;
mod fleet;
mod search;
mod spawned;
mod where_command;
