//! The pool of this daemon's connections to one target.
//!
//! The count of open connections goes up before a connection is created and down once its stream is
//! gone, so that it never exceeds the daemon's share of the target's connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use yuccalift_core::connection_watch::{ConnectionId, ConnectionWatch};

use super::connection::{LeafConnection, LeafEndpoint};
use super::stream::ConnectionSlot;

/// Time that a call waits for a connection before it fails as not sent. The engine keeps its
/// attempts within the share, so only a probe or a closing stream can cause a wait.
const CHECKOUT_TIMEOUT: Duration = Duration::from_millis(100);

/// The connections to one target, limited to the daemon's share.
pub(super) struct ConnectionPool {
    endpoint: LeafEndpoint,
    limit: Cell<u32>,
    open_count: Rc<Cell<u32>>,
    slot_freed: Rc<Notify>,
    next_id: Cell<ConnectionId>,
    idle: RefCell<Vec<LeafConnection>>,
    /// Whether the next free slot is reserved for a probe of the target.
    is_reserved: Cell<bool>,
    pub(super) watch: RefCell<ConnectionWatch>,
}

/// A connection in use; dropping the lease closes the connection unless it was put back.
pub(super) struct ConnectionLease<'pool> {
    pool: &'pool ConnectionPool,
    connection: Option<LeafConnection>,
}

impl ConnectionPool {
    pub(super) fn new(address: SocketAddr, limit: u32) -> Self {
        Self {
            endpoint: LeafEndpoint::new(address),
            limit: Cell::new(limit),
            open_count: Rc::default(),
            slot_freed: Rc::default(),
            next_id: Cell::new(1),
            idle: RefCell::default(),
            is_reserved: Cell::new(false),
            watch: RefCell::default(),
        }
    }

    /// Returns the target's address as text.
    pub(super) fn host(&self) -> &str {
        self.endpoint.host()
    }

    /// Returns the number of connections, including those that are being opened or closed.
    pub(super) fn open_count(&self) -> u32 {
        self.open_count.get()
    }

    pub(super) fn idle_count(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Changes the maximum number of connections. Idle connections above it are closed at once,
    /// those in use when they are put back.
    pub(super) fn set_limit(&self, limit: u32) {
        self.limit.set(limit);
        while self.open_count.get() > limit && self.close_oldest_idle() {}
        self.slot_freed.notify_one();
    }

    /// Returns the most recently used idle connection or a new one, waiting for a free slot if
    /// needed. Returns `None` if the share is still used up at `until`.
    pub(super) async fn check_out(&self, until: Instant) -> Option<ConnectionLease<'_>> {
        let until = until.min(Instant::now() + CHECKOUT_TIMEOUT);
        loop {
            let found = self.try_check_out();
            if found.is_some() {
                return found;
            }
            let slot_freed = self.slot_freed.notified();
            tokio::time::timeout_at(until.into(), slot_freed)
                .await
                .ok()?;
        }
    }

    /// Returns an idle connection, or a new one if the share permits it now.
    pub(super) fn try_check_out(&self) -> Option<ConnectionLease<'_>> {
        self.take_idle()
            .or_else(|| (!self.is_reserved.get()).then(|| self.open_new()).flatten())
    }

    /// Returns the most recently used idle connection, if any.
    fn take_idle(&self) -> Option<ConnectionLease<'_>> {
        let connection = self.idle.borrow_mut().pop()?;
        Some(self.lease(connection))
    }

    /// Returns the connection with this id if it is idle.
    pub(super) fn take_idle_by_id(&self, id: ConnectionId) -> Option<ConnectionLease<'_>> {
        let mut idle = self.idle.borrow_mut();
        let position = idle.iter().position(|known| known.id == id)?;
        let connection = idle.remove(position);
        drop(idle);
        Some(self.lease(connection))
    }

    /// Opens a connection for a probe of the target, closing an idle one if the share is used up;
    /// `free_slot` is called if none is idle.
    pub(super) async fn check_out_new(
        &self,
        free_slot: impl FnOnce(),
    ) -> Option<ConnectionLease<'_>> {
        if self.limit.get() == 0 {
            return None;
        }
        let _reservation = Reservation::new(&self.is_reserved);
        if self.open_count.get() >= self.limit.get() && !self.close_oldest_idle() {
            free_slot();
        }
        loop {
            let found = self.open_new();
            if found.is_some() {
                return found;
            }
            self.slot_freed.notified().await;
        }
    }

    fn open_new(&self) -> Option<ConnectionLease<'_>> {
        if self.open_count.get() >= self.limit.get() {
            return None;
        }
        let slot = ConnectionSlot::take(&self.open_count, &self.slot_freed);
        assert!(
            self.open_count.get() <= self.limit.get(),
            "connections to {} stay within the share",
            self.host()
        );
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = LeafConnection::new(id, &self.endpoint, slot)?;
        self.watch.borrow_mut().record_open(Instant::now(), id);
        Some(self.lease(connection))
    }

    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return false;
        }
        let connection = idle.remove(0);
        drop(idle);
        drop(self.lease(connection));
        true
    }

    fn lease(&self, connection: LeafConnection) -> ConnectionLease<'_> {
        ConnectionLease {
            pool: self,
            connection: Some(connection),
        }
    }
}

impl ConnectionLease<'_> {
    pub(super) fn connection(&self) -> &LeafConnection {
        self.connection
            .as_ref()
            .expect("a lease holds its connection until it is put back")
    }

    /// Returns the connection to the pool, or closes it if the share has shrunk.
    pub(super) fn put_back(mut self) {
        if self.pool.open_count.get() > self.pool.limit.get() {
            return;
        }
        if let Some(connection) = self.connection.take() {
            self.pool.idle.borrow_mut().push(connection);
            self.pool.slot_freed.notify_one();
        }
    }
}

impl Drop for ConnectionLease<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.watch.borrow_mut().remove(connection.id);
        }
    }
}

/// Reserves the next free slot for a probe until dropped.
struct Reservation<'pool>(&'pool Cell<bool>);

impl<'pool> Reservation<'pool> {
    fn new(is_reserved: &'pool Cell<bool>) -> Self {
        is_reserved.set(true);
        Self(is_reserved)
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
