//! Which machines of a wave are emptied next.

use super::reserve::Reserve;
use super::{Machine, Occupation};
use std::cmp::Reverse;

/// A machine that could be emptied.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) name: &'a str,
    pub(super) minion: &'a str,
    pub(super) machine: &'a Machine,
    /// How many batches the due machines of its pool take.
    pub(super) batches: usize,
}

impl<'a> Candidate<'a> {
    /// Sorts machines of pools that take long first, since they must begin early, then by cost.
    pub(super) fn sort_key(&self) -> (Reverse<usize>, Occupation, &'a str) {
        (Reverse(self.batches), self.machine.occupation, self.name)
    }
}

/// Slots for machines that are being emptied or down.
pub(super) struct Slots {
    /// The number of slots.
    pub(super) max: usize,
    /// The number of slots that machines which aren't idle may use.
    pub(super) non_idle_max: usize,
    pub(super) in_use: usize,
}

impl Slots {
    /// Chooses from sorted candidates, idle ones first, within what their pools can do without.
    ///
    /// Idle machines may use all slots.  The rest alternate between machines with and without
    /// long-running tasks: long-running tasks move only as far as their steps may have tasks
    /// unavailable, so these machines take long to empty and must begin early, but if they had all
    /// slots, the wave would make no progress meanwhile.
    pub(super) fn choose<'a>(
        mut self,
        candidates: &[Candidate<'a>],
        reserve: &mut Reserve<'_>,
    ) -> Vec<Candidate<'a>> {
        let with_occupation = |wanted: fn(Occupation) -> bool| {
            candidates.iter().filter(move |one| wanted(one.machine.occupation))
        };
        let mut chosen = Vec::new();
        for one in with_occupation(|one| one == Occupation::Idle) {
            if self.in_use < self.max && reserve.take(one.machine) {
                chosen.push(*one);
                self.in_use += 1;
            }
        }
        let mut long_running = with_occupation(|one| one == Occupation::LongRunning);
        let mut working = with_occupation(|one| matches!(one, Occupation::Working(_)));
        let mut is_long_running_next = false;
        while self.in_use < self.non_idle_max {
            is_long_running_next = !is_long_running_next;
            let mut is_taken = |one: &&Candidate<'_>| reserve.take(one.machine);
            let next = if is_long_running_next {
                long_running.find(&mut is_taken).or_else(|| working.find(&mut is_taken))
            } else {
                working.find(&mut is_taken).or_else(|| long_running.find(&mut is_taken))
            };
            let Some(next) = next else { break };
            chosen.push(*next);
            self.in_use += 1;
        }
        chosen
    }
}
