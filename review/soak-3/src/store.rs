//! A stand-in of the platform's store, by `PROTOCOL.md`: tables of rows, transactions, ranges and a
//! feed of changes.

use crate::http::{Handler, Request};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(4);

/// Rows in one answer.
const PAGE: usize = 500;

type Name = (String, String, String);

struct Change {
    name: Name,
    version: u64,
    /// The new value; `None` if the row was removed.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Name, (Vec<u8>, u64)>,
    changes: Vec<Change>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

fn name(value: &Value) -> Name {
    let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row(name: &Name, value: &[u8], version: u64, deleted: bool) -> Value {
    let (table, part, key) = name;
    let mut row = json!({
        "table": table, "part": part, "key": key, "value": STANDARD.encode(value), "ver": version,
    });
    if deleted {
        row["deleted"] = json!(true);
    }
    row
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), changed: Condvar::new(), began: Instant::now() })
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    /// Writes a row of the operator or of a minion.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        write(
            &mut state,
            (table.into(), String::new(), key.into()),
            value.to_string().into_bytes(),
        );
        debug_assert_eq!(version, state.version);
        self.changed.notify_all();
    }

    /// Removes a row of a minion.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        remove(&mut state, (table.into(), String::new(), key.into()));
        self.changed.notify_all();
    }

    /// The value of a row.
    pub fn get(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().unwrap();
        state.rows.get(&(table.into(), part.into(), key.into())).map(|(value, _)| value.clone())
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        thread::sleep(TRANSACTION);
        let none = Vec::new();
        let list = |key: &str| body[key].as_array().unwrap_or(&none).clone();
        let mut state = self.state.lock().unwrap();
        let expected = list("expect");
        let version_of =
            |state: &State, name: &Name| state.rows.get(name).map_or(0, |(_, version)| *version);
        let holds = expected
            .iter()
            .all(|one| version_of(&state, &name(one)) == one["ver"].as_u64().unwrap_or(0));
        let (ver, now) = (state.version, self.now_ms());
        if !holds {
            let rows: Vec<Value> = expected
                .iter()
                .filter_map(|one| {
                    let name = name(one);
                    state.rows.get(&name).map(|(value, version)| row(&name, value, *version, false))
                })
                .collect();
            return (412, json!({ "rows": rows, "ver": ver, "nowMs": now }));
        }
        state.version += 1;
        for one in list("writes") {
            let value = STANDARD.decode(one["value"].as_str().unwrap_or_default());
            write(&mut state, name(&one), value.unwrap_or_default());
        }
        for one in list("remove") {
            remove(&mut state, name(&one));
        }
        self.changed.notify_all();
        (200, json!({ "ver": state.version, "nowMs": now }))
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let (table, part) = (request.query("table"), request.query("part"));
        let from = request.query("from").unwrap_or_default();
        let to = request.query("to");
        let limit = request.query("limit").and_then(|text| text.parse().ok()).unwrap_or(PAGE);
        let state = self.state.lock().unwrap();
        let found: Vec<Value> = state
            .rows
            .iter()
            .filter(|((of, in_part, key), _)| {
                Some(of.as_str()) == table
                    && in_part == part.unwrap_or_default()
                    && key.as_str() >= from
                    && to.is_none_or(|to| key.as_str() < to)
            })
            .map(|(name, (value, version))| row(name, value, *version, false))
            .collect();
        let limit = limit.min(PAGE);
        let more = found.len() > limit;
        let rows: Vec<Value> = found.into_iter().take(limit).collect();
        let (ver, now) = (state.version, self.now_ms());
        (200, json!({ "rows": rows, "morePages": more, "ver": ver, "nowMs": now }))
    }

    fn parts(&self, request: &Request) -> (u16, Value) {
        let after = request.query("after");
        let state = self.state.lock().unwrap();
        let mut parts: Vec<&str> = state
            .rows
            .keys()
            .filter(|(table, part, _)| {
                Some(table.as_str()) == request.query("table")
                    && after.is_none_or(|after| part.as_str() > after)
            })
            .map(|(_, part, _)| part.as_str())
            .collect();
        parts.dedup();
        parts.truncate(1000);
        (200, json!({ "parts": parts }))
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("waitMs").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let changes: Vec<&Change> = state
                .changes
                .iter()
                .filter(|one| {
                    one.version > after && Some(one.name.0.as_str()) == request.query("table")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let of = |one: &Change| {
                    let value = one.value.as_deref().unwrap_or_default();
                    row(&one.name, value, one.version, one.value.is_none())
                };
                let rows: Vec<Value> = changes.into_iter().map(of).collect();
                let (ver, now) = (state.version, self.now_ms());
                return (200, json!({ "rows": rows, "ver": ver, "nowMs": now }));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Its handler.
    pub fn handler(self: &Arc<Self>) -> Arc<Handler> {
        let store = self.clone();
        Arc::new(move |request: &Request| {
            Some(match (request.method.as_str(), request.path.as_str()) {
                ("POST", "/-/rows-tx") => store.transact(&request.json()),
                ("GET", "/-/rows-get") => store.range(request),
                ("GET", "/-/rows-parts") => store.parts(request),
                ("GET", "/-/rows-feed") => store.feed(request),
                _ => (404, json!({})),
            })
        })
    }
}

fn write(state: &mut State, name: Name, value: Vec<u8>) {
    let version = state.version;
    state.rows.insert(name.clone(), (value.clone(), version));
    state.changes.push(Change { name, version, value: Some(value) });
}

fn remove(state: &mut State, name: Name) {
    let version = state.version;
    if state.rows.remove(&name).is_some() {
        state.changes.push(Change { name, version, value: None });
    }
}
