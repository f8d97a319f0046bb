//! The ledger of tickets gives leave for one execution, whatever comes in whatever order.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use yuccalift_core::ticket_ledger::{
    ExecutionResult, LedgerLimits, TicketClaim, TicketLedger, TicketVerdict,
};
use yuccalift_core::{Outcome, Refusal, RefusalCode};
use yuccalift_testkit::cases;

const OWNER: &str = "entry-1";
const INCARNATION: u64 = 7;
const LIMITS: LedgerLimits = LedgerLimits {
    lifetime: Duration::from_secs(10),
    max_execution_time: Duration::from_secs(2),
    max_tickets: 6,
    max_tickets_per_account: 4,
    max_result_bytes: 16,
};

fn ledger() -> TicketLedger {
    TicketLedger::new(OWNER.into(), INCARNATION, LIMITS)
}

fn claim(number: u64, account: &str, digest: u128) -> TicketClaim {
    TicketClaim {
        owner: OWNER.into(),
        incarnation: INCARNATION,
        number,
        ticket_account: account.into(),
        request_account: account.into(),
        digest,
    }
}

fn refusal(outcome: Outcome) -> ExecutionResult {
    ExecutionResult::Refused(Refusal {
        outcome,
        ..Refusal::not_run(RefusalCode::TargetLost, "send", "a test's refusal")
    })
}

fn refused_with(verdict: &TicketVerdict) -> Option<Outcome> {
    match verdict {
        TicketVerdict::Refuse(refusal) => Some(refusal.outcome),
        _ => None,
    }
}

/// A step of a random run: what is done, and by which of a few callers.
#[derive(Clone, Debug)]
enum LedgerStep {
    Grant(bool),
    Begin { number: u64, digest: u128 },
    Finish { turn: usize, outcome: Outcome },
    Wait(Duration),
}

fn ledger_step() -> impl Strategy<Value = LedgerStep> {
    let outcome = prop_oneof![
        Just(Outcome::NotRun),
        Just(Outcome::Ran),
        Just(Outcome::Unknown)
    ];
    prop_oneof![
        any::<bool>().prop_map(LedgerStep::Grant),
        (0_u64..12, 0_u128..2).prop_map(|(number, digest)| LedgerStep::Begin { number, digest }),
        (0_usize..4, outcome).prop_map(|(turn, outcome)| LedgerStep::Finish { turn, outcome }),
        (0_u64..4_000).prop_map(|ms| LedgerStep::Wait(Duration::from_millis(ms))),
    ]
}

/// One execution that the ledger gave leave for and whose end it has not heard.
struct OpenRun {
    number: u64,
    digest: u128,
}

proptest! {
    #[test]
    fn a_ticket_never_runs_again_once_it_may_have_run(
        steps in prop::collection::vec(ledger_step(), 1..80)
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut ledger = ledger();
        let mut open: Vec<OpenRun> = Vec::new();
        let mut may_have_run: Vec<u64> = Vec::new();
        for step in steps {
            match step {
                LedgerStep::Grant(first) => {
                    let account = if first { "a" } else { "b" };
                    let _full_at_times = ledger.grant(now, account);
                }
                LedgerStep::Begin { number, digest } => {
                    let verdict = ledger.begin(now, &claim(number, "a", digest));
                    if let TicketVerdict::Run { time_left } = verdict {
                        prop_assert!(!may_have_run.contains(&number), "{number} runs again");
                        prop_assert!(
                            open.iter().all(|run| run.number != number),
                            "{number} runs twice at once"
                        );
                        prop_assert!(time_left <= LIMITS.max_execution_time);
                        open.push(OpenRun { number, digest });
                    } else if refused_with(&verdict) == Some(Outcome::NotRun) {
                        let ran = open.iter().any(|run| run.number == number && run.digest == digest);
                        prop_assert!(!ran, "{number} runs, yet its request is refused as not run");
                    }
                }
                LedgerStep::Finish { turn, outcome } if !open.is_empty() => {
                    let run = open.swap_remove(turn % open.len());
                    if outcome != Outcome::NotRun {
                        may_have_run.push(run.number);
                    }
                    ledger.finish(run.number, refusal(outcome));
                }
                LedgerStep::Finish { .. } => {}
                LedgerStep::Wait(time) => now += time,
            }
            prop_assert!(ledger.len() <= LIMITS.max_tickets, "the ledger is bounded");
        }
    }
}

fn an_end_is_repeated(outcome: Outcome, stays: bool) {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("there is room");
    let claim = claim(number, "a", 1);
    assert!(matches!(
        ledger.begin(now, &claim),
        TicketVerdict::Run { .. }
    ));
    assert_eq!(ledger.begin(now, &claim), TicketVerdict::Wait);
    ledger.finish(number, refusal(outcome));
    let again = ledger.begin(now, &claim);
    assert_eq!(
        again == TicketVerdict::Repeat(refusal(outcome)),
        stays,
        "after {outcome:?}: {again:?}"
    );
}

fn a_large_result_is_not_kept() {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("there is room");
    let claim = claim(number, "a", 1);
    ledger.begin(now, &claim);
    let large = ExecutionResult::Ran("x".repeat(LIMITS.max_result_bytes + 1).into());
    assert_eq!(
        ledger.finish(number, large.clone()),
        large,
        "the caller gets it"
    );
    let TicketVerdict::Repeat(ExecutionResult::Refused(refusal)) = ledger.begin(now, &claim) else {
        panic!("the fact that it ran is kept");
    };
    assert_eq!(refusal.outcome, Outcome::Ran);
}

fn a_claim_is_refused(change: impl FnOnce(&mut TicketClaim), outcome: Outcome) {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("there is room");
    let mut claim = claim(number, "a", 1);
    ledger.begin(now, &claim);
    change(&mut claim);
    let verdict = ledger.begin(now, &claim);
    assert_eq!(refused_with(&verdict), Some(outcome), "{verdict:?}");
}

/// The owner was paused past the expiry: it no longer sends.
fn an_expired_ticket_is_unknown() {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("there is room");
    let late = now + LIMITS.lifetime;
    let verdict = ledger.begin(late, &claim(number, "a", 1));
    assert_eq!(refused_with(&verdict), Some(Outcome::Unknown));
}

/// An execution that begins shortly before the expiry must end before it.
fn an_execution_ends_before_the_expiry() {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("there is room");
    let left = Duration::from_millis(500);
    let late = now + LIMITS.lifetime.saturating_sub(left);
    let verdict = ledger.begin(late, &claim(number, "a", 1));
    assert_eq!(verdict, TicketVerdict::Run { time_left: left });
}

fn the_ledger_is_bounded() {
    let now = Instant::now();
    let mut ledger = ledger();
    for _ in 0..LIMITS.max_tickets_per_account {
        ledger.grant(now, "a").expect("there is room");
    }
    assert!(ledger.grant(now, "a").is_err(), "the account has its part");
    assert!(ledger.grant(now, "b").is_ok(), "others still have room");
    assert!(ledger.grant(now, "b").is_ok(), "others still have room");
    assert!(ledger.grant(now, "c").is_err(), "the ledger is full");
    let late = now + LIMITS.lifetime;
    assert!(ledger.grant(late, "a").is_ok(), "the expired are forgotten");
    assert_eq!(ledger.len(), 1);
}

fn an_unasked_end() {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("there is room");
    ledger.finish(number, refusal(Outcome::Ran));
}

cases! {
    not_run_may_run_again: an_end_is_repeated(Outcome::NotRun, false);
    ran_stays: an_end_is_repeated(Outcome::Ran, true);
    unknown_stays: an_end_is_repeated(Outcome::Unknown, true);
    a_large_result_is_told_as_ran: a_large_result_is_not_kept();
    another_body: a_claim_is_refused(|claim| claim.digest = 2, Outcome::NotRun);
    another_account: a_claim_is_refused(|claim| claim.request_account = "b".into(), Outcome::NotRun);
    a_stolen_number: a_claim_is_refused(
        |claim| {
            claim.request_account = "b".into();
            claim.ticket_account = "b".into();
        },
        Outcome::NotRun,
    );
    a_number_never_granted: a_claim_is_refused(|claim| claim.number = 99, Outcome::NotRun);
    another_incarnation: a_claim_is_refused(|claim| claim.incarnation = 6, Outcome::Unknown);
    another_owner: a_claim_is_refused(|claim| claim.owner = "entry-2".into(), Outcome::Unknown);
    an_expired_ticket: an_expired_ticket_is_unknown();
    a_late_execution: an_execution_ends_before_the_expiry();
    bounds: the_ledger_is_bounded();
    #[should_panic(expected = "was permitted")]
    an_end_without_leave_is_caught: an_unasked_end();
}
