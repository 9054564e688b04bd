//! Authenticates callers by API key.

use flamingolock_core::prelude::*;
use http::{HeaderMap, StatusCode, header};
use sha2::{Digest, Sha256};

use crate::api::{ApiError, ErrorKind};
use crate::view::View;

/// Hash of an API key, as stored in the manifest.
pub fn key_hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Returns the workspace of the API key in the `Authorization` header.
///
/// # Errors
///
/// Returns 401 if the key is missing or unknown, and 503 while no manifest has been
/// read.
pub fn authenticate(view: &View, headers: &HeaderMap) -> Result<WorkspaceId, ApiError> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "));
    let Some(key) = key else {
        return Err(unauthenticated(
            "missing_key",
            "send an API key as `Authorization: Bearer KEY`",
        ));
    };
    if !view.ready {
        return Err(ApiError::unavailable(
            "starting",
            "no manifest has been read yet",
            1000,
        ));
    }
    view.index
        .hash_owner(&key_hash(key.trim()))
        .cloned()
        .ok_or_else(|| unauthenticated("unknown_key", "the API key is not known"))
}

fn unauthenticated(code: &'static str, message: &str) -> ApiError {
    ApiError::new(
        StatusCode::UNAUTHORIZED,
        ErrorKind::Authentication,
        code,
        message,
    )
}
