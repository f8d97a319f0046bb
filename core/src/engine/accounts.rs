//! The client accounts as the data path needs them: policy, budgets and what waits for each.

use crate::account::{AccountPolicy, AccountTable};
use crate::engine::budget::TokenBudget;
use crate::engine::slots::{KeyIndex, Slot, SlotTable};
use crate::ids::AccountName;

/// Retries that an account may make at once.
const RETRY_BURST: f64 = 100.0;
/// Retries a second that an account may make whatever its load, so that a quiet one can retry.
const RETRIES_PER_SECOND: f64 = 10.0;
/// Hedges that an account may make at once.
const HEDGE_BURST: f64 = 50.0;

/// One client account.
#[derive(Debug)]
pub(crate) struct AccountState {
    /// What is in force for it.
    pub(crate) policy: AccountPolicy,
    /// Whether it is still published.
    pub(crate) published: bool,
    /// How many of its queries wait.
    pub(crate) waiting: u32,
    /// How many of its queries wait or run.
    pub(crate) active_queries: u32,
    /// What it may spend on retries.
    pub(crate) retries: TokenBudget,
    /// What it may spend on hedges.
    pub(crate) hedges: TokenBudget,
}

/// All client accounts.
#[derive(Debug, Default)]
pub(crate) struct AccountRegistry {
    states: SlotTable<AccountState>,
    index: KeyIndex<AccountName>,
}

impl AccountRegistry {
    /// The account of a name, if it is published.
    pub(crate) fn find(&self, name: &str) -> Option<Slot> {
        let slot = self.index.find(name)?;
        self.states.get(slot)?.published.then_some(slot)
    }

    /// The account at a position.
    pub(crate) fn get(&self, slot: Slot) -> Option<&AccountState> {
        self.states.get(slot)
    }

    /// The account at a position.
    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut AccountState> {
        self.states.get_mut(slot)
    }

    /// Puts a table in force; accounts that are gone stay until their last query has ended.
    pub(crate) fn put(&mut self, table: &AccountTable) {
        for (_, state) in self.states.iter_mut() {
            state.published = false;
        }
        for policy in &table.accounts {
            self.put_account(policy);
        }
        let gone: Vec<AccountName> = self
            .states
            .iter()
            .filter(|(_, state)| !state.published && state.active_queries == 0)
            .map(|(_, state)| state.policy.account.clone())
            .collect();
        for name in gone {
            if let Some(slot) = self.index.remove(name.as_ref()) {
                self.states.remove(slot);
            }
        }
    }

    fn put_account(&mut self, policy: &AccountPolicy) {
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
