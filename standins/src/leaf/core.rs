//! Execution of requests by a leaf: queue, slots, deadline, service time and run records.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use yuccalift_core::search::SearchHit;
use yuccalift_wire::leaf::{
    LeafCancel, LeafRefusal, LeafRefusalCode, LeafReply, LeafRequest, LeafStatus,
};

use super::command::LeafCommand;
use super::options::{CRASH_MARKER, LeafOptions};
use super::record::{LeafCounts, LeafRun, RunKind, RunStatus};
use super::state::{OpenAttempt, RuntimeState};
use crate::gate::ConnectionGate;

/// Maximum number of hits of a search in one shard.
const HITS_PER_SHARD: u32 = 3;

/// State that the methods of a leaf share with its thread.
#[derive(Debug)]
pub(super) struct LeafCore {
    options: LeafOptions,
    started: Instant,
    slots: Semaphore,
    gate: Arc<ConnectionGate>,
    state: Mutex<RuntimeState>,
}

impl LeafCore {
    pub(super) fn new(options: LeafOptions, gate: Arc<ConnectionGate>) -> Self {
        let started = Instant::now();
        let state = RuntimeState::new(&options, started);
        Self {
            started,
            slots: Semaphore::new(options.slots as usize),
            gate,
            state: Mutex::new(state),
            options,
        }
    }

    pub(super) fn gate(&self) -> &ConnectionGate {
        &self.gate
    }

    pub(super) fn runs(&self) -> Vec<LeafRun> {
        self.lock().runs.clone()
    }

    pub(super) fn arrivals(&self) -> Vec<u64> {
        self.lock().arrivals.clone()
    }

    pub(super) fn counts(&self) -> LeafCounts {
        self.lock().counts
    }

    pub(super) fn status(&self) -> LeafStatus {
        self.lock().status(self.options.slots, Instant::now())
    }

    pub(super) fn command(&self, command: LeafCommand) {
        let now = Instant::now();
        let mut state = self.lock();
        match command {
            LeafCommand::Drain(signal) => state.drain(Some(signal), now),
            LeafCommand::Undrain => state.drain(None, now),
            LeafCommand::SetVersions(versions) => state.index_versions = versions,
            LeafCommand::SetShards(shards) => state.shards = shards,
            LeafCommand::SetSlowdown(factor) => state.slow_factor = factor,
            LeafCommand::SetSlowPeriods(slow_periods) => {
                state.slow_periods = slow_periods;
                state.slow_periods_since = now;
            }
            LeafCommand::SetLoadReport(report) => state.report = report,
            LeafCommand::Silence => {
                self.gate.silence_open();
            }
            LeafCommand::Crash { downtime } => {
                drop(state);
                self.crash(downtime);
            }
        }
    }

    pub(super) fn cancel(&self, cancel: &LeafCancel) {
        let state = self.lock();
        let found = state
            .open_attempts
            .iter()
            .find(|entry| entry.attempt == cancel.attempt && entry.sender == cancel.sender);
        if let Some(entry) = found {
            entry.token.cancel();
        }
    }

    /// Queues and runs a request, or refuses it.
    pub(super) async fn serve(
        &self,
        kind: RunKind,
        request: &LeafRequest,
    ) -> Result<LeafReply, LeafRefusal> {
        let arrived_at = Instant::now();
        let token = self.accept(request, arrived_at)?;
        let _open_attempt = AttemptGuard {
            core: self,
            request,
        };
        let waiting = CountGuard::new(self, |counts| &mut counts.waiting);
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot,
            () = token.cancelled() => return Err(self.refuse_cancelled(request, false)),
        };
        drop(waiting);
        debug_assert!(slot.is_ok(), "a leaf's slots are never closed");
        let _running_count = CountGuard::new(self, |counts| &mut counts.running);
        if arrived_at.elapsed() >= Duration::from_millis(request.time_left_ms) {
            self.lock().counts.expired += 1;
            return Err(self.refuse(request, LeafRefusalCode::Expired, false));
        }
        self.run(kind, request, &token).await
    }

    /// Runs a request that has a slot.
    async fn run(
        &self,
        kind: RunKind,
        request: &LeafRequest,
        token: &CancellationToken,
    ) -> Result<LeafReply, LeafRefusal> {
        let (run_index, service_time) = self.begin_run(kind, request);
        if request.text.contains(CRASH_MARKER) {
            self.crash(self.options.crash_downtime);
            std::future::pending::<()>().await;
        }
        tokio::select! {
            () = tokio::time::sleep(service_time) => {}
            () = token.cancelled() => {
                self.lock().end_run(run_index, RunStatus::Cancelled);
                return Err(self.refuse_cancelled(request, true));
            }
        }
        let mut state = self.lock();
        state.end_run(run_index, RunStatus::Done);
        Ok(LeafReply {
            query: request.query,
            attempt: request.attempt,
            shard: request.shard,
            version: request.version,
            held: state.index_versions.clone(),
            hits: make_hits(kind, request),
            complete: true,
        })
    }

    fn begin_run(&self, kind: RunKind, request: &LeafRequest) -> (usize, Duration) {
        let now = Instant::now();
        let mut state = self.lock();
        let run_index = state.runs.len();
        state.runs.push(LeafRun {
            kind,
            request: request.request.clone(),
            query: request.query,
            attempt: request.attempt,
            sender: request.sender.clone(),
            shard: request.shard,
            version: request.version,
            began_ms: now.duration_since(self.started).as_millis() as u64,
            end: RunStatus::Open,
        });
        let service_time = state.service_time(&self.options, now);
        (run_index, service_time)
    }

    /// Accepts a request and returns the token that cancels it, or refuses the request.
    fn accept(
        &self,
        request: &LeafRequest,
        now: Instant,
    ) -> Result<CancellationToken, LeafRefusal> {
        let mut state = self.lock();
        state.count_arrival(request, now);
        let code = if state.refuses_work() {
            Some(LeafRefusalCode::Draining)
        } else if state.shards.binary_search(&request.shard).is_err() {
            Some(LeafRefusalCode::NotHosted)
        } else if state
            .index_versions
            .binary_search(&request.version)
            .is_err()
        {
            Some(LeafRefusalCode::WrongVersion)
        } else if state.counts.waiting >= self.options.queue_limit {
            state.counts.shed += 1;
            Some(LeafRefusalCode::Shed)
        } else {
            None
        };
        if let Some(code) = code {
            drop(state);
            return Err(self.refuse(request, code, false));
        }
        let token = CancellationToken::new();
        state.open_attempts.push(OpenAttempt {
            sender: request.sender.clone(),
            attempt: request.attempt,
            token: token.clone(),
        });
        Ok(token)
    }

    fn refuse_cancelled(&self, request: &LeafRequest, ran: bool) -> LeafRefusal {
        self.lock().counts.cancelled += 1;
        self.refuse(request, LeafRefusalCode::Cancelled, ran)
    }

    fn refuse(&self, request: &LeafRequest, code: LeafRefusalCode, ran: bool) -> LeafRefusal {
        LeafRefusal {
            attempt: request.attempt,
            code,
            ran,
            held: self.lock().index_versions.clone(),
        }
    }

    fn crash(&self, downtime: Duration) {
        let restart_at = Instant::now() + downtime;
        self.lock().cold_until = restart_at + self.options.cold_period;
        self.gate.crash(downtime);
    }

    fn lock(&self) -> MutexGuard<'_, RuntimeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes an open attempt when it ends, also when its connection is lost.
struct AttemptGuard<'a> {
    core: &'a LeafCore,
    request: &'a LeafRequest,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.core.lock();
        state.remove_attempt(&self.request.sender, self.request.attempt);
    }
}

/// Increments a counter until it is dropped, also when the connection of the request is lost.
struct CountGuard<'a> {
    core: &'a LeafCore,
    field: fn(&mut LeafCounts) -> &mut u32,
}

impl<'a> CountGuard<'a> {
    fn new(core: &'a LeafCore, field: fn(&mut LeafCounts) -> &mut u32) -> Self {
        *field(&mut core.lock().counts) += 1;
        Self { core, field }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        *(self.field)(&mut self.core.lock().counts) -= 1;
    }
}

/// Creates hits whose keys contain shard, version and text, so that a caller can detect hits of
/// another request.
fn make_hits(kind: RunKind, request: &LeafRequest) -> Vec<SearchHit> {
    let count = match kind {
        RunKind::Search => HITS_PER_SHARD.min(request.limit),
        RunKind::Execute => 1,
    };
    (0..count)
        .map(|rank| SearchHit {
            shard: request.shard,
            key: hit_key(request, rank),
            score: 1.0 / f64::from(rank + 1),
        })
        .collect()
}

fn hit_key(request: &LeafRequest, rank: u32) -> Box<str> {
    let LeafRequest {
        shard,
        version,
        text,
        ..
    } = request;
    format!("{shard}/{version}/{rank}/{text}").into()
}
