//! What an owner remembers of its tickets: [`TicketLedger`].
//!
//! A non-idempotent request runs only at the daemon that granted its ticket, and only if this
//! ledger says so; so it runs at most once, whatever is sent again and through whom. The ledger
//! asserts that itself. See `docs/DESIGN.md`, "At most once".

use std::time::{Duration, Instant};

use crate::ids::{AccountName, HostName, Incarnation};
use crate::outcome::{Outcome, Refusal, RefusalCode};

/// A ticket's number at its owner.
pub type TicketNumber = u64;
/// A hash over the whole of a request under a ticket, by which another request under the same
/// ticket is told from a resent one.
pub type RequestDigest = u128;

/// The bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// How long a ticket is valid, and its end remembered.
    pub lifetime: Duration,
    /// The longest time that one execution may take; well below the lifetime.
    pub max_execution_time: Duration,
    /// How many tickets may be live at once.
    pub tickets: usize,
    /// How many of them one account may hold.
    pub tickets_per_account: usize,
    /// How many bytes of results may be kept; beyond it only the fact that a request ran is.
    pub result_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            max_execution_time: Duration::from_secs(120),
            tickets: 65_536,
            tickets_per_account: 16_384,
            result_bytes: 16 * 1024 * 1024,
        }
    }
}

/// A ticket as a caller shows it, with the request that is to run under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketClaim {
    /// The daemon that the ticket names.
    pub owner: HostName,
    /// The incarnation that the ticket names.
    pub incarnation: Incarnation,
    /// The ticket's number.
    pub number: TicketNumber,
    /// The account that the ticket names.
    pub ticket_account: AccountName,
    /// The account that the request is charged to.
    pub request_account: AccountName,
    /// The request.
    pub digest: RequestDigest,
}

/// How an execution ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionResult {
    /// It ran, with this result.
    Ran(Box<str>),
    /// It was refused or failed; the refusal's outcome says whether it may have run.
    Refused(Refusal),
}

/// What is to be done with a request under a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketVerdict {
    /// Run it now, so that it ends within this time.
    Run {
        /// The time that the execution may take.
        time_left: Duration,
    },
    /// It runs already: wait for its end.
    Wait,
    /// It has ended: repeat this.
    Repeat(ExecutionResult),
    /// Refuse it.
    Refuse(Refusal),
}

/// What became of a ticket so far.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TicketState {
    /// Nothing has run under it.
    Granted,
    /// Its request runs.
    Running,
    /// Its request ran, or may have run; it never runs again.
    Ended(ExecutionResult),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct LiveTicket {
    number: TicketNumber,
    account: AccountName,
    expires_at: Instant,
    digest: Option<RequestDigest>,
    state: TicketState,
}

/// How many live tickets an account has.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AccountCount {
    account: AccountName,
    tickets: usize,
}

/// The tickets that one daemon has granted in one incarnation, until their expiry.
#[derive(Debug)]
pub struct TicketLedger {
    owner: HostName,
    incarnation: Incarnation,
    limits: LedgerLimits,
    next_number: TicketNumber,
    /// Sorted by number, and so by expiry.
    tickets: Vec<LiveTicket>,
    accounts: Vec<AccountCount>,
    result_bytes: usize,
}

impl TicketLedger {
    /// Makes an empty ledger.
    ///
    /// # Panics
    ///
    /// If tickets would expire before the longest execution under them has ended.
    pub fn new(owner: HostName, incarnation: Incarnation, limits: LedgerLimits) -> Self {
        assert!(
            limits.max_execution_time < limits.lifetime,
            "a ticket outlives the longest execution under it"
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

    /// How many tickets are live.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no ticket is live.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// How long a new ticket is valid.
    pub fn lifetime(&self) -> Duration {
        self.limits.lifetime
    }

    /// Grants a ticket.
    ///
    /// # Errors
    ///
    /// A refusal where the ledger, or the account's part of it, is full.
    pub fn grant(&mut self, now: Instant, account: &str) -> Result<TicketNumber, Refusal> {
        self.expire(now);
        if self.tickets.len() >= self.limits.tickets {
            return Err(full("the daemon holds as many tickets as it can"));
        }
        if self.count(account) >= self.limits.tickets_per_account {
            return Err(full("the account holds as many tickets as it may"));
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

    /// Says what is to be done with a request under a ticket; [`TicketVerdict::Run`] must be
    /// followed by one [`TicketLedger::finish`].
    pub fn begin(&mut self, now: Instant, claim: &TicketClaim) -> TicketVerdict {
        self.expire(now);
        if claim.ticket_account != claim.request_account {
            return refuse(not_run("the ticket was granted to another account"));
        }
        if claim.owner != self.owner || claim.incarnation != self.incarnation {
            let message = "the ticket's owner is gone; the request may have run there";
            return refuse(unknown(message));
        }
        if claim.number >= self.next_number || claim.number == 0 {
            return refuse(not_run("no such ticket was ever granted"));
        }
        let Ok(position) = self.position(claim.number) else {
            return refuse(unknown("the ticket has expired; the request may have run"));
        };
        let longest = self.limits.max_execution_time;
        let ticket = &mut self.tickets[position];
        if ticket.account != claim.request_account {
            return refuse(not_run("the ticket was granted to another account"));
        }
        if *ticket.digest.get_or_insert(claim.digest) != claim.digest {
            return refuse(not_run("another request was sent under the ticket"));
        }
        ticket.begin(now, longest)
    }

    /// Takes the end of an execution, and gives what the ledger will repeat from now on.
    ///
    /// # Panics
    ///
    /// If the ticket does not run, since then its request has run without leave.
    pub fn finish(&mut self, number: TicketNumber, end: ExecutionResult) -> ExecutionResult {
        let position = self.position(number);
        assert!(position.is_ok(), "ticket {number} is kept while it runs");
        let position = position.unwrap_or_default();
        assert_eq!(
            self.tickets[position].state,
            TicketState::Running,
            "ticket {number} was given leave for the execution that ends"
        );
        let kept = self.retained_result(&end);
        self.tickets[position].state = match &kept {
            ExecutionResult::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                TicketState::Granted
            }
            ExecutionResult::Ran(_) | ExecutionResult::Refused(_) => TicketState::Ended(kept),
        };
        end
    }

    /// Forgets tickets that have expired, except those that run.
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
        let (kept, gone): (Vec<_>, Vec<_>) = std::mem::take(&mut self.tickets)
            .into_iter()
            .partition(is_kept);
        self.tickets = kept;
        for ticket in gone {
            self.result_bytes -= ticket.result_bytes();
            self.remove_count(&ticket.account);
        }
    }

    /// What is kept of an end: results are, as long as there is room for them.
    fn retained_result(&mut self, end: &ExecutionResult) -> ExecutionResult {
        let ExecutionResult::Ran(result) = end else {
            return end.clone();
        };
        if self.result_bytes + result.len() > self.limits.result_bytes {
            return ExecutionResult::Refused(Refusal {
                outcome: Outcome::Ran,
                ..unknown("it ran before; its result was too large to be kept")
            });
        }
        self.result_bytes += result.len();
        end.clone()
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
    fn begin(&mut self, now: Instant, longest: Duration) -> TicketVerdict {
        match &self.state {
            TicketState::Granted => {
                self.state = TicketState::Running;
                let until_expiry = self.expires_at.saturating_duration_since(now);
                let time_left = until_expiry.min(longest);
                TicketVerdict::Run { time_left }
            }
            TicketState::Running => TicketVerdict::Wait,
            TicketState::Ended(end) => TicketVerdict::Repeat(end.clone()),
        }
    }

    fn result_bytes(&self) -> usize {
        match &self.state {
            TicketState::Ended(ExecutionResult::Ran(result)) => result.len(),
            TicketState::Granted | TicketState::Running | TicketState::Ended(_) => 0,
        }
    }
}

fn refuse(refusal: Refusal) -> TicketVerdict {
    TicketVerdict::Refuse(refusal)
}

fn not_run(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::TicketInvalid, "check ticket", message)
}

fn unknown(message: &str) -> Refusal {
    Refusal::unknown(RefusalCode::TicketInvalid, "check ticket", message)
}

fn full(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::QueueFull, "grant ticket", message)
}
