//! Distinct requirements of the tasks that may start now, and which minions meet any of them.
//!
//! Most tasks fit on every minion with enough free capacity and their label.  Of these only the
//! smallest needs matter, and one binary search tells whether any of them fits.  Requirements with
//! a limit per minion are checked one by one, but only on minions that run the maximum number of
//! some step's tasks.

use crate::cell::capacity::Usability;
use crate::cell::minion::{Minion, MinionId};
use crate::job::{Resources, Step, TaskName};
use std::collections::{BTreeMap, BTreeSet};

/// Distinct requirements that are checked one by one.  Beyond these, a gang counts as fitting where
/// one of its members fits, and a limit per minion as not reached.  Otherwise the cost would grow
/// with the product of minions and jobs where each job has requirements of its own.
const MAX_CHECKED_REQUIREMENTS: usize = 16;

/// A label that a minion must have; `None` if any minion will do.
type Label<'a> = Option<&'a str>;

/// A need by accelerators, millicores and memory, the order in which [`Frontier`] searches.
type Need = (u64, u64, u64);

fn need_of(step: &Step) -> Need {
    let need = step.reserved_resources();
    (need.gpu, need.cpu, need.memory_mb)
}

fn resources_of((gpu, cpu, memory_mb): Need) -> Resources {
    Resources { cpu, memory_mb, gpu }
}

/// Requirement of a task, apart from tickets and limits per minion.
type Requirement<'a> = (Label<'a>, Need);

/// Steps by their first task, with their requirement and their limit per minion.
type Steps<'a> = BTreeMap<TaskName, (Requirement<'a>, u32)>;

/// Minions with a ticket for a step.
type TicketedMinions<'a> = BTreeSet<&'a MinionId>;

/// Requirement of a gang's members.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Gang<'a> {
    requirement: Requirement<'a>,
    max_per_minion: u32,
    /// The gang's first task, if it needs tickets.
    ticketed: Option<TaskName>,
}

/// The requirements of the tasks that may start now.
#[derive(Default)]
pub(crate) struct Requirements<'a> {
    unlimited: BTreeMap<Label<'a>, BTreeSet<Need>>,
    /// Steps with a limit per minion.
    limited: Steps<'a>,
    /// Steps that need tickets.
    ticketed: Steps<'a>,
    tickets: BTreeMap<TaskName, TicketedMinions<'a>>,
    /// Gangs, with the number of members of the smallest one.
    gangs: BTreeMap<Gang<'a>, u32>,
    /// All needs but those of gangs.
    any: BTreeSet<Need>,
}

impl<'a> Requirements<'a> {
    /// Adds the requirement of a step, named by its first task.  `ticketed` are the minions with
    /// tickets, if the step needs one.
    pub(crate) fn add(
        &mut self,
        first: TaskName,
        step: &'a Step,
        ticketed: Option<TicketedMinions<'a>>,
    ) {
        let requirement = (step.required_label.as_deref(), need_of(step));
        let max_per_minion = step.max_per_minion.unwrap_or(u32::MAX);
        let needs_ticket = ticketed.is_some();
        if let Some(minions) = ticketed {
            self.tickets.insert(first, minions);
        }
        if step.gang {
            let ticketed = needs_ticket.then_some(first);
            let gang = Gang { requirement, max_per_minion, ticketed };
            let smallest = self.gangs.entry(gang).or_insert(u32::MAX);
            *smallest = step.count.min(*smallest);
            return;
        }
        self.any.insert(requirement.1);
        if needs_ticket {
            self.ticketed.insert(first, (requirement, max_per_minion));
        } else if step.max_per_minion.is_some() {
            self.limited.insert(first, (requirement, max_per_minion));
        } else {
            self.unlimited.entry(requirement.0).or_default().insert(requirement.1);
        }
    }

    /// Adds the gangs that fit as a whole to the other requirements.  `accepting` are the minions
    /// that accept tasks.
    fn add_gangs(&mut self, accepting: &[&Minion], examined: &mut u64) {
        for (number, (gang, count)) in std::mem::take(&mut self.gangs).into_iter().enumerate() {
            let (suitable, all) = if number < MAX_CHECKED_REQUIREMENTS {
                let tickets = gang.ticketed.and_then(|first| self.tickets.get(&first));
                gang.places(accepting, tickets, count, examined)
            } else {
                (count, count)
            };
            let (label, need) = gang.requirement;
            if all >= count {
                self.any.insert(need);
            }
            if suitable < count {
                continue;
            }
            if let Some(first) = gang.ticketed {
                self.ticketed.insert(first, (gang.requirement, gang.max_per_minion));
            } else {
                self.unlimited.entry(label).or_default().insert(need);
            }
        }
    }

    /// Indexes the requirements for queries.  `accepting` are the minions that accept tasks.
    pub(crate) fn index(mut self, accepting: &[&Minion]) -> Index<'a> {
        let has_gangs = !self.gangs.is_empty();
        let mut examined = 0;
        self.add_gangs(accepting, &mut examined);
        let mut limited_counts: BTreeMap<Requirement<'a>, usize> = BTreeMap::new();
        let mut limited_needs: BTreeMap<Label<'a>, BTreeSet<Need>> = BTreeMap::new();
        for (requirement, _) in self.limited.values() {
            *limited_counts.entry(*requirement).or_default() += 1;
            limited_needs.entry(requirement.0).or_default().insert(requirement.1);
        }
        let mut ticketed: BTreeMap<&'a MinionId, Vec<TaskName>> = BTreeMap::new();
        for first in self.ticketed.keys() {
            for minion in self.tickets.get(first).into_iter().flatten() {
                ticketed.entry(minion).or_default().push(*first);
            }
        }
        let frontiers = |needs: BTreeMap<Label<'a>, BTreeSet<Need>>| {
            needs.iter().map(|(label, needs)| (*label, Frontier::new(needs))).collect()
        };
        examined += (self.any.len() + self.limited.len() + self.ticketed.len()) as u64;
        Index {
            is_empty: self.any.is_empty() && !has_gangs,
            any: Frontier::new(&self.any),
            unlimited: frontiers(self.unlimited),
            limited: frontiers(limited_needs),
            limited_counts,
            limited_steps: self.limited,
            ticketed_steps: self.ticketed,
            ticketed,
            examined,
        }
    }
}

impl Gang<'_> {
    /// How many members fit on the minions that suit them, and how many would fit if all minions
    /// did; both counted up to `count`.
    fn places(
        &self,
        minions: &[&Minion],
        tickets: Option<&TicketedMinions<'_>>,
        count: u32,
        examined: &mut u64,
    ) -> (u32, u32) {
        let (label, need) = self.requirement;
        let (mut suitable, mut all) = (0, 0);
        for minion in minions {
            if suitable >= count {
                break;
            }
            *examined += 1;
            let places = fitting_members(&minion.free(), &resources_of(need), count);
            all = places.saturating_add(all).min(count);
            let has_ticket = tickets.is_none_or(|minions| minions.contains(&minion.id));
            if has_ticket && has_label(minion, label) {
                suitable = places.min(self.max_per_minion).saturating_add(suitable).min(count);
            }
        }
        (suitable, all)
    }
}

/// How many tasks with the same need fit into free capacity, at most `count`.
fn fitting_members(free: &Resources, need: &Resources, count: u32) -> u32 {
    let fitting = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    let cpu = fitting(free.cpu, need.cpu);
    let memory = fitting(free.memory_mb, need.memory_mb);
    cpu.min(memory).min(fitting(free.gpu, need.gpu)).min(u64::from(count)) as u32
}

fn has_label(minion: &Minion, label: Label<'_>) -> bool {
    label.is_none_or(|label| minion.listing.labels.iter().any(|own| **own == *label))
}

/// The smallest of several needs: by number of accelerators, the millicores with the least memory
/// of any need with at most that many millicores.
#[derive(Default)]
struct Frontier(Vec<(u64, Vec<(u64, u64)>)>);

impl Frontier {
    fn new(needs: &BTreeSet<Need>) -> Self {
        let mut groups: Vec<(u64, Vec<(u64, u64)>)> = Vec::new();
        for (gpu, cpu, memory) in needs {
            if groups.last().is_none_or(|(known, _)| known != gpu) {
                groups.push((*gpu, Vec::new()));
            }
            let Some((_, smallest)) = groups.last_mut() else { continue };
            if smallest.last().is_none_or(|(_, known)| memory < known) {
                smallest.push((*cpu, *memory));
            }
        }
        Self(groups)
    }

    /// Whether any of the needs fits.
    fn fits(&self, free: &Resources, examined: &mut u64) -> bool {
        let groups = self.0.iter().take_while(|(gpu, _)| *gpu <= free.gpu);
        groups.map(|(_, smallest)| smallest).any(|smallest| {
            *examined += 1;
            let larger = smallest.partition_point(|(cpu, _)| *cpu <= free.cpu);
            larger.checked_sub(1).is_some_and(|last| smallest[last].1 <= free.memory_mb)
        })
    }
}

/// Index of requirements, for queries by minion.
pub(crate) struct Index<'a> {
    /// Whether no task may start now.
    is_empty: bool,
    /// All needs, but those of gangs that don't fit anywhere.
    any: Frontier,
    unlimited: BTreeMap<Label<'a>, Frontier>,
    limited: BTreeMap<Label<'a>, Frontier>,
    /// Number of steps with a limit per minion, by requirement.
    limited_counts: BTreeMap<Requirement<'a>, usize>,
    limited_steps: Steps<'a>,
    ticketed_steps: Steps<'a>,
    /// The steps with a ticket for a minion.
    ticketed: BTreeMap<&'a MinionId, Vec<TaskName>>,
    /// Minions and requirements examined to build the index.
    pub(crate) examined: u64,
}

impl<'a> Index<'a> {
    /// What the unused cores of a minion that accepts tasks could be used for.  Adds the runs and
    /// requirements that it examines to `examined`.
    pub(crate) fn usability(&self, minion: &Minion, examined: &mut u64) -> Usability {
        let free = minion.free();
        if self.is_empty {
            Usability::Unneeded
        } else if !self.any.fits(&free, examined) {
            Usability::TooSmall
        } else if fits_any(&self.unlimited, minion, &free, examined)
            || self.fits_ticketed(minion, &free, examined)
            || self.fits_limited(minion, &free, examined)
        {
            Usability::Usable
        } else {
            Usability::Unsuitable
        }
    }

    fn fits_ticketed(&self, minion: &Minion, free: &Resources, examined: &mut u64) -> bool {
        let mut steps = self.ticketed.get(&minion.id).into_iter().flatten();
        steps.any(|first| {
            *examined += 1;
            let Some(((label, need), limit)) = self.ticketed_steps.get(first) else { return false };
            let last = TaskName { index: u32::MAX, ..*first };
            has_label(minion, *label)
                && free.holds(&resources_of(*need))
                && minion.runs.range(*first..=last).count() < *limit as usize
        })
    }

    /// Whether a task of a step with a limit per minion fits that is not reached there.
    fn fits_limited(&self, minion: &Minion, free: &Resources, examined: &mut u64) -> bool {
        if !fits_any(&self.limited, minion, free, examined) {
            return false;
        }
        if self.limited_counts.len() > MAX_CHECKED_REQUIREMENTS {
            return true;
        }
        *examined += minion.runs.len() as u64;
        let full = self.full_steps(minion);
        self.limited_counts.iter().any(|(requirement, steps)| {
            *examined += 1;
            let (label, need) = requirement;
            has_label(minion, *label)
                && free.holds(&resources_of(*need))
                && full.get(requirement).is_none_or(|full| full < steps)
        })
    }

    /// Number of steps by requirement of which a minion runs the maximum number of tasks.
    fn full_steps(&self, minion: &Minion) -> BTreeMap<Requirement<'a>, usize> {
        let mut counts: BTreeMap<TaskName, u32> = BTreeMap::new();
        for task in minion.runs.keys() {
            *counts.entry(TaskName { index: 0, ..*task }).or_default() += 1;
        }
        let mut full = BTreeMap::new();
        for (first, count) in counts {
            if let Some((requirement, limit)) = self.limited_steps.get(&first)
                && count >= *limit
            {
                *full.entry(*requirement).or_default() += 1;
            }
        }
        full
    }
}

/// Whether a need without a label, or with one that the minion has, fits.
fn fits_any(
    needs: &BTreeMap<Label<'_>, Frontier>,
    minion: &Minion,
    free: &Resources,
    examined: &mut u64,
) -> bool {
    let mut fits =
        |label: Label<'_>| needs.get(&label).is_some_and(|needs| needs.fits(free, examined));
    fits(None) || minion.listing.labels.iter().any(|label| fits(Some(label)))
}
