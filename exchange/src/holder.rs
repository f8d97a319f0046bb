//! What one served connection holds, and how it progresses: [`MemoryHolder`].

use std::cell::{Cell, RefCell};
use std::task::Waker;
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

use crate::memory_account::{
    CONNECTION_BYTES, ChargeKind, HeldLease, change_bytes, next_idle_order,
};
use crate::socket::RECEIVE_BUFFER_BYTES;

/// Time in which the pace of a holder falls to half if it makes no progress.
const PACE_HALF_LIFE: Duration = Duration::from_millis(250);
/// Maximum pace of a holder, and that of one that has just started to transfer bytes. With a greater
/// maximum, a large body that has just stalled would stay while a newcomer is ended.
const MAX_PACE: f64 = 64.0 * 1024.0;
/// Pace below which a transfer is ended before an idle connection: without progress for 38 ms, or
/// slower than about 160 KB/s.
const SLOW_PACE: f64 = 0.9 * MAX_PACE;
/// Size up to which a body, a head or an answer is accepted in any case: there are no more of them
/// than connections.
const SMALL_BYTES: usize = 16 * 1024;
/// Bytes of the library's queue of the chunks that one read may contain.
const CHUNK_QUEUE_BYTES: usize = 32 * 1024;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HolderStage {
    /// No request has been received since the last answer.
    #[default]
    Idle,
    /// The body of a request is arriving, in chunks or not.
    Receiving { chunked: bool },
    /// A request has been received, and its answer is not complete.
    Busy,
    /// The last answer is being written; the connection closes by itself after it.
    Ending,
}

/// Bytes, progress and stage of one served connection.
#[derive(Debug)]
pub(crate) struct MemoryHolder {
    pub(crate) id: u64,
    pub(crate) listener: u64,
    stage: Cell<HolderStage>,
    /// Bytes of a head, or of requests after the present one, that have been read.
    input: Cell<usize>,
    /// Bytes for the body of the present request.
    body: Cell<usize>,
    /// Size of that body as its head tells; 0 if it doesn't.
    declared_body: Cell<usize>,
    /// Bytes of the buffer of answers that the reader has not taken.
    output: Cell<usize>,
    /// Bytes transferred lately; decays by half in each [`PACE_HALF_LIFE`].
    pace: Cell<f64>,
    /// Time at which `pace` was valid: that of the last progress.
    paced_at: Cell<Instant>,
    /// Place in the order in which connections became idle.
    idle_order: Cell<u64>,
    /// Time at which a head was first seen incomplete.
    head_seen_at: Cell<Option<Instant>>,
    /// Task of the connection, while it waits for the end of a request before it reads on.
    paused_reader: RefCell<Option<Waker>>,
    is_closed: Cell<bool>,
    token: CancellationToken,
}

impl MemoryHolder {
    pub(crate) fn new(id: u64, listener: u64, token: CancellationToken) -> Self {
        Self {
            id,
            listener,
            stage: Cell::default(),
            input: Cell::new(0),
            body: Cell::new(0),
            declared_body: Cell::new(0),
            output: Cell::new(0),
            pace: Cell::new(MAX_PACE),
            paced_at: Cell::new(Instant::now()),
            idle_order: Cell::new(next_idle_order()),
            head_seen_at: Cell::new(None),
            paused_reader: RefCell::new(None),
            is_closed: Cell::new(false),
            token,
        }
    }

    pub(crate) fn stage(&self) -> HolderStage {
        self.stage.get()
    }

    pub(crate) fn set_stage(&self, stage: HolderStage) {
        self.stage.set(stage);
    }

    /// Returns the bytes that are on the account for this holder.
    pub(crate) fn held(&self) -> usize {
        CONNECTION_BYTES + self.input.get() + self.body.get() + self.output.get()
    }

    /// Returns the bytes of incomplete heads and of later requests.
    pub(crate) fn input(&self) -> usize {
        self.input.get()
    }

    pub(crate) fn token(&self) -> &CancellationToken {
        &self.token
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Tells the connection to end.
    pub(crate) fn end(&self) {
        self.token.cancel();
    }

    /// Returns the bytes on the account, and puts none on it from now on.
    pub(crate) fn close(&self) -> usize {
        self.is_closed.set(true);
        self.held()
    }

    /// Sets one part of the bytes. If they don't fit, holders are ended, this one if it is the
    /// slowest.
    fn set_part(&self, part: &Cell<usize>, bytes: usize) {
        let old = part.replace(bytes);
        let kind = match bytes {
            ..=SMALL_BYTES => ChargeKind::Small,
            _ => ChargeKind::Large,
        };
        if !self.is_closed.get() {
            // What doesn't fit although all others wait for answers ends with these.
            let _fits = change_bytes(self, old, bytes, kind);
        }
    }

    /// Starts a request, whose head is complete and declares a body of `declared_body` bytes; 0 if it
    /// doesn't tell.
    pub(crate) fn begin_request(&self, stage: HolderStage, declared_body: usize) {
        self.stage.set(stage);
        self.declared_body.set(declared_body);
        if let HolderStage::Receiving { .. } = stage {
            self.pace.set(MAX_PACE);
            self.paced_at.set(Instant::now());
        }
        self.head_seen_at.set(None);
        self.set_part(&self.input, 0);
    }

    /// Ends a request, whose answer is complete but may not have been written.
    pub(crate) fn end_request(&self, next_stage: HolderStage) {
        self.stage.set(next_stage);
        self.idle_order.set(next_idle_order());
        self.set_part(&self.body, 0);
        if let Some(reader) = self.paused_reader.take() {
            let unread = 2 * RECEIVE_BUFFER_BYTES as usize;
            self.set_part(&self.input, self.input.get().saturating_sub(unread));
            reader.wake();
        }
    }

    /// Records bytes that have been read from the connection. Those of a body are counted when it
    /// is read from the library, see [`MemoryHolder::extend_body`].
    pub(crate) fn record_read(&self, bytes: usize) {
        match self.stage.get() {
            HolderStage::Receiving { .. } => {}
            HolderStage::Idle | HolderStage::Busy | HolderStage::Ending => {
                self.set_part(&self.input, self.input.get() + bytes);
            }
        }
    }

    /// Records that the reader has taken `written` of the `size` bytes of answers that wait for it.
    /// The library frees their buffer when the last byte has been taken.
    pub(crate) fn record_write(&self, written: usize, size: usize) {
        let held = self.output.get();
        if written == size && held == 0 {
            return;
        }
        if held == 0 {
            self.pace.set(MAX_PACE);
            self.paced_at.set(Instant::now());
        } else if written > 0 {
            self.record_progress(written);
        }
        let held = if written == size { 0 } else { held.max(size) };
        self.set_part(&self.output, held);
    }

    /// Records progress of the body; see [`crate::BodyLease::extend`].
    pub(crate) fn extend_body(&self, received: usize, capacity: usize) -> bool {
        self.record_progress(received);
        let bytes = capacity + self.queue_bytes();
        let old = self.body.replace(bytes);
        let kind = match capacity {
            ..=SMALL_BYTES => ChargeKind::Small,
            _ => ChargeKind::Body {
                rest: self.declared_body.get().saturating_sub(capacity),
            },
        };
        let is_accepted = self.is_closed.get()
            || change_bytes(self, old, bytes, kind)
            || kind == ChargeKind::Small;
        if !is_accepted {
            // Nothing is allocated for a refused part.
            let _fits = change_bytes(self, bytes, old, ChargeKind::Small);
            self.body.set(old);
        }
        is_accepted
    }

    /// Returns the bytes of the library's queue for the body that is arriving.
    fn queue_bytes(&self) -> usize {
        match self.stage.get() {
            HolderStage::Receiving { chunked: true } => CHUNK_QUEUE_BYTES,
            _ => 0,
        }
    }

    /// Ends the body, which is complete; its bytes pass from the connection to the returned lease.
    pub(crate) fn complete_body(&self) -> HeldLease {
        let bytes = self.body.get().saturating_sub(self.queue_bytes());
        self.set_stage(HolderStage::Busy);
        self.set_part(&self.body, 0);
        HeldLease::take_over(bytes)
    }

    fn record_progress(&self, bytes: usize) {
        let now = Instant::now();
        self.pace.set((self.pace(now) + bytes as f64).min(MAX_PACE));
        self.paced_at.set(now);
    }

    fn pace(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.paced_at.get());
        let half_lives = age.as_secs_f64() / PACE_HALF_LIFE.as_secs_f64();
        self.pace.get() * (-half_lives).exp2()
    }

    /// Returns whether the connection transfers bytes that are held for it.
    fn is_transferring(&self) -> bool {
        match self.stage.get() {
            HolderStage::Receiving { .. } => true,
            HolderStage::Idle => self.input.get() > 0 || self.output.get() > 0,
            HolderStage::Busy | HolderStage::Ending => self.output.get() > 0 || self.is_paused(),
        }
    }

    /// Returns whether the connection has no request and nothing to write.
    pub(crate) fn is_idle(&self) -> bool {
        self.stage.get() == HolderStage::Idle && self.output.get() == 0
    }

    /// Returns the rank by which holders are ended for memory, the lowest first: slow transfers,
    /// then idle connections, then fast transfers. `None` if it isn't to be ended.
    pub(crate) fn memory_rank(&self, now: Instant) -> Option<HolderRank> {
        if self.is_ending() {
            None
        } else if self.is_transferring() {
            let pace = self.pace(now);
            let class = if pace < SLOW_PACE { 0 } else { 2 };
            Some(HolderRank { class, value: pace })
        } else {
            self.is_idle().then(|| HolderRank {
                class: 1,
                value: self.idle_order.get() as f64,
            })
        }
    }

    /// Returns the rank by which connections are closed if there are too many, the lowest first: the
    /// one that has been idle longest, then slow transfers. `None` if it isn't to be closed.
    pub(crate) fn place_rank(&self, now: Instant) -> Option<HolderRank> {
        if self.is_ending() {
            None
        } else if self.is_idle() {
            Some(HolderRank {
                class: 0,
                value: self.idle_order.get() as f64,
            })
        } else {
            self.is_transferring().then(|| HolderRank {
                class: 1,
                value: self.pace(now),
            })
        }
    }

    /// Returns how long a head has been incomplete; called from time to time, and first counts from
    /// then.
    pub(crate) fn head_age(&self, now: Instant) -> Duration {
        if self.stage.get() != HolderStage::Idle || self.input.get() == 0 {
            return Duration::ZERO;
        }
        let seen_at = self.head_seen_at.get().unwrap_or(now);
        self.head_seen_at.set(Some(seen_at));
        now.saturating_duration_since(seen_at)
    }

    /// Returns how long the reader of an answer has taken nothing.
    pub(crate) fn output_age(&self, now: Instant) -> Duration {
        match self.output.get() {
            0 => Duration::ZERO,
            _ => now.saturating_duration_since(self.paced_at.get()),
        }
    }

    /// Wakes a task once the present request has ended. Until then, the connection's receive buffer is
    /// on the account too.
    pub(crate) fn pause_reader(&self, waker: &Waker) {
        let former = self.paused_reader.replace(Some(waker.clone()));
        if former.is_none() {
            let held = self.input.get() + 2 * RECEIVE_BUFFER_BYTES as usize;
            self.set_part(&self.input, held);
        }
    }

    /// Returns whether the connection sends more than is read before the present answer.
    fn is_paused(&self) -> bool {
        self.paused_reader.borrow().is_some()
    }
}

/// Rank of a holder; the lowest is ended first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HolderRank {
    class: u8,
    value: f64,
}

impl HolderRank {
    pub(crate) fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        let classes = self.class.cmp(&other.class);
        classes.then(self.value.total_cmp(&other.value))
    }
}
