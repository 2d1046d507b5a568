//! A workspace's limit, and how it is split between the cells.

use crate::job::Resources;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::fmt;

/// What a workspace may have running at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limit(pub Resources);

/// An amount that no limit comes near; sums of a few of it stay far from overflowing.
const UNLIMITED_AMOUNT: u64 = 1 << 50;

impl Limit {
    /// No limit in any resource.
    pub const UNLIMITED: Limit = Limit(Resources {
        cpu: UNLIMITED_AMOUNT,
        memory_mb: UNLIMITED_AMOUNT,
        gpu: UNLIMITED_AMOUNT,
    });

    /// Whether one of its amounts bounds nothing.
    fn is_unlimited_amount(amount: u64) -> bool {
        amount >= UNLIMITED_AMOUNT
    }

    /// Whether it bounds nothing.
    pub fn is_unlimited(&self) -> bool {
        self.0.holds(&Self::UNLIMITED.0)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let amount = |amount: u64, unit: &str| {
            if Self::is_unlimited_amount(amount) {
                "any".to_owned()
            } else {
                format!("{amount}{unit}")
            }
        };
        let Resources { cpu, memory_mb, gpu } = self.0;
        write!(f, "{}/{}/{}", amount(cpu, "m"), amount(memory_mb, "MB"), amount(gpu, ""))
    }
}

/// What one cell may use of a workspace's limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The fencing token of the owner that wrote it last.
    pub token: u64,
    /// What the cell may have running.
    pub size: Resources,
    /// What it would have running; nothing while the size is enough.
    pub wanted: Resources,
    /// The size with which it could start one more task.
    pub least: Resources,
    /// The row's version when something began to wait, or when something was last started since; 0 while nothing
    /// waits.
    pub since: u64,
}

impl Share {
    /// Whether its cell asks for more than it has.
    pub fn is_short(&self) -> bool {
        !self.size.holds(&self.wanted)
    }
}

/// A cell's place in the order in which those that are short get their parts.
#[derive(Clone, Debug)]
pub(crate) struct Claim<'a> {
    /// The longer a cell has started nothing the earlier it comes.
    pub(crate) since: u64,
    pub(crate) cell: &'a str,
    pub(crate) wanted: Resources,
    pub(crate) least: Resources,
}

/// How a workspace's limit is split, as it is kept.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// The version of the configuration that the limit is of.
    pub configuration: u64,
    /// The limit.
    pub limit: Limit,
    /// Each cell's share, by its name.
    pub shares: BTreeMap<Box<str>, Share>,
}

/// What a cell may have running while others are short.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Target {
    pub(crate) size: Resources,
    /// Whether it is the cell that has started nothing for longest.
    pub(crate) is_first: bool,
}

impl Split {
    /// The sum of all shares but that of `cell`.
    pub(crate) fn others_total(&self, cell: &str) -> Resources {
        let others = self.shares.iter().filter(|(name, _)| ***name != *cell);
        others.fold(Resources::default(), |sum, (_, share)| sum.plus(&share.size))
    }

    pub(crate) fn share(&self, cell: &str) -> Share {
        self.shares.get(cell).copied().unwrap_or_default()
    }

    /// The claims of the cells but `cell` that ask for more than they have.
    pub(crate) fn other_claims(&self, cell: &str) -> SmallVec<[Claim<'_>; 4]> {
        let others =
            self.shares.iter().filter(|(name, share)| ***name != *cell && share.is_short());
        others
            .map(|(cell, Share { since, wanted, least, .. })| Claim {
                since: *since,
                cell,
                wanted: *wanted,
                least: *least,
            })
            .collect()
    }
}

/// A change of a workspace's split, to be written on condition of its row's version.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The workspace.
    pub workspace: Box<str>,
    /// The version that the row must have; 0 if there must be none.
    pub version: u64,
    /// The split to write.
    pub split: Split,
}
