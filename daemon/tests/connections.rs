//! Connections to a target that are closed at any stage of a request, go silent, or close when idle.

#[path = "support/scripted_leaf.rs"]
mod scripted_leaf;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use scripted_leaf::{LeafScript, ScriptedLeaf};
use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::connection_watch::{CHECK_PERIOD, MAX_RETIRE_TIME};
use yuccalift_core::event::AttemptFailure;
use yuccalift_core::{EngineEvent, RequestKind, Snapshot};
use yuccalift_daemon::leaf::LeafClient;
use yuccalift_testkit::cases;

/// Time to the deadline that is longer than any failure takes to be detected.
const DEADLINE: Duration = Duration::from_secs(5);
const EXECUTE: RequestKind = RequestKind::Execute { shard: 0 };
/// Connection limit that allows new connections after a failure.
const SHARE: u32 = 3;

fn plan(address: SocketAddr, kind: RequestKind, attempt: u64) -> AttemptPlan {
    AttemptPlan {
        attempt,
        query: attempt + 1_000,
        request: format!("request-{attempt}").into(),
        target: 1,
        address,
        shard: 0,
        kind,
        snapshot: Snapshot {
            epoch: 1,
            version: 1,
        },
        text: "ewe 4711".into(),
        limit: 1,
        fingerprint: 1,
        deadline: Instant::now() + DEADLINE,
        cause: AttemptCause::First,
    }
}

/// Runs a test on one thread, together with the client's periodic maintenance as the lane runs it.
fn with_client<F: Future<Output = ()>>(
    address: SocketAddr,
    share: u32,
    test: impl FnOnce(Rc<LeafClient>) -> F,
) {
    actix_rt::System::new().block_on(async move {
        let client = LeafClient::new(address, "test/1", share);
        let maintained = Rc::clone(&client);
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_PERIOD).await;
                for task in maintained.due_maintenance(Instant::now()) {
                    let client = Rc::clone(&maintained);
                    actix_rt::spawn(async move { client.run_maintenance(task).await });
                }
            }
        });
        test(client).await;
    });
}

fn failure(event: &EngineEvent) -> Option<&AttemptFailure> {
    match event {
        EngineEvent::Failed { failure, .. } => Some(failure),
        _ => None,
    }
}

/// A failure reported as "not run" is true: the target has read no byte of the request.
fn not_run_means_no_byte_read(kind: RequestKind, script: LeafScript) {
    let leaf = ScriptedLeaf::start(vec![script]);
    with_client(leaf.address, SHARE, async |client| {
        let event = client.call(plan(leaf.address, kind, 1)).await;
        let failure = failure(&event).expect("no complete answer arrives");
        let bytes = leaf.record().work_bytes;
        assert!(
            !failure.is_not_run() || bytes == 0,
            "{failure:?} says not run, but the target read {bytes} bytes"
        );
    });
}

fn close_after_request_is_lost(kind: RequestKind) {
    let leaf = ScriptedLeaf::start(vec![LeafScript::CloseAfterRequest]);
    with_client(leaf.address, SHARE, async |client| {
        let event = client.call(plan(leaf.address, kind, 1)).await;
        assert_eq!(
            failure(&event),
            Some(&AttemptFailure::Lost),
            "the target read the request and may have run it"
        );
        assert_eq!(leaf.record().work.len(), 1, "the request is not sent again");
    });
}

fn truncated_answer_is_no_reply() {
    let mut bytes = 1;
    loop {
        let leaf = ScriptedLeaf::start(vec![LeafScript::CloseInAnswer(bytes)]);
        let mut is_past_end = false;
        with_client(leaf.address, SHARE, async |client| {
            let event = client
                .call(plan(leaf.address, RequestKind::Search, 1))
                .await;
            let failure = failure(&event).expect("a truncated answer is no reply");
            assert!(!failure.is_not_run(), "the request was run: {failure:?}");
        });
        is_past_end |= bytes > ANSWER_BYTES;
        if is_past_end {
            return;
        }
        bytes += TRUNCATION_STEP;
    }
}

/// Upper bound of the scripted answer's size, in bytes.
const ANSWER_BYTES: usize = 180;
/// Step between truncation points; it yields several in the head and several in the body.
const TRUNCATION_STEP: usize = 13;

fn answer_to_another_attempt_is_garbled() {
    let leaf = ScriptedLeaf::start(vec![LeafScript::AnswerOtherAttempt]);
    with_client(leaf.address, SHARE, async |client| {
        let event = client
            .call(plan(leaf.address, RequestKind::Search, 1))
            .await;
        assert_eq!(failure(&event), Some(&AttemptFailure::Garbled));
    });
}

fn closed_port_is_not_sent(kind: RequestKind) {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    drop(listener);
    with_client(address, SHARE, async |client| {
        let event = client.call(plan(address, kind, 1)).await;
        assert_eq!(failure(&event), Some(&AttemptFailure::NotSent));
        assert_eq!(
            client.open_connections(),
            0,
            "the connection slot is free again"
        );
    });
}

fn closed_idle_connection_is_replaced(kind: RequestKind) {
    let leaf = ScriptedLeaf::start(vec![LeafScript::CloseWhenIdle, LeafScript::Answer]);
    with_client(leaf.address, 1, async |client| {
        for attempt in 1..=2 {
            let event = client.call(plan(leaf.address, kind, attempt)).await;
            assert!(
                matches!(event, EngineEvent::Reply(_)),
                "attempt {attempt} is answered: {event:?}"
            );
            tokio::time::sleep(CHECK_PERIOD).await;
        }
        assert_eq!(
            leaf.record().work,
            vec![0, 1],
            "each attempt ran once, on its own connection"
        );
    });
}

fn expired_attempt_is_not_written() {
    let leaf = ScriptedLeaf::start(vec![LeafScript::Answer]);
    with_client(leaf.address, SHARE, async |client| {
        let mut plan = plan(leaf.address, RequestKind::Search, 1);
        plan.deadline = Instant::now();
        let event = client.call(plan).await;
        let failure = failure(&event).expect("the attempt is too late");
        assert!(failure.is_not_run(), "nothing was sent: {failure:?}");
        assert_eq!(leaf.record().work_bytes, 0, "no byte was written");
    });
}

/// The deadline passes while the connection opens: the thread is paused between plan and write.
fn deadline_is_checked_at_the_write() {
    let leaf = ScriptedLeaf::start(vec![LeafScript::Answer]);
    with_client(leaf.address, SHARE, async |client| {
        let mut plan = plan(leaf.address, RequestKind::Search, 1);
        let left = Duration::from_millis(100);
        plan.deadline = Instant::now() + left;
        let mut call = Box::pin(client.call(plan));
        let first_poll = futures_util::future::poll_immediate(&mut call).await;
        assert!(first_poll.is_none(), "the connection opens");
        std::thread::sleep(left);
        let event = call.await;
        assert_eq!(failure(&event), Some(&AttemptFailure::Expired));
        assert_eq!(leaf.record().work_bytes, 0, "no byte was written");
    });
}

fn silent_connection_is_retired(share: u32) {
    let scripts = vec![LeafScript::SilentAfterFirst, LeafScript::Answer];
    let leaf = ScriptedLeaf::start(scripts);
    with_client(leaf.address, share, async |client| {
        let first = client
            .call(plan(leaf.address, RequestKind::Search, 1))
            .await;
        assert!(
            matches!(first, EngineEvent::Reply(_)),
            "the connection works: {first:?}"
        );
        let sent_at = Instant::now();
        let call = client.call(plan(leaf.address, RequestKind::Search, 2));
        let event = tokio::time::timeout(MAX_RETIRE_TIME * 2, call).await;
        let event = event.expect("the call ends");
        let took = sent_at.elapsed();
        assert_eq!(failure(&event), Some(&AttemptFailure::Silent));
        assert!(
            took <= MAX_RETIRE_TIME,
            "retired within the bound: {took:?}"
        );
        let third = client
            .call(plan(leaf.address, RequestKind::Search, 3))
            .await;
        assert!(matches!(third, EngineEvent::Reply(_)), "{third:?}");
        assert!(client.open_connections() <= share, "the limit is kept");
    });
}

fn execute_avoids_a_silent_connection() {
    let scripts = vec![LeafScript::SilentAfterFirst, LeafScript::Answer];
    let leaf = ScriptedLeaf::start(scripts);
    with_client(leaf.address, 1, async |client| {
        for attempt in 1..=2 {
            let event = client.call(plan(leaf.address, EXECUTE, attempt)).await;
            assert!(matches!(event, EngineEvent::Reply(_)), "{event:?}");
        }
        assert_eq!(
            leaf.record().work,
            vec![0, 1],
            "the second attempt uses a connection that answered a ping"
        );
    });
}

cases! {
    search_closed_at_once: not_run_means_no_byte_read(RequestKind::Search, LeafScript::CloseAtOnce);
    execute_closed_at_once: not_run_means_no_byte_read(EXECUTE, LeafScript::CloseAtOnce);
    search_closed_in_request_line: not_run_means_no_byte_read(RequestKind::Search, LeafScript::CloseInRequest(12));
    search_closed_in_head: not_run_means_no_byte_read(RequestKind::Search, LeafScript::CloseInRequest(60));
    search_closed_in_body: not_run_means_no_byte_read(RequestKind::Search, LeafScript::CloseInRequest(150));
    execute_closed_in_head: not_run_means_no_byte_read(EXECUTE, LeafScript::CloseInRequest(60));
    execute_closed_in_body: not_run_means_no_byte_read(EXECUTE, LeafScript::CloseInRequest(150));
    search_closed_after_request: close_after_request_is_lost(RequestKind::Search);
    execute_closed_after_request: close_after_request_is_lost(EXECUTE);
    a_truncated_answer_is_no_reply: truncated_answer_is_no_reply();
    an_answer_to_another_attempt_is_garbled: answer_to_another_attempt_is_garbled();
    search_to_a_closed_port_is_not_sent: closed_port_is_not_sent(RequestKind::Search);
    execute_to_a_closed_port_is_not_sent: closed_port_is_not_sent(EXECUTE);
    search_replaces_a_closed_connection: closed_idle_connection_is_replaced(RequestKind::Search);
    execute_replaces_a_closed_connection: closed_idle_connection_is_replaced(EXECUTE);
    an_expired_attempt_is_not_written: expired_attempt_is_not_written();
    the_deadline_is_checked_at_the_write: deadline_is_checked_at_the_write();
    a_silent_connection_is_retired: silent_connection_is_retired(SHARE);
    a_silent_connection_is_retired_with_the_share_used_up: silent_connection_is_retired(1);
    an_execute_avoids_a_silent_connection: execute_avoids_a_silent_connection();
}
