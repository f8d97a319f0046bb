//! Failure tests of the engine, a module for each decision.

mod answers;
mod crest;
mod fleet;
mod happenings;
mod interruptions;
mod random_runs;
mod stragglers;
mod support;
mod targets;
mod versions;
mod witness;
