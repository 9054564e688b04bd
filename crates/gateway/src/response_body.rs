//! Reads the bodies of responses within the memory of the process, whatever the endpoints send.

use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::memory_budget::{BudgetExhausted, MemoryBudget};
use crate::payload::Payload;

/// Maximum size of a response body that is read whole, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Error while a response body is read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It broke off.
    #[error("response body ended early: {0}")]
    Broken(#[from] hyper::Error),
    /// It is larger than [`MAX_BUFFERED_BYTES`].
    #[error("response body is too large")]
    TooLarge,
    /// The process has no memory for it.
    #[error(transparent)]
    NoMemory(#[from] BudgetExhausted),
}

/// Reads a body to its end. What it holds is charged until its last reference is dropped.
///
/// # Errors
///
/// If the body breaks off or is too large, or the process has no memory for it.
pub async fn read_whole(body: &mut Incoming, memory: &MemoryBudget) -> Result<Payload, BodyError> {
    let mut buffer = memory.body(None);
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = buffer.refused() => return Err(BudgetExhausted.into()),
        };
        let Some(frame) = frame else {
            return Ok(buffer.finish());
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_BUFFERED_BYTES {
            return Err(BodyError::TooLarge);
        }
        buffer.push(&data, MAX_BUFFERED_BYTES).await?;
    }
}

/// Reads a body to its end and keeps nothing of it.
///
/// # Errors
///
/// If the body breaks off or is too large.
pub async fn discard(mut body: Incoming) -> Result<(), BodyError> {
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            read += data.len();
        }
        if read > MAX_BUFFERED_BYTES {
            return Err(BodyError::TooLarge);
        }
    }
    Ok(())
}
