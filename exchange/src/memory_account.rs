//! The account of the bytes that this thread holds for others: [`set_memory_limit`],
//! [`account_counts`].
//!
//! Each served connection is a holder with a fixed share for the server library's buffers, the
//! bytes of a head or of later requests that have arrived, its request's body, and the answer that
//! its reader has not taken. Answers that are received from others are on the account too. Beyond
//! the limit, the holders that make the least progress are ended. See `docs/CAPACITY.md`, "Memory
//! of a relay".

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tokio_util::sync::CancellationToken;

use crate::holder::{HolderRank, MemoryHolder};
use crate::leased_bytes::leased_bytes;

/// Share of a process's memory limit that the account may fill. The rest is for the program, for
/// copies that exist for a moment, and for memory that the allocator can't reuse at once.
const ACCOUNT_SHARE: usize = 3;
/// Part of the account that large bodies don't fill, so that small requests get through while others
/// with large bodies wait for their answers.
const RESERVE: usize = 4;
/// Memory limit of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_LIMIT: usize = 512 * 1024 * 1024;
/// Bytes of an open connection: two buffers of the server library with 8 KiB each, its state and
/// that of the handler.
pub(crate) const CONNECTION_BYTES: usize = 20 * 1024;
/// Size up to which an answer that is received needs no lease, in bytes.
pub(crate) const FREE_BYTES: usize = 64 * 1024;
/// Maximum size of all larger answers that one thread receives at a time, in bytes.
const MAX_RECEIVED_BYTES: usize = 32 * 1024 * 1024;

/// Why connections were closed, and what is held, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountCounts {
    /// Bytes on the account.
    pub held_bytes: usize,
    /// Open connections of all listeners.
    pub connections: usize,
    /// Connections that were closed since the account was full.
    pub closed_for_memory: u64,
    /// Connections that were closed since their listener had too many.
    pub closed_for_connections: u64,
    /// Connections that were closed since a head or an answer made no progress for too long.
    pub closed_as_stalled: u64,
}

struct AccountState {
    limit: usize,
    held: usize,
    /// Bytes of the holders that have been told to end.
    ending: usize,
    /// Bytes of larger answers that are being received.
    received: usize,
    /// All holders, by ascending id.
    holders: Vec<Rc<MemoryHolder>>,
    next_id: u64,
    counts: AccountCounts,
}

thread_local! {
    static ACCOUNT: RefCell<AccountState> = const {
        RefCell::new(AccountState {
            limit: DEFAULT_MEMORY_LIMIT / ACCOUNT_SHARE,
            held: 0,
            ending: 0,
            received: 0,
            holders: Vec::new(),
            next_id: 0,
            counts: AccountCounts {
                held_bytes: 0,
                connections: 0,
                closed_for_memory: 0,
                closed_for_connections: 0,
                closed_as_stalled: 0,
            },
        })
    };
    /// Order in which connections became idle.
    static IDLE_ORDER: Cell<u64> = const { Cell::new(0) };
}

/// Sets the memory that the process may use, in bytes; applies to this thread.
pub fn set_memory_limit(bytes: usize) {
    ACCOUNT.with_borrow_mut(|account| account.limit = bytes / ACCOUNT_SHARE);
}

/// Returns the counts of this thread's account.
pub fn account_counts() -> AccountCounts {
    ACCOUNT.with_borrow(|account| AccountCounts {
        held_bytes: account.held,
        connections: account.holders.len(),
        ..account.counts
    })
}

/// Returns the next number in the order in which connections become idle.
pub(crate) fn next_idle_order() -> u64 {
    IDLE_ORDER.with(|order| order.replace(order.get() + 1))
}

/// Why a holder is told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndCause {
    Memory,
    Connections,
    Stalled,
}

impl AccountState {
    fn end(&mut self, holder: &MemoryHolder, cause: EndCause) {
        let count = match cause {
            EndCause::Memory => &mut self.counts.closed_for_memory,
            EndCause::Connections => &mut self.counts.closed_for_connections,
            EndCause::Stalled => &mut self.counts.closed_as_stalled,
        };
        *count += 1;
        self.ending += holder.held();
        holder.end();
    }

    /// Ends holders until the others fit; returns false if they don't and none can be ended, or if
    /// the next one would be `kept`, which is refused instead.
    fn make_room(&mut self, limit: usize, kept: Option<u64>) -> bool {
        let now = Instant::now();
        while self.held.saturating_sub(self.ending) > limit {
            let worst = self
                .holders
                .iter()
                .filter_map(|holder| Some((holder.memory_rank(now)?, holder)))
                .min_by(|(left, _), (right, _)| left.total_cmp(right))
                .map(|(_, holder)| Rc::clone(holder));
            match worst {
                Some(worst) if Some(worst.id) != kept => self.end(&worst, EndCause::Memory),
                _ => return false,
            }
        }
        true
    }

    /// Returns whether [`AccountState::make_room`] would succeed for a holder, also for `rest` more
    /// bytes of it.
    fn could_make_room(&self, limit: usize, kept: &MemoryHolder, rest: usize) -> bool {
        let now = Instant::now();
        let own_rank = kept.memory_rank(now);
        let is_before_own = |rank: &HolderRank| {
            let order = own_rank.as_ref().map(|own| rank.total_cmp(own));
            order.is_none_or(Ordering::is_lt)
        };
        let others = self.holders.iter().filter(|holder| holder.id != kept.id);
        let endable: usize = others
            .filter(|holder| holder.memory_rank(now).as_ref().is_some_and(is_before_own))
            .map(|holder| holder.held())
            .sum();
        let needed = self.held.saturating_sub(self.ending).saturating_add(rest);
        needed <= limit + endable
    }

    fn position(&self, id: u64) -> Result<usize, usize> {
        self.holders.binary_search_by_key(&id, |holder| holder.id)
    }
}

/// How bytes of a holder are put on the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChargeKind {
    /// Small bytes, for which other holders are ended, but not this one.
    Small,
    /// Bytes for which the holder itself may be ended.
    Large,
    /// Bytes of a large body, of which at least `rest` more are expected. It is refused if it doesn't
    /// fit in the part of the account that is not reserved for small ones; no holder is ended then.
    Body { rest: usize },
}

/// Changes the bytes of a holder from `old` to `new`. Returns false if they don't fit and no holder
/// can be ended for them; they are on the account in any case.
pub(crate) fn change_bytes(
    holder: &MemoryHolder,
    old: usize,
    new: usize,
    kind: ChargeKind,
) -> bool {
    if old == new {
        return true;
    }
    ACCOUNT.with_borrow_mut(|account| {
        account.held = account.held + new - old;
        if holder.is_ending() {
            account.ending = account.ending + new - old;
        }
        let (limit, kept) = match kind {
            ChargeKind::Small => (account.limit, Some(holder.id)),
            ChargeKind::Large => (account.limit, None),
            ChargeKind::Body { .. } => (account.limit - account.limit / RESERVE, Some(holder.id)),
        };
        if new < old || account.held <= limit {
            return true;
        }
        // Otherwise idle callers and slow transfers would be closed, and the body still refused.
        let is_hopeless = match kind {
            ChargeKind::Body { rest } => !account.could_make_room(limit, holder, rest),
            ChargeKind::Small | ChargeKind::Large => false,
        };
        !is_hopeless && account.make_room(limit, kept)
    })
}

/// A holder that is on the account until this is dropped.
#[derive(Debug)]
pub(crate) struct HolderEntry {
    pub(crate) holder: Rc<MemoryHolder>,
}

impl HolderEntry {
    /// Adds a connection of a listener to the account.
    pub(crate) fn open(listener: u64) -> Self {
        let holder = ACCOUNT.with_borrow_mut(|account| {
            let holder = MemoryHolder::new(account.next_id, listener, CancellationToken::new());
            let holder = Rc::new(holder);
            account.next_id += 1;
            account.held += CONNECTION_BYTES;
            account.holders.push(Rc::clone(&holder));
            // Others are closed for it; if all of them wait for answers, it may still send a small
            // request.
            let (limit, kept) = (account.limit, Some(holder.id));
            let _fits = account.held <= limit || account.make_room(limit, kept);
            holder
        });
        Self { holder }
    }
}

impl Drop for HolderEntry {
    fn drop(&mut self) {
        ACCOUNT.with_borrow_mut(|account| {
            let bytes = self.holder.close();
            account.held = account.held.saturating_sub(bytes);
            if self.holder.is_ending() {
                account.ending = account.ending.saturating_sub(bytes);
            }
            if let Ok(index) = account.position(self.holder.id) {
                account.holders.remove(index);
            }
        });
    }
}

/// Makes room for one more connection of a listener that has `limit` of them: the one that has been
/// idle longest is closed, or else the one with the least progress. Returns false if all of them
/// wait for answers.
pub(crate) fn make_place(listener: u64, limit: usize) -> bool {
    ACCOUNT.with_borrow_mut(|account| {
        let own = account
            .holders
            .iter()
            .filter(|holder| holder.listener == listener && !holder.is_ending());
        if own.clone().count() < limit {
            return true;
        }
        let now = Instant::now();
        let worst = own
            .filter_map(|holder| Some((holder.place_rank(now)?, holder)))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, holder)| Rc::clone(holder));
        let Some(worst) = worst else {
            account.counts.closed_for_connections += 1;
            return false;
        };
        account.end(&worst, EndCause::Connections);
        true
    })
}

/// Returns whether other connections must get a turn before a listener that has `limit` of them
/// accepts the next one: some were told to end and still have their descriptors, or the next one
/// takes the place of another, whose request may have arrived and not been read.
pub(crate) fn needs_turn(listener: u64, limit: usize) -> bool {
    ACCOUNT.with_borrow(|account| {
        let own = account
            .holders
            .iter()
            .filter(|holder| holder.listener == listener && !holder.is_ending());
        account.ending > 0
            || account.held + CONNECTION_BYTES > account.limit
            || own.count() >= limit
    })
}

/// Ends the connections of a listener for which `is_stalled` holds.
pub(crate) fn end_stalled(listener: u64, is_stalled: impl Fn(&MemoryHolder) -> bool) {
    ACCOUNT.with_borrow_mut(|account| {
        let stalled: Vec<Rc<MemoryHolder>> = account
            .holders
            .iter()
            .filter(|holder| holder.listener == listener && !holder.is_ending())
            .filter(|holder| is_stalled(holder))
            .cloned()
            .collect();
        for holder in stalled {
            account.end(&holder, EndCause::Stalled);
        }
    });
}

/// The leased part of an answer that is being received or waits for others; returned when dropped.
///
/// A faulty peer may send bytes without end, on every connection at once. Each answer may therefore
/// grow to [`FREE_BYTES`] freely, and beyond that only while all larger answers of the thread stay
/// within a limit together. Usual answers need no lease, so that faulty peers can't starve them.
/// See `docs/PLATFORM.md`, "Bytes without end".
#[derive(Debug, Default)]
pub(crate) struct BufferLease {
    bytes: usize,
}

impl BufferLease {
    /// Extends the lease to an answer of `size` bytes; returns false if that exceeds the limit of
    /// all answers.
    pub(crate) fn extend_to(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(FREE_BYTES).saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        ACCOUNT.with_borrow_mut(|account| {
            let received = account.received + more;
            if received > MAX_RECEIVED_BYTES.min(account.limit / 2) {
                return false;
            }
            account.received = received;
            account.held += more;
            self.bytes += more;
            // Answers have a limit of their own, which leaves room on the account.
            let _fits = account.held <= account.limit || account.make_room(account.limit, None);
            true
        })
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        if self.bytes > 0 {
            ACCOUNT.with_borrow_mut(|account| {
                account.received = account.received.saturating_sub(self.bytes);
                account.held = account.held.saturating_sub(self.bytes);
            });
        }
    }
}

/// Bytes that belong to no connection: the copy of a request that is being sent, or a complete body;
/// on the account until dropped. They are never refused, since the request has been accepted: others
/// are ended for them.
#[derive(Debug, Default)]
pub(crate) struct HeldLease {
    bytes: usize,
}

impl HeldLease {
    /// Puts bytes on the account.
    pub(crate) fn charge(bytes: usize) -> Self {
        if bytes > 0 {
            ACCOUNT.with_borrow_mut(|account| {
                account.held += bytes;
                let _fits = account.held <= account.limit || account.make_room(account.limit, None);
            });
        }
        Self { bytes }
    }

    /// Takes over bytes that have just left the account of a connection; none is ended for them.
    pub(crate) fn take_over(bytes: usize) -> Self {
        ACCOUNT.with_borrow_mut(|account| account.held += bytes);
        Self { bytes }
    }
}

impl Drop for HeldLease {
    fn drop(&mut self) {
        if self.bytes > 0 {
            ACCOUNT.with_borrow_mut(|account| {
                account.held = account.held.saturating_sub(self.bytes);
            });
        }
    }
}

/// The lease of a request's body: on the account of its connection while it is read, and of its own
/// once it is complete.
#[derive(Debug, Default)]
pub struct BodyLease {
    holder: Option<Rc<MemoryHolder>>,
}

impl BodyLease {
    /// Returns the lease for the body of a request.
    pub fn of(request: &actix_http::Request) -> Self {
        let state = request.conn_data::<crate::connection_state::ConnectionState>();
        Self {
            holder: state.map(|state| Rc::clone(state.holder())),
        }
    }

    /// Records that `received` more bytes of the body have arrived, for which `capacity` bytes are
    /// held in all. Returns false if they don't fit and no other holder can be ended for them.
    pub fn extend(&self, received: usize, capacity: usize) -> bool {
        self.holder
            .as_ref()
            .is_none_or(|holder| holder.extend_body(received, capacity))
    }

    /// Records that the body is complete. Its bytes stay on the account until the last reference to
    /// them is dropped: an attempt may need them after the connection has ended.
    pub fn complete(&self, body: BytesMut) -> Bytes {
        let lease = self.holder.as_ref().map(|holder| holder.complete_body());
        leased_bytes(body, lease)
    }
}
