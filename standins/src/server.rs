//! Server threads of the stand-ins, each of which serves any number of listeners.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use actix_http::{HttpService, KeepAlive, Protocol};
use actix_service::{Service, ServiceFactory, map_config};
use actix_web::dev::AppConfig;
use actix_web::web::ServiceConfig;
use actix_web::{App, rt};
use snafu::ResultExt;
use tokio_util::sync::CancellationToken;

use crate::error::{BindSnafu, StandinError, ThreadSnafu};
use crate::gate::{ConnectionGate, GatedStream};

/// IP address on which stand-ins listen.
///
/// Outgoing connections use 127.0.0.1 as their source address, so none of them can take the port
/// of a stand-in that is down for a moment.
pub const STANDIN_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Delay between attempts to bind a listener again after a crash.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// A bound listener with the handlers that it serves.
pub(crate) struct ServerSpec {
    listener: TcpListener,
    address: SocketAddr,
    gate: Arc<ConnectionGate>,
    configure: Box<dyn FnOnce(&mut ServiceConfig) + Send>,
}

impl ServerSpec {
    /// Binds a listener; `configure` registers its routes.
    pub(crate) fn bind(
        address: SocketAddr,
        gate: Arc<ConnectionGate>,
        configure: impl FnOnce(&mut ServiceConfig) + Send + 'static,
    ) -> Result<Self, StandinError> {
        let listener = listen(address).context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        Ok(Self {
            listener,
            address,
            gate,
            configure: Box::new(configure),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Thread that serves its listeners until it is stopped or dropped.
pub(crate) struct ServerThread {
    stop: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

impl fmt::Debug for ServerThread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerThread").finish_non_exhaustive()
    }
}

impl ServerThread {
    pub(crate) fn spawn(name: &str, specs: Vec<ServerSpec>) -> Result<Self, StandinError> {
        let stop = CancellationToken::new();
        let stop_token = stop.clone();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || rt::System::new().block_on(serve_all(specs, stop_token)))
            .context(ThreadSnafu { name })?;
        Ok(Self {
            stop,
            thread: Some(thread),
        })
    }

    pub(crate) fn stop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the thread of a stand-in panicked");
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn serve_all(specs: Vec<ServerSpec>, stop: CancellationToken) {
    for spec in specs {
        rt::spawn(serve(spec, stop.clone()));
    }
    stop.cancelled().await;
}

/// Accepts connections and serves each until it ends or the gate simulates a crash.
async fn serve(spec: ServerSpec, stop: CancellationToken) {
    let ServerSpec {
        listener,
        address,
        gate,
        configure,
    } = spec;
    let app = App::new().configure(configure);
    let factory = HttpService::<GatedStream, _, _>::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .finish(map_config(app, |()| AppConfig::default()));
    let Ok(service) = factory.new_service(()).await else {
        tracing::error!(%address, "could not create the HTTP service of a stand-in; its listener is not served");
        return;
    };
    let mut listener = tokio::net::TcpListener::from_std(listener).ok();
    while !stop.is_cancelled() {
        let crash_token = gate.crash_token();
        if let Some(until) = gate.down_until() {
            listener = None;
            rt::time::sleep_until(until.into()).await;
        }
        let Some(active_listener) = &listener else {
            listener = rebind(address).await;
            continue;
        };
        let accepted = tokio::select! {
            accepted = active_listener.accept() => accepted,
            () = crash_token.cancelled() => continue,
            () = stop.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let Some(stream) = gate.admit(stream) else {
            continue;
        };
        let ready_at = Instant::now() + gate.connect_delay();
        let connection = service.call((stream, Protocol::Http1, Some(peer)));
        let stop = stop.clone();
        rt::spawn(async move {
            tokio::select! {
                () = serve_connection(ready_at, connection) => {}
                () = crash_token.cancelled() => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

async fn serve_connection<F, E>(ready_at: Instant, connection: F)
where
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    if ready_at > Instant::now() {
        rt::time::sleep_until(ready_at.into()).await;
    }
    if let Err(error) = connection.await {
        tracing::debug!(%error, "a connection to a stand-in failed");
    }
}

async fn rebind(address: SocketAddr) -> Option<tokio::net::TcpListener> {
    match listen(address).and_then(tokio::net::TcpListener::from_std) {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::warn!(%address, %error, "a stand-in could not listen again after a crash; retrying");
            rt::time::sleep(REBIND_DELAY).await;
            None
        }
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
