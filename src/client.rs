//! HTTP client of the operators' interface: entries are tried in order until one answers.

use crate::Error;
use celerythread_http::client::{self, Phase};
use http_types::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Environment variable with the entries' operator addresses, separated by commas.
pub const ENTRIES_VARIABLE: &str = "CELERYTHREAD_ENTRIES";

/// Longest time for one request to one entry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest response body, in bytes.
const MAX_BODY_LEN: u64 = 64 << 20;

/// A client with the addresses that it may try.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Vec<SocketAddr>,
}

#[derive(serde::Deserialize)]
struct Problem {
    code: u16,
    title: String,
    detail: String,
    #[serde(default)]
    extra: serde_json::Value,
}

impl Client {
    /// Uses the addresses from the command line, or those of [`ENTRIES_VARIABLE`] if there are none.
    ///
    /// # Errors
    /// `Usage` when there are none, or one is not a valid address.
    pub fn new(named: &[SocketAddr]) -> Result<Self, Error> {
        let mut entries = named.to_vec();
        if entries.is_empty() {
            let text = std::env::var(ENTRIES_VARIABLE).unwrap_or_default();
            for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
                let address = part.parse().map_err(|_| Error::Usage {
                    text: format!("{ENTRIES_VARIABLE}: {part:?} is not an address"),
                })?;
                entries.push(address);
            }
        }
        if entries.is_empty() {
            let text = format!("name an entry with --entry ADDRESS or in {ENTRIES_VARIABLE}");
            return Err(Error::Usage { text });
        }
        Ok(Self { entries })
    }

    /// The operator addresses, in the order in which they are tried.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    /// `NoEntry` when no entry answers, `Refused` when one refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.ask(Method::Get, path, Vec::new()).await
    }

    /// Sends a POST request with a JSON body and decodes the JSON response.  The body must identify
    /// the change: a request whose response was lost is sent to the next entry and must not take
    /// effect twice.
    ///
    /// # Errors
    /// `NoEntry` when no entry answers, `Refused` when one refuses.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).expect("requests always serialize");
        self.ask(Method::Post, path, body).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        let mut reason = String::new();
        for entry in &self.entries {
            match ask_one(*entry, method, path, body.clone()).await {
                Ok(value) => return Ok(value),
                Err(Error::NoEntry { reason: last }) => reason = last,
                Err(error) => return Err(error),
            }
        }
        Err(Error::NoEntry { reason })
    }
}

/// Sends a request to one entry.
///
/// # Errors
/// `NoEntry` when it does not answer, `Refused` when it refuses.
pub async fn ask_one<T: DeserializeOwned>(
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<T, Error> {
    let no_entry = |reason: String| Error::NoEntry { reason: format!("{entry}: {reason}") };
    let mut request =
        client::request(method, entry, path).map_err(|fault| no_entry(fault.to_string()))?;
    request.set_body(body);
    let fetched = client::fetch(entry, request, REQUEST_TIMEOUT, MAX_BODY_LEN).await;
    let (head, body) = fetched.map_err(|failure| {
        let doing = match failure.phase {
            Phase::Connecting => "cannot connect",
            _ => "request failed",
        };
        no_entry(format!("{doing}: {}", failure.fault))
    })?;
    if head.status().is_success() {
        return serde_json::from_slice(&body).map_err(|error| no_entry(error.to_string()));
    }
    match serde_json::from_slice::<Problem>(&body) {
        Ok(problem) => Err(Error::Refused {
            number: problem.code,
            title: problem.title,
            detail: problem.detail,
            extra: problem.extra,
        }),
        Err(_) => Err(no_entry(format!("status {}", head.status()))),
    }
}
