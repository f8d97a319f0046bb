//! The daemon on every entry host.
fn main() {}
