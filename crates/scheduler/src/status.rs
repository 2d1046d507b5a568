//! The shared state of the entries, for operators.
//!
//! It is read from the platform's store alone, so it shows who holds which cell even while no entry
//! answers.

use crate::rows;
use celerythread_adapter::store::{self, Error, Row};
use celerythread_adapter::{HttpClient, Service};
use celerythread_engine::job::decode;
use celerythread_engine::maintenance;
use celerythread_engine::pools::History;
use celerythread_engine::quota::Split;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for one read.  A store that is slowed down a hundred times answers in 0.4 s.
const READ_TIMEOUT: Duration = Duration::from_millis(2000);

/// The shared state.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// The store's version when it was read.
    pub version: u64,
    /// The entries that have a row.
    pub entries: Vec<Entry>,
    /// The cells and their holders.
    pub cells: Vec<Cell>,
    /// Machines that are being emptied, or were ordered recently.
    pub emptying: Vec<Emptying>,
    /// Maintenance waves.
    pub waves: Vec<Wave>,
    /// What each cell may use of each workspace's limit.
    pub shares: Vec<Share>,
    /// Pools in the order of their turns, the current one last.
    pub turns: Vec<String>,
    /// Keys of rows that could not be read.
    pub unreadable: Vec<String>,
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// The id of its process.
    pub id: String,
    /// The address at which peers reach it.
    pub peer: SocketAddr,
    /// Millicores of processor time that it has.
    pub power: u32,
    /// Number of renewals of its row; a difference between two reads shows that it is alive.
    pub renewal: u64,
    /// Milliseconds of silence after which its cells may be taken over.
    pub term_ms: u32,
    /// Whether it is about to stop.
    pub stopping: bool,
}

/// A cell.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cell {
    /// The service; `~fleet` for the fleet controller.
    pub service: String,
    /// The id of the process that holds it.
    pub holder: String,
    /// Whether that process has a row.
    pub holder_is_there: bool,
    /// Number of earlier holders.
    pub generation: u32,
    /// The holder's fencing token.
    pub token: u64,
}

/// A machine that is being emptied.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Emptying {
    /// The machine.
    pub machine: String,
    /// Its minion, on which nothing is started any more; empty for a machine that is off.
    pub minion: String,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Wave {
    /// Its number.
    pub number: String,
    /// Machines whose maintenance has begun.
    pub begun: usize,
    /// Its machines.
    pub machines: usize,
    /// Whether it was reported to operators as completed.
    pub completed: bool,
}

/// A cell's share of a workspace's limit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Share {
    /// The workspace.
    pub workspace: String,
    /// The workspace's limit over all cells: millicores, MiB, accelerators.
    pub limit: String,
    /// The version of the configuration that set the limit.
    pub configuration: u64,
    /// The cell.
    pub cell: String,
    /// What the cell may use.
    pub size: String,
    /// What the cell could use, if that is more than its share; otherwise empty.
    pub wanted: String,
    /// The fencing token of the owner that wrote it.
    pub token: u64,
}

/// Reads the shared state from the store at `address`.
///
/// # Errors
/// When a read from the store fails or is not answered in time.
pub async fn read(address: SocketAddr) -> Result<Status, Error> {
    let store = store::Client::new(Service::new(Arc::new(HttpClient::default()), address));
    let page = store.read_partitions(rows::CONTROL, "", READ_TIMEOUT).await?;
    let mut status = Status { version: page.version, ..Status::default() };
    let fleet = store.read_partition(rows::FLEET, "", "", READ_TIMEOUT).await?;
    // Reversed, because the keys of begun machines sort before those of the waves they are counted
    // in.
    page.rows.iter().chain(fleet.rows.iter().rev()).for_each(|row| status.add_row(row));
    let splits = store.read_partition(rows::SPLITS, "", "", READ_TIMEOUT).await?;
    splits.rows.iter().for_each(|row| status.add_split(row));
    let ids: Vec<String> = status.entries.iter().map(|entry| entry.id.clone()).collect();
    for cell in &mut status.cells {
        cell.holder_is_there = ids.contains(&cell.holder);
    }
    Ok(status)
}

impl Status {
    fn add_row(&mut self, row: &Row) {
        let key = row.key.as_str();
        let readable = if let Some(id) = key.strip_prefix(rows::ENTRY_PREFIX) {
            rows::Entry::decode(&row.value).map(|entry| self.entries.push(Entry::new(id, &entry)))
        } else if let Some(service) = key.strip_prefix(rows::CELL_PREFIX) {
            rows::Cell::decode(&row.value)
                .map(|cell| self.cells.push(Cell::new(service, &cell, row.version)))
        } else if let Some(machine) = key.strip_prefix(rows::EMPTYING_PREFIX) {
            let minion = String::from_utf8_lossy(&row.value).into_owned();
            self.emptying.push(Emptying { machine: machine.into(), minion });
            Ok(())
        } else if let Some(number) = key.strip_prefix(rows::WAVE_PREFIX) {
            decode(&row.value).map(|wave| self.waves.push(Wave::new(number, &wave)))
        } else if let Some((number, _)) = rows::begun_machine(key) {
            let number = number.to_string();
            let wave = self.waves.iter_mut().find(|wave| wave.number == number);
            wave.into_iter().for_each(|wave| wave.begun += 1);
            Ok(())
        } else if key == rows::TURNS_KEY {
            decode::<History>(&row.value).map(|history| self.turns = history.turns)
        } else {
            // The certificate authority contains a private key and is not shown.
            Ok(())
        };
        if readable.is_err() {
            self.unreadable.push(row.key.clone());
        }
    }
}

impl Status {
    fn add_split(&mut self, row: &Row) {
        let split: Split = match decode(&row.value) {
            Ok(split) => split,
            Err(_) => {
                self.unreadable.push(row.key.clone());
                return;
            }
        };
        let limit = split.limit.to_string();
        self.shares.extend(split.shares.iter().map(|(cell, share)| Share {
            workspace: row.key.clone(),
            limit: limit.clone(),
            configuration: split.configuration,
            cell: cell.to_string(),
            size: share.size.to_string(),
            wanted: if share.is_short() { share.wanted.to_string() } else { String::new() },
            token: share.token,
        }));
    }
}

impl Entry {
    fn new(id: &str, row: &rows::Entry) -> Self {
        let rows::Entry { peer, power, renewal, term_ms, stopping, .. } = *row;
        Self { id: id.into(), peer, power, renewal, term_ms, stopping }
    }
}

impl Cell {
    fn new(service: &str, row: &rows::Cell, token: u64) -> Self {
        Self {
            service: service.into(),
            holder: row.holder.clone(),
            holder_is_there: false,
            generation: row.generation,
            token,
        }
    }
}

impl Wave {
    fn new(number: &str, wave: &maintenance::Wave) -> Self {
        Self {
            number: number.into(),
            begun: wave.begun.len(),
            machines: wave.machines.len(),
            completed: wave.completed,
        }
    }
}
