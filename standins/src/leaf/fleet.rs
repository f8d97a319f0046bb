//! Many leafs on a few threads.

use crate::error::StandinError;
use crate::leaf::{LeafOptions, LeafStandin};
use crate::server::{ServerSpec, ServerThread};

/// Leafs that share a few threads.
#[derive(Debug)]
pub struct LeafFleet {
    leafs: Vec<LeafStandin>,
    threads: Vec<ServerThread>,
}

impl LeafFleet {
    /// Starts one leaf per element of `options`, in their order, on `threads` threads.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if a leaf can't listen or a thread can't be started.
    pub fn start(options: Vec<LeafOptions>, threads: usize) -> Result<Self, StandinError> {
        let mut leafs = Vec::with_capacity(options.len());
        let mut groups: Vec<Vec<ServerSpec>> = Vec::new();
        groups.resize_with(threads.max(1), Vec::new);
        for (index, options) in options.into_iter().enumerate() {
            let (leaf, specs) = LeafStandin::prepare(options)?;
            leafs.push(leaf);
            let group = index % groups.len();
            groups[group].extend(specs);
        }
        let threads = groups
            .into_iter()
            .map(|specs| ServerThread::spawn("leafs", specs))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { leafs, threads })
    }

    /// Returns the leafs in the order of their options.
    pub fn leafs(&self) -> &[LeafStandin] {
        &self.leafs
    }

    /// Stops every leaf.
    pub fn stop(&mut self) {
        for thread in &mut self.threads {
            thread.stop();
        }
    }
}
