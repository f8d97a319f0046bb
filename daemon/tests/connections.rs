//! Connections to a target that are cut at each stage, go silent, or are closed while idle.

#[path = "support/scripted_leaf.rs"]
mod scripted_leaf;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use scripted_leaf::{LeafScript, ScriptedLeaf};
use yuccalift_core::action::{AttemptCause, AttemptPlan};
use yuccalift_core::connection_watch::{CHECK_PERIOD, RETIRE_BOUND};
use yuccalift_core::event::AttemptFailure;
use yuccalift_core::{EngineEvent, RequestKind, Snapshot};
use yuccalift_daemon::leaf::LeafClient;
use yuccalift_testkit::cases;

/// Long enough for every failure to show.
const DEADLINE: Duration = Duration::from_secs(5);
const EXECUTE: RequestKind = RequestKind::Execute { shard: 0 };
/// A share that leaves room for retried connections.
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

/// Runs a test on one thread, with the client's chores done as the lane does them.
fn with_client<F: Future<Output = ()>>(
    address: SocketAddr,
    share: u32,
    test: impl FnOnce(Rc<LeafClient>) -> F,
) {
    actix_rt::System::new().block_on(async move {
        let client = LeafClient::new(address, "test/1", share);
        let kept = Rc::clone(&client);
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_PERIOD).await;
                for task in kept.due_maintenance(Instant::now()) {
                    let client = Rc::clone(&kept);
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

/// A failure that says "not run" must be true: the target has then read no byte of the request.
fn not_run_is_true(kind: RequestKind, script: LeafScript) {
    let leaf = ScriptedLeaf::start(vec![script]);
    with_client(leaf.address, SHARE, async |client| {
        let event = client.call(plan(leaf.address, kind, 1)).await;
        let failure = failure(&event).expect("no answer comes whole");
        let bytes = leaf.record().work_bytes;
        assert!(
            !failure.is_not_run() || bytes == 0,
            "{failure:?} says not run, but the target read {bytes} bytes"
        );
    });
}

fn cut_after_the_request_is_lost(kind: RequestKind) {
    let leaf = ScriptedLeaf::start(vec![LeafScript::CloseAfterRequest]);
    with_client(leaf.address, SHARE, async |client| {
        let event = client.call(plan(leaf.address, kind, 1)).await;
        assert_eq!(
            failure(&event),
            Some(&AttemptFailure::Lost),
            "the target read the request and may have run it"
        );
        assert_eq!(leaf.record().work.len(), 1, "it is not sent again");
    });
}

fn cut_answer_never_passes() {
    let mut cut = 1;
    loop {
        let leaf = ScriptedLeaf::start(vec![LeafScript::CloseInAnswer(cut)]);
        let mut whole = false;
        with_client(leaf.address, SHARE, async |client| {
            let event = client
                .call(plan(leaf.address, RequestKind::Search, 1))
                .await;
            let failure = failure(&event).expect("a cut answer is no reply");
            assert!(!failure.is_not_run(), "the request was run: {failure:?}");
        });
        whole |= cut > ANSWER_BYTES;
        if whole {
            return;
        }
        cut += CUT_STEP;
    }
}

/// More bytes than the scripted answer has.
const ANSWER_BYTES: usize = 180;
/// A step that meets both the head and the body in many places.
const CUT_STEP: usize = 13;

fn foreign_answer_is_garbled() {
    let leaf = ScriptedLeaf::start(vec![LeafScript::AnswerForeign]);
    with_client(leaf.address, SHARE, async |client| {
        let event = client
            .call(plan(leaf.address, RequestKind::Search, 1))
            .await;
        assert_eq!(failure(&event), Some(&AttemptFailure::Garbled));
    });
}

fn nothing_listens_is_not_sent(kind: RequestKind) {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has one");
    drop(listener);
    with_client(address, SHARE, async |client| {
        let event = client.call(plan(address, kind, 1)).await;
        assert_eq!(failure(&event), Some(&AttemptFailure::NotSent));
        assert_eq!(client.open(), 0, "the place is free again");
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
        assert_eq!(leaf.record().work, vec![0, 1], "each ran once");
    });
}

fn late_attempt_is_not_written() {
    let leaf = ScriptedLeaf::start(vec![LeafScript::Answer]);
    with_client(leaf.address, SHARE, async |client| {
        let mut plan = plan(leaf.address, RequestKind::Search, 1);
        plan.deadline = Instant::now();
        let event = client.call(plan).await;
        let failure = failure(&event).expect("it is too late");
        assert!(failure.is_not_run(), "nothing was sent: {failure:?}");
        assert_eq!(leaf.record().work_bytes, 0, "no byte was written");
    });
}

/// The pause strikes between the plan and the write: while the connection opens.
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
            "it lives: {first:?}"
        );
        let sent_at = Instant::now();
        let call = client.call(plan(leaf.address, RequestKind::Search, 2));
        let event = tokio::time::timeout(RETIRE_BOUND * 2, call).await;
        let event = event.expect("the call ends");
        let took = sent_at.elapsed();
        assert_eq!(failure(&event), Some(&AttemptFailure::Silent));
        assert!(took <= RETIRE_BOUND, "retired within the bound: {took:?}");
        let again = client
            .call(plan(leaf.address, RequestKind::Search, 3))
            .await;
        assert!(matches!(again, EngineEvent::Reply(_)), "{again:?}");
        assert!(client.open() <= share, "the share is kept");
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
            "the second went over a connection that answered a ping"
        );
    });
}

cases! {
    search_closed_at_once: not_run_is_true(RequestKind::Search, LeafScript::CloseAtOnce);
    execute_closed_at_once: not_run_is_true(EXECUTE, LeafScript::CloseAtOnce);
    search_closed_in_first_byte: not_run_is_true(RequestKind::Search, LeafScript::CloseInRequest(12));
    search_closed_in_head: not_run_is_true(RequestKind::Search, LeafScript::CloseInRequest(60));
    search_closed_in_body: not_run_is_true(RequestKind::Search, LeafScript::CloseInRequest(150));
    execute_closed_in_head: not_run_is_true(EXECUTE, LeafScript::CloseInRequest(60));
    execute_closed_in_body: not_run_is_true(EXECUTE, LeafScript::CloseInRequest(150));
    search_closed_after_request: cut_after_the_request_is_lost(RequestKind::Search);
    execute_closed_after_request: cut_after_the_request_is_lost(EXECUTE);
    an_answer_cut_anywhere_is_no_reply: cut_answer_never_passes();
    a_foreign_answer_is_garbled: foreign_answer_is_garbled();
    search_to_nobody_is_not_sent: nothing_listens_is_not_sent(RequestKind::Search);
    execute_to_nobody_is_not_sent: nothing_listens_is_not_sent(EXECUTE);
    search_replaces_a_closed_connection: closed_idle_connection_is_replaced(RequestKind::Search);
    execute_replaces_a_closed_connection: closed_idle_connection_is_replaced(EXECUTE);
    a_late_attempt_is_not_written: late_attempt_is_not_written();
    the_deadline_is_checked_at_the_write: deadline_is_checked_at_the_write();
    a_silent_connection_is_retired: silent_connection_is_retired(SHARE);
    a_silent_connection_is_retired_with_the_share_used_up: silent_connection_is_retired(1);
    an_execute_avoids_a_silent_connection: execute_avoids_a_silent_connection();
}
