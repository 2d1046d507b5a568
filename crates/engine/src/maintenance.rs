//! Waves of maintenance: which machines are emptied, and when each goes down.
//!
//! A machine's maintenance ends all that runs on it at once, so it is emptied first: its cell's
//! owner moves its lasting tasks within what they may miss and lets the others finish.  Empty
//! machines go first, and a few more than may be down at once are emptied ahead, so that the
//! wave never waits for the emptying alone.

use crate::time::Time;
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
    pub ahead: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { duration: Duration::from_secs(2), list_lag: Duration::from_millis(1500), ahead: 2 }
    }
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
}

/// A wave that was asked for, with how far it is; this is also what is kept of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Its machines.
    pub machines: Vec<String>,
    /// Most of them down at once.
    pub at_once: usize,
    /// Machines whose maintenance has begun.
    pub begun: BTreeSet<String>,
    /// Whether it was reported as completed.
    pub completed: bool,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
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
    ordered: BTreeMap<String, Time>,
    /// Machines that this holder has asked to be emptied.
    emptying: BTreeSet<String>,
}

impl Planner {
    /// A planner without waves.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes in a wave; one that is known stays as it is.
    pub fn add(&mut self, number: u64, wave: Wave) {
        self.waves.entry(number).or_insert(wave);
    }

    /// One wave.
    pub fn wave(&self, number: u64) -> Option<&Wave> {
        self.waves.get(&number)
    }

    /// Whether any wave is not completed.
    pub fn is_busy(&self) -> bool {
        self.waves.values().any(|wave| !wave.completed)
    }

    /// Notes that a machine's maintenance was ordered, whether it is answered or not.
    pub fn ordered(&mut self, machine: &str, now: Time) {
        self.ordered.insert(machine.into(), now);
    }

    /// Notes that a machine's maintenance has begun.
    pub fn begun(&mut self, number: u64, machine: &str) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.begun.insert(machine.into());
        }
        self.emptying.remove(machine);
    }

    /// Notes that a wave was reported as completed.
    pub fn completed(&mut self, number: u64) {
        if let Some(wave) = self.waves.get_mut(&number) {
            wave.completed = true;
        }
    }

    /// Whether a machine must not go to another pool just now: it is about to go down.
    pub fn is_emptying(&self, machine: &str) -> bool {
        self.emptying.contains(machine)
    }

    /// What to do next.
    ///
    /// `emptying` are minions asked to be emptied, `empty` those of them that are.
    pub fn plan(
        &mut self,
        machines: &BTreeMap<String, Machine>,
        emptying: &BTreeSet<String>,
        empty: &BTreeSet<String>,
        now: Time,
    ) -> Vec<Step> {
        let steps = self.decide(machines, emptying, empty, now);
        for step in &steps {
            if let Step::Empty { machine, .. } = step {
                self.emptying.insert(machine.clone());
            }
        }
        steps
    }

    fn decide(
        &self,
        machines: &BTreeMap<String, Machine>,
        emptying: &BTreeSet<String>,
        empty: &BTreeSet<String>,
        now: Time,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        for (number, wave) in &self.waves {
            if wave.completed {
                continue;
            }
            let mut room = wave.at_once.saturating_sub(self.down(wave, machines, now));
            let mut ahead =
                (wave.at_once + self.settings.ahead).saturating_sub(self.down(wave, machines, now));
            let mut open = 0;
            for name in &wave.machines {
                // One that the platform no longer has won't come back: nothing is owed for it.
                let Some(machine) = machines.get(name) else { continue };
                if wave.begun.contains(name) {
                    continue;
                }
                open += 1;
                if !machine.up {
                    continue;
                }
                let minion = machine.minion.as_ref();
                let ready = minion.is_none_or(|minion| empty.contains(minion));
                if ready && room > 0 && !self.is_fresh(name, now) {
                    room -= 1;
                    ahead = ahead.saturating_sub(1);
                    steps.push(Step::Begin { machine: name.clone(), wave: *number });
                } else if minion.is_some_and(|minion| emptying.contains(minion)) {
                    ahead = ahead.saturating_sub(1);
                }
            }
            for name in &wave.machines {
                let Some(machine) = machines.get(name) else { continue };
                let Some(minion) = &machine.minion else { continue };
                let waits = machine.up && !wave.begun.contains(name) && !emptying.contains(minion);
                if waits && ahead > 0 {
                    ahead -= 1;
                    let (machine, minion) = (name.clone(), minion.clone());
                    steps.push(Step::Empty { machine, minion });
                }
            }
            if open == 0 && !machines.is_empty() {
                steps.push(Step::Complete { wave: *number });
            }
        }
        steps
    }

    /// Whether an order for a machine is too fresh for the list to show.
    fn is_fresh(&self, machine: &str, now: Time) -> bool {
        let fresh = self.settings.duration + self.settings.list_lag;
        self.ordered.get(machine).is_some_and(|at| now.since(*at) < fresh)
    }

    /// Machines of a wave that are, or may be, down for it.
    fn down(&self, wave: &Wave, machines: &BTreeMap<String, Machine>, now: Time) -> usize {
        let down = |name: &&String| {
            let listed = machines.get(*name).is_some_and(|machine| machine.in_maintenance);
            listed || self.is_fresh(name, now)
        };
        wave.machines.iter().filter(down).count()
    }
}
