//! Simulation of cells whose owners crash, stall and are disconnected, of a store that loses
//! answers, and of the runs that actually exist.

use celerythread_engine::job::Resources;
use celerythread_engine::quota::{Account, Change, Holder, Limit, Split};
use celerythread_engine::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const CELLS: usize = 4;
const STEP: Duration = Duration::from_millis(20);
/// When fault injection ends.
const FAULTS_END: Time = Time(12_000);
/// When the last fault has ended and waiting times are checked.
const CHECKS_START: Time = Time(18_000);
/// When the effects of the faults have been cleaned up; earlier waiting times don't count.
const RECOVERED: Time = Time(19_000);
const END: Time = Time(24_000);
/// How long an owner that can't reach the store continues to start tasks.
const ISOLATED_START_LIMIT: Duration = Duration::from_millis(3000);
/// Longest wait of a task without faults while its workspace uses less than half of its limit.
const MAX_WAIT: Duration = Duration::from_millis(1000);
/// The same while a task waits that needs more than half of the limit, for which others must end
/// first.
const MAX_WAIT_BESIDE_LARGE_TASK: Duration = Duration::from_millis(3000);
const FREE_CAPACITY: Resources = Resources { cpu: 1 << 30, memory_mb: 1 << 30, gpu: 0 };
const LIMITS: [u64; 5] = [40, 100, 20, 8, 60];

/// Guards that are disabled to show that the checks detect what they guard against.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DisabledGuards {
    /// Writes are committed whatever the row's version is.
    pub(crate) unconditional: bool,
}

/// A run that actually exists, whether or not its owner knows it.
#[derive(Clone, Debug)]
struct Run {
    cell: usize,
    cores: u64,
    /// The token of the owner that started it.
    token: u64,
    ends: Time,
}

struct Owner {
    token: u64,
    account: Account,
    /// Whether it can't start tasks any more, because minions refuse its token or it has crashed.
    fenced: bool,
    settled: bool,
    settles_at: Time,
    paused_until: Time,
    isolated_until: Time,
    last_contact: Time,
    /// Index of the newest configuration that it knows.
    configuration: usize,
    /// When it next reads the split, and when it next receives the newest configuration.
    next_read: Time,
    next_configuration: Time,
    /// Until when it waits for the answer to a write.
    busy_until: Time,
}

struct Cell {
    /// The last one is the current owner; earlier ones may not know that.
    owners: Vec<Owner>,
    /// Cores of the waiting tasks, with their arrival times.
    waiting: Vec<(u64, Time)>,
}

/// A write that is committed later.
struct DelayedWrite {
    at: Time,
    change: Change,
}

pub(crate) struct Simulation {
    pub(crate) disabled_guards: DisabledGuards,
    random: StdRng,
    now: Time,
    cells: Vec<Cell>,
    runs: Vec<Run>,
    split: Split,
    version: u64,
    delayed: Vec<DelayedWrite>,
    /// How many of the limits have been configured.
    configured: usize,
    last_token: u64,
    /// When half of the limit or more was last in use.
    last_busy: Time,
}

fn cores(count: u64) -> Resources {
    Resources { cpu: count * 1000, memory_mb: count, gpu: 0 }
}

fn limit(configuration: usize) -> Limit {
    let any = Limit::UNLIMITED.0;
    Limit(Resources { cpu: LIMITS[configuration] * 1000, ..any })
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let mut simulation = Self {
            disabled_guards: DisabledGuards::default(),
            random: StdRng::seed_from_u64(seed),
            now: Time(1000),
            cells: Vec::new(),
            runs: Vec::new(),
            split: Split::default(),
            version: 0,
            delayed: Vec::new(),
            configured: 0,
            last_token: 0,
            last_busy: Time(0),
        };
        for cell in 0..CELLS {
            simulation.cells.push(Cell { owners: Vec::new(), waiting: Vec::new() });
            simulation.take_over(cell, true);
        }
        simulation
    }

    fn take_over(&mut self, cell: usize, is_first: bool) {
        self.last_token += 1;
        let holder = Holder { cell: format!("cell-{cell}").into(), token: self.last_token };
        let mut account = Account::new("team", holder, is_first, self.now);
        account.configure(limit(self.configured), self.configured as u64 + 1, self.now);
        let settles_at = self.now + Duration::from_millis(self.random.random_range(50..3000));
        let owner = Owner {
            token: self.last_token,
            account,
            fenced: false,
            settled: is_first,
            settles_at,
            paused_until: Time(0),
            isolated_until: Time(0),
            last_contact: self.now,
            configuration: self.configured,
            next_read: self.now,
            next_configuration: self.now,
            busy_until: Time(0),
        };
        self.cells[cell].owners.push(owner);
    }

    pub(crate) fn run(mut self) -> Result<(), String> {
        while self.now < END {
            self.now = self.now + STEP;
            let now = self.now;
            self.runs.retain(|run| run.ends > now);
            self.commit_delayed();
            if now < FAULTS_END {
                self.inject_fault();
            }
            self.add_tasks();
            for cell in 0..CELLS {
                for owner in 0..self.cells[cell].owners.len() {
                    self.act(cell, owner)?;
                }
            }
            if now > CHECKS_START {
                self.check_waits()?;
            }
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        let cell = self.random.random_range(0..CELLS);
        let now = self.now;
        let span = Duration::from_millis(self.random.random_range(100..6000));
        match self.random.random_range(0..750) {
            0..3 => {
                // The owner crashes, and a new one takes over.
                self.cells[cell].owners.last_mut().unwrap().fenced = true;
                self.take_over(cell, false);
            }
            3..6 => {
                // The owner stalls or is disconnected, and is replaced although it is alive.
                let owner = self.cells[cell].owners.last_mut().unwrap();
                if span.as_millis().is_multiple_of(2) {
                    owner.paused_until = now + span;
                } else {
                    owner.isolated_until = now + span;
                }
                self.take_over(cell, false);
            }
            6..9 => self.cells[cell].owners.last_mut().unwrap().paused_until = now + span,
            9..12 => self.cells[cell].owners.last_mut().unwrap().isolated_until = now + span,
            12..14 => self.configured = (self.configured + 1).min(LIMITS.len() - 1),
            _ => {}
        }
    }

    fn add_tasks(&mut self) {
        for cell in 0..CELLS {
            let is_turn = self.now.0 / 2000 % CELLS as u64 == cell as u64;
            let chance = if is_turn { 0.16 } else { 0.008 };
            let chance = if self.now > FAULTS_END { chance / 8.0 } else { chance };
            if self.random.random_bool(chance) {
                let cores =
                    if self.random.random_bool(0.02) { 70 } else { self.random.random_range(1..6) };
                self.cells[cell].waiting.push((cores, self.now));
            }
        }
    }

    fn act(&mut self, cell: usize, index: usize) -> Result<(), String> {
        let now = self.now;
        let owner = &mut self.cells[cell].owners[index];
        if owner.fenced || now < owner.paused_until {
            return Ok(());
        }
        if now >= owner.isolated_until {
            owner.last_contact = now;
            if now >= owner.next_configuration && owner.configuration != self.configured {
                owner.configuration = self.configured;
                let version = self.configured as u64 + 1;
                owner.account.configure(limit(self.configured), version, now);
            }
            if now >= owner.next_read {
                let split = (self.version > 0).then(|| self.split.clone());
                owner.account.apply_row(self.version, split, now);
                owner.account.confirm(now);
                owner.next_read = now + Duration::from_millis(self.random.random_range(20..100));
                owner.next_configuration =
                    now + Duration::from_millis(self.random.random_range(0..400));
            }
        }
        if !owner.settled && now >= owner.settles_at && index + 1 == self.cells[cell].owners.len() {
            self.settle(cell);
        }
        self.start(cell, index)?;
        self.write(cell, index);
        Ok(())
    }

    /// All minions have answered the newest owner: they refuse the others, and it knows what runs.
    fn settle(&mut self, cell: usize) {
        let owners = &mut self.cells[cell].owners;
        let last = owners.len() - 1;
        owners[..last].iter_mut().for_each(|owner| owner.fenced = true);
        owners[last].settled = true;
        owners[last].account.settle();
    }

    fn start(&mut self, cell: usize, index: usize) -> Result<(), String> {
        let now = self.now;
        let owner = &mut self.cells[cell].owners[index];
        if now.since(owner.last_contact) > ISOLATED_START_LIMIT {
            return Ok(());
        }
        owner.account.reset_counts();
        let (token, settled) = (owner.token, owner.settled);
        for run in self.runs.iter().filter(|run| run.cell == cell) {
            if run.token == token || settled {
                owner.account.count_run(&cores(run.cores), run.token == token);
            }
        }
        let mut waiting = std::mem::take(&mut self.cells[cell].waiting);
        let mut kept = Vec::new();
        for (need, since) in waiting.drain(..) {
            let owner = &mut self.cells[cell].owners[index];
            if owner.account.may_start(&cores(need), 1, now) {
                owner.account.count_start(&cores(need));
                let lasts = Duration::from_millis(self.random.random_range(100..1500));
                self.check_start(need)?;
                self.runs.push(Run { cell, cores: need, token, ends: now + lasts });
            } else {
                owner.account.record_wanted(&cores(need), 1);
                kept.push((need, since));
            }
        }
        self.cells[cell].waiting = kept;
        Ok(())
    }

    /// A start must keep within the highest limit that an owner may still apply, or run alone.
    fn check_start(&self, need: u64) -> Result<(), String> {
        let running: u64 = self.runs.iter().map(|run| run.cores).sum();
        let starts = |owner: &&Owner| {
            !owner.fenced && self.now.since(owner.last_contact) <= ISOLATED_START_LIMIT
        };
        let owners = self.cells.iter().flat_map(|cell| &cell.owners).filter(starts);
        let oldest = owners.map(|owner| owner.configuration).min().unwrap_or(0);
        let highest = LIMITS[oldest..=self.configured].iter().max().copied().unwrap_or(0);
        if running == 0 || running + need <= highest {
            return Ok(());
        }
        let (now, split) = (self.now, &self.split.shares);
        Err(format!("at {now:?} {need} more start beside {running}, limit {highest}: {split:?}"))
    }

    fn write(&mut self, cell: usize, index: usize) {
        let now = self.now;
        let owner = &mut self.cells[cell].owners[index];
        if now < owner.busy_until || now < owner.isolated_until {
            return;
        }
        let Some(change) = owner.account.next_change(&FREE_CAPACITY, now) else { return };
        let fate = if now < FAULTS_END { self.random.random_range(0..20) } else { 19 };
        let owner = &mut self.cells[cell].owners[index];
        owner.busy_until = now + Duration::from_millis(20);
        match fate {
            0 => owner.busy_until = now + Duration::from_millis(500),
            1 => {
                owner.busy_until = now + Duration::from_millis(500);
                let delay = Duration::from_millis(self.random.random_range(200..6000));
                self.delayed.push(DelayedWrite { at: now + delay, change });
            }
            2 => {
                owner.busy_until = now + Duration::from_millis(500);
                self.commit(&change);
            }
            3 => owner.account.record_refusal(&change),
            _ => {
                if self.commit(&change) {
                    let version = self.version;
                    self.cells[cell].owners[index].account.record_write(&change, version, now);
                } else {
                    let (version, split) = (self.version, self.split.clone());
                    let owner = &mut self.cells[cell].owners[index];
                    owner.account.record_refusal(&change);
                    owner.account.apply_row(version, Some(split), now);
                }
            }
        }
    }

    fn commit(&mut self, change: &Change) -> bool {
        if change.version != self.version && !self.disabled_guards.unconditional {
            return false;
        }
        self.version += 1;
        self.split = change.split.clone();
        true
    }

    fn commit_delayed(&mut self) {
        let now = self.now;
        let (due, delayed) =
            std::mem::take(&mut self.delayed).into_iter().partition(|delayed| delayed.at <= now);
        self.delayed = delayed;
        let due: Vec<DelayedWrite> = due;
        due.iter().for_each(|delayed| {
            self.commit(&delayed.change);
        });
    }

    /// Without faults no task waits long while its workspace uses less than half of its limit.
    fn check_waits(&mut self) -> Result<(), String> {
        let running: u64 = self.runs.iter().map(|run| run.cores).sum();
        let limit = LIMITS[self.configured];
        if running * 2 >= limit {
            self.last_busy = self.now;
            return Ok(());
        }
        let all = || self.cells.iter().flat_map(|cell| &cell.waiting);
        let bound = if all().any(|(cores, _)| cores * 2 > limit) {
            MAX_WAIT_BESIDE_LARGE_TASK
        } else {
            MAX_WAIT
        };
        for (number, cell) in self.cells.iter().enumerate() {
            let small = cell.waiting.iter().filter(|(cores, _)| running + cores <= limit / 2);
            if let Some((cores, since)) = small.min_by_key(|(_, since)| *since)
                && self.now.since(RECOVERED.max(self.last_busy).max(*since)) > bound
            {
                let waited = self.now.since(*since);
                let (now, split) = (self.now, &self.split.shares);
                return Err(format!(
                    "at {now:?} {cores} of cell {number} wait for {waited:?} beside {running} of {limit}: {split:?}"
                ));
            }
        }
        Ok(())
    }
}
