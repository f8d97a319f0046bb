//! Failure tests of the engine, a module for each decision.

mod answers;
mod support;
mod versions;
