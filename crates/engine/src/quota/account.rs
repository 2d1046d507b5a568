//! What a cell's owner knows and decides of one workspace.

use crate::job::Resources;
use crate::quota::split::{Change, Claim, Limit, Share, Split, Target};
use crate::time::Time;
use smallvec::SmallVec;
use std::time::Duration;

/// How long a share that isn't needed any more is kept, for work that comes back.
const KEEP: Duration = Duration::from_millis(1000);

/// How long the first limit of a workspace that had none is waited for to be split by what runs.
const FIRST_COUNT: Duration = Duration::from_millis(2000);

/// Of what is free, the part taken in advance when a share is raised anyway.
const AHEAD: u64 = 4;

/// Time between two changes that only tell others that are short that it is their turn.
const GIVE_PLACE: Duration = Duration::from_millis(200);

/// Least part of a limit that is worth a transaction to give back while nobody asks for it.
const WORTH_RETURNING: u64 = 8;

/// The same while others ask for it.
const WORTH_GIVING: u64 = 32;

/// A change of a split that may still be carried out.
#[derive(Clone, Copy, Debug)]
struct Pending {
    /// The version on whose condition it was sent.
    version: u64,
    /// This cell's share as it was written.
    share: Share,
    /// The share that a former owner had before.
    former: Resources,
}

/// Who keeps an account.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// The cell.
    pub cell: Box<str>,
    /// Its owner's fencing token.
    pub token: u64,
}

/// What a cell's owner knows of one workspace.
#[derive(Clone, Debug)]
pub struct Account {
    /// The workspace.
    pub workspace: Box<str>,
    holder: Holder,
    /// The limit in force here, and the configuration that it is of; none of nothing is allowed but one task at a
    /// time.
    limit: Limit,
    configuration: u64,
    /// The configuration by which the limit last fell.
    fell: u64,
    /// Nothing is started before.
    held_until: Time,
    /// The split as last read, with its row's version, and when; none before the first read.
    split: Split,
    version: u64,
    read: Option<Time>,
    pending: SmallVec<[Pending; 1]>,
    /// What a former owner may have running where this one doesn't see it yet; none once all minions told.
    former: Option<Resources>,
    /// What this owner has running and what it took over.
    own: Resources,
    adopted: Resources,
    /// What the last plan could not start for want of a share, and the smallest task of it.
    wants: Resources,
    smallest: Option<Resources>,
    /// The same of the plan before.
    smallest_before: Option<Resources>,
    /// Whether a task was started since this cell's share was last written.
    started: bool,
    /// When this cell's share was last to be written.
    wrote: Time,
    /// The most in use of late, and since when.
    peak: Resources,
    peak_since: Time,
}

impl Account {
    /// An account of a workspace of which nothing is known.
    ///
    /// `settled` says that no former owner of the cell can have anything running that this one doesn't see.
    pub fn new(workspace: &str, holder: Holder, settled: bool, now: Time) -> Self {
        Self {
            workspace: workspace.into(),
            holder,
            limit: Limit::default(),
            configuration: 0,
            fell: 0,
            held_until: Time(0),
            split: Split::default(),
            version: 0,
            read: None,
            pending: SmallVec::new(),
            former: (!settled).then(Resources::default),
            own: Resources::default(),
            adopted: Resources::default(),
            wants: Resources::default(),
            smallest: None,
            smallest_before: None,
            started: false,
            wrote: Time(0),
            peak: Resources::default(),
            peak_since: now,
        }
    }

    /// Takes the limit of a configuration.
    pub fn configure(&mut self, limit: Limit, configuration: u64, now: Time) {
        if configuration < self.configuration {
            return;
        }
        if !limit.0.holds(&self.limit.0) {
            self.fell = configuration;
            // Nothing was counted until now; the other cells write what they have running.
            let was_unlimited = self.configuration > 0 && self.limit.is_unlimited();
            self.held_until = if was_unlimited { now + FIRST_COUNT } else { self.held_until };
        }
        self.limit = limit;
        self.configuration = configuration;
    }

    /// The limit that counts: of the configuration in force here and the one that the split was last written by,
    /// the newer one's.
    pub fn limit(&self) -> Limit {
        if self.split.configuration > self.configuration { self.split.limit } else { self.limit }
    }

    /// Takes in the row; none where there is none.  Answers may overtake each other, so an older one is left.
    pub fn read(&mut self, version: u64, split: Option<Split>, now: Time) {
        if version < self.version {
            return;
        }
        self.read = Some(now);
        let before = std::mem::replace(&mut self.version, version);
        self.split = split.unwrap_or_default();
        if version == before {
            return;
        }
        let mine = self.mine();
        let is_done = |pending: &&Pending| pending.version == before && mine == Some(pending.share);
        if let Some(former) = self.pending.iter().find(is_done).map(|pending| pending.former) {
            self.take_over(former);
        }
        self.pending.retain(|pending| pending.version >= version);
    }

    /// Notes that the row was certain to be as it is known at `now`.
    pub fn confirm(&mut self, now: Time) {
        self.read = Some(now);
    }

    /// Notes that a change of this owner's was carried out and gave the row this version.
    pub fn written(&mut self, change: &Change, version: u64, now: Time) {
        if version > self.version {
            self.read(version, Some(change.split.clone()), now);
        }
    }

    /// Notes that a change was certainly not carried out.
    pub fn refused(&mut self, change: &Change) {
        self.pending.retain(|pending| pending.version != change.version);
    }

    fn take_over(&mut self, former: Resources) {
        if let Some(known) = &mut self.former {
            *known = known.max(&former);
        }
    }

    /// Notes that all that a former owner started is seen or over.
    pub fn settle(&mut self) {
        self.former = None;
    }

    /// Forgets what runs and what is wanted, before both are counted anew.
    pub fn begin(&mut self) {
        self.own = Resources::default();
        self.adopted = Resources::default();
        self.wants = Resources::default();
        self.smallest_before = self.smallest.take();
    }

    /// Counts a run; `own` if this owner ordered it.
    pub fn count(&mut self, need: &Resources, own: bool) {
        let sum = if own { &mut self.own } else { &mut self.adopted };
        *sum = sum.plus(need);
    }

    /// Counts a run that is ordered now.
    pub fn start(&mut self, need: &Resources) {
        self.count(need, true);
        self.started = true;
    }

    /// All that may be running in this cell.
    ///
    /// Until all minions have told, a former owner's runs are taken to fill its whole share; those seen already are
    /// among them.
    pub fn in_use(&self) -> Resources {
        match &self.former {
            Some(former) => self.own.plus(&former.max(&self.adopted)),
            None => self.own.plus(&self.adopted),
        }
    }

    /// This cell's share, if its present owner has written it.
    fn mine(&self) -> Option<Share> {
        let share = self.split.shares.get(&self.holder.cell)?;
        (share.token == self.holder.token).then_some(*share)
    }

    /// The size of this cell's share that certainly holds: a change that may still be carried out can lower it.
    fn size(&self) -> Resources {
        let size = self.mine().map(|share| share.size).unwrap_or_default();
        let pending = self.pending.iter().filter(|pending| pending.version == self.version);
        pending.fold(size, |size, pending| size.min(&pending.share.size))
    }

    /// What this cell may have running while others ask for more than they have; none while nobody does.
    ///
    /// Each that is short gets an equal part of the limit, and at least what its next task takes, in the order in
    /// which they last started something.  Those for which not enough is left start nothing, so that a large task
    /// isn't kept waiting by smaller ones for ever, nor all of them by parts that are too small for any.
    fn target(&self) -> Option<Target> {
        let cell = &self.holder.cell;
        let mut claims = self.split.other_claims(cell);
        if claims.is_empty() {
            return None;
        }
        claims.push(self.claim());
        claims.sort_by_key(|claim| (claim.since, claim.cell));
        let limit = self.limit().0;
        let fair = limit.divided_by(claims.len() as u64);
        let mut left = limit;
        for (place, claim) in claims.iter().enumerate() {
            let is_mine = *claim.cell == **cell;
            if !limit.holds(&claim.least) {
                // It needs the whole limit to itself, and gets it when it is the first.
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

    /// This cell's own claim; one that is not short comes last.
    fn claim(&self) -> Claim<'_> {
        let cell = &self.holder.cell;
        let Share { size, since, wanted, least, .. } = self.split.share(cell);
        let in_use = self.in_use();
        // While a plan is made, what waits is known from the one before.
        let smallest = self.smallest.or(self.smallest_before);
        match smallest {
            _ if !size.holds(&wanted) => {
                let least = smallest.map_or(least, |smallest| in_use.plus(&smallest));
                Claim { since, cell, wanted: wanted.max(&in_use.plus(&self.wants)), least }
            }
            Some(smallest) => Claim {
                since: if since > 0 { since } else { self.version },
                cell,
                wanted: in_use.plus(&self.wants),
                least: in_use.plus(&smallest),
            },
            None => Claim { since: u64::MAX, cell, wanted: size, least: Resources::default() },
        }
    }

    /// Whether the shares are more than the limit, as after the limit fell.
    fn is_exceeded(&self) -> bool {
        let others = self.split.others(&self.holder.cell);
        let mine = self.split.share(&self.holder.cell).size;
        !self.limit().0.holds(&others.plus(&mine))
    }

    /// Whether the split was written since the limit last fell.
    ///
    /// Until then an owner that hasn't heard of it may raise its share by the former limit.  Once it is written by
    /// the new configuration nobody can.
    fn is_current(&self) -> bool {
        self.split.configuration >= self.fell
    }

    /// Whether so many tasks may be started together now.
    pub fn may_start(&self, need: &Resources, count: u64, now: Time) -> bool {
        if self.limit().is_unlimited() {
            return true;
        }
        if !self.is_current() || now < self.held_until {
            return false;
        }
        if count == 1 && self.may_start_alone(need) {
            return true;
        }
        let size = self.size();
        let size = self.target().map_or(size, |target| size.min(&target.size));
        !self.is_exceeded() && size.holds(&self.in_use().plus(&need.times(count)))
    }

    /// Whether a task that is larger than the whole limit may run because nothing else of its workspace does.
    fn may_start_alone(&self, need: &Resources) -> bool {
        let is_alone = self.split.others(&self.holder.cell).is_zero() && self.in_use().is_zero();
        is_alone && self.is_larger(need) && self.size().holds(need)
    }

    /// Whether a task needs more than the whole limit.
    pub fn is_larger(&self, need: &Resources) -> bool {
        !self.limit().0.holds(need)
    }

    /// Notes that tasks can't be started for want of a share.
    pub fn want(&mut self, need: &Resources, count: u64) {
        self.wants = self.wants.plus(&need.times(count));
        let smallest = self.smallest.map_or(*need, |smallest| smallest.min(need));
        self.smallest = Some(smallest);
    }

    /// How the split should change now; none if it is right as far as known.
    ///
    /// `room` is what the cell's minions have free: more isn't asked for.
    pub fn change(&mut self, room: &Resources, now: Time) -> Option<Change> {
        self.note_peak(now);
        if self.limit().is_unlimited() || self.read.is_none() {
            return None;
        }
        let known = self.split.share(&self.holder.cell);
        // A successor has taken the cell over, and this owner hasn't heard of it.
        if known.token > self.holder.token {
            return None;
        }
        let next = self.next_share(&known, room, now);
        if !self.is_worth_writing(&known, &next, now) {
            return None;
        }
        let mut split = self.split.clone();
        (split.configuration, split.limit) =
            (self.configuration.max(split.configuration), self.limit());
        split.shares.insert(self.holder.cell.clone(), next);
        let change = Change { workspace: self.workspace.clone(), version: self.version, split };
        let former = if self.mine().is_none() { known.size } else { Resources::default() };
        self.pending.push(Pending { version: self.version, share: next, former });
        (self.started, self.wrote) = (false, now);
        Some(change)
    }

    fn next_share(&self, known: &Share, room: &Resources, now: Time) -> Share {
        let size = self.next_size(known.size, room, now);
        let in_use = self.in_use();
        let demand = in_use.plus(&self.wants.min(room));
        let share = Share { token: self.holder.token, size, ..Share::default() };
        let Some(smallest) = self.smallest else { return share };
        // Its place is kept until something is started, also once the size is enough: without it the size would go
        // to the next one before that.
        let since = if known.since > 0 && !self.started { known.since } else { self.version };
        let wanted = if size.holds(&demand) { Resources::default() } else { demand };
        Share { wanted, least: in_use.plus(&smallest), since, ..share }
    }

    fn note_peak(&mut self, now: Time) {
        let in_use = self.in_use();
        if now.since(self.peak_since) > KEEP || !self.peak.holds(&in_use) {
            self.peak = in_use;
            self.peak_since = now;
        }
    }

    /// The size that this cell's share should have.
    fn next_size(&self, known: Resources, room: &Resources, now: Time) -> Resources {
        let limit = self.limit().0;
        let others = self.split.others(&self.holder.cell);
        let in_use = self.in_use();
        // What a former owner may have running keeps its share until it is seen.
        let least = match self.mine() {
            None if self.former.is_some() => self.own.plus(&known.max(&self.adopted)),
            _ => in_use,
        };
        let free = limit.minus(&others);
        let demand = least.plus(&self.wants.min(room));
        let target = self.target();
        if target.is_some() || self.is_exceeded() {
            let bound = target.map_or(free, |target| target.size.min(&free));
            let starts = self.smallest.is_none_or(|need| bound.holds(&least.plus(&need)));
            // Parts in which no task fits would keep each other from growing.
            let keeps = starts || target.is_none_or(|target| target.is_first);
            let shared = if keeps { least.max(&demand.min(&bound)) } else { least };
            return self.alone(&others, &least).unwrap_or(shared);
        }
        if self.smallest.is_some() && !known.holds(&demand) {
            let ahead = free.minus(&demand).divided_by(AHEAD);
            let raised = least.max(&demand.plus(&ahead).min(&free)).max(&known);
            return self.alone(&others, &least).unwrap_or(raised);
        }
        self.returned(known, least, now)
    }

    /// The size for a task that is larger than the whole limit, when its turn has come and nothing else runs.
    fn alone(&self, others: &Resources, least: &Resources) -> Option<Resources> {
        let smallest = self.smallest.filter(|need| self.is_larger(need))?;
        let is_first = self.target().is_none_or(|target| target.size.holds(&smallest));
        (is_first && others.is_zero() && least.is_zero()).then_some(smallest)
    }

    /// What to keep of a share for which nobody else asks.
    fn returned(&self, known: Resources, least: Resources, now: Time) -> Resources {
        let cells = self.split.shares.len().max(1) as u64;
        let base = self.limit().0.divided_by(2 * cells);
        let kept = known.min(&least.max(&self.peak).max(&base));
        let idle = now.since(self.peak_since) >= KEEP / 2;
        let is_worth = self.is_much(&known.minus(&kept), WORTH_RETURNING);
        if idle && is_worth { kept } else { known.max(&least) }
    }

    fn is_worth_writing(&self, known: &Share, next: &Share, now: Time) -> bool {
        // A change without an answer counts as it is worse for this cell until another one settles what became of it.
        let is_unsettled = self.pending.iter().any(|pending| pending.version == self.version);
        if is_unsettled || !self.is_current() && !self.split.shares.is_empty() {
            return true;
        }
        if self.mine().is_none() {
            return !next.size.is_zero() || !next.wanted.is_zero() || !known.size.is_zero();
        }
        let asks_anew = next.wanted.is_zero() != known.wanted.is_zero()
            || !known.wanted.times(2).holds(&next.wanted)
            || !known.least.times(2).holds(&next.least)
            || self.is_larger(&known.least) != self.is_larger(&next.least);
        let is_useful = if known.size.holds(&next.size) {
            let given = known.size.minus(&next.size);
            let is_asked = !self.split.other_claims(&self.holder.cell).is_empty();
            let is_time = is_asked && now.since(self.wrote) >= GIVE_PLACE;
            self.is_much(&given, WORTH_GIVING) || is_time && !given.is_zero()
        } else {
            let needed = self.in_use().plus(&self.smallest.unwrap_or_default());
            next.size.holds(&needed)
        };
        is_useful || asks_anew || self.must_give_place(known, now)
    }

    /// Whether others that are short have to learn that this cell has started something meanwhile.
    fn must_give_place(&self, known: &Share, now: Time) -> bool {
        let has_place = known.is_short() && self.started && now.since(self.wrote) >= GIVE_PLACE;
        has_place && !self.split.other_claims(&self.holder.cell).is_empty()
    }

    /// Whether an amount is more than a part of the limit in any resource.
    fn is_much(&self, amount: &Resources, part: u64) -> bool {
        let least = self.limit().0.divided_by(part);
        amount.cpu > least.cpu || amount.memory_mb > least.memory_mb || amount.gpu > least.gpu
    }

    /// What is known, for logs and operators.
    pub fn summary(&self, now: Time) -> Summary {
        Summary {
            limit: self.limit(),
            share: self.size(),
            used: self.in_use(),
            age: self.read.map(|read| now.since(read)),
        }
    }
}

/// An account at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// The workspace's limit.
    pub limit: Limit,
    /// This cell's share of it.
    pub share: Resources,
    /// What may be running in this cell.
    pub used: Resources,
    /// How old the knowledge of the split is; none if it was never read.
    pub age: Option<Duration>,
}
