//! Serving HTTP/1 on the present thread: [`serve`].

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::socket::LinkOptions;

/// How long to wait when no further connection can be had: some come free as others end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How connections are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeOptions {
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// How long a head may take to come.
    pub head_timeout: Duration,
    /// How connections find out that their other end is gone without a word.
    pub link: LinkOptions,
}

/// Serves a listener's connections, each as a task of this thread, until the token is cancelled. Each
/// connection is served as `options` says when it is accepted.
///
/// A request whose connection ends is dropped at once; a caller that closes only its half is taken
/// for gone as well, since the two can't be told apart before an answer is written.
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
        let _unset_options_do_no_harm = stream.set_nodelay(true);
        let _unset_options_do_no_harm = current_options.link.enable_keepalive(&stream);
        let service = Rc::clone(&service);
        let stop = stop.clone();
        tokio::task::spawn_local(async move {
            // A connection that breaks has ended its requests by itself.
            tokio::select! {
                _ended = service.call(stream) => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// What serves one connection after the other with these options.
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
