//! Opening and listening sockets, and their options.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Size of the receive buffer of a connection that is accepted. The kernel reserves twice as much, its
/// usual size at first, and would otherwise let it grow to megabytes, which count towards the memory
/// of the process while they are unread.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

thread_local! {
    static OUTGOING_ADDRESS: Cell<Option<SocketAddr>> = const { Cell::new(None) };
}

/// Sets the local address of the connections that this thread opens from now on; a port of 0 lets
/// the system choose one for each. Without a call of this function the system chooses both.
pub fn set_outgoing_address(address: SocketAddr) {
    OUTGOING_ADDRESS.set(Some(address));
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = OUTGOING_ADDRESS.get() else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(source)?;
    socket.connect(address).await
}

/// Socket options by which a connection detects that its peer is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Idle time before the first keep-alive probe, and interval between probes.
    pub keepalive_interval: Duration,
    /// Number of unanswered keep-alive probes after which the connection is closed.
    pub keepalive_probes: u32,
}

impl LinkOptions {
    /// Opens a connection and sets its options.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the connection can't be opened or its options can't be set; of kind
    /// [`io::ErrorKind::TimedOut`] after [`Self::connect_timeout`].
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = tokio::time::timeout(self.connect_timeout, open(address))
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        self.enable_keepalive(&stream)?;
        Ok(stream)
    }

    /// Enables TCP keep-alive on a connection.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the options can't be set.
    pub fn enable_keepalive(&self, stream: &TcpStream) -> io::Result<()> {
        let keepalive = TcpKeepalive::new()
            .with_time(self.keepalive_interval)
            .with_interval(self.keepalive_interval)
            .with_retries(self.keepalive_probes);
        SockRef::from(stream).set_tcp_keepalive(&keepalive)
    }
}

/// Listens on an address, even if connections of an earlier process on it are still in `TIME_WAIT`.
///
/// # Errors
///
/// [`io::Error`] if the socket can't be bound to the address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
