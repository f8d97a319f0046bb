//! Failure tests of the engine, a module for each decision.

mod answers;
mod crest;
mod fleet;
mod interruptions;
mod stragglers;
mod support;
mod targets;
mod versions;
