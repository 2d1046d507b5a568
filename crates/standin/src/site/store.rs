//! The platform's store: rows in tables, conditional transactions, range reads and a change feed.

use async_std::task;
use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use celerythread_http::Fault;
use celerythread_http::server::{Handler, Request};
use http_types::{Response, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// Time between two checks for changes while a feed call waits.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum number of rows in one answer to a range read.
const MAX_PAGE_ROWS: usize = 500;

/// Maximum number of entries in one transaction: conditions, writes and deletions.
const MAX_TRANSACTION_ENTRIES: usize = 100;

/// Largest value of a row, in bytes.
const MAX_VALUE_LEN: usize = 65_536;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FaultMode {
    /// It serves calls.
    #[default]
    None,
    /// It answers 503 without executing calls.
    Refuses,
    /// It neither executes nor answers calls.
    Silent,
    /// It executes transactions without answering them; other calls are served.
    LosesAnswers,
    /// Every call takes [`SLOW_CALL_DURATION`], and transactions of one partition are executed one
    /// after the other.
    Slow,
}

/// Transactions that are executed late and not answered: those that write certain rows.
#[derive(Clone, Debug)]
pub struct Deferral {
    /// The table of the rows.
    pub table: String,
    /// The beginning of their keys.
    pub key_prefix: String,
    /// Time until a transaction is executed, if its conditions hold then.
    pub delay: Duration,
}

/// Duration of a call while the store is slow: a hundred times the usual.
const SLOW_CALL_DURATION: Duration = Duration::from_millis(400);

/// A slow partition answers 429 to a transaction that would wait longer than this for earlier ones.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(1);

type Key = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Key, Row>,
    /// Every change with its version; a deletion has no value.
    history: Vec<(u64, Key, Option<String>)>,
    /// Changes up to this version were removed from the history.
    trimmed_version: u64,
}

/// Calls that read a table, and what they returned.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Answered calls.
    pub calls: u64,
    /// Rows returned.
    pub rows: u64,
}

/// The store.  Values are kept in base64.
#[derive(Default)]
pub struct Store {
    /// Reads of each table.
    traffic: Mutex<BTreeMap<String, Traffic>>,
    tables: Arc<Mutex<Tables>>,
    /// While the store is slow, the time at which each partition has executed its transactions.
    busy_until: Mutex<BTreeMap<String, Instant>>,
    fault_mode: Mutex<FaultMode>,
    /// The table whose feed returns no changes for now.
    held_feed: Mutex<Option<String>>,
    /// The transactions that are executed late.
    deferral: Mutex<Option<Deferral>>,
}

impl Store {
    /// Sets how it handles calls.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        *self.fault_mode.lock() = fault_mode;
    }

    /// Makes it execute some transactions late, without answering them, until this is called again.
    pub fn defer_transactions(&self, deferral: Option<Deferral>) {
        *self.deferral.lock() = deferral;
    }

    /// Makes a table's feed return no changes until this is called with another table or `None`.
    pub fn hold_feed(&self, table: Option<&str>) {
        *self.held_feed.lock() = table.map(Into::into);
    }

    /// Removes all changes from the history, so that clients must read their tables again.
    pub fn forget_history(&self) {
        let mut tables = self.tables.lock();
        tables.trimmed_version = tables.version;
        tables.history.clear();
    }

    /// Writes a row without conditions, as operators and minions do.
    pub fn put(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        self.tables.lock().write((table.into(), part.into(), key.into()), STANDARD.encode(value));
    }

    /// Deletes a row.
    pub fn delete_row(&self, table: &str, part: &str, key: &str) {
        self.tables.lock().delete_row((table.into(), part.into(), key.into()));
    }

    /// A row's decoded value.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let tables = self.tables.lock();
        let row = tables.rows.get(&(table.into(), part.into(), key.into()))?;
        STANDARD.decode(&row.value).ok()
    }

    /// The partition of the row with this key; none if no partition of the table has one.
    pub fn part_of(&self, table: &str, key: &str) -> Option<String> {
        let tables = self.tables.lock();
        let found = tables.rows.keys().find(|found| found.0 == table && found.2 == key);
        found.map(|found| found.1.clone())
    }

    /// Number of rows of a table whose keys begin with `prefix`.
    pub fn count(&self, table: &str, prefix: &str) -> usize {
        let tables = self.tables.lock();
        let matches = |key: &&Key| key.0 == table && key.2.starts_with(prefix);
        tables.rows.keys().filter(matches).count()
    }

    /// Reads of a table since the store was started.
    pub fn traffic(&self, table: &str) -> Traffic {
        self.traffic.lock().get(table).copied().unwrap_or_default()
    }

    /// Reads of all tables since the store was started.
    pub fn read_calls(&self) -> u64 {
        self.traffic.lock().values().map(|traffic| traffic.calls).sum()
    }

    fn record_read(&self, table: String, rows: usize) {
        let mut traffic = self.traffic.lock();
        let read = traffic.entry(table).or_default();
        read.calls += 1;
        read.rows += rows as u64;
    }

    /// Executes a transaction after the earlier ones of its partition, even when its client stops
    /// waiting.  A transaction over several partitions takes twice as long.
    async fn transact_slowly(&self, body: Value) -> Response {
        let entry = ["expect", "writes", "remove"].iter().find_map(|name| body[name].get(0));
        let part = entry.map(|row| key(row).1).unwrap_or_default();
        let now = Instant::now();
        let done = {
            let mut busy = self.busy_until.lock();
            let free = busy.get(&part).copied().unwrap_or(now).max(now);
            if free - now > MAX_QUEUE_DELAY {
                return answer(429, json!({}));
            }
            let duration =
                if body["across"] == true { SLOW_CALL_DURATION * 2 } else { SLOW_CALL_DURATION };
            busy.insert(part, free + duration);
            free + duration
        };
        let tables = self.tables.clone();
        task::spawn(async move {
            task::sleep(done - now).await;
            transact(&mut tables.lock(), &body)
        })
        .await
    }

    /// How long the execution of a transaction is deferred; none if it isn't.
    fn deferral_of(&self, body: &Value) -> Option<Duration> {
        let deferral = self.deferral.lock().clone()?;
        let is_deferred = |row: &Value| {
            let (table, _, key) = key(row);
            table == deferral.table && key.starts_with(&deferral.key_prefix)
        };
        let mut writes = body["writes"].as_array()?.iter();
        writes.any(is_deferred).then_some(deferral.delay)
    }

    /// Executes a transaction after a delay, even when its client stops waiting, and never answers.
    async fn transact_late(&self, body: Value, delay: Duration) -> Response {
        let tables = self.tables.clone();
        task::spawn(async move {
            task::sleep(delay).await;
            transact(&mut tables.lock(), &body);
        });
        hang().await
    }

    fn range(&self, request: &Request) -> Response {
        let tables = self.tables.lock();
        let (table, part) = (parameter(request, "table"), parameter(request, "part"));
        let (from, to) = (parameter(request, "from"), request.query("to"));
        let limit = parameter(request, "limit").parse().unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let inside = |key: &&Key| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && to.as_ref().is_none_or(|to| key.2 < *to)
        };
        let keys: Vec<&Key> = tables.rows.keys().filter(inside).collect();
        let rows: Vec<Value> = keys.iter().take(limit).map(|key| tables.row_json(key)).collect();
        let more = keys.len() > limit;
        self.record_read(table, rows.len());
        answer(
            200,
            json!({ "rows": rows, "morePages": more, "ver": tables.version, "nowMs": now_ms() }),
        )
    }

    fn parts(&self, request: &Request) -> Response {
        let tables = self.tables.lock();
        let (table, after) = (parameter(request, "table"), request.query("after"));
        let mut parts: Vec<&String> = tables
            .rows
            .keys()
            .filter(|key| key.0 == table && after.as_ref().is_none_or(|after| key.1 > *after))
            .map(|key| &key.1)
            .collect();
        parts.dedup();
        self.record_read(table, 0);
        answer(200, json!({ "parts": parts }))
    }

    async fn feed(&self, request: &Request) -> Response {
        let table = parameter(request, "table");
        let after: u64 = parameter(request, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(parameter(request, "waitMs").parse().unwrap_or(0));
        let began = Instant::now();
        loop {
            if let Some(response) = self.changes(&table, after, began.elapsed() >= wait) {
                return response;
            }
            task::sleep(FEED_POLL_INTERVAL).await;
        }
    }

    fn changes(&self, table: &str, after: u64, timed_out: bool) -> Option<Response> {
        if self.held_feed.lock().as_deref() == Some(table) {
            return timed_out.then(|| {
                self.record_read(table.into(), 0);
                answer(200, json!({ "rows": [], "ver": after, "nowMs": now_ms() }))
            });
        }
        let tables = self.tables.lock();
        if after < tables.trimmed_version {
            return Some(answer(410, json!({})));
        }
        let mut rows = Vec::new();
        for (version, key, value) in &tables.history {
            if *version > after && key.0 == table {
                rows.push(match value {
                    Some(value) => row_json(key, value, *version),
                    None => json!({ "table": key.0, "part": key.1, "key": key.2, "deleted": true, "ver": version }),
                });
            }
        }
        let ready = timed_out || !rows.is_empty();
        ready.then(|| {
            self.record_read(table.into(), rows.len());
            answer(200, json!({ "rows": rows, "ver": tables.version, "nowMs": now_ms() }))
        })
    }
}

impl Tables {
    fn write(&mut self, key: Key, value: String) {
        self.version += 1;
        self.write_at(key, value);
    }

    fn delete_row(&mut self, key: Key) {
        self.version += 1;
        self.delete_at(key);
    }

    fn write_at(&mut self, key: Key, value: String) {
        let version = self.version;
        self.history.push((version, key.clone(), Some(value.clone())));
        self.rows.insert(key, Row { value, version });
    }

    fn delete_at(&mut self, key: Key) {
        if self.rows.remove(&key).is_some() {
            self.history.push((self.version, key, None));
        }
    }

    fn row_json(&self, key: &Key) -> Value {
        let row = self.rows.get(key);
        row_json(key, row.map_or("", |row| &row.value), row.map_or(0, |row| row.version))
    }
}

/// The store's steady clock, in milliseconds.
fn now_ms() -> u64 {
    /// What it shows when it is first read: different from any clock of an entry.
    const START_MS: u64 = 7_000_000;
    static STARTED: OnceLock<Instant> = OnceLock::new();
    START_MS + STARTED.get_or_init(Instant::now).elapsed().as_millis() as u64
}

fn transact(tables: &mut Tables, body: &Value) -> Response {
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    if ["expect", "writes", "remove"].iter().map(|name| list(name).len()).sum::<usize>()
        > MAX_TRANSACTION_ENTRIES
    {
        return answer(400, json!({}));
    }
    let value_len = |row: &Value| {
        let decoded = STANDARD.decode(row["value"].as_str().unwrap_or_default());
        decoded.map_or(0, |value| value.len())
    };
    if list("writes").iter().any(|row| value_len(row) > MAX_VALUE_LEN) {
        return answer(400, json!({}));
    }
    let mismatched: Vec<Value> = list("expect")
        .iter()
        .filter(|row| {
            let known = tables.rows.get(&key(row)).map_or(0, |row| row.version);
            known != row["ver"].as_u64().unwrap_or(0)
        })
        .map(|row| tables.row_json(&key(row)))
        .collect();
    if !mismatched.is_empty() {
        return answer(
            412,
            json!({ "rows": mismatched, "ver": tables.version, "nowMs": now_ms() }),
        );
    }
    tables.version += 1;
    for row in list("writes") {
        tables.write_at(key(&row), row["value"].as_str().unwrap_or_default().into());
    }
    for row in list("remove") {
        tables.delete_at(key(&row));
    }
    answer(200, json!({ "ver": tables.version, "nowMs": now_ms() }))
}

fn row_json((table, part, key): &Key, value: &str, version: u64) -> Value {
    json!({ "table": table, "part": part, "key": key, "value": value, "ver": version })
}

fn key(row: &Value) -> Key {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn parameter(request: &Request, name: &str) -> String {
    request.query(name).unwrap_or_default()
}

pub(super) fn answer(status: u16, body: Value) -> Response {
    let mut response = Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::Ok));
    response.set_body(body.to_string());
    response.insert_header("content-type", "application/json");
    response
}

/// Never answers.
pub(super) async fn hang() -> Response {
    std::future::pending().await
}

#[async_trait]
impl Handler for Store {
    async fn handle(&self, request: Request) -> Response {
        let fault_mode = *self.fault_mode.lock();
        match fault_mode {
            FaultMode::Refuses => return answer(503, json!({})),
            FaultMode::Silent => return hang().await,
            FaultMode::Slow if request.path() != "/-/rows-tx" => {
                task::sleep(SLOW_CALL_DURATION).await
            }
            FaultMode::None | FaultMode::LosesAnswers | FaultMode::Slow => {}
        }
        match request.path() {
            "/-/rows-tx" => {
                let body = serde_json::from_slice(&request.body).unwrap_or_default();
                if let Some(delay) = self.deferral_of(&body) {
                    return self.transact_late(body, delay).await;
                }
                if fault_mode == FaultMode::Slow {
                    return self.transact_slowly(body).await;
                }
                let response = transact(&mut self.tables.lock(), &body);
                if fault_mode == FaultMode::LosesAnswers { hang().await } else { response }
            }
            "/-/rows-get" => self.range(&request),
            "/-/rows-parts" => self.parts(&request),
            "/-/rows-feed" => self.feed(&request).await,
            _ => answer(404, json!({})),
        }
    }

    fn error_response(&self, _: &Fault) -> Response {
        answer(400, json!({}))
    }
}
