//! Rows that entries write to the platform's store: tables, keys and values.
//!
//! Table `control`: a member's row (`entry/ID`) and a cell's (`cell/SERVICE`), each in a partition
//! of its own; machines to be emptied (`emptying/MACHINE`) and the entries' certificate authority
//! (`authority`) in the empty one.  Members follow this table.
//!
//! Table `directory`, in the empty partition: where each cell's holder is reached (`cell/SERVICE`),
//! the entries that stand by (`standby/ZONE/SLOT`), and where each queue's jobs are stored
//! (`home/QUEUE`).  All entries follow this table.  Ownership is decided by the control table alone.
//!
//! Table `fleet`, which only the fleet controller reads: waves (`wave/N`), the machines whose
//! maintenance has begun (`begun/N/MACHINE`), and the pools' turns (`turns`).  In the control
//! table, and with one row per wave, the progress of each machine in a wave of 583 sent all machine
//! names to all 147 entries.
//!
//! Table `jobs`: accepted jobs (`job/ID`) and cancellations (`cancel/ID`), in partitions
//! `SERVICE/SHARD`, where `SERVICE` is the one that first ran jobs of the queue (its home); the owner's
//! ledger (`ledger`), the minions that it uses (`roster`) and the
//! policies that changed since jobs were accepted (`policies`) in the partition `SERVICE`.  Table
//! `progress`, partition `SERVICE`: each job's progress (`ID`).
//!
//! Table `splits`: how each workspace's limit is split between the cells (`WORKSPACE`), in the
//! empty partition.
//!
//! A partition carries out its transactions one after another.  When the store is slow, at a
//! quarter of a second each, that is four a second.  When renewals and submissions shared
//! partitions, entries lost their cells and callers were refused for as long as the store was slow.

use celerythread_adapter::store::{Name, Row};
use celerythread_engine::job::{FormatError, Id, decode_extended};
use celerythread_engine::ownership::former::{EarlierOwners, Predecessors};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State shared between entries.
pub(crate) const CONTROL: &str = "control";
/// Where members are reached.
pub(crate) const DIRECTORY: &str = "directory";
/// What the fleet controller stores for its successor.
pub(crate) const FLEET: &str = "fleet";
/// Accepted jobs.
pub(crate) const JOBS: &str = "jobs";
/// Progress of jobs.
pub(crate) const PROGRESS: &str = "progress";
/// How workspaces' limits are split.
pub(crate) const SPLITS: &str = "splits";

pub(crate) const ENTRY_PREFIX: &str = "entry/";
pub(crate) const CELL_PREFIX: &str = "cell/";
pub(crate) const STANDBY_PREFIX: &str = "standby/";
pub(crate) const HOME_PREFIX: &str = "home/";
pub(crate) const EMPTYING_PREFIX: &str = "emptying/";
pub(crate) const WAVE_PREFIX: &str = "wave/";
pub(crate) const BEGUN_PREFIX: &str = "begun/";
pub(crate) const TURNS_KEY: &str = "turns";
pub(crate) const AUTHORITY_KEY: &str = "authority";
pub(crate) const JOB_PREFIX: &str = "job/";
pub(crate) const CANCEL_PREFIX: &str = "cancel/";
pub(crate) const LEDGER_KEY: &str = "ledger";
pub(crate) const ROSTER_KEY: &str = "roster";
pub(crate) const POLICIES_KEY: &str = "policies";

/// The cell whose owner is the fleet controller.  No service has such a name: the platform's begin
/// with a letter.
pub(crate) const FLEET_CELL: &str = "~fleet";

/// An entry's row, rewritten at each renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Name of the instance, stable over restarts.
    pub(crate) name: String,
    /// Address for peers.
    pub(crate) peer: SocketAddr,
    /// Processor capacity in millicores.
    pub(crate) power: u32,
    /// Milliseconds of silence after which its cells may be taken over.
    pub(crate) term_ms: u32,
    /// Number of the renewal, so that a read shows which one was committed last.
    pub(crate) renewal: u64,
    /// Whether the entry is shutting down.
    pub(crate) stopping: bool,
    /// The latest time on the store's clock at which this renewal can have been sent; 0 if unknown,
    /// and in rows of releases that didn't store it.
    pub(crate) renewed_by_ms: u64,
}

impl Entry {
    /// Decodes a row.  Rows of older releases end before `renewed_by_ms`.
    ///
    /// # Errors
    /// Returns an error if the bytes are malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        decode_extended(bytes)
    }
}

/// A cell's row, rewritten only when its holder changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Cell {
    /// The entry that holds it.
    pub(crate) holder: String,
    /// Number of earlier holders.
    pub(crate) generation: u32,
    /// Whether the former holder had certainly sent its last order before this was written.
    pub(crate) former_stopped: bool,
    /// The latest time on the store's clock at which any former holder can have sent its last
    /// renewal; 0 if unknown, and in rows of releases that didn't store it.
    pub(crate) former_renewed_by_ms: u64,
    /// Jobs whose rows have a higher version can't have been started by a former holder; 0 if there
    /// is no such version, and in rows of releases that didn't store it.
    pub(crate) former_known_version: u64,
    /// The owners before the former holder that may still extend leases.
    pub(crate) earlier: EarlierOwners,
}

impl Cell {
    /// Decodes a row.  Rows of older releases end before `former_renewed_by_ms`.
    ///
    /// # Errors
    /// Returns an error if the bytes are malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        decode_extended(bytes)
    }

    /// What it states about the owners before its holder.
    pub(crate) fn predecessors(&self) -> Predecessors {
        Predecessors {
            count: self.generation,
            is_last_stopped: self.former_stopped,
            renewed_by_ms: self.former_renewed_by_ms,
            earlier: self.earlier,
        }
    }
}

/// Where the holder of a cell is reached.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Route {
    /// The entry that holds the cell.
    pub(crate) holder: String,
    /// Its address for peers.
    pub(crate) peer: SocketAddr,
    /// Its fencing token.
    pub(crate) token: u64,
}

/// An entry that stands by to take cells over.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Standby {
    /// The entry.
    pub(crate) entry: String,
    /// Its address for peers.
    pub(crate) peer: SocketAddr,
    /// Its processor capacity in millicores.
    pub(crate) power: u32,
}

/// Ledger of a cell.  Each of its owner's transactions rewrites it on condition of its version, so
/// a transaction that the store commits late can't undo a newer one, and one of a former owner
/// can't be committed at all.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Ledger {
    /// The owner's fencing token.
    pub(crate) token: u64,
}

/// The minions on which an owner may have started something.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Roster {
    pub(crate) minions: Vec<String>,
}

/// The entries' certificate authority.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Authority {
    /// The certificate as PEM.
    pub(crate) certificate: String,
    /// The key as PEM.
    pub(crate) key: String,
}

/// A row of the control table in the empty partition.
pub(crate) fn control(prefix: &str, key: &str) -> Name {
    Name::new(CONTROL, "", format!("{prefix}{key}"))
}

/// The row that records that a machine's maintenance in a wave has begun.
pub(crate) fn begun(wave: u64, machine: &str) -> Name {
    Name::new(FLEET, "", format!("{BEGUN_PREFIX}{wave}/{machine}"))
}

/// The wave and the machine of such a row; none for another key.
pub(crate) fn begun_machine(key: &str) -> Option<(u64, &str)> {
    let (wave, machine) = key.strip_prefix(BEGUN_PREFIX)?.split_once('/')?;
    Some((wave.parse().ok()?, machine))
}

/// The row of an entry.
pub(crate) fn entry(id: &str) -> Name {
    let key = format!("{ENTRY_PREFIX}{id}");
    Name::new(CONTROL, &key, key.clone())
}

/// The row of a cell.
pub(crate) fn cell(cell: &str) -> Name {
    let key = format!("{CELL_PREFIX}{cell}");
    Name::new(CONTROL, &key, key.clone())
}

/// The row with the route to a cell's holder.
pub(crate) fn route(cell: &str) -> Name {
    Name::new(DIRECTORY, "", format!("{CELL_PREFIX}{cell}"))
}

/// The row of a zone's standby slot.
pub(crate) fn standby(zone: &str, slot: usize) -> Name {
    Name::new(DIRECTORY, "", format!("{STANDBY_PREFIX}{zone}/{slot}"))
}

/// The row that says where a queue's jobs are stored.
pub(crate) fn home(queue: &str) -> Name {
    Name::new(DIRECTORY, "", format!("{HOME_PREFIX}{queue}"))
}

/// The zone and the slot of such a row; none for another key.
pub(crate) fn standby_slot(key: &str) -> Option<(&str, usize)> {
    let (zone, slot) = key.strip_prefix(STANDBY_PREFIX)?.rsplit_once('/')?;
    Some((zone, slot.parse().ok()?))
}

/// The name of the instance whose process has this id.
pub(crate) fn instance(entry_id: &str) -> &str {
    entry_id.rsplit_once('.').map_or(entry_id, |(name, _)| name)
}

/// Partitions for a service's jobs.  At the sites' largest bursts, some 60 jobs a second, a slow
/// store's four transactions a second for each partition still suffice.
const SHARDS_PER_SERVICE: u64 = 32;

/// The shard of a job in the partitions of its home.
fn shard(partition: &str, id: &Id) -> String {
    let rank = celerythread_engine::ownership::rank(partition, &id.to_string());
    format!("{partition}/{}", rank % SHARDS_PER_SERVICE)
}

/// Prefix of all shards of a home's partitions.
pub(crate) fn shard_prefix(partition: &str) -> String {
    format!("{partition}/")
}

/// The home's partition of a row of the table of jobs; none if it isn't in a shard.
pub(crate) fn partition_of(row: &Row) -> Option<&str> {
    row.part.rsplit_once('/').map(|(partition, _)| partition)
}

/// The row of a job, in the partitions of its home.
pub(crate) fn job(partition: &str, id: &Id) -> Name {
    Name::new(JOBS, &shard(partition, id), format!("{JOB_PREFIX}{id}"))
}

/// The row of a job's cancellation, in the partitions of its home.
pub(crate) fn cancel(partition: &str, id: &Id) -> Name {
    Name::new(JOBS, &shard(partition, id), format!("{CANCEL_PREFIX}{id}"))
}

/// The job of a row with such a key; none for another key.
pub(crate) fn job_id(row: &Row, prefix: &str) -> Option<Id> {
    row.key.strip_prefix(prefix)?.parse().ok()
}

/// The row that holds the split of a workspace's limit.
pub(crate) fn split(workspace: &str) -> Name {
    Name::new(SPLITS, "", workspace)
}

/// The row of a job's progress.
pub(crate) fn progress(service: &str, id: &Id) -> Name {
    Name::new(PROGRESS, service, id.to_string())
}
