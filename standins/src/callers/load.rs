//! The load as a whole, on a thread of its own.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use awc::{Client, Connector};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt;

use super::balancer::DaemonList;
use super::call::{CallContext, DueCall, make_call};
use super::record::CallRecord;
use super::stream::{CallKind, LoadStream, StreamText};
use crate::error::{StandinError, ThreadSnafu};

/// How long a connection attempt to a daemon may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open-loop load.
#[derive(Clone, Debug)]
pub struct CallerLoad {
    /// The daemons that it goes to.
    pub daemons: DaemonList,
    /// What it asks.
    pub streams: Vec<LoadStream>,
    /// The seed of its arrival times.
    pub seed: u64,
    /// For how long requests are due.
    pub duration: Duration,
}

/// A load that runs.
#[derive(Debug)]
pub struct RunningLoad {
    thread: JoinHandle<Vec<CallRecord>>,
    finished: Arc<AtomicU64>,
}

impl RunningLoad {
    /// How many requests have their result.
    pub fn finished(&self) -> u64 {
        self.finished.load(Ordering::Relaxed)
    }

    /// Waits for the end of the load and of each request; the records are in the order of due
    /// times.
    pub fn join(self) -> Vec<CallRecord> {
        self.thread.join().unwrap_or_else(|_panic| {
            tracing::error!("the load's thread panicked");
            Vec::new()
        })
    }
}

impl CallerLoad {
    /// Starts the load.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if its thread can't be started.
    pub fn start(self) -> Result<RunningLoad, StandinError> {
        let finished = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&finished);
        let thread = std::thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || actix_rt::System::new().block_on(self.run(counter)))
            .context(ThreadSnafu { name: "callers" })?;
        Ok(RunningLoad { thread, finished })
    }

    async fn run(self, finished: Arc<AtomicU64>) -> Vec<CallRecord> {
        let context = CallContext {
            client: make_client(),
            daemons: self.daemons.clone(),
        };
        let watch = actix_rt::spawn({
            let context = context.clone();
            async move { context.daemons.watch_ready(&context.client).await }
        });
        let records = Rc::new(RefCell::new(Vec::new()));
        let start = Instant::now();
        let streams = self
            .streams
            .into_iter()
            .enumerate()
            .map(|(position, stream)| {
                let source = StreamSource {
                    position,
                    stream: Rc::new(stream),
                    rng: ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(position as u64)),
                    context: context.clone(),
                    records: Rc::clone(&records),
                    finished: Arc::clone(&finished),
                };
                source.run(start, self.duration)
            });
        futures_util::future::join_all(streams).await;
        watch.abort();
        let mut records = records.take();
        records.sort_by_key(|record: &CallRecord| record.due);
        records
    }
}

fn make_client() -> Client {
    let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .finish()
}

/// Makes the requests of one stream when they are due.
struct StreamSource {
    position: usize,
    stream: Rc<LoadStream>,
    rng: ChaCha8Rng,
    context: CallContext,
    records: Rc<RefCell<Vec<CallRecord>>>,
    finished: Arc<AtomicU64>,
}

impl StreamSource {
    async fn run(mut self, start: Instant, duration: Duration) {
        let mut calls = Vec::new();
        let mut number = 0_u64;
        let mut due = Duration::ZERO;
        while let Some(next) = self.stream.next_due(due, &mut self.rng) {
            due = next;
            if due >= duration {
                break;
            }
            actix_rt::time::sleep_until((start + due).into()).await;
            number += 1;
            let call = self.due_call(number, due, start + due);
            calls.push(self.spawn(call));
        }
        futures_util::future::join_all(calls).await;
    }

    fn due_call(&mut self, number: u64, due: Duration, due_at: Instant) -> DueCall {
        let request = format!("{}-{}-{number}", self.stream.account, self.position);
        let text = match &self.stream.text {
            StreamText::Unique => format!("text of {request}").into(),
            StreamText::Fixed(text) => text.clone(),
        };
        let shard = match &self.stream.kind {
            CallKind::Search => 0,
            CallKind::Execute { shards, .. } | CallKind::ExecuteOnce { shards } => {
                shards[self.rng.random_range(0..shards.len())]
            }
        };
        DueCall {
            position: self.position,
            request: request.into(),
            text,
            shard,
            due,
            due_at,
        }
    }

    fn spawn(&self, call: DueCall) -> actix_rt::task::JoinHandle<()> {
        let stream = Rc::clone(&self.stream);
        let context = self.context.clone();
        let records = Rc::clone(&self.records);
        let finished = Arc::clone(&self.finished);
        actix_rt::spawn(async move {
            let record = make_call(&context, &stream, call).await;
            records.borrow_mut().push(record);
            finished.fetch_add(1, Ordering::Relaxed);
        })
    }
}
