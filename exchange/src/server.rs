//! HTTP/1 server on the current thread: [`serve`].

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Extensions, HttpServiceBuilder, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::connection_state::ConnectionState;
use crate::memory_account::{HolderEntry, end_stalled, make_place, needs_turn};
use crate::served_stream::ServedStream;
use crate::socket::LinkOptions;
use crate::turn_stream::TurnStream;

/// Delay after a failed accept, such as when file descriptors run out; descriptors are released as
/// other connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of connections that are accepted before other tasks of the thread get a turn.
const ACCEPTS_PER_TURN: u32 = 32;
/// Interval at which connections are checked for heads and answers without progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an answer of which the reader has taken nothing ends. A slow but proper reader
/// takes bytes each few seconds.
const ANSWER_STALL_LIMIT: Duration = Duration::from_secs(60);
/// Extra time of a head: the server library ends the first one of a connection itself, with 408.
const HEAD_SLACK: Duration = Duration::from_secs(1);
/// Default of [`ServeOptions::max_head_bytes`]: what the server library accepts.
pub const LIBRARY_HEAD_BYTES: usize = 128 * 1024;

thread_local! {
    static NEXT_LISTENER: Cell<u64> = const { Cell::new(0) };
}

/// Settings of served connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeOptions {
    /// Maximum time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Maximum time in which a request's head must be complete.
    pub head_timeout: Duration,
    /// Maximum number of open connections. At the bound, one without a request is closed.
    pub max_connections: usize,
    /// Maximum number of bytes of a head that is not complete; the connection is closed beyond.
    pub max_head_bytes: usize,
    /// Socket options, which detect a peer that disappears without closing the connection.
    pub link: LinkOptions,
}

/// The two ways to end a server.
#[derive(Clone, Debug, Default)]
pub struct StopTokens {
    /// Ends the server without losing an answer: it accepts no connection, closes those without a
    /// request, and closes each other one after its answer. Requests on connections that are closed
    /// have not been read, so that their callers may send them again.
    pub drain: CancellationToken,
    /// Ends the server and all connections at once.
    pub abort: CancellationToken,
}

/// Serves the connections of a listener, each as a task of this thread, until it is told to end;
/// returns when all of them have ended, or at once when it is aborted. `options` is called for each accepted connection, so
/// changed options apply to new connections.
///
/// A request whose connection ends is dropped at once. A caller that closes only its sending half
/// is treated as disconnected too, since the two can't be distinguished before an answer is written.
pub async fn serve<F, Fut>(
    listener: TcpListener,
    options: impl Fn() -> ServeOptions,
    stop: StopTokens,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let handler = drainable(handler, stop.drain.clone());
    let tasks = TaskTracker::new();
    let mut current_options = options();
    let Some(mut service) = connection_service(current_options, handler.clone()).await else {
        return;
    };
    let number = NEXT_LISTENER.with(|next| next.replace(next.get() + 1));
    let mut accepted_in_turn = 0;
    let mut stall_checks = tokio::time::interval(STALL_CHECK_INTERVAL);
    loop {
        let accepted = tokio::select! {
            () = stop.abort.cancelled() => return,
            () = stop.drain.cancelled() => break,
            _ = stall_checks.tick() => {
                end_stalled_connections(number, current_options.head_timeout);
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let requested_options = options();
        if requested_options != current_options
            && let Some(changed) = connection_service(requested_options, handler.clone()).await
        {
            (current_options, service) = (requested_options, changed);
        }
        if !make_place(number, current_options.max_connections) {
            // All connections wait for answers.
            drop(stream);
            continue;
        }
        let _best_effort = stream.set_nodelay(true);
        let _best_effort = current_options.link.enable_keepalive(&stream);
        let (service, stop) = (Rc::clone(&service), stop.clone());
        let max_head_bytes = current_options.max_head_bytes;
        // The connection counts from now on, before its task runs.
        let entry = HolderEntry::open(number);
        tasks.spawn_local(async move {
            let state = ConnectionState::new(Rc::clone(&entry.holder));
            let stream = ServedStream::new(TurnStream::new(stream), state.clone(), max_head_bytes);
            // When the connection ends, its requests have been dropped, so the result is not
            // needed.
            let connection = service.call((stream, Some(peer)));
            run_connection(connection, &state, &stop).await;
            drop(entry);
        });
        // With a turn of all connections after each accept, a caller waits for as many turns as
        // there are others ahead of it, which takes long if the open ones send tiny chunks.
        accepted_in_turn += 1;
        if accepted_in_turn >= ACCEPTS_PER_TURN
            || needs_turn(number, current_options.max_connections)
        {
            accepted_in_turn = 0;
            tokio::task::yield_now().await;
        }
    }
    drop(listener);
    tasks.close();
    tokio::select! {
        () = stop.abort.cancelled() => {}
        () = tasks.wait() => {}
    }
}

/// Ends the connections of a listener whose heads or answers make no progress.
fn end_stalled_connections(listener: u64, head_timeout: Duration) {
    let now = Instant::now();
    end_stalled(listener, |holder| {
        holder.head_age(now) > head_timeout + HEAD_SLACK
            || holder.output_age(now) > ANSWER_STALL_LIMIT
    });
}

/// Runs a connection until it ends, is told to end, or the server does. A connection without a
/// request is not polled once the server drains, as that would read a request that has just arrived.
async fn run_connection(connection: impl Future, state: &ConnectionState, stop: &StopTokens) {
    tokio::pin!(connection);
    let ending = state.holder().token();
    tokio::select! {
        biased;
        () = stop.abort.cancelled() => return,
        () = ending.cancelled() => return,
        () = stop.drain.cancelled() => {}
        _ended = &mut connection => return,
    }
    if state.is_idle() {
        return;
    }
    // An answer that was encoded before the drain doesn't close its connection.
    let served = std::future::poll_fn(|cx| {
        let ended = connection.as_mut().poll(cx);
        if ended.is_ready() || state.is_idle() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    });
    tokio::select! {
        () = stop.abort.cancelled() => {}
        () = ending.cancelled() => {}
        () = served => {}
    }
}

/// Returns a handler that records which connections wait for an answer, and whose answers close
/// their connections once the server drains.
fn drainable<F, Fut>(
    handler: F,
    drain: CancellationToken,
) -> impl Fn(Request) -> std::pin::Pin<Box<dyn Future<Output = HandlerResult>>> + Clone + 'static
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = HandlerResult> + 'static,
{
    move |mut request: Request| {
        let state = request.conn_data::<ConnectionState>().cloned();
        let guard = state.map(|state| state.begin_request(&mut request));
        let answer = handler(request);
        let drain = drain.clone();
        Box::pin(async move {
            let mut response = answer.await?;
            if drain.is_cancelled() {
                response
                    .head_mut()
                    .set_connection_type(ConnectionType::Close);
            }
            Ok(match guard {
                Some(guard) => guard.attach_to(response),
                None => response,
            })
        })
    }
}

/// The result of a handler, which always answers.
type HandlerResult = Result<Response<BoxBody>, Infallible>;

/// Creates the service that serves connections with the given options.
async fn connection_service<F, Fut>(
    options: ServeOptions,
    handler: F,
) -> Option<Rc<impl Service<(ServedStream, Option<SocketAddr>)>>>
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = HandlerResult> + 'static,
{
    let factory = HttpServiceBuilder::default()
        .keep_alive(KeepAlive::Timeout(options.idle_timeout))
        .client_request_timeout(options.head_timeout)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &ServedStream, data: &mut Extensions| {
            data.insert(stream.state().clone());
        })
        .h1(fn_service(handler));
    factory.new_service(()).await.ok().map(Rc::new)
}
