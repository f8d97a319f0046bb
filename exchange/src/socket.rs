//! Sockets and their options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How many connections may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// How a connection finds out that its other end is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// How long a connection attempt may take.
    pub connect_timeout: Duration,
    /// After how long without traffic the other end is probed, and how long between probes.
    pub keepalive_interval: Duration,
    /// How many probes may go unanswered before the connection is closed.
    pub keepalive_probes: u32,
}

impl LinkOptions {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The socket's error, or [`io::ErrorKind::TimedOut`].
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.connect_timeout, connecting)
            .await
            .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        self.enable_keepalive(&stream)?;
        Ok(stream)
    }

    /// Lets the system probe a connection.
    ///
    /// # Errors
    ///
    /// The socket's error.
    pub fn enable_keepalive(&self, stream: &TcpStream) -> io::Result<()> {
        let keepalive = TcpKeepalive::new()
            .with_time(self.keepalive_interval)
            .with_interval(self.keepalive_interval)
            .with_retries(self.keepalive_probes);
        SockRef::from(stream).set_tcp_keepalive(&keepalive)
    }
}

/// Listens at an address, which a process that has just ended may still hold.
///
/// # Errors
///
/// The socket's error.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
