//! Limits on what the workspaces of a cell may have running: their accounts, and what each run is
//! charged.

use crate::cell::{Cell, Event, Job};
use crate::job::{Origin, Resources, TaskName};
use crate::quota::{Account, Change, Holder, Limit, Split};
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time between two changes of a cell's shares.
const SHARE_CHANGE_INTERVAL: Duration = Duration::from_millis(40);

/// Each change takes a condition and a write, and a transaction is limited to a hundred of both
/// together.
const MAX_CHANGES_PER_TRANSACTION: usize = 45;

/// The account for jobs whose workspace is unknown.  No configuration gives it a limit, so one of
/// their tasks runs at a time.  No workspace has this name, since workspace names begin with a
/// letter.
const UNKNOWN_WORKSPACE: &str = "~unknown";

/// Index of a workspace's account.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AccountId(u16);

impl AccountId {
    /// Its position among the cell's accounts.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// What a run is charged to its workspace's account.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    pub(crate) account: AccountId,
    pub(crate) need: Resources,
}

/// All accounts of a cell.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    list: Vec<Account>,
    /// The workspaces' shares of short capacity relative to each other, by account; 0 without one.
    weights: Vec<u64>,
    ids: BTreeMap<Box<str>, AccountId>,
    /// When the splits were last confirmed to be as read.
    confirmed_at: Option<Time>,
    /// Whether no run can exist any more that this owner does not know.
    is_takeover_complete: bool,
    /// When changes of shares were last proposed.
    changed_at: Option<Time>,
}

impl Accounts {
    /// Creates the accounts of an owner; `is_takeover_complete` if it is the cell's first.
    pub(crate) fn new(is_takeover_complete: bool) -> Self {
        Self { is_takeover_complete, ..Self::default() }
    }

    fn get_or_open(&mut self, workspace: &str, holder: Holder, now: Time) -> AccountId {
        if let Some(id) = self.ids.get(workspace) {
            return *id;
        }
        let id = AccountId(self.list.len() as u16);
        let mut account = Account::new(workspace, holder, self.is_takeover_complete, now);
        if let Some(confirmed) = self.confirmed_at {
            account.confirm(confirmed);
        }
        self.list.push(account);
        self.weights.push(0);
        self.ids.insert(workspace.into(), id);
        id
    }

    pub(crate) fn get(&self, id: AccountId) -> &Account {
        &self.list[id.0 as usize]
    }

    /// Number of accounts.
    pub(crate) fn count(&self) -> usize {
        self.list.len()
    }

    /// The account at a position below [`Accounts::count`].
    pub(crate) fn by_index(&self, index: usize) -> &Account {
        &self.list[index]
    }

    /// The configured weight of an account's workspace; `None` without one.
    pub(crate) fn weight(&self, index: usize) -> Option<u64> {
        self.weights.get(index).copied().filter(|weight| *weight > 0)
    }

    /// Charges a run that is being started.
    pub(crate) fn charge_run(&mut self, charge: Option<Charge>) {
        if let Some(Charge { account, need }) = charge {
            self.get_mut(account).count_start(&need);
        }
    }

    pub(crate) fn get_mut(&mut self, id: AccountId) -> &mut Account {
        &mut self.list[id.0 as usize]
    }
}

impl Cell {
    fn holder(&self) -> Holder {
        Holder { cell: self.settings.name.clone(), token: self.settings.token }
    }

    /// Applies the workspace limits of a configuration.  A workspace that was removed keeps its
    /// last limit for the jobs accepted before.
    pub fn configure_limits(
        &mut self,
        limits: impl IntoIterator<Item = (Box<str>, Limit)>,
        configuration: u64,
        now: Time,
    ) {
        for (workspace, limit) in limits {
            let id = self.accounts.get_or_open(&workspace, self.holder(), now);
            self.accounts.get_mut(id).configure(limit, configuration, now);
        }
    }

    /// Applies the workspaces' shares of short capacity from a configuration.
    pub fn configure_weights(
        &mut self,
        weights: impl IntoIterator<Item = (Box<str>, u64)>,
        now: Time,
    ) {
        for (workspace, weight) in weights {
            let id = self.accounts.get_or_open(&workspace, self.holder(), now);
            self.accounts.weights[id.0 as usize] = weight;
        }
    }

    /// Whether any workspace has a limit.
    pub fn has_limits(&self) -> bool {
        self.accounts.list.iter().any(|account| !account.limit().is_unlimited())
    }

    /// Records splits that were read, each with its row's version.
    pub fn record_splits(
        &mut self,
        splits: impl IntoIterator<Item = (Box<str>, u64, Split)>,
        now: Time,
    ) {
        for (workspace, version, split) in splits {
            let id = self.accounts.get_or_open(&workspace, self.holder(), now);
            self.accounts.get_mut(id).apply_row(version, Some(split), now);
        }
    }

    /// Records that all splits were certainly as known at `now`.
    pub fn confirm_splits(&mut self, now: Time) {
        self.accounts.confirmed_at = Some(now);
        self.accounts.list.iter_mut().for_each(|account| account.confirm(now));
    }

    /// Changes of splits that are due, to be written in one transaction.
    pub fn split_changes(&mut self, now: Time) -> Vec<Change> {
        let is_early =
            self.accounts.changed_at.is_some_and(|at| now.since(at) < SHARE_CHANGE_INTERVAL);
        if self.accounts.list.is_empty() || is_early {
            return Vec::new();
        }
        let accepting = self.minions.values().filter(|minion| minion.accepts_tasks(now));
        let free = accepting.fold(Resources::default(), |sum, minion| sum.plus(&minion.free()));
        let changes: Vec<Change> = self
            .accounts
            .list
            .iter_mut()
            .filter_map(|account| account.next_change(&free, now))
            .take(MAX_CHANGES_PER_TRANSACTION)
            .collect();
        if !changes.is_empty() {
            self.accounts.changed_at = Some(now);
        }
        changes
    }

    /// Records that changes were written and gave their rows this version.
    pub fn record_split_changes(&mut self, changes: &[Change], version: u64, now: Time) {
        self.for_each_change(changes, |account, change| account.record_write(change, version, now));
    }

    /// Records that changes were certainly not written.
    pub fn discard_split_changes(&mut self, changes: &[Change]) {
        self.for_each_change(changes, Account::record_refusal);
    }

    fn for_each_change(&mut self, changes: &[Change], work: impl Fn(&mut Account, &Change)) {
        for change in changes {
            if let Some(id) = self.accounts.ids.get(&change.workspace).copied() {
                work(self.accounts.get_mut(id), change);
            }
        }
    }

    /// The account that a job's tasks are charged to; `None` if nothing limits them.
    pub(crate) fn open_account(&mut self, origin: &Origin, now: Time) -> Option<AccountId> {
        let workspace = match origin {
            Origin::Public => return None,
            Origin::Workspace(name) => name,
            Origin::Unknown => UNKNOWN_WORKSPACE,
        };
        Some(self.accounts.get_or_open(workspace, self.holder(), now))
    }

    /// Counts all runs again.
    pub(crate) fn count_runs(&mut self, now: Time) {
        if self.accounts.list.is_empty() {
            return;
        }
        self.settle_accounts(now);
        self.accounts.list.iter_mut().for_each(Account::reset_counts);
        let first_own = self.next_run_number(0);
        for run in self.minions.values().flat_map(|minion| minion.runs.values()) {
            if let Some(Charge { account, need }) = run.charge {
                self.accounts.get_mut(account).count_run(&need, run.number >= first_own);
            }
        }
    }

    /// Ends the accounting for the former owner.  A run of a job that is not known yet may belong
    /// to any workspace, so the former owner's shares stay in use until no such run is left.
    fn settle_accounts(&mut self, now: Time) {
        if self.accounts.is_takeover_complete || !self.is_takeover_complete(now) {
            return;
        }
        let mut tasks = self.minions.values().flat_map(|minion| minion.runs.keys());
        if tasks.all(|task| self.jobs.contains_key(&task.job)) {
            self.accounts.is_takeover_complete = true;
            self.accounts.list.iter_mut().for_each(Account::settle);
        }
    }

    /// The account that limits a job's tasks; `None` if nothing limits them.
    pub(crate) fn limited_account(&self, job: &Job) -> Option<AccountId> {
        let is_open = || self.policies.queue(&job.accepted.queue).is_some_and(|queue| queue.public);
        job.account.filter(|_| job.accepted.origin != Origin::Unknown || !is_open())
    }

    /// Whether `count` tasks of a job may be started together within its workspace's limit.
    pub(crate) fn is_within_limit(
        &self,
        job: &Job,
        need: &Resources,
        count: u64,
        now: Time,
    ) -> bool {
        self.limited_account(job).is_none_or(|id| self.accounts.get(id).may_start(need, count, now))
    }

    /// Records that tasks of a job wait for their workspace's limit: `count` single tasks, or a
    /// gang.
    pub(crate) fn record_held_back(
        &mut self,
        name: &TaskName,
        unit: &Resources,
        count: u64,
        now: Time,
    ) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let Some(id) = self.limited_account(job) else { return };
        let is_gang = job.accepted.definition.steps[name.step as usize].gang;
        let is_first = !job.held_back;
        let account = self.accounts.get_mut(id);
        let is_larger = account.exceeds_limit(unit);
        // A gang larger than the whole limit would take all of it and still not start.
        if !(is_gang && is_larger) {
            account.record_wanted(unit, count);
        }
        if is_first {
            self.record_held_event(name, id, *unit, is_larger, now);
        }
    }

    fn record_held_event(
        &mut self,
        name: &TaskName,
        id: AccountId,
        need: Resources,
        is_larger: bool,
        now: Time,
    ) {
        let account = self.accounts.get(id);
        let (workspace, summary) = (account.workspace.clone(), account.summary(now));
        self.record_event(Event::Held { task: *name, workspace, need, is_larger, summary });
        if let Some(job) = self.jobs.get_mut(&name.job) {
            job.held_back = true;
        }
    }
}
