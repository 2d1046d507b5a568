//! What a cell's owner knows and decides about one workspace's quota.

use crate::job::Resources;
use crate::quota::split::{Change, Claim, Limit, Share, Split, Target};
use crate::time::Time;
use smallvec::SmallVec;
use std::time::Duration;

/// How long an unneeded share is retained, in case demand returns.
const IDLE_SHARE_RETENTION: Duration = Duration::from_millis(1000);

/// How long starts wait after a workspace gets its first limit, until the cells have written shares
/// for what is already running.
const FIRST_LIMIT_DELAY: Duration = Duration::from_millis(2000);

/// Divisor of the free resources: the part that is taken in advance when a share is raised.
const ADVANCE_DIVISOR: u64 = 4;

/// Minimum time between two changes that only yield to cells that are short.
const MIN_YIELD_INTERVAL: Duration = Duration::from_millis(200);

/// Divisor of the limit: the least part that is worth a transaction to return while no other cell
/// asks for it.
const MIN_RETURN_DIVISOR: u64 = 8;

/// Divisor of the limit: the least part that is worth a transaction to return while other cells ask
/// for it.
const MIN_YIELD_DIVISOR: u64 = 32;

/// A change of a split with an unknown outcome: it may still be committed.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// The row version that it requires.
    version: u64,
    /// This cell's share in the change.
    share: Share,
    /// The size of the former owner's share that the change replaces; zero if there is none.
    former_size: Resources,
}

/// The owner of an account.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// The name of its cell.
    pub cell: Box<str>,
    /// Its fencing token.
    pub token: u64,
}

/// The state of one workspace's quota as known to a cell's owner.
#[derive(Clone, Debug)]
pub struct Account {
    /// The workspace.
    pub workspace: Box<str>,
    holder: Holder,
    /// The limit in force here, and the configuration that contains it.  The initial limit of zero
    /// allows only one task at a time.
    limit: Limit,
    configuration: u64,
    /// The configuration that last lowered the limit.
    lowered_by: u64,
    /// No task is started before this time.
    starts_held_until: Time,
    /// The split as last read, its row's version, and when that was last known to be current;
    /// `None` before the first read.
    split: Split,
    version: u64,
    confirmed_at: Option<Time>,
    pending: SmallVec<[Pending; 1]>,
    /// What a former owner's runs may use without being known here yet; `None` once all minions
    /// have reported.
    former_usage: Option<Resources>,
    /// What the runs that this owner started use, and those that it adopted.
    own_usage: Resources,
    adopted_usage: Resources,
    /// What the last plan could not start because the share was too small, and the smallest such
    /// task.
    wanted: Resources,
    smallest_wanted: Option<Resources>,
    /// The smallest such task of the plan before.
    previous_smallest_wanted: Option<Resources>,
    /// Whether a task was started since this cell's share was last written.
    started_since_write: bool,
    /// When a change of this cell's share was last issued.
    last_write: Time,
    /// The recent peak usage, and since when it applies.
    peak: Resources,
    peak_since: Time,
}

impl Account {
    /// An account of a workspace about which nothing is known.
    ///
    /// `settled` states that no former owner of the cell can have runs that are unknown here.
    pub fn new(workspace: &str, holder: Holder, settled: bool, now: Time) -> Self {
        Self {
            workspace: workspace.into(),
            holder,
            limit: Limit::default(),
            configuration: 0,
            lowered_by: 0,
            starts_held_until: Time(0),
            split: Split::default(),
            version: 0,
            confirmed_at: None,
            pending: SmallVec::new(),
            former_usage: (!settled).then(Resources::default),
            own_usage: Resources::default(),
            adopted_usage: Resources::default(),
            wanted: Resources::default(),
            smallest_wanted: None,
            previous_smallest_wanted: None,
            started_since_write: false,
            last_write: Time(0),
            peak: Resources::default(),
            peak_since: now,
        }
    }

    /// Applies the limit of a configuration; an older configuration is ignored.
    pub fn configure(&mut self, limit: Limit, configuration: u64, now: Time) {
        if configuration < self.configuration {
            return;
        }
        if !limit.0.holds(&self.limit.0) {
            self.lowered_by = configuration;
            // No usage was counted until now, so the other cells must first write shares for it.
            let was_unlimited = self.configuration > 0 && self.limit.is_unlimited();
            self.starts_held_until =
                if was_unlimited { now + FIRST_LIMIT_DELAY } else { self.starts_held_until };
        }
        self.limit = limit;
        self.configuration = configuration;
    }

    /// The effective limit: that of the configuration in force here or the one with which the split
    /// was last written, whichever is newer.
    pub fn limit(&self) -> Limit {
        if self.split.configuration > self.configuration { self.split.limit } else { self.limit }
    }

    /// Applies the row as read; `None` if there is no row.  Answers can arrive out of order, so an
    /// older version is ignored.
    pub fn apply_row(&mut self, version: u64, split: Option<Split>, now: Time) {
        if version < self.version {
            return;
        }
        self.confirmed_at = Some(now);
        let before = std::mem::replace(&mut self.version, version);
        self.split = split.unwrap_or_default();
        if version == before {
            return;
        }
        let own_share = self.own_share();
        let is_done =
            |pending: &&Pending| pending.version == before && own_share == Some(pending.share);
        if let Some(former) = self.pending.iter().find(is_done).map(|pending| pending.former_size) {
            self.adopt_former_share(former);
        }
        self.pending.retain(|pending| pending.version >= version);
    }

    /// Records that the known row was certainly current at `now`.
    pub fn confirm(&mut self, now: Time) {
        self.confirmed_at = Some(now);
    }

    /// Records that a change by this owner was committed and gave the row this version.
    pub fn record_write(&mut self, change: &Change, version: u64, now: Time) {
        if version > self.version {
            self.apply_row(version, Some(change.split.clone()), now);
        }
    }

    /// Records that a change was certainly not committed.
    pub fn record_refusal(&mut self, change: &Change) {
        self.pending.retain(|pending| pending.version != change.version);
    }

    fn adopt_former_share(&mut self, former: Resources) {
        if let Some(known) = &mut self.former_usage {
            *known = known.max(&former);
        }
    }

    /// Records that all runs of former owners are known here or have ended.
    pub fn settle(&mut self) {
        self.former_usage = None;
    }

    /// Resets usage and wanted resources before both are counted again.
    pub fn reset_counts(&mut self) {
        self.own_usage = Resources::default();
        self.adopted_usage = Resources::default();
        self.wanted = Resources::default();
        self.previous_smallest_wanted = self.smallest_wanted.take();
    }

    /// Counts a run; `own` if this owner started it.
    pub fn count_run(&mut self, need: &Resources, own: bool) {
        let sum = if own { &mut self.own_usage } else { &mut self.adopted_usage };
        *sum = sum.plus(need);
    }

    /// Counts a run that is being started.
    pub fn count_start(&mut self, need: &Resources) {
        self.count_run(need, true);
        self.started_since_write = true;
    }

    /// The resources that runs in this cell may be using.
    ///
    /// Until all minions have reported, a former owner's runs are assumed to use its whole share,
    /// which includes the runs that are known already.
    pub fn in_use(&self) -> Resources {
        match &self.former_usage {
            Some(former) => self.own_usage.plus(&former.max(&self.adopted_usage)),
            None => self.own_usage.plus(&self.adopted_usage),
        }
    }

    /// This cell's share, if its current owner has written it.
    fn own_share(&self) -> Option<Share> {
        let share = self.split.shares.get(&self.holder.cell)?;
        (share.token == self.holder.token).then_some(*share)
    }

    /// The size of this cell's share that is certainly granted: a change that may still be
    /// committed can lower it.
    fn confirmed_size(&self) -> Resources {
        let size = self.own_share().map(|share| share.size).unwrap_or_default();
        let pending = self.pending.iter().filter(|pending| pending.version == self.version);
        pending.fold(size, |size, pending| size.min(&pending.share.size))
    }

    /// The resources that this cell may use while other cells are short; `None` while none is.
    ///
    /// Each short cell gets an equal part of the limit, and at least what its next task needs.
    /// Cells that have started no task for longest come first.  Cells for which not enough is left
    /// start nothing, so that smaller tasks don't starve a large one, and parts too small for any
    /// task don't block all.
    fn target(&self) -> Option<Target> {
        let cell = &self.holder.cell;
        let mut claims = self.split.other_claims(cell);
        if claims.is_empty() {
            return None;
        }
        claims.push(self.own_claim());
        claims.sort_by_key(|claim| (claim.since, claim.cell));
        let limit = self.limit().0;
        let fair = limit.divided_by(claims.len() as u64);
        let mut left = limit;
        for (place, claim) in claims.iter().enumerate() {
            let is_mine = *claim.cell == **cell;
            if !limit.holds(&claim.least) {
                // Its task needs the whole limit and gets it when the claim is first.
                match (place, is_mine) {
                    (0, true) => return Some(Target { size: claim.least, is_first: true }),
                    (0, false) | (_, true) => return Some(Target::default()),
                    (_, false) => continue,
                }
            }
            let part = claim.wanted.min(&fair).max(&claim.least);
            let part =
                if left.holds(&claim.least) { part.min(&left) } else { Resources::default() };
            if is_mine {
                return Some(Target { size: part, is_first: place == 0 });
            }
            left = left.minus(&part);
        }
        None
    }

    /// This cell's own claim; it comes last if the cell is not short.
    fn own_claim(&self) -> Claim<'_> {
        let cell = &self.holder.cell;
        let Share { size, since, wanted, least, .. } = self.split.share(cell);
        let in_use = self.in_use();
        // While a plan is being made, the waiting tasks are those of the previous plan.
        let smallest = self.smallest_wanted.or(self.previous_smallest_wanted);
        match smallest {
            _ if !size.holds(&wanted) => {
                let least = smallest.map_or(least, |smallest| in_use.plus(&smallest));
                Claim { since, cell, wanted: wanted.max(&in_use.plus(&self.wanted)), least }
            }
            Some(smallest) => Claim {
                since: if since > 0 { since } else { self.version },
                cell,
                wanted: in_use.plus(&self.wanted),
                least: in_use.plus(&smallest),
            },
            None => Claim { since: u64::MAX, cell, wanted: size, least: Resources::default() },
        }
    }

    /// Whether the sum of all shares exceeds the limit, as after the limit was lowered.
    fn is_limit_exceeded(&self) -> bool {
        let others = self.split.others_total(&self.holder.cell);
        let own_share = self.split.share(&self.holder.cell).size;
        !self.limit().0.holds(&others.plus(&own_share))
    }

    /// Whether the split was written since the limit was last lowered.
    ///
    /// Until then an owner that doesn't know the new limit may raise its share up to the former
    /// one.  After a write with the new configuration none can.
    fn is_split_current(&self) -> bool {
        self.split.configuration >= self.lowered_by
    }

    /// Whether `count` tasks may be started together now.
    pub fn may_start(&self, need: &Resources, count: u64, now: Time) -> bool {
        if self.limit().is_unlimited() {
            return true;
        }
        if !self.is_split_current() || now < self.starts_held_until {
            return false;
        }
        if count == 1 && self.may_start_alone(need) {
            return true;
        }
        let size = self.confirmed_size();
        let size = self.target().map_or(size, |target| size.min(&target.size));
        !self.is_limit_exceeded() && size.holds(&self.in_use().plus(&need.times(count)))
    }

    /// Whether a task that exceeds the whole limit may run because nothing else of its workspace
    /// runs.
    fn may_start_alone(&self, need: &Resources) -> bool {
        let is_alone =
            self.split.others_total(&self.holder.cell).is_zero() && self.in_use().is_zero();
        is_alone && self.exceeds_limit(need) && self.confirmed_size().holds(need)
    }

    /// Whether a task needs more than the whole limit.
    pub fn exceeds_limit(&self, need: &Resources) -> bool {
        !self.limit().0.holds(need)
    }

    /// Records tasks that can't be started because the share is too small.
    pub fn record_wanted(&mut self, need: &Resources, count: u64) {
        self.wanted = self.wanted.plus(&need.times(count));
        let smallest = self.smallest_wanted.map_or(*need, |smallest| smallest.min(need));
        self.smallest_wanted = Some(smallest);
    }

    /// The change of the split that is due now, if any.
    ///
    /// `free_capacity` is what is free on the cell's minions; no more than that is requested.
    pub fn next_change(&mut self, free_capacity: &Resources, now: Time) -> Option<Change> {
        self.update_peak(now);
        if self.limit().is_unlimited() || self.confirmed_at.is_none() {
            return None;
        }
        let known = self.split.share(&self.holder.cell);
        // Another owner has taken the cell over, which this one hasn't noticed.
        if known.token > self.holder.token {
            return None;
        }
        let next = self.next_share(&known, free_capacity, now);
        if !self.is_worth_writing(&known, &next, now) {
            return None;
        }
        let mut split = self.split.clone();
        (split.configuration, split.limit) =
            (self.configuration.max(split.configuration), self.limit());
        split.shares.insert(self.holder.cell.clone(), next);
        let change = Change { workspace: self.workspace.clone(), version: self.version, split };
        let former_size =
            if self.own_share().is_none() { known.size } else { Resources::default() };
        self.pending.push(Pending { version: self.version, share: next, former_size });
        (self.started_since_write, self.last_write) = (false, now);
        Some(change)
    }

    fn next_share(&self, known: &Share, free_capacity: &Resources, now: Time) -> Share {
        let size = self.next_size(known.size, free_capacity, now);
        let in_use = self.in_use();
        let demand = in_use.plus(&self.wanted.min(free_capacity));
        let share = Share { token: self.holder.token, size, ..Share::default() };
        let Some(smallest) = self.smallest_wanted else { return share };
        // The cell keeps its position until it starts a task, even if the size is sufficient:
        // otherwise the next cell would get the size before the start.
        let since =
            if known.since > 0 && !self.started_since_write { known.since } else { self.version };
        let wanted = if size.holds(&demand) { Resources::default() } else { demand };
        Share { wanted, least: in_use.plus(&smallest), since, ..share }
    }

    fn update_peak(&mut self, now: Time) {
        let in_use = self.in_use();
        if now.since(self.peak_since) > IDLE_SHARE_RETENTION || !self.peak.holds(&in_use) {
            self.peak = in_use;
            self.peak_since = now;
        }
    }

    /// The size that this cell's share should have.
    fn next_size(&self, known: Resources, free_capacity: &Resources, now: Time) -> Resources {
        let limit = self.limit().0;
        let others = self.split.others_total(&self.holder.cell);
        let in_use = self.in_use();
        // Runs that a former owner may have keep its share in use until they are known.
        let least = match self.own_share() {
            None if self.former_usage.is_some() => {
                self.own_usage.plus(&known.max(&self.adopted_usage))
            }
            _ => in_use,
        };
        let free = limit.minus(&others);
        let demand = least.plus(&self.wanted.min(free_capacity));
        let target = self.target();
        if target.is_some() || self.is_limit_exceeded() {
            let bound = target.map_or(free, |target| target.size.min(&free));
            let starts = self.smallest_wanted.is_none_or(|need| bound.holds(&least.plus(&need)));
            // Parts too small for any task would prevent each other from growing.
            let keeps = starts || target.is_none_or(|target| target.is_first);
            let shared = if keeps { least.max(&demand.min(&bound)) } else { least };
            return self.exclusive_size(&others, &least).unwrap_or(shared);
        }
        if self.smallest_wanted.is_some() && !known.holds(&demand) {
            let ahead = free.minus(&demand).divided_by(ADVANCE_DIVISOR);
            let raised = least.max(&demand.plus(&ahead).min(&free)).max(&known);
            return self.exclusive_size(&others, &least).unwrap_or(raised);
        }
        self.size_after_return(known, least, now)
    }

    /// The size for a task that exceeds the whole limit, if its claim is first and nothing else
    /// runs.
    fn exclusive_size(&self, others: &Resources, least: &Resources) -> Option<Resources> {
        let smallest = self.smallest_wanted.filter(|need| self.exceeds_limit(need))?;
        let is_first = self.target().is_none_or(|target| target.size.holds(&smallest));
        (is_first && others.is_zero() && least.is_zero()).then_some(smallest)
    }

    /// The size of a share after returning what isn't needed, while no other cell is short.
    fn size_after_return(&self, known: Resources, least: Resources, now: Time) -> Resources {
        let cells = self.split.shares.len().max(1) as u64;
        let base = self.limit().0.divided_by(2 * cells);
        let kept = known.min(&least.max(&self.peak).max(&base));
        let idle = now.since(self.peak_since) >= IDLE_SHARE_RETENTION / 2;
        let is_worth = self.exceeds_limit_part(&known.minus(&kept), MIN_RETURN_DIVISOR);
        if idle && is_worth { kept } else { known.max(&least) }
    }

    fn is_worth_writing(&self, known: &Share, next: &Share, now: Time) -> bool {
        // An unanswered change counts with its worse outcome for this cell until a later change
        // settles it.
        let is_unsettled = self.pending.iter().any(|pending| pending.version == self.version);
        if is_unsettled || !self.is_split_current() && !self.split.shares.is_empty() {
            return true;
        }
        if self.own_share().is_none() {
            return !next.size.is_zero() || !next.wanted.is_zero() || !known.size.is_zero();
        }
        let is_claim_changed = next.wanted.is_zero() != known.wanted.is_zero()
            || !known.wanted.times(2).holds(&next.wanted)
            || !known.least.times(2).holds(&next.least)
            || self.exceeds_limit(&known.least) != self.exceeds_limit(&next.least);
        let is_useful = if known.size.holds(&next.size) {
            let given = known.size.minus(&next.size);
            let is_asked = !self.split.other_claims(&self.holder.cell).is_empty();
            let is_time = is_asked && now.since(self.last_write) >= MIN_YIELD_INTERVAL;
            self.exceeds_limit_part(&given, MIN_YIELD_DIVISOR) || is_time && !given.is_zero()
        } else {
            let needed = self.in_use().plus(&self.smallest_wanted.unwrap_or_default());
            next.size.holds(&needed)
        };
        is_useful || is_claim_changed || self.must_yield(known, now)
    }

    /// Whether the share must be written because this cell has started a task and short cells now
    /// precede it.
    fn must_yield(&self, known: &Share, now: Time) -> bool {
        let holds_position = known.is_short()
            && self.started_since_write
            && now.since(self.last_write) >= MIN_YIELD_INTERVAL;
        holds_position && !self.split.other_claims(&self.holder.cell).is_empty()
    }

    /// Whether an amount exceeds the limit divided by `divisor` in any resource.
    fn exceeds_limit_part(&self, amount: &Resources, divisor: u64) -> bool {
        let min = self.limit().0.divided_by(divisor);
        amount.cpu > min.cpu || amount.memory_mb > min.memory_mb || amount.gpu > min.gpu
    }

    /// A summary for logs and operators.
    pub fn summary(&self, now: Time) -> Summary {
        Summary {
            limit: self.limit(),
            share: self.confirmed_size(),
            used: self.in_use(),
            age: self.confirmed_at.map(|read| now.since(read)),
        }
    }
}

/// A snapshot of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// The workspace's limit.
    pub limit: Limit,
    /// This cell's share of it.
    pub share: Resources,
    /// What runs in this cell may be using.
    pub used: Resources,
    /// The age of the known split; `None` if it was never read.
    pub age: Option<Duration>,
}
