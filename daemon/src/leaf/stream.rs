//! The TCP stream beneath one connection, with a record of what passed over it.
//!
//! `awc` does not say how much of a request was written when a call fails: it even reports a
//! connection that the target closed after the request as a connect error. So each connection
//! keeps count itself, at the stream. That makes "no byte was sent" a fact, and puts the last
//! check of the deadline directly before the write.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// A place among the connections that a target's share allows; it is free again once the
/// connection and its stream are gone.
#[derive(Debug)]
pub(super) struct ConnectionPlace {
    open: Rc<Cell<u32>>,
    freed: Rc<Notify>,
}

impl ConnectionPlace {
    /// Takes a place; the caller has seen that one is free.
    pub(super) fn take(open: &Rc<Cell<u32>>, freed: &Rc<Notify>) -> Rc<Self> {
        open.set(open.get() + 1);
        Rc::new(Self {
            open: Rc::clone(open),
            freed: Rc::clone(freed),
        })
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        self.freed.notify_one();
    }
}

/// What passed over one connection.
#[derive(Debug)]
pub(super) struct StreamRecord {
    connected: Cell<bool>,
    last_read: Cell<Instant>,
    write_by: Cell<Option<Instant>>,
    wrote: Cell<bool>,
    too_late: Cell<bool>,
}

impl StreamRecord {
    pub(super) fn new(now: Instant) -> Rc<Self> {
        Rc::new(Self {
            connected: Cell::new(false),
            last_read: Cell::new(now),
            write_by: Cell::new(None),
            wrote: Cell::new(false),
            too_late: Cell::new(false),
        })
    }

    /// Prepares for one request, whose first byte must be written before `write_by`.
    pub(super) fn arm(&self, write_by: Option<Instant>) {
        self.write_by.set(write_by);
        self.wrote.set(false);
        self.too_late.set(false);
    }

    /// Whether any byte of the request was handed to the system.
    pub(super) fn wrote(&self) -> bool {
        self.wrote.get()
    }

    /// Whether the request was held back since its time had passed.
    pub(super) fn was_too_late(&self) -> bool {
        self.too_late.get() && !self.wrote.get()
    }

    /// Whether the connection was ever open.
    pub(super) fn was_connected(&self) -> bool {
        self.connected.get()
    }

    /// When bytes last came, or when the connection was made.
    pub(super) fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// The last check before the first byte of a request.
    fn check_write(&self) -> io::Result<()> {
        if self.wrote.get() {
            return Ok(());
        }
        let in_time = self
            .write_by
            .get()
            .is_none_or(|write_by| Instant::now() < write_by);
        if in_time {
            return Ok(());
        }
        self.too_late.set(true);
        Err(io::ErrorKind::TimedOut.into())
    }
}

/// A TCP stream that keeps its record, and its place among the target's connections.
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TcpStream,
    record: Rc<StreamRecord>,
    _place: Rc<ConnectionPlace>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        if buf.filled().len() > filled {
            this.record.last_read.set(Instant::now());
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.record.check_write()?;
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        if matches!(result, Poll::Ready(Ok(written)) if written > 0) {
            this.record.wrote.set(true);
        }
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl ActixStream for WatchedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}

/// Opens the one TCP stream of a connection.
///
/// A client of `awc` would open another stream by itself when the first is closed; here that
/// fails, so that a request goes over the stream that was proven alive, or not at all.
#[derive(Clone, Debug)]
pub(super) struct SingleConnector {
    pub(super) address: SocketAddr,
    pub(super) record: Rc<StreamRecord>,
    pub(super) place: Rc<ConnectionPlace>,
}

impl Service<ConnectInfo<Uri>> for SingleConnector {
    type Response = Connection<Uri, WatchedStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, _ctx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&self, req: ConnectInfo<Uri>) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move {
            if connector.record.connected.get() {
                return Err(ConnectError::Io(io::ErrorKind::NotConnected.into()));
            }
            let stream = TcpStream::connect(connector.address)
                .await
                .map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            connector.record.connected.set(true);
            connector.record.last_read.set(Instant::now());
            let stream = WatchedStream {
                stream,
                record: connector.record,
                _place: connector.place,
            };
            Ok(Connection::new(req.request().clone(), stream))
        })
    }
}
