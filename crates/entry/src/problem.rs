//! Refusals and failures as HTTP answers with RFC 9457 problem bodies.

use celerythread_http::server::Request;
use celerythread_model::code::Code;
use celerythread_model::request::Outcome;
use http_types::{Response, StatusCode};
use serde::Serialize;
use std::time::Duration;

/// The header that repeats a problem's outcome, for callers that do not read bodies.
pub(crate) const OUTCOME_HEADER: &str = "celerythread-outcome";

/// A refusal or failure.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    /// The code; it determines the HTTP status.
    pub(crate) code: Code,
    /// A description of what is wrong, for people.
    pub(crate) detail: String,
    /// The outcome of the caller's request; none where it has no meaning for the code.
    pub(crate) outcome: Option<Outcome>,
    /// When a retry makes sense.
    pub(crate) retry_after: Option<Duration>,
    /// Further data for programs; null for none.
    pub(crate) extra: serde_json::Value,
}

#[derive(Serialize)]
struct Body<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    code: u16,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "serde_json::Value::is_null")]
    extra: &'a serde_json::Value,
}

impl Problem {
    /// A problem with the default outcome of its code.
    pub(crate) fn new(code: Code, detail: impl Into<String>) -> Self {
        let outcome = code.meaning().outcome;
        Self { code, detail: detail.into(), outcome, retry_after: None, extra: Default::default() }
    }

    /// Sets the request's outcome.
    pub(crate) fn outcome(self, outcome: Outcome) -> Self {
        Self { outcome: Some(outcome), ..self }
    }

    /// Sets when a retry makes sense.
    pub(crate) fn retry_after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }

    /// Sets further data for programs.
    pub(crate) fn extra(self, extra: serde_json::Value) -> Self {
        Self { extra, ..self }
    }

    /// The HTTP answer.
    pub(crate) fn response(&self) -> Response {
        let meaning = self.code.meaning();
        let body = Body {
            r#type: format!("urn:celerythread:{}", self.code),
            title: self.code.to_string(),
            status: meaning.status,
            detail: &self.detail,
            code: meaning.number,
            outcome: self.outcome,
            retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
            extra: &self.extra,
        };
        let text = serde_json::to_string(&body).expect("problems always serialize");
        let status = StatusCode::try_from(meaning.status).unwrap_or(StatusCode::BadRequest);
        let mut response = Response::new(status);
        response.set_body(text);
        response.insert_header("content-type", "application/problem+json");
        if let Some(outcome) = self.outcome {
            response.insert_header(OUTCOME_HEADER, outcome.to_string());
        }
        if let Some(wait) = self.retry_after {
            // Retry-After counts whole seconds; the body has the finer figure.
            response.insert_header("retry-after", wait.as_millis().div_ceil(1000).to_string());
        }
        response
    }
}

/// An HTTP answer with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Response {
    let text = serde_json::to_string(value).expect("answers always serialize");
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.insert_header("content-type", "application/json");
    response
}

/// Parses a request's JSON body.
pub(crate) fn body<T: for<'de> serde::Deserialize<'de>>(request: &Request) -> Result<T, Problem> {
    serde_json::from_slice(&request.body)
        .map_err(|error| Problem::new(Code::BadRequest, error.to_string()))
}
