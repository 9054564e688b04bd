//! Answers and errors in the shape of the usual completions API.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use serde::{Deserialize, Serialize};

/// Body of every response to a caller.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A whole response or a stream on its way to a caller.
pub type ApiResponse = Response<Body>;

/// Tokens of prompt and response.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the response.
    pub completion_tokens: u32,
    /// Tokens of the prompt that came from the engine's cache.
    pub cached_tokens: u32,
}

/// Kind of an error, as clients of the API distinguish them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request itself is wrong.
    InvalidRequest,
    /// No key, or an unknown one.
    Authentication,
    /// The key does not give access.
    Permission,
    /// What the request names does not exist.
    NotFound,
    /// A limit of the workspace is reached.
    RateLimit,
    /// The system cannot serve the request now.
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

/// What became of a call that may run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// It ran, and this is its response.
    Answered,
    /// It did not run and never will under this key.
    NotRun,
    /// It may have run.
    Unknown,
}

impl CallOutcome {
    /// Text of the `x-call-outcome` header.
    pub fn label(self) -> &'static str {
        match self {
            CallOutcome::Answered => "answered",
            CallOutcome::NotRun => "not_run",
            CallOutcome::Unknown => "unknown",
        }
    }
}

/// An error on its way to the caller.
#[derive(Clone, Debug)]
pub struct ApiError {
    /// Status of the response.
    pub status: StatusCode,
    /// Kind, as clients distinguish them.
    pub kind: ErrorKind,
    /// Machine-readable reason.
    pub code: &'static str,
    /// Text for people.
    pub message: String,
    /// Field of the body that is at fault.
    pub param: Option<&'static str>,
    /// When to come back, in milliseconds.
    pub retry_after: Option<u64>,
    /// Outcome of a call that may run at most once.
    pub outcome: Option<CallOutcome>,
}

impl ApiError {
    /// An error without `Retry-After` and call outcome.
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

    /// A request that cannot be understood.
    pub fn invalid(code: &'static str, message: impl Into<String>) -> Self {
        Self::new(
            StatusCode::BAD_REQUEST,
            ErrorKind::InvalidRequest,
            code,
            message,
        )
    }

    /// A request that the system cannot serve before `retry_after_ms`.
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

    /// Names the field of the body that is at fault.
    #[must_use]
    pub fn with_param(mut self, param: &'static str) -> Self {
        self.param = Some(param);
        self
    }

    /// Names the outcome of a call that may run at most once.
    #[must_use]
    pub fn with_outcome(mut self, outcome: CallOutcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// The JSON body.
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

    /// The response to send.
    pub fn into_response(self) -> ApiResponse {
        let mut response = json_response(self.status, self.body());
        if let Some(ms) = self.retry_after {
            // The header counts whole seconds; rounding down would invite callers early.
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

/// A body that is already whole.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// An response with a JSON body.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> ApiResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
