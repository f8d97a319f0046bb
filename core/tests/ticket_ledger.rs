//! The ticket ledger permits one execution per ticket, whatever the order of events.

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

/// A step of a random run; `Grant(true)` is for account `a`, `Grant(false)` for account `b`.
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

/// An execution that the ledger has permitted and that has not finished.
struct RunningExecution {
    number: u64,
    digest: u128,
}

proptest! {
    #[test]
    fn request_that_may_have_run_never_runs_again(
        steps in prop::collection::vec(ledger_step(), 1..80)
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut ledger = ledger();
        let mut running: Vec<RunningExecution> = Vec::new();
        let mut may_have_run: Vec<u64> = Vec::new();
        for step in steps {
            match step {
                LedgerStep::Grant(first) => {
                    let account = if first { "a" } else { "b" };
                    let _may_be_full = ledger.grant(now, account);
                }
                LedgerStep::Begin { number, digest } => {
                    let verdict = ledger.begin(now, &claim(number, "a", digest));
                    if let TicketVerdict::Run { time_left } = verdict {
                        prop_assert!(!may_have_run.contains(&number), "{number} runs again");
                        prop_assert!(
                            running.iter().all(|run| run.number != number),
                            "{number} runs twice at once"
                        );
                        prop_assert!(time_left <= LIMITS.max_execution_time);
                        running.push(RunningExecution { number, digest });
                    } else if refused_with(&verdict) == Some(Outcome::NotRun) {
                        let is_running = running
                            .iter()
                            .any(|run| run.number == number && run.digest == digest);
                        prop_assert!(!is_running, "{number} runs, yet it is refused as not run");
                    }
                }
                LedgerStep::Finish { turn, outcome } if !running.is_empty() => {
                    let run = running.swap_remove(turn % running.len());
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

fn result_is_repeated(outcome: Outcome, is_final: bool) {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("the ledger is not full");
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
        is_final,
        "after {outcome:?}: {again:?}"
    );
}

fn large_result_is_not_retained() {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("the ledger is not full");
    let claim = claim(number, "a", 1);
    ledger.begin(now, &claim);
    let large = ExecutionResult::Ran("x".repeat(LIMITS.max_result_bytes + 1).into());
    assert_eq!(
        ledger.finish(number, large.clone()),
        large,
        "the caller still gets the result"
    );
    let TicketVerdict::Repeat(ExecutionResult::Refused(refusal)) = ledger.begin(now, &claim) else {
        panic!("the ledger remembers that the request ran");
    };
    assert_eq!(refusal.outcome, Outcome::Ran);
}

fn claim_is_refused(change: impl FnOnce(&mut TicketClaim), outcome: Outcome) {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("the ledger is not full");
    let mut claim = claim(number, "a", 1);
    ledger.begin(now, &claim);
    change(&mut claim);
    let verdict = ledger.begin(now, &claim);
    assert_eq!(refused_with(&verdict), Some(outcome), "{verdict:?}");
}

/// A ticket that is presented after its expiry, for example because the owner was paused, does not
/// run any more.
fn expired_ticket_has_unknown_outcome() {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("the ledger is not full");
    let late = now + LIMITS.lifetime;
    let verdict = ledger.begin(late, &claim(number, "a", 1));
    assert_eq!(refused_with(&verdict), Some(Outcome::Unknown));
}

/// An execution that starts shortly before the expiry must end before it.
fn execution_ends_before_the_expiry() {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("the ledger is not full");
    let left = Duration::from_millis(500);
    let late = now + LIMITS.lifetime.saturating_sub(left);
    let verdict = ledger.begin(late, &claim(number, "a", 1));
    assert_eq!(verdict, TicketVerdict::Run { time_left: left });
}

fn ledger_size_is_bounded() {
    let now = Instant::now();
    let mut ledger = ledger();
    for _ in 0..LIMITS.max_tickets_per_account {
        ledger.grant(now, "a").expect("the ledger is not full");
    }
    assert!(
        ledger.grant(now, "a").is_err(),
        "the account is at its limit"
    );
    assert!(
        ledger.grant(now, "b").is_ok(),
        "another account is below its limit"
    );
    assert!(
        ledger.grant(now, "b").is_ok(),
        "another account is below its limit"
    );
    assert!(ledger.grant(now, "c").is_err(), "the ledger is full");
    let late = now + LIMITS.lifetime;
    assert!(
        ledger.grant(late, "a").is_ok(),
        "expired tickets are removed"
    );
    assert_eq!(ledger.len(), 1);
}

fn finish_without_permission() {
    let now = Instant::now();
    let mut ledger = ledger();
    let number = ledger.grant(now, "a").expect("the ledger is not full");
    ledger.finish(number, refusal(Outcome::Ran));
}

cases! {
    request_that_did_not_run_may_run_again: result_is_repeated(Outcome::NotRun, false);
    result_of_a_request_that_ran_is_repeated: result_is_repeated(Outcome::Ran, true);
    unknown_result_is_repeated: result_is_repeated(Outcome::Unknown, true);
    large_result_is_reported_as_ran: large_result_is_not_retained();
    claim_with_another_request_is_refused: claim_is_refused(|claim| claim.digest = 2, Outcome::NotRun);
    claim_by_another_account_is_refused: claim_is_refused(
        |claim| claim.request_account = "b".into(),
        Outcome::NotRun,
    );
    ticket_with_a_forged_account_is_refused: claim_is_refused(
        |claim| {
            claim.request_account = "b".into();
            claim.ticket_account = "b".into();
        },
        Outcome::NotRun,
    );
    claim_with_an_unknown_number_is_refused: claim_is_refused(|claim| claim.number = 99, Outcome::NotRun);
    claim_with_another_incarnation_is_refused: claim_is_refused(
        |claim| claim.incarnation = 6,
        Outcome::Unknown,
    );
    claim_with_another_owner_is_refused: claim_is_refused(
        |claim| claim.owner = "entry-2".into(),
        Outcome::Unknown,
    );
    claim_with_an_expired_ticket_is_refused: expired_ticket_has_unknown_outcome();
    execution_shortly_before_the_expiry_ends_before_it: execution_ends_before_the_expiry();
    number_of_tickets_is_bounded: ledger_size_is_bounded();
    #[should_panic(expected = "was permitted")]
    finish_without_permission_panics: finish_without_permission();
}
