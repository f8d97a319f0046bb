//! Tests of the relay engine without a network.

mod admission;
mod budget;
mod cold_targets;
mod crashing;
mod departures;
mod evacuations;
mod explanations;
mod forwarding;
mod gathering;
mod goodput;
mod goodput_shares;
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
mod refused_services;
mod reported_load;
mod routes;
mod support;
mod unreachable;
