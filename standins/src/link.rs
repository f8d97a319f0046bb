//! Links between the parts of a site, which can be cut by zone, one way or both.
//!
//! Each link stands before one listener and passes bytes on. The third number of a loopback
//! address, `127.0.ZONE.x`, is the zone that a connection comes from; a cut concerns connections
//! from one zone to another. On a cut link bytes go nowhere and nothing is closed, as when a
//! network loses packets; so each end must notice by itself.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use actix_web::rt;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::error::{BindSnafu, StandinError, ThreadSnafu};

/// A part of a site, by which links are cut.
pub type LinkZone = u8;

/// Connections from one zone to another that are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCut {
    /// The zone that the connections come from.
    pub from: LinkZone,
    /// The zone that they go to.
    pub to: LinkZone,
}

#[derive(Debug)]
struct Link {
    listener: std::net::TcpListener,
    target: SocketAddr,
    zone: LinkZone,
}

/// Links that are served by one thread and cut together.
#[derive(Debug)]
pub struct LinkMesh {
    cuts: watch::Sender<Vec<LinkCut>>,
    links: mpsc::UnboundedSender<Link>,
    stop: CancellationToken,
    thread: Mutex<Option<std::thread::JoinHandle<()>>>,
}

impl LinkMesh {
    /// Starts a mesh without links.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if its thread can't be started.
    pub fn start() -> Result<Self, StandinError> {
        let (links, added) = mpsc::unbounded_channel();
        let (cuts, watched) = watch::channel(Vec::new());
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let thread = std::thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || rt::System::new().block_on(serve_links(added, watched, stopped)))
            .context(ThreadSnafu { name: "links" })?;
        Ok(Self {
            cuts,
            links,
            stop,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Puts a link before a listener of a zone, and returns where the link listens.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if no address can be had.
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

    /// Cuts connections, those that are open and those to come, and no others.
    pub fn cut(&self, cuts: Vec<LinkCut>) {
        self.cuts.send_replace(cuts);
    }

    /// Heals every cut; connections that were open before it stay lost.
    pub fn heal(&self) {
        self.cut(Vec::new());
    }
}

impl Drop for LinkMesh {
    fn drop(&mut self) {
        self.stop.cancel();
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(thread) = thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the links' thread panicked");
        }
    }
}

async fn serve_links(
    mut added: mpsc::UnboundedReceiver<Link>,
    cuts: watch::Receiver<Vec<LinkCut>>,
    stop: CancellationToken,
) {
    loop {
        let link = tokio::select! {
            () = stop.cancelled() => return,
            link = added.recv() => link,
        };
        let Some(link) = link else {
            return;
        };
        rt::spawn(serve_link(link, cuts.clone(), stop.clone()));
    }
}

async fn serve_link(link: Link, cuts: watch::Receiver<Vec<LinkCut>>, stop: CancellationToken) {
    let Ok(listener) = TcpListener::from_std(link.listener) else {
        return;
    };
    let cuts = Arc::new(cuts);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            continue;
        };
        let cut = LinkCut {
            from: zone_of(from),
            to: link.zone,
        };
        let cuts = cuts.as_ref().clone();
        let stop = stop.clone();
        let target = link.target;
        rt::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = pass_on(stream, target, cut, cuts) => {}
            }
        });
    }
}

/// Passes bytes on until an end closes; once cut, holds both ends open in silence until healed.
async fn pass_on(
    mut stream: TcpStream,
    target: SocketAddr,
    cut: LinkCut,
    mut cuts: watch::Receiver<Vec<LinkCut>>,
) {
    let mut watched = cuts.clone();
    let is_cut = |cuts: &Vec<LinkCut>| cuts.contains(&cut);
    let passing = async {
        let Ok(mut onward) = TcpStream::connect(target).await else {
            return;
        };
        if stream.set_nodelay(true).is_ok() && onward.set_nodelay(true).is_ok() {
            let _an_end_closed = tokio::io::copy_bidirectional(&mut stream, &mut onward).await;
        }
    };
    tokio::pin!(passing);
    tokio::select! {
        biased;
        _ = watched.wait_for(is_cut) => {}
        () = &mut passing => return,
    }
    // What passes bytes is kept but no longer polled: that is the silence.
    let _mesh_stopped = cuts.wait_for(|cuts| !is_cut(cuts)).await;
}

fn zone_of(address: SocketAddr) -> LinkZone {
    match address.ip() {
        IpAddr::V4(ip) => ip.octets()[2],
        IpAddr::V6(_) => 0,
    }
}
