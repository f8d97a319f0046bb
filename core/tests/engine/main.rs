//! Tests of the engine's behaviour under failures, grouped by decision.

mod answers;
mod interruptions;
mod observer;
mod overload;
mod random_events;
mod random_runs;
mod simulated_fleet;
mod stragglers;
mod support;
mod targets;
mod versions;
