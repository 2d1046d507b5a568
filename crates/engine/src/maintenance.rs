//! Maintenance waves: which machines are emptied, and when each goes down.
//!
//! A machine's maintenance ends everything that runs on it at once, so it is emptied first: the
//! owner of its cell moves its long-running tasks, within the number that may be unavailable, and
//! lets the others finish.  Machines that are off or idle go first; [`concurrency`] limits how many of
//! the others are out of service at a time, and [`reserve`] how many of each pool.

mod concurrency;
mod reserve;
mod slots;

use crate::absence::{Absence, Reading};
use crate::time::Time;
use concurrency::{Concurrency, Window};
use reserve::Reserve;
use serde::{Deserialize, Serialize};
use slots::{Candidate, Slots};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time limits of maintenance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a machine is down for its maintenance.
    pub duration: Duration,
    /// How far the list of machines may lag behind an order: two reads of the list.
    pub list_lag: Duration,
    /// Machines emptied in advance, beyond those that may be down at once.
    pub extra_emptying: usize,
    /// Time after which a machine that is not empty yet no longer keeps others from being emptied,
    /// and its pool may get another one.  Longer than tasks usually take to end or to move.
    pub emptying_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(2),
            list_lag: Duration::from_millis(1500),
            extra_emptying: 2,
            emptying_timeout: Duration::from_secs(6),
        }
    }
}

/// What a machine does, ordered by the cost of taking it out of service.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Occupation {
    /// It has no minion, or its pool doesn't need it.
    #[default]
    Idle,
    /// It runs only finite tasks; the millicores in use.
    Working(u64),
    /// It has long-running tasks, which are moved one after the other, or its work is unknown.
    LongRunning,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    /// The id of its minion, if it has one.
    pub minion: Option<String>,
    /// Whether it is in service or ready for it.
    pub up: bool,
    /// Whether it is down for its maintenance.
    pub in_maintenance: bool,
    /// Whether it may be down for its maintenance although it is listed as up: an earlier controller
    /// may have ordered it.
    pub may_be_down: bool,
    /// What it does, by the cost of taking it out of service.
    pub occupation: Occupation,
    /// The pool that it is in.
    pub pool: String,
    /// Whether it accepts no tasks, although it wasn't asked to empty for maintenance.
    pub out_of_service: bool,
    /// Time until its tasks should have ended; `None` if unknown, or if it has long-running ones.
    pub time_to_empty: Option<Duration>,
}

/// A requested wave and its progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Its machines.
    pub machines: Vec<String>,
    /// How many of them may be down at once.
    pub at_once: usize,
    /// Milliseconds within which the maintenance of all machines must have begun; 0 if unspecified.
    pub window_ms: u64,
    /// When a planner first saw it, in milliseconds since the Unix epoch.
    pub seen_ms: u64,
    /// Machines whose maintenance has begun.
    pub begun: BTreeSet<String>,
    /// Whether it was reported as completed.
    pub completed: bool,
}

impl Wave {
    fn window(&self, wall_ms: u64) -> Window {
        Window {
            total: Duration::from_millis(self.window_ms),
            elapsed: Duration::from_millis(wall_ms.saturating_sub(self.seen_ms)),
        }
    }
}

/// An action for the planner's caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the owner of a machine's minion to empty it.
    Empty {
        /// The machine.
        machine: String,
        /// Its minion.
        minion: String,
    },
    /// Cancel the request to empty a machine, which its service needs.
    Keep {
        /// The machine.
        machine: String,
        /// Its minion.
        minion: String,
    },
    /// Begin a machine's maintenance.
    Begin {
        /// The machine.
        machine: String,
        /// The wave.
        wave: u64,
    },
    /// Report a wave as completed.
    Complete {
        /// The wave.
        wave: u64,
    },
}

/// Plans all waves; used by the one entry that runs the fleet controller.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    waves: BTreeMap<u64, Wave>,
    /// When this planner last ordered each machine's maintenance.
    ordered_at: BTreeMap<String, Time>,
    /// Machines that this planner asked to be emptied, with the time of the request.
    emptying_since: BTreeMap<String, Time>,
    concurrency: Concurrency,
    /// What is known of machines that the list lacks, for each open wave.
    listings: BTreeMap<u64, Listing>,
    /// Machines of each wave that wait because their pools can't do without them.
    held_back: BTreeMap<u64, usize>,
}

/// Which machines of a wave the platform's list lacks.
#[derive(Debug)]
struct Listing {
    /// When this planner learned of the wave.
    known_since: Time,
    absence: Absence,
}

/// The input of one round of planning.
struct Snapshot<'a> {
    machines: &'a BTreeMap<String, Machine>,
    /// Minions asked to be emptied.
    emptying: &'a BTreeSet<String>,
    /// The subset of `emptying` that is empty.
    empty: &'a BTreeSet<String>,
    now: Time,
}

/// Progress of a wave, for the log and for operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Machines whose maintenance has not begun.
    pub left: usize,
    /// Machines that are being emptied.
    pub emptying: usize,
    /// Machines that are down or may be.
    pub down: usize,
    /// Machines that wait because their pools can't do without them.
    pub held_back: usize,
}

impl Planner {
    /// A planner without waves.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Adds a wave; one that is already known is left unchanged.
    pub fn add_wave(&mut self, number: u64, wave: Wave, now: Time) {
        self.waves.entry(number).or_insert(wave);
        let listing = Listing { known_since: now, absence: Absence::default() };
        self.listings.entry(number).or_insert(listing);
    }

    /// Records a reading of the platform's list.
    ///
    /// One that was requested before this planner knew a wave shows nothing about its machines, which
    /// may have been added meanwhile.
    pub fn record_list(&mut self, is_listed: impl Fn(&str) -> bool, reading: Reading) {
        for (number, wave) in self.waves.iter().filter(|(_, wave)| !wave.completed) {
            let listing = self.listings.get_mut(number);
            let Some(listing) = listing.filter(|one| reading.sent > one.known_since) else {
                continue;
            };
            let open = wave.machines.iter().filter(|name| !wave.begun.contains(*name));
            listing.absence.record(open.map(String::as_str), &is_listed, reading);
        }
    }

    /// Whether the maintenance of each machine of a wave has begun, or the machine is gone.
    fn is_finished(&self, number: u64, wave: &Wave) -> bool {
        let Some(listing) = self.listings.get(&number) else { return false };
        let mut open = wave.machines.iter().filter(|name| !wave.begun.contains(*name));
        open.all(|name| listing.absence.is_gone(name))
    }

    /// The wave with this number.
    pub fn wave(&self, number: u64) -> Option<&Wave> {
        self.waves.get(&number)
    }

    /// The numbers of the waves that are not completed.
    pub fn open_waves(&self) -> impl Iterator<Item = u64> {
        self.waves.iter().filter(|(_, wave)| !wave.completed).map(|(number, _)| *number)
    }

    /// Whether any wave is not completed.
    pub fn has_open_waves(&self) -> bool {
        self.open_waves().next().is_some()
    }

    /// Records that a machine's maintenance was ordered, whether or not the order is answered.
    pub fn record_order(&mut self, machine: &str, now: Time) {
        self.ordered_at.insert(machine.into(), now);
    }

    /// Records that an order was refused before it took effect, so it can be repeated at once.
    ///
    /// If it counted as possibly carried out, its machine would stay empty and occupy one of the
    /// slots for machines that are down for seconds; a rate limit refuses dozens of orders at a
    /// time.
    pub fn record_refusal(&mut self, machine: &str) {
        self.ordered_at.remove(machine);
    }

    /// Records that a machine's maintenance has begun.
    pub fn record_start(&mut self, number: u64, machine: &str) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.begun.insert(machine.into());
        }
        let asked = self.emptying_since.remove(machine);
        if let (Some(asked), Some(ordered)) = (asked, self.ordered_at.get(machine)) {
            self.concurrency.observe(ordered.since(asked));
        }
    }

    /// Records that a wave was reported as completed.
    pub fn record_completion(&mut self, number: u64) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.completed = true;
        }
    }

    /// Whether a machine was asked to empty and must not move to another pool.
    pub fn is_emptying(&self, machine: &str) -> bool {
        self.emptying_since.contains_key(machine)
    }

    /// Whether a machine was asked to empty so long ago that its tasks may have nowhere to move.
    pub fn is_overdue(&self, machine: &str, now: Time) -> bool {
        let asked = self.emptying_since.get(machine);
        asked.is_some_and(|asked| now.since(*asked) > self.settings.emptying_timeout)
    }

    /// Records that a machine could not be asked to empty, so that it can be chosen again.
    pub fn cancel_emptying(&mut self, machine: &str) {
        self.emptying_since.remove(machine);
    }

    /// A wave's progress; the default if it is unknown.
    pub fn progress(
        &self,
        number: u64,
        machines: &BTreeMap<String, Machine>,
        now: Time,
    ) -> Progress {
        let Some(wave) = self.waves.get(&number) else { return Progress::default() };
        let open = wave.machines.iter().filter(|name| !wave.begun.contains(*name));
        let listed = open.filter(|name| machines.contains_key(*name));
        let (mut left, mut emptying) = (0, 0);
        for name in listed {
            left += 1;
            emptying += usize::from(self.is_emptying(name));
        }
        let held_back = self.held_back.get(&number).copied().unwrap_or(0);
        Progress { left, emptying, down: self.down_count(wave, machines, now), held_back }
    }

    /// Decides the next actions of all open waves.
    ///
    /// `emptying` holds the minions asked to be emptied, `empty` those of them that are.  `wall_ms`
    /// is the wall-clock time in milliseconds since the Unix epoch; a wave's window is measured by
    /// it because the wave is stored for later planners on other machines.
    pub fn plan(
        &mut self,
        machines: &BTreeMap<String, Machine>,
        emptying: &BTreeSet<String>,
        empty: &BTreeSet<String>,
        now: Time,
        wall_ms: u64,
    ) -> Vec<Action> {
        let snapshot = Snapshot { machines, emptying, empty, now };
        let mut reserve = Reserve::new(&snapshot, |machine| self.is_order_recent(machine, now));
        let open = || self.waves.iter().filter(|(_, wave)| !wave.completed);
        for machine in open().flat_map(|(_, wave)| self.due_machines(wave, &snapshot)) {
            reserve.add_due(machine.1);
        }
        let mut actions = self.requests_to_cancel(&snapshot, &mut reserve);
        let mut held_back = BTreeMap::new();
        for (number, wave) in open() {
            self.plan_wave(*number, wave, &snapshot, wall_ms, &mut reserve, &mut actions);
            held_back.insert(*number, reserve.take_refused());
        }
        self.held_back = held_back;
        for action in &actions {
            match action {
                Action::Empty { machine, .. } | Action::Begin { machine, .. } => {
                    self.emptying_since.entry(machine.clone()).or_insert(now);
                }
                Action::Keep { machine, .. } => drop(self.emptying_since.remove(machine)),
                Action::Complete { .. } => {}
            }
        }
        actions
    }

    /// The listed machines of a wave whose maintenance has not begun.
    fn due_machines<'a>(
        &self,
        wave: &'a Wave,
        snapshot: &Snapshot<'a>,
    ) -> impl Iterator<Item = (&'a String, &'a Machine)> + use<'a> {
        let machines = snapshot.machines;
        let open = wave.machines.iter().filter(|name| !wave.begun.contains(*name));
        open.filter_map(|name| Some((name, machines.get(name)?)))
    }

    /// Cancels the emptying of a machine in each pool of which no machine accepts tasks, for example
    /// because the others were lost since.  Its tasks could not move either.
    fn requests_to_cancel(
        &self,
        snapshot: &Snapshot<'_>,
        reserve: &mut Reserve<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, asked) in &self.emptying_since {
            let Some(machine) = snapshot.machines.get(name) else { continue };
            let Some(minion) = &machine.minion else { continue };
            let is_pending = machine.up
                && snapshot.emptying.contains(minion)
                && !snapshot.empty.contains(minion);
            let asked_for = snapshot.now.since(*asked);
            if is_pending && reserve.restore(machine, asked_for) {
                actions.push(Action::Keep { machine: name.clone(), minion: minion.clone() });
            }
        }
        actions
    }

    fn plan_wave(
        &self,
        number: u64,
        wave: &Wave,
        snapshot: &Snapshot<'_>,
        wall_ms: u64,
        reserve: &mut Reserve<'_>,
        actions: &mut Vec<Action>,
    ) {
        let open: Vec<(&String, &Machine)> = self.due_machines(wave, snapshot).collect();
        if open.is_empty() && self.is_finished(number, wave) {
            actions.push(Action::Complete { wave: number });
        }
        let down = self.down_count(wave, snapshot.machines, snapshot.now);
        let mut startable = wave.at_once.saturating_sub(down);
        let mut in_use = down;
        let mut candidates = Vec::new();
        for (name, machine) in open.iter().filter(|(_, machine)| machine.up) {
            let minion = machine.minion.as_ref();
            // A minion that wasn't asked to empty can still be sent a task at any time.
            let ready = minion.is_none_or(|minion| {
                snapshot.emptying.contains(minion) && snapshot.empty.contains(minion)
            });
            if ready && startable > 0 && !self.is_order_recent(name, snapshot.now) {
                startable -= 1;
                in_use += 1;
                actions.push(Action::Begin { machine: (*name).clone(), wave: number });
            } else if let Some(minion) = minion {
                if snapshot.emptying.contains(minion) {
                    in_use += usize::from(!self.is_overdue(name, snapshot.now));
                } else {
                    let batches = reserve.batches(machine);
                    candidates.push(Candidate { name, minion, machine, batches });
                }
            }
        }
        let max = wave.at_once + self.settings.extra_emptying;
        let down_time = self.settings.duration + self.settings.list_lag;
        let target =
            self.concurrency.out_of_service_target(open.len(), wave.window(wall_ms), down_time);
        candidates.sort_by(|a, b| a.sort_key().cmp(&b.sort_key()));
        let slots = Slots { max, non_idle_max: target.unwrap_or(max).min(max), in_use };
        for chosen in slots.choose(&candidates, reserve) {
            let (machine, minion) = (chosen.name.into(), chosen.minion.into());
            actions.push(Action::Empty { machine, minion });
        }
    }

    /// Whether an order for a machine is too recent for the list to show its effect.
    fn is_order_recent(&self, machine: &str, now: Time) -> bool {
        let list_delay = self.settings.duration + self.settings.list_lag;
        self.ordered_at.get(machine).is_some_and(|at| now.since(*at) < list_delay)
    }

    /// The number of a wave's machines that are, or may be, down.
    fn down_count(&self, wave: &Wave, machines: &BTreeMap<String, Machine>, now: Time) -> usize {
        let down = |name: &&String| {
            let machine = machines.get(*name);
            let listed = machine.is_some_and(|one| one.in_maintenance || one.may_be_down);
            listed || self.is_order_recent(name, now)
        };
        wave.machines.iter().filter(down).count()
    }
}
