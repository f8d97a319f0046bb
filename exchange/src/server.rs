//! HTTP/1 server on the current thread: [`serve`].

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::socket::LinkOptions;

/// Delay after a failed accept, such as when file descriptors run out; descriptors are released as
/// other connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Settings of served connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeOptions {
    /// Maximum time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Maximum time in which a request's head must be complete.
    pub head_timeout: Duration,
    /// Socket options, which detect a peer that disappears without closing the connection.
    pub link: LinkOptions,
}

/// Serves the connections of a listener, each as a task of this thread, until the token is
/// cancelled. `options` is called for each accepted connection, so changed options apply to new
/// connections.
///
/// A request whose connection ends is dropped at once. A caller that closes only its sending half
/// is treated as disconnected too, since the two can't be distinguished before an answer is written.
pub async fn serve<F, Fut>(
    listener: TcpListener,
    options: impl Fn() -> ServeOptions,
    stop: CancellationToken,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let mut current_options = options();
    let Some(mut service) = connection_service(current_options, handler.clone()).await else {
        return;
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let requested_options = options();
        if requested_options != current_options
            && let Some(changed) = connection_service(requested_options, handler.clone()).await
        {
            (current_options, service) = (requested_options, changed);
        }
        let _best_effort = stream.set_nodelay(true);
        let _best_effort = current_options.link.enable_keepalive(&stream);
        let service = Rc::clone(&service);
        let stop = stop.clone();
        tokio::task::spawn_local(async move {
            // When the connection ends, its requests have been dropped, so the result is not
            // needed.
            tokio::select! {
                _ended = service.call(stream) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// Creates the service that serves connections with the given options.
async fn connection_service<F, Fut>(
    options: ServeOptions,
    handler: F,
) -> Option<Rc<impl Service<TcpStream>>>
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(options.idle_timeout))
        .client_request_timeout(options.head_timeout)
        .h1_allow_half_closed(false)
        .h1(fn_service(handler))
        .tcp();
    factory.new_service(()).await.ok().map(Rc::new)
}
