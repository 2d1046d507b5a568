//! What a cell's workspaces may have running: the accounts, and what the cell's runs take of them.

use crate::cell::{Cell, Job, Note};
use crate::job::{Origin, Resources, TaskName};
use crate::quota::{Account, Change, Holder, Limit, Split};
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two changes of a cell's shares.
const CHANGE_INTERVAL: Duration = Duration::from_millis(40);

/// Most splits changed in one transaction: each is a condition and a write, and a transaction has a hundred
/// entries.
const MAX_CHANGES: usize = 45;

/// The account of jobs of which nobody knows the workspace.  No configuration gives it a limit, so one task of
/// theirs runs at a time; no workspace has such a name, since one's begin with a letter.
const UNKNOWN: &str = "~unknown";

/// A workspace's place among the accounts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AccountId(u16);

/// What a run takes of its workspace's limit.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    pub(crate) account: AccountId,
    pub(crate) need: Resources,
}

/// All accounts of a cell.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    list: Vec<Account>,
    places: BTreeMap<Box<str>, AccountId>,
    /// When the splits were last known to be as read.
    confirmed: Option<Time>,
    /// Whether nothing can run here any more that this owner doesn't see.
    settled: bool,
    /// When shares were last to be changed.
    changed: Option<Time>,
}

impl Accounts {
    /// For an owner; `settled` if it is the cell's first.
    pub(crate) fn new(settled: bool) -> Self {
        Self { settled, ..Self::default() }
    }

    fn open(&mut self, workspace: &str, holder: Holder, now: Time) -> AccountId {
        if let Some(place) = self.places.get(workspace) {
            return *place;
        }
        let place = AccountId(self.list.len() as u16);
        let mut account = Account::new(workspace, holder, self.settled, now);
        if let Some(confirmed) = self.confirmed {
            account.confirm(confirmed);
        }
        self.list.push(account);
        self.places.insert(workspace.into(), place);
        place
    }

    pub(crate) fn get(&self, id: AccountId) -> &Account {
        &self.list[id.0 as usize]
    }

    /// Counts a run that is ordered.
    pub(crate) fn take(&mut self, charge: Option<Charge>) {
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

    /// Takes the limits of a configuration's workspaces.  A workspace that was dropped keeps its last limit, for
    /// the jobs accepted before.
    pub fn configure_limits(
        &mut self,
        limits: impl IntoIterator<Item = (Box<str>, Limit)>,
        configuration: u64,
        now: Time,
    ) {
        for (workspace, limit) in limits {
            let id = self.accounts.open(&workspace, self.holder(), now);
            self.accounts.get_mut(id).configure(limit, configuration, now);
        }
    }

    /// Whether any workspace has a limit.
    pub fn has_limits(&self) -> bool {
        self.accounts.list.iter().any(|account| !account.limit().is_unlimited())
    }

    /// Takes in splits that were read, each with its row's version.
    pub fn take_splits(
        &mut self,
        splits: impl IntoIterator<Item = (Box<str>, u64, Split)>,
        now: Time,
    ) {
        for (workspace, version, split) in splits {
            let id = self.accounts.open(&workspace, self.holder(), now);
            self.accounts.get_mut(id).apply_row(version, Some(split), now);
        }
    }

    /// Notes that all splits were certain to be as known at `now`.
    pub fn confirm_splits(&mut self, now: Time) {
        self.accounts.confirmed = Some(now);
        self.accounts.list.iter_mut().for_each(|account| account.confirm(now));
    }

    /// Changes of splits that are due, to be written in one transaction.
    pub fn split_changes(&mut self, now: Time) -> Vec<Change> {
        let is_early = self.accounts.changed.is_some_and(|at| now.since(at) < CHANGE_INTERVAL);
        if self.accounts.list.is_empty() || is_early {
            return Vec::new();
        }
        let takes = self.minions.values().filter(|minion| minion.takes_work(now));
        let room = takes.fold(Resources::default(), |sum, minion| sum.plus(&minion.free()));
        let changes: Vec<Change> = self
            .accounts
            .list
            .iter_mut()
            .filter_map(|account| account.next_change(&room, now))
            .take(MAX_CHANGES)
            .collect();
        if !changes.is_empty() {
            self.accounts.changed = Some(now);
        }
        changes
    }

    /// Notes that changes were carried out and gave their rows this version.
    pub fn splits_written(&mut self, changes: &[Change], version: u64, now: Time) {
        self.each_changed(changes, |account, change| account.record_write(change, version, now));
    }

    /// Notes that changes were certainly not carried out.
    pub fn splits_refused(&mut self, changes: &[Change]) {
        self.each_changed(changes, Account::record_refusal);
    }

    fn each_changed(&mut self, changes: &[Change], work: impl Fn(&mut Account, &Change)) {
        for change in changes {
            if let Some(id) = self.accounts.places.get(&change.workspace).copied() {
                work(self.accounts.get_mut(id), change);
            }
        }
    }

    /// The account on which a job's tasks run; none where nothing limits them.
    pub(crate) fn open_account(&mut self, origin: &Origin, now: Time) -> Option<AccountId> {
        let workspace = match origin {
            Origin::Public => return None,
            Origin::Workspace(name) => name,
            Origin::Unknown => UNKNOWN,
        };
        Some(self.accounts.open(workspace, self.holder(), now))
    }

    /// Counts what runs anew.
    pub(crate) fn count_runs(&mut self, now: Time) {
        if self.accounts.list.is_empty() {
            return;
        }
        self.settle_accounts(now);
        self.accounts.list.iter_mut().for_each(Account::reset_counts);
        let first_own = self.next_run(0);
        for run in self.minions.values().flat_map(|minion| minion.runs.values()) {
            if let Some(Charge { account, need }) = run.charge {
                self.accounts.get_mut(account).count_run(&need, run.number >= first_own);
            }
        }
    }

    /// A run of a job that isn't known yet may be of any workspace, so the former owner's shares stay in use until
    /// it is gone.
    fn settle_accounts(&mut self, now: Time) {
        if self.accounts.settled || !self.is_settled(now) {
            return;
        }
        let mut tasks = self.minions.values().flat_map(|minion| minion.runs.keys());
        if tasks.all(|task| self.jobs.contains_key(&task.job)) {
            self.accounts.settled = true;
            self.accounts.list.iter_mut().for_each(Account::settle);
        }
    }

    /// Whether the job's workspace is limited here.
    fn limited(&self, job: &Job) -> Option<AccountId> {
        let is_open = || self.queues.get(&job.accepted.queue).is_some_and(|queue| queue.public);
        job.account.filter(|_| job.accepted.origin != Origin::Unknown || !is_open())
    }

    /// Whether so many tasks of a job may be started together within its workspace's limit.
    pub(crate) fn is_within_limit(
        &self,
        job: &Job,
        need: &Resources,
        count: u64,
        now: Time,
    ) -> bool {
        self.limited(job).is_none_or(|id| self.accounts.get(id).may_start(need, count, now))
    }

    /// Notes that tasks of a job wait for their workspace's limit: `count` of them one by one, or a gang.
    pub(crate) fn hold_back(&mut self, name: &TaskName, unit: &Resources, count: u64, now: Time) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let Some(id) = self.limited(job) else { return };
        let is_gang = job.accepted.definition.steps[name.step as usize].gang;
        let is_first = !job.held_back;
        let account = self.accounts.get_mut(id);
        let is_larger = account.exceeds_limit(unit);
        // A gang beyond the whole limit would take all of it and still not start.
        if !(is_gang && is_larger) {
            account.record_wanted(unit, count);
        }
        if is_first {
            self.note_held(name, id, *unit, is_larger, now);
        }
    }

    fn note_held(
        &mut self,
        name: &TaskName,
        id: AccountId,
        need: Resources,
        is_larger: bool,
        now: Time,
    ) {
        let account = self.accounts.get(id);
        let (workspace, summary) = (account.workspace.clone(), account.summary(now));
        self.note(Note::Held { task: *name, workspace, need, is_larger, summary });
        if let Some(job) = self.jobs.get_mut(&name.job) {
            job.held_back = true;
        }
    }
}
