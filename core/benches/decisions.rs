//! Costs of the decisions.
fn main() {}
