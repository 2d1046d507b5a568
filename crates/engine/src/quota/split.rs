//! A workspace's limit and its split between the cells.

use crate::job::Resources;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::fmt;

/// The resources that a workspace may use at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limit(pub Resources);

/// Amount from which a limit counts as unlimited; far above any real limit, and sums of a few such
/// amounts don't overflow.
const UNLIMITED_AMOUNT: u64 = 1 << 50;

impl Limit {
    /// No limit in any resource.
    pub const UNLIMITED: Limit = Limit(Resources {
        cpu: UNLIMITED_AMOUNT,
        memory_mb: UNLIMITED_AMOUNT,
        gpu: UNLIMITED_AMOUNT,
    });

    /// Whether an amount doesn't limit its resource.
    fn is_unlimited_amount(amount: u64) -> bool {
        amount >= UNLIMITED_AMOUNT
    }

    /// The limit of millicores; `None` if they are not limited, or the workspace has no limit yet.
    pub(crate) fn cpu(&self) -> Option<u64> {
        let cpu = self.0.cpu;
        (cpu > 0 && !Self::is_unlimited_amount(cpu)).then_some(cpu)
    }

    /// Whether no resource is limited.
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

/// The part of a workspace's limit that one cell may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The fencing token of the owner that last wrote it.
    pub token: u64,
    /// The resources that the cell may use.
    pub size: Resources,
    /// The resources that it would use; zero while the size is sufficient.
    pub wanted: Resources,
    /// The size with which it could start one more task.
    pub least: Resources,
    /// The row's version when tasks began to wait, or when a task was last started since then; 0
    /// while none waits.
    pub since: u64,
}

impl Share {
    /// Whether its cell wants more than it has.
    pub fn is_short(&self) -> bool {
        !self.size.holds(&self.wanted)
    }
}

/// A cell's claim to a part of the limit while cells are short.
#[derive(Clone, Debug)]
pub(crate) struct Claim<'a> {
    /// Claims are ordered by this: cells that have started no task for longest come first.
    pub(crate) since: u64,
    pub(crate) cell: &'a str,
    pub(crate) wanted: Resources,
    pub(crate) least: Resources,
}

/// The stored split of a workspace's limit.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// The version of the configuration that contains the limit.
    pub configuration: u64,
    /// The limit.
    pub limit: Limit,
    /// The shares, by cell.
    pub shares: BTreeMap<Box<str>, Share>,
}

/// The resources that a cell may use while others are short.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Target {
    pub(crate) size: Resources,
    /// Whether the cell has started no task for longest.
    pub(crate) is_first: bool,
}

impl Split {
    /// The sum of the shares of all cells except `cell`.
    pub(crate) fn others_total(&self, cell: &str) -> Resources {
        let others = self.shares.iter().filter(|(name, _)| ***name != *cell);
        others.fold(Resources::default(), |sum, (_, share)| sum.plus(&share.size))
    }

    pub(crate) fn share(&self, cell: &str) -> Share {
        self.shares.get(cell).copied().unwrap_or_default()
    }

    /// The claims of all short cells except `cell`.
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

/// A change of a workspace's split, written on condition of its row's version.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The workspace.
    pub workspace: Box<str>,
    /// The version that the row must have; 0 if there must be no row.
    pub version: u64,
    /// The split to write.
    pub split: Split,
}
