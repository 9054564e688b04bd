//! Responses and errors in the format of the common completions API.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use serde::{Deserialize, Serialize};

/// Body of every response to a caller.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A response to a caller, with a complete or a streamed body.
pub type ApiResponse = Response<Body>;

/// Token counts of one completion.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens in the completion.
    pub completion_tokens: u32,
    /// Prompt tokens served from the engine's prefix cache.
    pub cached_tokens: u32,
}

/// Error category that API clients distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request is malformed or has an unsupported value.
    InvalidRequest,
    /// The API key is missing or unknown.
    Authentication,
    /// The API key does not grant access.
    Permission,
    /// The request refers to something that does not exist.
    NotFound,
    /// A limit of the workspace is reached.
    RateLimit,
    /// The request cannot be served at present.
    Unavailable,
    /// An endpoint failed.
    Upstream,
}

impl ErrorKind {
    fn label(self) -> &'static str {
        match self {
            ErrorKind::InvalidRequest => "invalid_request_error",
            ErrorKind::Authentication => "authentication_error",
            ErrorKind::Permission => "permission_error",
            ErrorKind::NotFound => "not_found_error",
            ErrorKind::RateLimit => "rate_limit_error",
            ErrorKind::Unavailable => "service_unavailable",
            ErrorKind::Upstream => "upstream_error",
        }
    }
}

/// Outcome of an at-most-once call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The call ran, and this is its response.
    Answered,
    /// The call did not run and never will under this key.
    NotRun,
    /// The call may or may not have run.
    Unknown,
}

impl CallOutcome {
    /// Value of the `x-call-outcome` header.
    pub fn label(self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::NotRun => "not_run",
            CallOutcome::Unknown => "unknown",
        }
    }
}

/// An error response to a caller.
#[derive(Clone, Debug)]
pub struct ApiError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Error category.
    pub kind: ErrorKind,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Human-readable message.
    pub message: String,
    /// Field of the request body that caused the error.
    pub param: Option<&'static str>,
    /// Delay before a retry, in milliseconds.
    pub retry_after: Option<u64>,
    /// Outcome of an at-most-once call.
    pub outcome: Option<CallOutcome>,
}

impl ApiError {
    /// Creates an error without a retry delay or a call outcome.
    pub fn new(
        status: StatusCode,
        kind: ErrorKind,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            kind,
            code,
            message: message.into(),
            param: None,
            retry_after: None,
            outcome: None,
        }
    }

    /// Creates a 400 error for an invalid request.
    pub fn invalid(code: &'static str, message: impl Into<String>) -> Self {
        Self::new(
            StatusCode::BAD_REQUEST,
            ErrorKind::InvalidRequest,
            code,
            message,
        )
    }

    /// Creates a 503 error that asks the caller to retry after `retry_after_ms`.
    pub fn unavailable(
        code: &'static str,
        message: impl Into<String>,
        retry_after_ms: u64,
    ) -> Self {
        Self {
            retry_after: Some(retry_after_ms),
            ..Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                ErrorKind::Unavailable,
                code,
                message,
            )
        }
    }

    /// Sets the field of the request body that caused the error.
    #[must_use]
    pub fn with_param(mut self, param: &'static str) -> Self {
        self.param = Some(param);
        self
    }

    /// Sets the outcome of an at-most-once call.
    #[must_use]
    pub fn with_outcome(mut self, outcome: CallOutcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Serializes the error as a JSON body.
    pub fn body(&self) -> Vec<u8> {
        let error = serde_json::json!({
            "message": self.message,
            "type": self.kind.label(),
            "code": self.code,
            "param": self.param,
            "retry_after_ms": self.retry_after,
            "outcome": self.outcome,
        });
        serde_json::json!({ "error": error })
            .to_string()
            .into_bytes()
    }

    /// Converts the error into a response with the matching headers.
    pub fn into_response(self) -> ApiResponse {
        let mut response = json_response(self.status, self.body());
        if let Some(ms) = self.retry_after {
            // The header has whole seconds; rounding down would make callers retry too early.
            let seconds = ms.div_ceil(1000).max(1);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(outcome) = self.outcome {
            let label = HeaderValue::from_static(outcome.label());
            response.headers_mut().insert("x-call-outcome", label);
        }
        response
    }
}

/// Creates a body from bytes that are already complete.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a response with a JSON body.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> ApiResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
