//! Serves an in-memory platform over HTTP on the paths that `celerythread_platform::http` uses.
//!
//! In addition, `POST /standin/instance` and `/standin/remove` change the list of instances,
//! `/standin/lag` sets the delay of its changes, and `/standin/fault` sets the fault of all later
//! calls.

use crate::fault::{Fault, SLOW_MS};
use crate::serve::Server;
use async_std::task;
use async_trait::async_trait;
use celerythread_http::Fault as HttpFault;
use celerythread_http::server::{Handler, Request};
use celerythread_platform::http::{ChangesQuery, Command, Inspection, ReadQuery, Reboot};
use celerythread_platform::memory::Memory;
use celerythread_platform::message::{Instance, Transaction};
use celerythread_platform::{Error, Objects, Roster, Table, Workers};
use http_types::{Method, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A served platform.
pub struct Platform {
    /// The platform behind the server.
    pub memory: Memory,
    /// The HTTP server.
    pub server: Server,
    fault: Arc<Mutex<Fault>>,
}

impl Platform {
    /// Serves a new, empty platform.
    ///
    /// # Errors
    /// When `address` can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        Self::serve(address, Memory::default()).await
    }

    /// Serves an existing platform.
    ///
    /// # Errors
    /// When `address` can't be bound.
    pub async fn serve(address: SocketAddr, memory: Memory) -> io::Result<Self> {
        let fault = Arc::new(Mutex::new(Fault::None));
        let handler = Arc::new(PlatformHandler { memory: memory.clone(), fault: fault.clone() });
        let server = Server::start(address, handler).await?;
        Ok(Self { memory, server, fault })
    }

    /// Sets the fault of all later calls.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock() = fault;
    }
}

struct PlatformHandler {
    memory: Memory,
    fault: Arc<Mutex<Fault>>,
}

/// Body of `/standin/lag`: the delay of changes to the list of instances.
#[derive(Debug, Serialize, Deserialize)]
pub struct Lag {
    /// Delay in milliseconds.
    pub ms: u64,
}

/// Body of `/standin/remove`: the instance to remove.
#[derive(Debug, Serialize, Deserialize)]
pub struct Name {
    /// Name of the instance.
    pub name: String,
}

impl PlatformHandler {
    async fn route(&self, request: &Request) -> Response {
        let memory = &self.memory;
        let body = request.body.as_slice();
        match (request.head.method(), request.path()) {
            (Method::Post, "/table/commit") => match parse::<Transaction>(body) {
                Ok(transaction) => answer(memory.table.commit(transaction).await),
                Err(refusal) => *refusal,
            },
            (Method::Post, "/table/read") => match parse::<ReadQuery>(body) {
                Ok(query) => answer(memory.table.read(query.space, &query.keys).await),
                Err(refusal) => *refusal,
            },
            (Method::Post, "/table/changes") => match parse::<ChangesQuery>(body) {
                Ok(query) => answer(memory.table.changes(query.space, query.since).await),
                Err(refusal) => *refusal,
            },
            (Method::Post, "/roster/list") => match parse::<String>(body) {
                Ok(known) => answer(memory.roster.list(&known).await),
                Err(refusal) => *refusal,
            },
            (Method::Post, "/roster/reboot") => match parse::<Reboot>(body) {
                Ok(order) => answer(memory.roster.reboot(&order.name, order.boot).await),
                Err(refusal) => *refusal,
            },
            (Method::Post, "/workers/order") => match parse::<Command>(body) {
                Ok(order) => answer(memory.workers.order(&order.worker, order.order).await),
                Err(refusal) => *refusal,
            },
            (Method::Post, "/workers/tasks") => answer(memory.workers.tasks().await),
            (Method::Post, "/workers/inspect") => match parse::<Inspection>(body) {
                Ok(query) => answer(memory.workers.inspect(&query.worker, &query.job).await),
                Err(refusal) => *refusal,
            },
            (method, path) => match path.strip_prefix("/objects/") {
                Some(name) => self.object(method, name, body).await,
                None => refused("no such path"),
            },
        }
    }

    async fn object(&self, method: Method, name: &str, body: &[u8]) -> Response {
        if method == Method::Put {
            return answer(self.memory.objects.put(name, body.to_vec()).await);
        }
        match self.memory.objects.get(name).await {
            Ok(Some(body)) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(body);
                response
            }
            Ok(None) => Response::new(StatusCode::NotFound),
            Err(error) => answer::<()>(Err(error)),
        }
    }

    /// Handles control requests to the stand-in itself, which faults don't affect.
    fn control(&self, request: &Request) -> Option<Response> {
        let body = request.body.as_slice();
        let outcome = match request.path() {
            "/standin/instance" => {
                parse::<Instance>(body).map(|instance| self.memory.roster.put(instance))
            }
            "/standin/remove" => {
                parse::<Name>(body).map(|name| self.memory.roster.remove(&name.name))
            }
            "/standin/lag" => parse::<Lag>(body)
                .map(|lag| self.memory.roster.set_lag(Duration::from_millis(lag.ms))),
            "/standin/fault" => parse::<Fault>(body).map(|fault| *self.fault.lock() = fault),
            _ => return None,
        };
        Some(outcome.map_or_else(|refusal| *refusal, |()| answer(Ok(()))))
    }
}

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, request: Request) -> Response {
        if let Some(outcome) = self.control(&request) {
            return outcome;
        }
        let unavailable = || answer::<()>(Err(Error::Unavailable { reason: "down".into() }));
        let fault = *self.fault.lock();
        match fault {
            Fault::None => self.route(&request).await,
            Fault::FailBefore => unavailable(),
            Fault::LoseAnswer => {
                self.route(&request).await;
                hang().await
            }
            Fault::Hang => hang().await,
            Fault::Slow => {
                task::sleep(Duration::from_millis(SLOW_MS)).await;
                self.route(&request).await
            }
            Fault::LateEffect => {
                task::sleep(Duration::from_secs(3)).await;
                self.route(&request).await
            }
            // Faults of the client's process, which a server can't inject.
            Fault::KillBefore | Fault::KillAfter | Fault::Pause => self.route(&request).await,
        }
    }

    fn error_response(&self, fault: &HttpFault) -> Response {
        refused(&fault.to_string())
    }
}

/// Answers after 60 s, which is longer than any client waits.
async fn hang() -> Response {
    task::sleep(Duration::from_secs(60)).await;
    Response::new(StatusCode::GatewayTimeout)
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, Box<Response>> {
    serde_json::from_slice(body).map_err(|error| Box::new(refused(&error.to_string())))
}

fn refused(reason: &str) -> Response {
    answer::<()>(Err(Error::Refused { reason: reason.into() }))
}

fn answer<T: Serialize>(result: Result<T, Error>) -> Response {
    let (status, text) = match &result {
        Ok(value) => (StatusCode::Ok, serde_json::to_string(value)),
        Err(error) => {
            let status = match error {
                Error::Conflict { .. } => StatusCode::Conflict,
                Error::Refused { .. } => StatusCode::BadRequest,
                _ => StatusCode::ServiceUnavailable,
            };
            (status, serde_json::to_string(error))
        }
    };
    let mut response = Response::new(status);
    response.set_body(text.expect("messages always serialize"));
    response
}
