//! Determines the request kind, which sets the priority and deadline.

use flamingolock_core::manifest::{RequestKind, Target};
use flamingolock_core::prelude::*;
use http::{HeaderMap, StatusCode};

use crate::api::{ApiError, ErrorKind};
use crate::view::View;

/// Header that names the request kind.
pub const KIND_HEADER: &str = "x-request-kind";

/// Header with a shorter deadline than that of the kind, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Deadline of completions without a request kind.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// The request kind of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classified {
    /// Name of the kind.
    pub name: KindName,
    /// Definition of the kind, with the caller's deadline if that is shorter.
    pub kind: RequestKind,
}

/// Determines the kind of a completion request for `model`.
///
/// # Errors
///
/// Returns an error if the model or the kind is unknown, or if the kind is not for
/// this model.
pub fn classify_completion(
    view: &View,
    headers: &HeaderMap,
    model: &str,
) -> Result<Classified, ApiError> {
    if !view.manifest.models.contains_key(model) {
        return Err(not_found(
            "model_not_found",
            format!("the model `{model}` does not exist"),
        ));
    }
    let Some(name) = header_text(headers, KIND_HEADER) else {
        let kind = RequestKind {
            target: Target::Model(ModelName::from(model)),
            priority: 0,
            deadline_ms: DEFAULT_DEADLINE_MS,
            repeatable: true,
        };
        return Ok(Classified {
            name: KindName::from("default"),
            kind: apply_deadline_header(kind, headers)?,
        });
    };
    let kind = find_kind(view, name)?;
    if kind.target != Target::Model(ModelName::from(model)) {
        let message = format!("requests of kind `{name}` do not go to the model `{model}`");
        return Err(ApiError::invalid("kind_mismatch", message));
    }
    Ok(Classified {
        name: KindName::from(name),
        kind: apply_deadline_header(kind, headers)?,
    })
}

/// Looks up the kind `name` of a service call and the service that it targets.
///
/// # Errors
///
/// Returns an error if the kind is unknown or targets a model.
pub fn classify_call(
    view: &View,
    headers: &HeaderMap,
    name: &str,
) -> Result<(Classified, ServiceName), ApiError> {
    let kind = find_kind(view, name)?;
    let Target::Service(service) = kind.target.clone() else {
        let message = format!("requests of kind `{name}` go to /v1/completions");
        return Err(ApiError::invalid("kind_mismatch", message));
    };
    Ok((
        Classified {
            name: KindName::from(name),
            kind: apply_deadline_header(kind, headers)?,
        },
        service,
    ))
}

fn find_kind(view: &View, name: &str) -> Result<RequestKind, ApiError> {
    view.manifest.kinds.get(name).cloned().ok_or_else(|| {
        not_found(
            "kind_not_found",
            format!("the request kind `{name}` does not exist"),
        )
    })
}

fn apply_deadline_header(
    mut kind: RequestKind,
    headers: &HeaderMap,
) -> Result<RequestKind, ApiError> {
    let Some(value) = header_text(headers, DEADLINE_HEADER) else {
        return Ok(kind);
    };
    let Ok(ms) = value.parse::<u64>() else {
        let message = format!("header {DEADLINE_HEADER}: `{value}` is no number of milliseconds");
        return Err(ApiError::invalid("bad_deadline", message));
    };
    kind.deadline_ms = kind.deadline_ms.min(ms);
    Ok(kind)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn not_found(code: &'static str, message: String) -> ApiError {
    ApiError::new(StatusCode::NOT_FOUND, ErrorKind::NotFound, code, message)
}
