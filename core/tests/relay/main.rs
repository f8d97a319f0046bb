//! Tests of the relay engine without a network.

mod admission;
mod budget;
mod crashing;
mod departures;
mod forwarding;
mod gathering;
mod goodput;
mod hedging;
mod holds;
mod idle_links;
mod idle_policy;
mod link_history;
mod load;
mod overload;
mod pauses;
mod pressure;
mod random_runs;
mod routes;
mod support;
mod unreachable;
