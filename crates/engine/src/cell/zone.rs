//! Availability zones of a cell's minions, the failure domains that may fall silent as a whole.

use crate::cell::Cell;
use crate::cell::minion::Minion;
use crate::time::Time;
use smallvec::SmallVec;

/// Zones per cell that are kept without an allocation.
const INLINE_ZONES: usize = 8;

/// Minions of a zone that must have fallen silent, with no answer from any other one since, until
/// the zone counts as silent.
const MIN_SILENT_MINIONS: usize = 3;

/// Names of the zones of a cell's minions.
#[derive(Debug, Default)]
pub(crate) struct Zones(SmallVec<[Box<str>; INLINE_ZONES]>);

/// Position of a zone in [`Zones`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ZoneIndex(usize);

impl Zones {
    /// The position of a zone, which is added if it is new.
    pub(crate) fn index(&mut self, zone: &str) -> ZoneIndex {
        let known = self.0.iter().position(|known| **known == *zone);
        ZoneIndex(known.unwrap_or_else(|| {
            self.0.push(zone.into());
            self.0.len() - 1
        }))
    }
}

/// What is known of a zone in one plan.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    /// When any of its minions last answered.
    last_answer: Time,
    /// Minions that fell silent after that.
    silent: usize,
}

impl Cell {
    /// Marks the minions of zones that have fallen silent, so that nothing is started there.
    ///
    /// When a zone is disconnected, its idle minions are found silent one by one, each when it is
    /// polled next or by a start that is not answered.  Such a start may be carried out late, so
    /// its task has to wait until the minion's lease has expired.
    pub(crate) fn mark_silent_zones(&mut self) {
        let mut zones: SmallVec<[Health; INLINE_ZONES]> =
            SmallVec::from_elem(Health::default(), self.zones.0.len());
        // Minions without a known zone have no failure domain in common.
        let has_zone = |minion: &&Minion| !minion.listing.zone.is_empty();
        for minion in self.minions.values().filter(has_zone).filter(|minion| minion.answered) {
            if let Some(zone) = zones.get_mut(minion.zone.0) {
                zone.last_answer = zone.last_answer.max(minion.reported_at);
            }
        }
        for minion in self.minions.values().filter(has_zone) {
            let (Some(zone), Some(since)) = (zones.get_mut(minion.zone.0), minion.silent_since)
            else {
                continue;
            };
            zone.silent += usize::from(since >= zone.last_answer);
        }
        for minion in self.minions.values_mut() {
            let is_silent = |zone: &Health| zone.silent >= MIN_SILENT_MINIONS;
            minion.in_silent_zone =
                has_zone(&&*minion) && zones.get(minion.zone.0).is_some_and(is_silent);
        }
    }
}
