//! Waves of maintenance: which machines are emptied, and when each goes down.
//!
//! A machine's maintenance ends all that runs on it at once, so it is emptied first: its cell's
//! owner moves its lasting tasks within what they may miss and lets the others finish.  Machines
//! that are off or rest go first; how many of the others are out of service at a time is for
//! [`pace`].

mod pace;

use crate::time::Time;
use pace::{Pace, Window};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time limits of maintenance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a machine is down for its maintenance.
    pub duration: Duration,
    /// Time after an order in which the list of machines may not show it yet: two reads of
    /// the list.
    pub list_lag: Duration,
    /// Machines emptied ahead, beyond those that may be down at once.
    pub extra_emptying: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(2),
            list_lag: Duration::from_millis(1500),
            extra_emptying: 2,
        }
    }
}

/// What a machine does, by what its absence costs.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Occupation {
    /// It has no minion, or its pool does without it.
    #[default]
    Idle,
    /// It works on tasks that end; thousandths of cores in use.
    Working(u64),
    /// It has lasting tasks, which leave one after the other, or nobody tells what it does.
    LongRunning,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    /// The id of its minion, if it has one.
    pub minion: Option<String>,
    /// Whether it serves or could.
    pub up: bool,
    /// Whether it is down for its maintenance.
    pub in_maintenance: bool,
    /// What it does.
    pub occupation: Occupation,
}

/// A wave that was asked for, with how far it is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Its machines.
    pub machines: Vec<String>,
    /// Most of them down at once.
    pub at_once: usize,
    /// Milliseconds in which the maintenance of all must have begun; 0 if none were told.
    pub window_ms: u64,
    /// When a holder first saw it, by the time of day in milliseconds since 1970.
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

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask the owner of a machine's minion to empty it.
    Empty {
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

/// All waves, in the hands of whoever carries the duty.
#[derive(Debug, Default)]
pub struct Planner {
    settings: Settings,
    waves: BTreeMap<u64, Wave>,
    /// When each machine's maintenance was last ordered by this holder.
    ordered_at: BTreeMap<String, Time>,
    /// Machines that this holder has asked to be emptied, and since when.
    emptying_since: BTreeMap<String, Time>,
    pace: Pace,
}

/// What a plan goes by.
struct Snapshot<'a> {
    machines: &'a BTreeMap<String, Machine>,
    /// Minions asked to be emptied.
    emptying: &'a BTreeSet<String>,
    /// Those of them that are empty.
    empty: &'a BTreeSet<String>,
    now: Time,
}

/// How far a wave is, for the log and for operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Machines whose maintenance has not begun.
    pub left: usize,
    /// Machines that are being emptied.
    pub emptying: usize,
    /// Machines that are down, or may be.
    pub down: usize,
}

impl Planner {
    /// A planner without waves.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes in a wave; one that is known stays as it is.
    pub fn add_wave(&mut self, number: u64, wave: Wave) {
        self.waves.entry(number).or_insert(wave);
    }

    /// One wave.
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

    /// Notes that a machine's maintenance was ordered, whether it is answered or not.
    pub fn record_order(&mut self, machine: &str, now: Time) {
        self.ordered_at.insert(machine.into(), now);
    }

    /// Notes that an order was refused before anything was done, so that it can be given again at once.
    ///
    /// Taken for one that may have been carried out, it kept its machine emptied and its place among
    /// those that may be down for seconds; a rate limit hits dozens of machines at a time.
    pub fn record_refusal(&mut self, machine: &str) {
        self.ordered_at.remove(machine);
    }

    /// Notes that a machine's maintenance has begun.
    pub fn record_start(&mut self, number: u64, machine: &str) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.begun.insert(machine.into());
        }
        let asked = self.emptying_since.remove(machine);
        if let (Some(asked), Some(ordered)) = (asked, self.ordered_at.get(machine)) {
            self.pace.observe(ordered.since(asked));
        }
    }

    /// Notes that a wave was reported as completed.
    pub fn record_completion(&mut self, number: u64) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.completed = true;
        }
    }

    /// Whether a machine must not go to another pool just now: it is about to go down.
    pub fn is_emptying(&self, machine: &str) -> bool {
        self.emptying_since.contains_key(machine)
    }

    /// Notes that a machine could not be asked to empty, so that it is chosen again.
    pub fn cancel_emptying(&mut self, machine: &str) {
        self.emptying_since.remove(machine);
    }

    /// How far a wave is.
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
        Progress { left, emptying, down: self.down_count(wave, machines, now) }
    }

    /// What to do next.
    ///
    /// `emptying` are minions asked to be emptied, `empty` those of them that are; `wall_ms` is the
    /// time of day in milliseconds since 1970, by which a wave's window is reckoned, since it is kept
    /// for the next holder.
    pub fn plan(
        &mut self,
        machines: &BTreeMap<String, Machine>,
        emptying: &BTreeSet<String>,
        empty: &BTreeSet<String>,
        now: Time,
        wall_ms: u64,
    ) -> Vec<Action> {
        let snapshot = Snapshot { machines, emptying, empty, now };
        let mut actions = Vec::new();
        for (number, wave) in self.waves.iter().filter(|(_, wave)| !wave.completed) {
            self.plan_wave(*number, wave, &snapshot, wall_ms, &mut actions);
        }
        for action in &actions {
            if let Action::Empty { machine, .. } | Action::Begin { machine, .. } = action {
                self.emptying_since.entry(machine.clone()).or_insert(now);
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
        actions: &mut Vec<Action>,
    ) {
        // One that the platform no longer has won't come back: nothing is owed for it.
        let open = wave.machines.iter().filter(|name| !wave.begun.contains(*name));
        let open = open.filter_map(|name| Some((name, snapshot.machines.get(name)?)));
        let open: Vec<(&String, &Machine)> = open.collect();
        if open.is_empty() && !snapshot.machines.is_empty() {
            actions.push(Action::Complete { wave: number });
        }
        let down = self.down_count(wave, snapshot.machines, snapshot.now);
        let mut room = wave.at_once.saturating_sub(down);
        let mut in_use = down;
        let mut candidates = Vec::new();
        for (name, machine) in open.iter().filter(|(_, machine)| machine.up) {
            let minion = machine.minion.as_ref();
            // Empty by chance isn't enough: the next task may be on its way there.
            let ready = minion.is_none_or(|minion| {
                snapshot.emptying.contains(minion) && snapshot.empty.contains(minion)
            });
            if ready && room > 0 && !self.is_order_recent(name, snapshot.now) {
                room -= 1;
                in_use += 1;
                actions.push(Action::Begin { machine: (*name).clone(), wave: number });
            } else if let Some(minion) = minion {
                if snapshot.emptying.contains(minion) {
                    in_use += 1;
                } else {
                    candidates.push((machine.occupation, *name, minion));
                }
            }
        }
        let max = wave.at_once + self.settings.extra_emptying;
        let down_time = self.settings.duration + self.settings.list_lag;
        let paced = self.pace.out_of_service_target(open.len(), wave.window(wall_ms), down_time);
        candidates.sort();
        let slots = Slots { max, paced_max: paced.unwrap_or(max).min(max), in_use };
        for (machine, minion) in slots.choose(&candidates) {
            actions.push(Action::Empty { machine: machine.into(), minion: minion.into() });
        }
    }

    /// Whether an order for a machine is too fresh for the list to show.
    fn is_order_recent(&self, machine: &str, now: Time) -> bool {
        let list_delay = self.settings.duration + self.settings.list_lag;
        self.ordered_at.get(machine).is_some_and(|at| now.since(*at) < list_delay)
    }

    /// Machines of a wave that are, or may be, down for it.
    fn down_count(&self, wave: &Wave, machines: &BTreeMap<String, Machine>, now: Time) -> usize {
        let down = |name: &&String| {
            let listed = machines.get(*name).is_some_and(|machine| machine.in_maintenance);
            listed || self.is_order_recent(name, now)
        };
        wave.machines.iter().filter(down).count()
    }
}

/// Slots for machines that are to be emptied.
struct Slots {
    /// Most that may be emptying or down.
    max: usize,
    /// The same for machines whose absence costs something.
    paced_max: usize,
    /// Those that are.
    in_use: usize,
}

impl Slots {
    /// Chooses among candidates in the order of what their absence costs.
    ///
    /// Machines that idle go as far as is allowed.  Of the rest every other one has lasting tasks:
    /// those leave within what their steps may miss, so they take long and must begin early, but all
    /// places given to them would stand still together.
    fn choose<'a>(
        mut self,
        candidates: &[(Occupation, &'a String, &'a String)],
    ) -> Vec<(&'a str, &'a str)> {
        let with_occupation = |wanted: fn(Occupation) -> bool| {
            candidates
                .iter()
                .filter(move |(occupation, ..)| wanted(*occupation))
                .map(|(_, machine, minion)| (machine.as_str(), minion.as_str()))
        };
        let free = self.max.saturating_sub(self.in_use);
        let mut chosen: Vec<_> =
            with_occupation(|one| one == Occupation::Idle).take(free).collect();
        self.in_use += chosen.len();
        let mut long_running = with_occupation(|one| one == Occupation::LongRunning);
        let mut working = with_occupation(|one| matches!(one, Occupation::Working(_)));
        let mut is_long_running_next = false;
        while self.in_use < self.paced_max {
            is_long_running_next = !is_long_running_next;
            let next = if is_long_running_next {
                long_running.next().or_else(|| working.next())
            } else {
                working.next().or_else(|| long_running.next())
            };
            let Some(next) = next else { break };
            chosen.push(next);
            self.in_use += 1;
        }
        chosen
    }
}
