//! Per-account state of the data path: policy, retry and hedge budgets, and query counts.

use crate::account::{AccountPolicy, AccountTable};
use crate::engine::budget::TokenBudget;
use crate::engine::slots::{KeyIndex, Slot, SlotTable};
use crate::ids::AccountName;

/// Maximum number of retries that an account may send in a burst.
const RETRY_BURST: f64 = 100.0;
/// Retries per second granted to each account regardless of its load, so that an account with
/// little traffic can retry.
const RETRIES_PER_SECOND: f64 = 10.0;
/// Maximum number of hedges that an account may send in a burst.
const HEDGE_BURST: f64 = 50.0;

#[derive(Debug)]
pub(crate) struct AccountState {
    /// Policy in effect for the account.
    pub(crate) policy: AccountPolicy,
    /// Whether the newest account table contains the account.
    pub(crate) published: bool,
    /// Number of the account's queries that wait in a queue.
    pub(crate) waiting: u32,
    /// Number of the account's queries that wait or run.
    pub(crate) active_queries: u32,
    pub(crate) retries: TokenBudget,
    pub(crate) hedges: TokenBudget,
}

/// All client accounts, by name and by slot.
#[derive(Debug, Default)]
pub(crate) struct AccountRegistry {
    states: SlotTable<AccountState>,
    index: KeyIndex<AccountName>,
}

impl AccountRegistry {
    /// Returns the slot of the account with a name, if the account is published.
    pub(crate) fn find(&self, name: &str) -> Option<Slot> {
        let slot = self.index.find(name)?;
        self.states.get(slot)?.published.then_some(slot)
    }

    pub(crate) fn get(&self, slot: Slot) -> Option<&AccountState> {
        self.states.get(slot)
    }

    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut AccountState> {
        self.states.get_mut(slot)
    }

    /// Applies a new account table; removed accounts are kept until their last query has ended.
    pub(crate) fn apply_table(&mut self, table: &AccountTable) {
        for (_, state) in self.states.iter_mut() {
            state.published = false;
        }
        for policy in &table.accounts {
            self.apply_account(policy);
        }
        let removed: Vec<AccountName> = self
            .states
            .iter()
            .filter(|(_, state)| !state.published && state.active_queries == 0)
            .map(|(_, state)| state.policy.account.clone())
            .collect();
        for name in removed {
            if let Some(slot) = self.index.remove(name.as_ref()) {
                self.states.remove(slot);
            }
        }
    }

    fn apply_account(&mut self, policy: &AccountPolicy) {
        let known = self
            .index
            .find(policy.account.as_ref())
            .and_then(|slot| self.states.get_mut(slot));
        if let Some(state) = known {
            state.policy = policy.clone();
            state.published = true;
            return;
        }
        let slot = self.states.insert(AccountState {
            policy: policy.clone(),
            published: true,
            waiting: 0,
            active_queries: 0,
            retries: TokenBudget::new(RETRY_BURST, RETRIES_PER_SECOND),
            hedges: TokenBudget::new(HEDGE_BURST, 0.0),
        });
        self.index.insert(policy.account.clone(), slot);
    }
}
