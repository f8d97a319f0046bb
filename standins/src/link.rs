//! TCP links between the zones of a site, with injected one-way or two-way network partitions.
//!
//! Each link listens in front of one listener and forwards bytes to it. The third octet of a
//! loopback address, `127.0.ZONE.x`, is the zone that a connection comes from; a partition affects
//! the connections from one zone to another. A partitioned connection stays open and forwards
//! nothing, as when a network drops packets, so both ends have to detect the loss themselves.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use actix_web::rt;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::error::{BindSnafu, StandinError, ThreadSnafu};

/// Part of a site whose connections a partition can affect; the third octet of a loopback address.
pub type LinkZone = u8;

/// One-way partition: blocks the connections that are opened from one zone to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkPartition {
    /// Zone that opens the connections.
    pub from: LinkZone,
    /// Zone of the listeners that accept the connections.
    pub to: LinkZone,
}

#[derive(Debug)]
struct Link {
    listener: std::net::TcpListener,
    target: SocketAddr,
    zone: LinkZone,
}

/// A set of links that share a thread and a list of partitions.
#[derive(Debug)]
pub struct LinkMesh {
    partitions: watch::Sender<Vec<LinkPartition>>,
    links: mpsc::UnboundedSender<Link>,
    stop: CancellationToken,
    thread: Mutex<Option<std::thread::JoinHandle<()>>>,
}

impl LinkMesh {
    /// Starts a mesh without links.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if the thread can't be started.
    pub fn start() -> Result<Self, StandinError> {
        let (links, link_receiver) = mpsc::unbounded_channel();
        let (partitions, partition_receiver) = watch::channel(Vec::new());
        let stop = CancellationToken::new();
        let stop_token = stop.clone();
        let thread = std::thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || {
                rt::System::new().block_on(serve_links(
                    link_receiver,
                    partition_receiver,
                    stop_token,
                ));
            })
            .context(ThreadSnafu { name: "links" })?;
        Ok(Self {
            partitions,
            links,
            stop,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Adds a link to a listener in `zone` and returns the address on which the link listens.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if the link can't listen.
    pub fn add(&self, target: SocketAddr, zone: LinkZone) -> Result<SocketAddr, StandinError> {
        let address = SocketAddr::new(target.ip(), 0);
        let listener = std::net::TcpListener::bind(address).context(BindSnafu { address })?;
        listener
            .set_nonblocking(true)
            .context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        let link = Link {
            listener,
            target,
            zone,
        };
        let _thread_may_have_stopped = self.links.send(link);
        Ok(address)
    }

    /// Partitions exactly the given zone pairs, for open and for later connections.
    pub fn partition(&self, partitions: Vec<LinkPartition>) {
        self.partitions.send_replace(partitions);
    }

    /// Ends every partition and closes the connections that were partitioned.
    pub fn heal(&self) {
        self.partition(Vec::new());
    }
}

impl Drop for LinkMesh {
    fn drop(&mut self) {
        self.stop.cancel();
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the thread of the links panicked");
        }
    }
}

async fn serve_links(
    mut link_receiver: mpsc::UnboundedReceiver<Link>,
    partitions: watch::Receiver<Vec<LinkPartition>>,
    stop: CancellationToken,
) {
    loop {
        let link = tokio::select! {
            () = stop.cancelled() => return,
            link = link_receiver.recv() => link,
        };
        let Some(link) = link else {
            return;
        };
        rt::spawn(serve_link(link, partitions.clone(), stop.clone()));
    }
}

async fn serve_link(
    link: Link,
    partitions: watch::Receiver<Vec<LinkPartition>>,
    stop: CancellationToken,
) {
    let Ok(listener) = TcpListener::from_std(link.listener) else {
        return;
    };
    let partitions = Arc::new(partitions);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            continue;
        };
        let partition = LinkPartition {
            from: zone_of(from),
            to: link.zone,
        };
        let partitions = partitions.as_ref().clone();
        let stop = stop.clone();
        let target = link.target;
        rt::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = forward_bytes(stream, target, partition, partitions) => {}
            }
        });
    }
}

/// Forwards bytes until an end closes. On a partition, holds both ends open without forwarding
/// until the partition ends, and then closes them.
async fn forward_bytes(
    mut stream: TcpStream,
    target: SocketAddr,
    partition: LinkPartition,
    mut partitions: watch::Receiver<Vec<LinkPartition>>,
) {
    let mut partition_receiver = partitions.clone();
    let is_partitioned = |partitions: &Vec<LinkPartition>| partitions.contains(&partition);
    let forwarding = async {
        let Ok(mut upstream) = TcpStream::connect(target).await else {
            return;
        };
        if stream.set_nodelay(true).is_ok() && upstream.set_nodelay(true).is_ok() {
            let _an_end_closed = tokio::io::copy_bidirectional(&mut stream, &mut upstream).await;
        }
    };
    tokio::pin!(forwarding);
    tokio::select! {
        biased;
        _ = partition_receiver.wait_for(is_partitioned) => {}
        () = &mut forwarding => return,
    }
    // Both streams stay open, but the forwarding is no longer polled.
    let _mesh_stopped = partitions
        .wait_for(|partitions| !is_partitioned(partitions))
        .await;
}

fn zone_of(address: SocketAddr) -> LinkZone {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[2],
        IpAddr::V6(_) => 0,
    }
}
