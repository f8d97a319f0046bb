//! Compares three ways to count the daemons that share a target's connections:
//! `cargo bench -p yuccalift-core --bench peer_counting`.
//!
//! - averaging: each daemon estimates the count by gossip aggregation over ring distances, as in
//!   Montresor and Ghodsi, "Towards Robust Peer Counting"; the ring is assumed to exist already;
//! - direct: each daemon counts the present members that it can reach;
//! - bound: the published maximum number of daemons that ever run at once.
//!
//! For each state of the fleet it prints the connections that all daemons together would hold to
//! one target, as a share of the target's limit; above 1 the limit is exceeded. Prints the median
//! and the worst over all seeds. See `docs/DESIGN.md`, "Connection shares".

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED_COUNT: u64 = 20;
/// Connections that a target accepts per running daemon.
const CONNECTIONS_PER_DAEMON: f64 = 3.4;
/// Ratio of the published bound to the number of running daemons.
const BOUND_HEADROOM: f64 = 1.25;
/// Share of exchanges whose reply is lost, in states with message loss.
const REPLY_LOSS: f64 = 0.05;

/// A state of the fleet in which the ways to count are compared.
#[derive(Clone, Copy)]
struct FleetState {
    name: &'static str,
    /// Number of partitions, which cannot reach each other.
    parts: usize,
    /// Number of averaging cycles since the start.
    cycles: u32,
    loss: f64,
    /// Share of hosts whose replaced process still holds connections.
    replaced: f64,
}

const STATES: [FleetState; 5] = [
    FleetState {
        name: "whole, settled",
        parts: 1,
        cycles: 30,
        loss: 0.0,
        replaced: 0.0,
    },
    FleetState {
        name: "whole, 5 cycles after the start",
        parts: 1,
        cycles: 5,
        loss: 0.0,
        replaced: 0.0,
    },
    FleetState {
        name: "whole, 1 reply in 20 lost",
        parts: 1,
        cycles: 30,
        loss: REPLY_LOSS,
        replaced: 0.0,
    },
    FleetState {
        name: "1 host in 5 just replaced",
        parts: 1,
        cycles: 30,
        loss: 0.0,
        replaced: 0.2,
    },
    FleetState {
        name: "cut in three",
        parts: 3,
        cycles: 30,
        loss: 0.0,
        replaced: 0.0,
    },
];

fn main() {
    println!("| daemons | state | averaging, median | averaging, worst | direct | bound |");
    println!("|---|---|---|---|---|---|");
    for daemons in [9, 206] {
        for state in STATES {
            let mut sums: Vec<f64> = (0..SEED_COUNT)
                .map(|seed| {
                    let mut rng = ChaCha8Rng::seed_from_u64(seed);
                    held_share(
                        daemons,
                        state,
                        &averaging_estimates(daemons, state, &mut rng),
                    )
                })
                .collect();
            sums.sort_by(f64::total_cmp);
            let direct = vec![(daemons / state.parts) as f64; daemons];
            let bound = vec![(daemons as f64 * BOUND_HEADROOM).ceil(); daemons];
            println!(
                "| {daemons} | {} | {:.2} | {:.2} | {:.2} | {:.2} |",
                state.name,
                sums[sums.len() / 2],
                sums[sums.len() - 1],
                held_share(daemons, state, &direct),
                held_share(daemons, state, &bound),
            );
        }
    }
}

/// Returns the connections held to one target, as a share of its limit, if each daemon uses its own
/// count of the daemons.
fn held_share(daemons: usize, state: FleetState, counts: &[f64]) -> f64 {
    let limit = (daemons as f64 * CONNECTIONS_PER_DAEMON).floor();
    let shares: f64 = counts.iter().map(|count| (limit / count).floor()).sum();
    shares * (1.0 + state.replaced) / limit
}

/// Returns each daemon's estimate of the count, by averaging ring distances within its partition.
fn averaging_estimates(daemons: usize, state: FleetState, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let size = daemons / state.parts;
    let mut estimates = Vec::new();
    for _part in 0..state.parts {
        let mut distances = ring_distances(size, rng);
        for _cycle in 0..state.cycles {
            for daemon in 0..size {
                let peer = rng.random_range(0..size);
                let mean = f64::midpoint(distances[daemon], distances[peer]);
                distances[peer] = mean;
                if !rng.random_bool(state.loss) {
                    distances[daemon] = mean;
                }
            }
        }
        estimates.extend(distances.iter().map(|distance| 1.0 / distance));
    }
    estimates
}

/// Returns the distance of each daemon to its successor on a ring of length 1.
fn ring_distances(size: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut positions: Vec<f64> = (0..size).map(|_| rng.random()).collect();
    positions.sort_by(f64::total_cmp);
    (0..size)
        .map(|index| (positions[(index + 1) % size] - positions[index]).rem_euclid(1.0))
        .collect()
}
