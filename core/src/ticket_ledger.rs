//! Tickets granted by one daemon and the state of the requests under them: [`TicketLedger`].
//!
//! A non-idempotent request runs only on the daemon that granted its ticket, and only if this
//! ledger permits it, so it runs at most once however often and through whichever daemon it is
//! resent. The ledger asserts this itself. See `docs/DESIGN.md`, "At most once".

use std::time::{Duration, Instant};

use crate::ids::{AccountName, HostName, Incarnation};
use crate::outcome::{Outcome, Refusal, RefusalCode};

/// Number of a ticket, unique within the incarnation of the daemon that granted it.
pub type TicketNumber = u64;
/// Hash over a whole request, which distinguishes a resent request from a different one under the
/// same ticket.
pub type RequestDigest = u128;

/// Limits of a [`TicketLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Time for which a ticket is valid and its result is remembered.
    pub lifetime: Duration,
    /// Maximum time of one execution; must be well below `lifetime`.
    pub max_execution_time: Duration,
    /// Maximum number of live tickets.
    pub max_tickets: usize,
    /// Maximum number of live tickets of one account.
    pub max_tickets_per_account: usize,
    /// Maximum total size of retained results, in bytes. Beyond it the ledger only remembers that a
    /// request ran.
    pub max_result_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            max_execution_time: Duration::from_secs(120),
            max_tickets: 65_536,
            max_tickets_per_account: 16_384,
            max_result_bytes: 16 * 1024 * 1024,
        }
    }
}

/// A ticket as presented by a caller, with the request to run under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketClaim {
    /// Daemon that the ticket names as its owner.
    pub owner: HostName,
    /// Incarnation of the owner that the ticket names.
    pub incarnation: Incarnation,
    /// Number of the ticket.
    pub number: TicketNumber,
    /// Account that the ticket names.
    pub ticket_account: AccountName,
    /// Account that the request is charged to.
    pub request_account: AccountName,
    /// Digest of the request.
    pub digest: RequestDigest,
}

/// Result of an execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionResult {
    /// The request ran and returned this value.
    Ran(Box<str>),
    /// The request was refused or failed; the refusal's outcome says whether it may have run.
    Refused(Refusal),
}

/// Decision about a request under a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketVerdict {
    /// Run the request now.
    Run {
        /// Time within which the execution must end.
        time_left: Duration,
    },
    /// The request is already running: wait for its result.
    Wait,
    /// The request has ended: answer with its result.
    Repeat(ExecutionResult),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Progress of the request under a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TicketState {
    /// No request has run.
    Granted,
    /// The request is running.
    Running,
    /// The request ran or may have run; it must not run again.
    Finished(ExecutionResult),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct LiveTicket {
    number: TicketNumber,
    account: AccountName,
    expires_at: Instant,
    digest: Option<RequestDigest>,
    state: TicketState,
}

/// Number of live tickets of one account.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AccountCount {
    account: AccountName,
    tickets: usize,
}

/// The unexpired tickets that a daemon has granted in its current incarnation.
#[derive(Debug)]
pub struct TicketLedger {
    owner: HostName,
    incarnation: Incarnation,
    limits: LedgerLimits,
    next_number: TicketNumber,
    /// Sorted by number, and therefore by expiry.
    tickets: Vec<LiveTicket>,
    accounts: Vec<AccountCount>,
    result_bytes: usize,
}

impl TicketLedger {
    /// Creates an empty ledger.
    ///
    /// # Panics
    ///
    /// If a ticket could expire before an execution under it has ended.
    pub fn new(owner: HostName, incarnation: Incarnation, limits: LedgerLimits) -> Self {
        assert!(
            limits.max_execution_time < limits.lifetime,
            "the ticket lifetime exceeds the maximum execution time"
        );
        Self {
            owner,
            incarnation,
            limits,
            next_number: 1,
            tickets: Vec::new(),
            accounts: Vec::new(),
            result_bytes: 0,
        }
    }

    /// Returns the number of live tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket is live.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns how long a new ticket is valid.
    pub fn lifetime(&self) -> Duration {
        self.limits.lifetime
    }

    /// Grants a ticket.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ledger or the account's part of it is full.
    pub fn grant(&mut self, now: Instant, account: &str) -> Result<TicketNumber, Refusal> {
        self.expire(now);
        if self.tickets.len() >= self.limits.max_tickets {
            return Err(ledger_full(
                "the daemon has reached its maximum number of tickets",
            ));
        }
        if self.count(account) >= self.limits.max_tickets_per_account {
            return Err(ledger_full(
                "the account has reached its maximum number of tickets",
            ));
        }
        let number = self.next_number;
        self.next_number += 1;
        self.add_count(account);
        self.tickets.push(LiveTicket {
            number,
            account: account.into(),
            expires_at: now + self.limits.lifetime,
            digest: None,
            state: TicketState::Granted,
        });
        Ok(number)
    }

    /// Decides about a request under a ticket. [`TicketVerdict::Run`] must be followed by exactly
    /// one call of [`TicketLedger::finish`].
    pub fn begin(&mut self, now: Instant, claim: &TicketClaim) -> TicketVerdict {
        self.expire(now);
        if claim.ticket_account != claim.request_account {
            return refuse(not_run("the ticket was granted to another account"));
        }
        if claim.owner != self.owner || claim.incarnation != self.incarnation {
            let message =
                "the daemon that granted the ticket is no longer running; the request may have run";
            return refuse(unknown_outcome(message));
        }
        if claim.number >= self.next_number || claim.number == 0 {
            return refuse(not_run("no ticket with this number was granted"));
        }
        let Ok(position) = self.position(claim.number) else {
            return refuse(unknown_outcome(
                "the ticket has expired; the request may have run",
            ));
        };
        let max_execution = self.limits.max_execution_time;
        let ticket = &mut self.tickets[position];
        if ticket.account != claim.request_account {
            return refuse(not_run("the ticket was granted to another account"));
        }
        if *ticket.digest.get_or_insert(claim.digest) != claim.digest {
            return refuse(not_run("the ticket was used for a different request"));
        }
        ticket.begin(now, max_execution)
    }

    /// Records the result of an execution and returns it for the caller that ran it.
    ///
    /// # Panics
    ///
    /// If the request is not running according to the ledger, since it then ran without permission.
    pub fn finish(&mut self, number: TicketNumber, result: ExecutionResult) -> ExecutionResult {
        let position = self.position(number);
        assert!(
            position.is_ok(),
            "ticket {number} is retained while its request runs"
        );
        let position = position.unwrap_or_default();
        assert_eq!(
            self.tickets[position].state,
            TicketState::Running,
            "the execution that ends under ticket {number} was permitted"
        );
        let retained = self.retained_result(&result);
        self.tickets[position].state = match &retained {
            ExecutionResult::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                TicketState::Granted
            }
            ExecutionResult::Ran(_) | ExecutionResult::Refused(_) => {
                TicketState::Finished(retained)
            }
        };
        result
    }

    /// Removes expired tickets whose request is not running.
    pub fn expire(&mut self, now: Instant) {
        let due = self
            .tickets
            .iter()
            .take_while(|ticket| ticket.expires_at <= now);
        if due.count() == 0 {
            return;
        }
        let is_kept =
            |ticket: &LiveTicket| ticket.expires_at > now || ticket.state == TicketState::Running;
        let (retained, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut self.tickets)
            .into_iter()
            .partition(is_kept);
        self.tickets = retained;
        for ticket in expired {
            self.result_bytes -= ticket.result_bytes();
            self.remove_count(&ticket.account);
        }
    }

    /// Returns what to retain of a result: the value itself only while the total size of retained
    /// results stays within the limit.
    fn retained_result(&mut self, result: &ExecutionResult) -> ExecutionResult {
        let ExecutionResult::Ran(value) = result else {
            return result.clone();
        };
        if self.result_bytes + value.len() > self.limits.max_result_bytes {
            return ExecutionResult::Refused(Refusal {
                outcome: Outcome::Ran,
                ..unknown_outcome("the request ran before; its result was too large to be retained")
            });
        }
        self.result_bytes += value.len();
        result.clone()
    }

    fn position(&self, number: TicketNumber) -> Result<usize, usize> {
        self.tickets
            .binary_search_by_key(&number, |ticket| ticket.number)
    }

    fn account_position(&self, account: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|count| count.account.as_ref().cmp(account))
    }

    fn count(&self, account: &str) -> usize {
        self.account_position(account)
            .map_or(0, |position| self.accounts[position].tickets)
    }

    fn add_count(&mut self, account: &str) {
        match self.account_position(account) {
            Ok(position) => self.accounts[position].tickets += 1,
            Err(position) => self.accounts.insert(
                position,
                AccountCount {
                    account: account.into(),
                    tickets: 1,
                },
            ),
        }
    }

    fn remove_count(&mut self, account: &str) {
        let Ok(position) = self.account_position(account) else {
            return;
        };
        self.accounts[position].tickets -= 1;
        if self.accounts[position].tickets == 0 {
            self.accounts.remove(position);
        }
    }
}

impl LiveTicket {
    fn begin(&mut self, now: Instant, max_execution: Duration) -> TicketVerdict {
        match &self.state {
            TicketState::Granted => {
                self.state = TicketState::Running;
                let until_expiry = self.expires_at.saturating_duration_since(now);
                let time_left = until_expiry.min(max_execution);
                TicketVerdict::Run { time_left }
            }
            TicketState::Running => TicketVerdict::Wait,
            TicketState::Finished(result) => TicketVerdict::Repeat(result.clone()),
        }
    }

    fn result_bytes(&self) -> usize {
        match &self.state {
            TicketState::Finished(ExecutionResult::Ran(value)) => value.len(),
            TicketState::Granted | TicketState::Running | TicketState::Finished(_) => 0,
        }
    }
}

fn refuse(refusal: Refusal) -> TicketVerdict {
    TicketVerdict::Refuse(refusal)
}

fn not_run(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::TicketInvalid, "check ticket", message)
}

fn unknown_outcome(message: &str) -> Refusal {
    Refusal::unknown(RefusalCode::TicketInvalid, "check ticket", message)
}

fn ledger_full(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::QueueFull, "grant ticket", message)
}
