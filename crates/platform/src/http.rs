//! The platform over HTTP, with JSON bodies.
//!
//! Each step of a call has a timeout.  The phase in which a call failed tells whether it may have
//! taken effect: a request of which nothing was written did not; a commit that was partly written
//! may have, so its sender reads the rows back.

use crate::message::{Changes, Listing, Order, Row, Space, Task, Transaction};
use crate::{Error, Platform, traits};
use async_trait::async_trait;
use celerythread_http::client::{self, Connection, Phase};
use celerythread_model::id;
use celerythread_model::unit::{Bytes, Revision, Span};
use http_types::Method;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest response body of the platform.
const MAX_RESPONSE_BODY: Bytes = Bytes::mebi(64);

/// Most connections kept open between calls.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Settings of the client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The platform's addresses; the next one is tried when a connection fails.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of each step of a call.
    pub timeout: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self { addresses: Vec::new(), timeout: Span::secs(2) }
    }
}

/// A client of the platform.
pub struct Client {
    settings: Settings,
    preferred: AtomicUsize,
    idle: Mutex<Vec<Connection>>,
}

/// The body of `POST /table/read`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadQuery {
    /// The space.
    pub space: Space,
    /// The keys.
    pub keys: Vec<String>,
}

/// The body of `POST /table/changes`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// The space.
    pub space: Space,
    /// Rows changed after this revision are returned.
    pub since: Revision,
}

/// The body of `POST /roster/reboot`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Reboot {
    /// The instance.
    pub name: String,
    /// The boot count at which the instance is rebooted.
    pub boot: u64,
}

/// The body of `POST /workers/order`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Command {
    /// The worker.
    pub worker: id::Worker,
    /// The order.
    pub order: Order,
}

/// The body of `POST /workers/inspect`.
#[derive(Debug, Serialize, Deserialize)]
pub struct Inspection {
    /// The worker.
    pub worker: id::Worker,
    /// The job.
    pub job: id::Job,
}

/// A failure of the transport, by whether the call may have taken effect.
enum CallError {
    NotSent(String),
    MaybeSent(String),
}

impl Client {
    /// Creates a client that connects on first use.
    pub fn new(settings: Settings) -> Self {
        Self { settings, preferred: AtomicUsize::new(0), idle: Mutex::new(Vec::new()) }
    }

    /// The platform's four interfaces, over this client.
    pub fn platform(self) -> Platform {
        let client = Arc::new(self);
        Platform {
            table: client.clone(),
            objects: client.clone(),
            roster: client.clone(),
            workers: client,
        }
    }

    /// Returns an idle connection that the server has not closed, or else a new one.
    async fn get_connection(&self) -> Result<Connection, CallError> {
        while let Some(mut connection) = self.take_idle() {
            if !connection.is_stale().await {
                return Ok(connection);
            }
        }
        let mut reason = String::from("no address is set");
        let first = self.preferred.load(Ordering::Relaxed);
        let count = self.settings.addresses.len();
        for index in (first..first + count).map(|index| index % count) {
            let address = self.settings.addresses[index];
            match Connection::open(address, self.settings.timeout.0).await {
                Ok(connection) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(connection);
                }
                Err(fault) => reason = format!("{address}: {fault}"),
            }
        }
        Err(CallError::NotSent(reason))
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle.lock().pop()
    }

    fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let mut connection = self.get_connection().await?;
        // Used only for the Host header; the connection is already open.
        let host = self.settings.addresses[0];
        let mut request = client::request(method, host, path)
            .map_err(|fault| CallError::NotSent(fault.to_string()))?;
        request.set_body(body);
        let timeout = self.settings.timeout.0;
        let response = connection.send(request, timeout).await.map_err(|failure| {
            let reason = failure.fault.to_string();
            match failure.phase {
                Phase::Connecting | Phase::Connected => CallError::NotSent(reason),
                _ => CallError::MaybeSent(reason),
            }
        })?;
        let body = connection
            .read_body(response.length, timeout, MAX_RESPONSE_BODY.0)
            .await
            .map_err(|fault| CallError::MaybeSent(fault.to_string()))?;
        if response.keep_alive {
            self.put_idle(connection);
        }
        Ok((response.head.status().into(), body))
    }

    /// Makes a call that changes state: a lost response is `Lost`.
    async fn call_mutating<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(query).expect("messages always serialize");
        match self.send_request(Method::Post, path, body).await {
            Ok((status, body)) => decode(status, &body),
            Err(CallError::NotSent(reason)) => Err(Error::Unavailable { reason }),
            Err(CallError::MaybeSent(reason)) => Err(Error::Lost { reason }),
        }
    }

    /// Makes a call that changes nothing: a lost response is `Unavailable`, since the call can be
    /// repeated.
    async fn call_read_only<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &impl Serialize,
    ) -> Result<T, Error> {
        self.call_mutating(path, query).await.map_err(|error| match error {
            Error::Lost { reason } => Error::Unavailable { reason },
            other => other,
        })
    }
}

/// Decodes a response of the platform: a value, or the platform's own error.
fn decode<T: DeserializeOwned>(status: u16, body: &[u8]) -> Result<T, Error> {
    if status == 200 {
        // The call succeeded although its response is unreadable, so it must not be reported as
        // without effect.
        return serde_json::from_slice(body)
            .map_err(|error| Error::Lost { reason: format!("unreadable answer: {error}") });
    }
    let error: Result<Error, _> = serde_json::from_slice(body);
    Err(error.unwrap_or_else(|_| match status {
        400..=499 => Error::Refused { reason: format!("status {status}") },
        _ => Error::Lost { reason: format!("status {status}") },
    }))
}

#[async_trait]
impl traits::Table for Client {
    async fn commit(&self, transaction: Transaction) -> Result<Revision, Error> {
        self.call_mutating("/table/commit", &transaction).await
    }

    async fn read(&self, space: Space, keys: &[String]) -> Result<Vec<Row>, Error> {
        self.call_read_only("/table/read", &ReadQuery { space, keys: keys.to_vec() }).await
    }

    async fn changes(&self, space: Space, since: Revision) -> Result<Changes, Error> {
        self.call_read_only("/table/changes", &ChangesQuery { space, since }).await
    }
}

#[async_trait]
impl traits::Objects for Client {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), Error> {
        match self.send_request(Method::Put, &format!("/objects/{name}"), body).await {
            Ok((200, _)) => Ok(()),
            Ok((status, body)) => decode(status, &body),
            Err(CallError::NotSent(reason)) => Err(Error::Unavailable { reason }),
            Err(CallError::MaybeSent(reason)) => Err(Error::Lost { reason }),
        }
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        match self.send_request(Method::Get, &format!("/objects/{name}"), Vec::new()).await {
            Ok((200, body)) => Ok(Some(body)),
            Ok((404, _)) => Ok(None),
            Ok((status, body)) => decode(status, &body),
            Err(CallError::NotSent(reason) | CallError::MaybeSent(reason)) => {
                Err(Error::Unavailable { reason })
            }
        }
    }
}

#[async_trait]
impl traits::Roster for Client {
    async fn list(&self, known: &str) -> Result<Option<Listing>, Error> {
        self.call_read_only("/roster/list", &known).await
    }

    async fn reboot(&self, name: &str, boot: u64) -> Result<(), Error> {
        self.call_mutating("/roster/reboot", &Reboot { name: name.into(), boot }).await
    }
}

#[async_trait]
impl traits::Workers for Client {
    async fn order(&self, worker: &id::Worker, order: Order) -> Result<(), Error> {
        self.call_mutating("/workers/order", &Command { worker: worker.clone(), order }).await
    }

    async fn tasks(&self) -> Result<Vec<Task>, Error> {
        self.call_read_only("/workers/tasks", &()).await
    }

    async fn inspect(&self, worker: &id::Worker, job: &id::Job) -> Result<Option<Task>, Error> {
        let query = Inspection { worker: worker.clone(), job: job.clone() };
        self.call_read_only("/workers/inspect", &query).await
    }
}
