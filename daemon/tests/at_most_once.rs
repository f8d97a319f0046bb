//! Non-idempotent requests run at most once, even if a connection or target is lost, or the request
//! is resent, or its owner is replaced.
//!
//! Runs are counted in the record of the leafs, independently of what the daemon reports.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::{COLLECTION, ORDER_ACCOUNT, TestSite};
use yuccalift_core::{Outcome, Refusal, RefusalCode};
use yuccalift_daemon::Daemon;
use yuccalift_standins::leaf::DrainSignal;
use yuccalift_standins::leaf::options::CRASH_MARKER;
use yuccalift_standins::{LeafCommand, LeafStandin};
use yuccalift_testkit::cases;
use yuccalift_wire::caller::{ExecuteAnswer, ExecuteBody, Ticket, TicketBody, TicketGrant};

/// Maximum time until two daemons know each other.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(10);
/// Service time that leaves a test time to act while a request runs.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(300);

/// Maximum time from the end of a leaf's drain to new work for it. Reports of the state lag, so the
/// engine assumes for some seconds that the leaf still refuses.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

fn body(ticket: Option<&Ticket>, text: &str) -> ExecuteBody {
    ExecuteBody {
        ticket: ticket.cloned(),
        request: "order-1".into(),
        account: ORDER_ACCOUNT.into(),
        collection: COLLECTION.into(),
        shard: 0,
        text: text.into(),
        time_left_ms: None,
    }
}

async fn post<T: serde::Serialize>(address: SocketAddr, path: &str, body: &T) -> (u16, Vec<u8>) {
    let call = awc::Client::builder().disable_timeout().finish();
    let call = call.post(format!("http://{address}{path}")).send_json(body);
    let mut response = call.await.expect("the daemon answers");
    let status = response.status().as_u16();
    let body = response.body().await.expect("the body is complete");
    (status, body.to_vec())
}

async fn grant(address: SocketAddr) -> Ticket {
    let body = TicketBody {
        account: ORDER_ACCOUNT.into(),
    };
    let (status, body) = post(address, "/v1/tickets", &body).await;
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    let grant: TicketGrant = serde_json::from_slice(&body).expect("the grant is parsed");
    assert!(grant.expires_in_ms > 0, "the ticket is valid for a time");
    grant.ticket
}

async fn execute(address: SocketAddr, body: &ExecuteBody) -> Result<ExecuteAnswer, Refusal> {
    let (status, body) = post(address, "/v1/execute", body).await;
    let text = String::from_utf8_lossy(&body);
    if status == 200 {
        return Ok(serde_json::from_slice(&body).unwrap_or_else(|error| panic!("{error}: {text}")));
    }
    Err(serde_json::from_slice(&body).unwrap_or_else(|error| panic!("{error}: {text}")))
}

/// Returns how many runs of the order were started, over all leafs.
fn count_runs(site: &TestSite) -> usize {
    let leafs = site.leafs.leafs().iter();
    leafs
        .map(|leaf| {
            let runs = leaf.runs();
            let orders = runs.iter().filter(|run| &*run.request == "order-1");
            orders.count()
        })
        .sum()
}

/// Waits until a daemon knows the owner of a ticket, in the ticket's incarnation or a later one.
fn wait_until_known(daemon: &Daemon, ticket: &Ticket) {
    let end = Instant::now() + DISCOVERY_LIMIT;
    loop {
        let known = daemon.peer_directory().find(&ticket.owner);
        if known.is_some_and(|peer| peer.incarnation >= ticket.incarnation) {
            return;
        }
        assert!(Instant::now() < end, "the daemons know each other in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn block_on<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

fn slow_down_leafs(site: &TestSite) {
    let factor = SLOW_SERVICE_TIME.as_secs_f64() / 0.004;
    for leaf in site.leafs.leafs() {
        leaf.command(LeafCommand::SetSlowdown(factor));
    }
}

fn resent_request_returns_recorded_result() {
    let site = TestSite::start(1, 2);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    block_on(async {
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let first = execute(address, &body).await.expect("the request runs");
        assert!(
            !first.repeated,
            "the first answer is not marked as repeated"
        );
        for _ in 0..3 {
            let again = execute(address, &body)
                .await
                .expect("the resent request is answered");
            assert!(again.repeated, "the answer to the resent request is marked");
            assert_eq!(again.result, first.result, "the result is the same");
        }
    });
    assert_eq!(count_runs(&site), 1, "the request ran once");
    daemon.stop();
}

fn concurrent_resends_wait_for_result() {
    let site = TestSite::start(1, 2);
    slow_down_leafs(&site);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    block_on(async {
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let sends = (0..8).map(|_| execute(address, &body));
        let answers = futures_util::future::join_all(sends).await;
        let firsts = answers.iter().flatten().filter(|answer| !answer.repeated);
        assert_eq!(
            firsts.count(),
            1,
            "only one send ran the request: {answers:?}"
        );
        let all = answers.iter().flatten().count();
        assert_eq!(all, 8, "every send gets the result: {answers:?}");
    });
    assert_eq!(count_runs(&site), 1, "the request ran once");
    daemon.stop();
}

fn resends_through_other_daemons_reach_the_owner() {
    let site = TestSite::start(1, 2);
    slow_down_leafs(&site);
    let owner = site.start_daemon("entry-1");
    let other = site.start_daemon_with_seed("entry-2", &owner);
    let ticket = block_on(grant(owner.addresses().caller));
    wait_until_known(&other, &ticket);
    block_on(async {
        let body = body(Some(&ticket), "order 20 bags");
        let addresses = [other.addresses().caller, owner.addresses().caller];
        let sends = (0..6).map(|turn| execute(addresses[turn % 2], &body));
        let answers = futures_util::future::join_all(sends).await;
        let all = answers.iter().flatten().count();
        assert_eq!(all, 6, "every send gets the result: {answers:?}");
    });
    assert_eq!(
        count_runs(&site),
        1,
        "the request ran once, at the owner of its ticket"
    );
    let record = site.leafs.leafs().iter().flat_map(LeafStandin::runs);
    let senders: Vec<_> = record.map(|run| run.sender).collect();
    assert!(
        senders.iter().all(|sender| sender.starts_with("entry-1/")),
        "only the owner sends: {senders:?}"
    );
    other.stop();
    owner.stop();
}

fn a_replaced_owner_runs_nothing() {
    let site = TestSite::start(1, 2);
    let owner = site.start_daemon("entry-1");
    let other = site.start_daemon_with_seed("entry-2", &owner);
    let ticket = block_on(grant(owner.addresses().caller));
    let body = body(Some(&ticket), "order 20 bags");
    block_on(execute(owner.addresses().caller, &body)).expect("the request runs");
    owner.stop();
    let replaced = site.start_daemon_with_seed("entry-1", &other);
    let new_ticket = block_on(grant(replaced.addresses().caller));
    assert!(
        new_ticket.incarnation > ticket.incarnation,
        "a later start has a greater incarnation"
    );
    wait_until_known(&other, &new_ticket);
    for daemon in [&replaced, &other] {
        let refusal = block_on(execute(daemon.addresses().caller, &body));
        let refusal = refusal.expect_err("the new incarnation does not know the ticket");
        assert_eq!(
            refusal.outcome,
            Outcome::Unknown,
            "the request may have run"
        );
    }
    assert_eq!(count_runs(&site), 1, "the request ran once");
    replaced.stop();
    other.stop();
}

fn unreachable_owner_gives_unknown_outcome() {
    let site = TestSite::start(1, 2);
    let owner = site.start_daemon("entry-1");
    let other = site.start_daemon_with_seed("entry-2", &owner);
    let ticket = block_on(grant(owner.addresses().caller));
    wait_until_known(&other, &ticket);
    owner.stop();
    let body = body(Some(&ticket), "order 20 bags");
    let refusal = block_on(execute(other.addresses().caller, &body));
    let refusal = refusal.expect_err("no other daemon may run the request");
    assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
    assert_eq!(refusal.code, RefusalCode::OwnerUnreachable, "{refusal}");
    assert_eq!(count_runs(&site), 0, "no other daemon runs the request");
    other.stop();
}

/// The caller disconnects while its request runs, and sends it again.
fn disconnected_caller_does_not_cancel() {
    let site = TestSite::start(1, 2);
    slow_down_leafs(&site);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    block_on(async {
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let interrupted =
            tokio::time::timeout(SLOW_SERVICE_TIME / 3, execute(address, &body)).await;
        assert!(
            interrupted.is_err(),
            "the caller disconnects before the answer"
        );
        let answer = execute(address, &body)
            .await
            .expect("the request ran nevertheless");
        assert!(
            answer.repeated,
            "the request ran for the caller that disconnected"
        );
    });
    assert_eq!(count_runs(&site), 1, "the request ran once");
    daemon.stop();
}

/// The target crashes while it runs the request, so the effect of the run is unknown.
fn lost_target_gives_unknown_outcome(with_ticket: bool) {
    let site = TestSite::start(1, 2);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    block_on(async {
        let ticket = grant(address).await;
        let body = body(with_ticket.then_some(&ticket), CRASH_MARKER);
        let refusal = execute(address, &body)
            .await
            .expect_err("the target is lost");
        assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
        if with_ticket {
            let again = execute(address, &body)
                .await
                .expect_err("the outcome stays unknown");
            assert_eq!(again.outcome, Outcome::Unknown, "{again}");
        }
    });
    assert_eq!(
        count_runs(&site),
        1,
        "the request was started once, and never again"
    );
    daemon.stop();
}

fn a_silent_connection_carries_no_execute() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    block_on(async {
        for leaf in site.leafs.leafs() {
            leaf.command(LeafCommand::Silence);
        }
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let answer = execute(address, &body).await;
        assert!(
            answer.is_ok(),
            "the request is sent over a new connection: {answer:?}"
        );
    });
    assert_eq!(count_runs(&site), 1, "the request ran once");
    daemon.stop();
}

fn a_refused_request_may_run_again() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    block_on(async {
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let leaf = &site.leafs.leafs()[0];
        leaf.command(LeafCommand::Drain(DrainSignal::Refusal));
        let refusal = execute(address, &body).await.expect_err("the leaf drains");
        assert_eq!(refusal.outcome, Outcome::NotRun, "{refusal}");
        assert_eq!(count_runs(&site), 0, "the refused request did not run");
        leaf.command(LeafCommand::Undrain);
        let end = Instant::now() + RECOVERY_LIMIT;
        while let Err(refusal) = execute(address, &body).await {
            assert_eq!(refusal.outcome, Outcome::NotRun, "{refusal}");
            assert!(
                Instant::now() < end,
                "the request runs once the leaf accepts work again"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert_eq!(count_runs(&site), 1, "the request ran once");
    daemon.stop();
}

fn misused_tickets_are_refused() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    block_on(async {
        let ticket = grant(address).await;
        let good = body(Some(&ticket), "order 20 bags");
        execute(address, &good).await.expect("the request runs");
        let other_text = body(Some(&ticket), "order 30 bags");
        let mut forged = body(Some(&ticket), "order 20 bags");
        let ticket = forged.ticket.as_mut().expect("the body has a ticket");
        ticket.number += 100;
        let mut other_account = good.clone();
        other_account.account = "vets".into();
        for body in [other_text, forged, other_account] {
            let refusal = execute(address, &body)
                .await
                .expect_err("the ticket is misused");
            assert_eq!(refusal.code, RefusalCode::TicketInvalid, "{refusal}");
            assert_eq!(refusal.outcome, Outcome::NotRun, "{refusal}");
        }
    });
    assert_eq!(count_runs(&site), 1, "the request ran once");
    daemon.stop();
}

cases! {
    a_resent_request_gets_the_same_result: resent_request_returns_recorded_result();
    resends_wait_for_the_running_request: concurrent_resends_wait_for_result();
    resends_over_other_daemons_reach_the_owner: resends_through_other_daemons_reach_the_owner();
    a_replaced_owner_does_not_run_again: a_replaced_owner_runs_nothing();
    a_stopped_owner_gives_an_unknown_outcome: unreachable_owner_gives_unknown_outcome();
    a_caller_that_disconnects_does_not_cancel: disconnected_caller_does_not_cancel();
    a_target_lost_with_a_ticket_gives_an_unknown_outcome: lost_target_gives_unknown_outcome(true);
    a_target_lost_without_a_ticket_gives_an_unknown_outcome: lost_target_gives_unknown_outcome(false);
    an_execute_avoids_silent_connections: a_silent_connection_carries_no_execute();
    a_refused_execute_may_run_again: a_refused_request_may_run_again();
    misused_tickets_run_nothing: misused_tickets_are_refused();
}
