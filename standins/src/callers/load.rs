//! The load generator, which runs on its own thread.

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

/// Time limit of connecting to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An open-loop load.
#[derive(Clone, Debug)]
pub struct CallerLoad {
    /// Daemons that the requests are sent to.
    pub daemons: DaemonList,
    /// Streams of requests that make up the load.
    pub streams: Vec<LoadStream>,
    /// Seed of the random arrival times and shards.
    pub seed: u64,
    /// Time after which no further request is due.
    pub duration: Duration,
}

/// Handle of a running load.
#[derive(Debug)]
pub struct RunningLoad {
    thread: JoinHandle<Vec<CallRecord>>,
    finished: Arc<AtomicU64>,
}

impl RunningLoad {
    /// Returns the number of requests that have a result.
    pub fn finished(&self) -> u64 {
        self.finished.load(Ordering::Relaxed)
    }

    /// Waits until every request of the load has a result; returns the records ordered by due time.
    pub fn join(self) -> Vec<CallRecord> {
        self.thread.join().unwrap_or_else(|_panic| {
            tracing::error!("the thread of a load generator panicked; its records are lost");
            Vec::new()
        })
    }
}

impl CallerLoad {
    /// Starts the load.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if the thread can't be started.
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
            async move { context.daemons.probe_readiness(&context.client).await }
        });
        let records = Rc::new(RefCell::new(Vec::new()));
        let start = Instant::now();
        let streams = self
            .streams
            .into_iter()
            .enumerate()
            .map(|(stream_index, stream)| {
                let runner = StreamRunner {
                    stream_index,
                    stream: Rc::new(stream),
                    rng: ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(stream_index as u64)),
                    context: context.clone(),
                    records: Rc::clone(&records),
                    finished: Arc::clone(&finished),
                };
                runner.run(start, self.duration)
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

/// Sends the requests of one stream when they are due.
struct StreamRunner {
    stream_index: usize,
    stream: Rc<LoadStream>,
    rng: ChaCha8Rng,
    context: CallContext,
    records: Rc<RefCell<Vec<CallRecord>>>,
    finished: Arc<AtomicU64>,
}

impl StreamRunner {
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
        let request = format!("{}-{}-{number}", self.stream.account, self.stream_index);
        let text = match &self.stream.text {
            StreamText::Unique => format!("text of {request}").into(),
            StreamText::Fixed(text) => text.clone(),
        };
        let shard = match &self.stream.kind {
            CallKind::Search => 0,
            CallKind::Execute { shards, .. } | CallKind::ExecuteWithoutTicket { shards } => {
                shards[self.rng.random_range(0..shards.len())]
            }
        };
        DueCall {
            stream_index: self.stream_index,
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
