//! Non-idempotent requests run at most once, whatever is lost, resent, cut off or replaced.
//!
//! What ran is read from the record of the leaf, not from what the daemon says.

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

/// How long daemons may take to meet.
const MEET_LIMIT: Duration = Duration::from_secs(10);
/// A service time during which a test can act.
const SLOW: Duration = Duration::from_millis(300);

/// The longest time from a leaf's return to new work for it; reports of it lag, so the engine
/// believes a refusal for some seconds.
const BACK_LIMIT: Duration = Duration::from_secs(15);

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
    let body = response.body().await.expect("the body is whole");
    (status, body.to_vec())
}

async fn grant(address: SocketAddr) -> Ticket {
    let body = TicketBody {
        account: ORDER_ACCOUNT.into(),
    };
    let (status, body) = post(address, "/v1/tickets", &body).await;
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    let grant: TicketGrant = serde_json::from_slice(&body).expect("a grant is read");
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

/// How often the order was begun, over all leafs.
fn runs(site: &TestSite) -> usize {
    let leafs = site.leafs.leafs().iter();
    leafs
        .map(|leaf| {
            let runs = leaf.runs();
            let orders = runs.iter().filter(|run| &*run.request == "order-1");
            orders.count()
        })
        .sum()
}

/// Waits until a daemon knows the one on a host in this ticket's incarnation.
fn wait_met(daemon: &Daemon, ticket: &Ticket) {
    let end = Instant::now() + MEET_LIMIT;
    loop {
        let known = daemon.peer_directory().find(&ticket.owner);
        if known.is_some_and(|peer| peer.incarnation >= ticket.incarnation) {
            return;
        }
        assert!(Instant::now() < end, "the daemons meet in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

fn slow(site: &TestSite) {
    let factor = SLOW.as_secs_f64() / 0.004;
    for leaf in site.leafs.leafs() {
        leaf.command(LeafCommand::SetSlowdown(factor));
    }
}

fn a_resent_request_is_repeated() {
    let site = TestSite::start(1, 2);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    run(async {
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let first = execute(address, &body).await.expect("it runs");
        assert!(!first.repeated, "the first answer is not a repeated one");
        for _ in 0..3 {
            let again = execute(address, &body).await.expect("it is repeated");
            assert!(again.repeated, "the resent one says so");
            assert_eq!(again.result, first.result, "the result is the same");
        }
    });
    assert_eq!(runs(&site), 1, "it ran once");
    daemon.stop();
}

fn resends_while_it_runs_wait_for_it() {
    let site = TestSite::start(1, 2);
    slow(&site);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    run(async {
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let sends = (0..8).map(|_| execute(address, &body));
        let answers = futures_util::future::join_all(sends).await;
        let firsts = answers.iter().flatten().filter(|answer| !answer.repeated);
        assert_eq!(firsts.count(), 1, "one of them ran it: {answers:?}");
        let all = answers.iter().flatten().count();
        assert_eq!(all, 8, "all of them get the result: {answers:?}");
    });
    assert_eq!(runs(&site), 1, "it ran once");
    daemon.stop();
}

fn resends_through_other_daemons_reach_the_owner() {
    let site = TestSite::start(1, 2);
    slow(&site);
    let owner = site.start_daemon("entry-1");
    let other = site.start_daemon_beside("entry-2", &owner);
    let ticket = run(grant(owner.addresses().caller));
    wait_met(&other, &ticket);
    run(async {
        let body = body(Some(&ticket), "order 20 bags");
        let addresses = [other.addresses().caller, owner.addresses().caller];
        let sends = (0..6).map(|turn| execute(addresses[turn % 2], &body));
        let answers = futures_util::future::join_all(sends).await;
        let all = answers.iter().flatten().count();
        assert_eq!(all, 6, "all of them get the result: {answers:?}");
    });
    assert_eq!(runs(&site), 1, "it ran once, at its owner");
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
    let other = site.start_daemon_beside("entry-2", &owner);
    let ticket = run(grant(owner.addresses().caller));
    let body = body(Some(&ticket), "order 20 bags");
    run(execute(owner.addresses().caller, &body)).expect("it runs");
    owner.stop();
    let replaced = site.start_daemon_beside("entry-1", &other);
    let new_ticket = run(grant(replaced.addresses().caller));
    assert!(
        new_ticket.incarnation > ticket.incarnation,
        "a later start has a greater incarnation"
    );
    wait_met(&other, &new_ticket);
    for daemon in [&replaced, &other] {
        let refusal = run(execute(daemon.addresses().caller, &body));
        let refusal = refusal.expect_err("the new incarnation does not know");
        assert_eq!(refusal.outcome, Outcome::Unknown, "it may have run");
    }
    assert_eq!(runs(&site), 1, "it ran once");
    replaced.stop();
    other.stop();
}

fn an_unreachable_owner_is_unknown() {
    let site = TestSite::start(1, 2);
    let owner = site.start_daemon("entry-1");
    let other = site.start_daemon_beside("entry-2", &owner);
    let ticket = run(grant(owner.addresses().caller));
    wait_met(&other, &ticket);
    owner.stop();
    let body = body(Some(&ticket), "order 20 bags");
    let refusal = run(execute(other.addresses().caller, &body));
    let refusal = refusal.expect_err("nobody may run it");
    assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
    assert_eq!(refusal.code, RefusalCode::OwnerUnreachable, "{refusal}");
    assert_eq!(runs(&site), 0, "nobody else runs it");
    other.stop();
}

/// The caller hangs up while its request runs, and asks again.
fn a_gone_caller_does_not_cancel() {
    let site = TestSite::start(1, 2);
    slow(&site);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    run(async {
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let gone = tokio::time::timeout(SLOW / 3, execute(address, &body)).await;
        assert!(gone.is_err(), "the caller hangs up before the answer");
        let answer = execute(address, &body).await.expect("it ran all the same");
        assert!(answer.repeated, "it was run for the caller that hung up");
    });
    assert_eq!(runs(&site), 1, "it ran once");
    daemon.stop();
}

/// The target crashes while it runs the request: nobody knows how far it came.
fn a_lost_target_is_unknown(with_ticket: bool) {
    let site = TestSite::start(1, 2);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    run(async {
        let ticket = grant(address).await;
        let body = body(with_ticket.then_some(&ticket), CRASH_MARKER);
        let refusal = execute(address, &body)
            .await
            .expect_err("the target is lost");
        assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
        if with_ticket {
            let again = execute(address, &body).await.expect_err("it stays unknown");
            assert_eq!(again.outcome, Outcome::Unknown, "{again}");
        }
    });
    assert_eq!(runs(&site), 1, "it was begun once, and never again");
    daemon.stop();
}

fn a_silent_connection_carries_no_execute() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    run(async {
        for leaf in site.leafs.leafs() {
            leaf.command(LeafCommand::Silence);
        }
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let answer = execute(address, &body).await;
        assert!(
            answer.is_ok(),
            "it goes over a fresh connection: {answer:?}"
        );
    });
    assert_eq!(runs(&site), 1, "it ran once");
    daemon.stop();
}

fn a_refused_request_may_run_again() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    run(async {
        let ticket = grant(address).await;
        let body = body(Some(&ticket), "order 20 bags");
        let leaf = &site.leafs.leafs()[0];
        leaf.command(LeafCommand::Drain(DrainSignal::Refusal));
        let refusal = execute(address, &body).await.expect_err("the leaf drains");
        assert_eq!(refusal.outcome, Outcome::NotRun, "{refusal}");
        assert_eq!(runs(&site), 0, "the refusal is true");
        leaf.command(LeafCommand::Undrain);
        let end = Instant::now() + BACK_LIMIT;
        while let Err(refusal) = execute(address, &body).await {
            assert_eq!(refusal.outcome, Outcome::NotRun, "{refusal}");
            assert!(Instant::now() < end, "it runs once the leaf is back");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert_eq!(runs(&site), 1, "it ran once");
    daemon.stop();
}

fn misused_tickets_are_refused() {
    let site = TestSite::start(1, 1);
    let daemon = site.start_daemon("entry-1");
    let address = daemon.addresses().caller;
    run(async {
        let ticket = grant(address).await;
        let good = body(Some(&ticket), "order 20 bags");
        execute(address, &good).await.expect("it runs");
        let other_text = body(Some(&ticket), "order 30 bags");
        let mut forged = body(Some(&ticket), "order 20 bags");
        let ticket = forged.ticket.as_mut().expect("there is one");
        ticket.number += 100;
        let mut other_account = good.clone();
        other_account.account = "vets".into();
        for body in [other_text, forged, other_account] {
            let refusal = execute(address, &body).await.expect_err("misused");
            assert_eq!(refusal.code, RefusalCode::TicketInvalid, "{refusal}");
            assert_eq!(refusal.outcome, Outcome::NotRun, "{refusal}");
        }
    });
    assert_eq!(runs(&site), 1, "it ran once");
    daemon.stop();
}

cases! {
    a_resent_request_gets_the_same_result: a_resent_request_is_repeated();
    resends_wait_for_the_one_that_runs: resends_while_it_runs_wait_for_it();
    resends_over_other_daemons_reach_the_owner: resends_through_other_daemons_reach_the_owner();
    a_replaced_owner_does_not_run_again: a_replaced_owner_runs_nothing();
    a_lost_owner_is_unknown: an_unreachable_owner_is_unknown();
    a_caller_that_hangs_up_does_not_cancel: a_gone_caller_does_not_cancel();
    a_target_lost_under_a_ticket_is_unknown: a_lost_target_is_unknown(true);
    a_target_lost_without_a_ticket_is_unknown: a_lost_target_is_unknown(false);
    an_execute_avoids_silent_connections: a_silent_connection_carries_no_execute();
    a_refused_execute_may_run_again: a_refused_request_may_run_again();
    misused_tickets_run_nothing: misused_tickets_are_refused();
}
