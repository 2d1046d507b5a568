//! Absence from a list as evidence that something is gone.
//!
//! A list says nothing about what was added after it was requested.  One whose elements can't all be
//! read may contain what seems to be absent, and one that is read in several pages while it changes
//! may lack an element that was there all the while.

use crate::time::Time;
use std::collections::BTreeMap;

/// A reading of a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reading {
    /// When its first page was requested.
    pub sent: Time,
    /// In how many pages it was read.
    pub pages: usize,
    /// Whether all of its elements could be read.
    pub is_complete: bool,
}

/// Number of consecutive readings in several pages that show together that an element is gone.
const MIN_PAGED_READINGS: u8 = 2;

/// The elements that recent readings of a list lacked.
#[derive(Clone, Debug, Default)]
pub struct Absence {
    /// How many readings in a row lacked each; a reading in one page counts as several.
    readings: BTreeMap<String, u8>,
}

impl Absence {
    /// Records a reading: which of the elements of interest it lacked.
    pub fn record<'a>(
        &mut self,
        elements: impl Iterator<Item = &'a str>,
        is_listed: impl Fn(&str) -> bool,
        reading: Reading,
    ) {
        if !reading.is_complete {
            return;
        }
        let weight = if reading.pages <= 1 { MIN_PAGED_READINGS } else { 1 };
        for element in elements {
            if is_listed(element) {
                self.readings.remove(element);
            } else {
                let readings = self.readings.entry(element.to_owned()).or_default();
                *readings = readings.saturating_add(weight);
            }
        }
    }

    /// Whether an element is gone, as far as the readings show.
    pub fn is_gone(&self, element: &str) -> bool {
        self.readings.get(element).is_some_and(|readings| *readings >= MIN_PAGED_READINGS)
    }
}
