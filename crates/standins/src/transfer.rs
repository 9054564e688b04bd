//! Export and import of cached blocks through the KV store.

use std::time::Duration;

use bytes::Bytes;
use flamingolock_core::prelude::*;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::cache::Origin;
use crate::client::send_request;
use crate::engine_state::Engine;
use crate::events::{block_from_hex, block_hex};
use crate::server::lock;

/// Body of an export request.
#[derive(Deserialize)]
pub(crate) struct ExportRequest {
    cache_salt: String,
    blocks: Vec<String>,
    url: String,
}

/// Body of an import request.
#[derive(Deserialize)]
pub(crate) struct ImportRequest {
    cache_salt: String,
    url: String,
}

/// Content of the KV store for one exported set of blocks.
#[derive(Serialize, Deserialize)]
struct ExportedBlocks {
    cache_salt: String,
    weights: WeightsVersion,
    blocks: Vec<String>,
}

/// Why a transfer failed.
pub(crate) enum TransferError {
    BadSalt,
    BadBlock,
    /// The stored blocks belong to another salt.
    SaltMismatch,
    /// The store has no such key.
    KeyNotFound,
    /// The store can't be reached or returned an unexpected response.
    Store,
    /// The engine crashed in the meantime; the caller gets no response.
    Lost,
}

/// Writes those of the requested blocks that are cached to the store; returns
/// their number.
pub(crate) async fn export(
    engine: &Engine,
    request: ExportRequest,
) -> Result<usize, TransferError> {
    let salt = PrefixSeed::from_hex(&request.cache_salt).ok_or(TransferError::BadSalt)?;
    let blocks = request.blocks.iter().map(|text| block_from_hex(text));
    let blocks: Option<Vec<BlockHash>> = blocks.collect();
    let mut blocks = blocks.ok_or(TransferError::BadBlock)?;
    let (incarnation, weights) = {
        let state = lock(&engine.state);
        let held = |block: &BlockHash| {
            state
                .engine_cache
                .cache
                .get(*block)
                .is_some_and(|o| o.salt == salt)
        };
        blocks.retain(held);
        (
            state.engine_cache.incarnation,
            state.engine_cache.weights.clone(),
        )
    };
    let exported = ExportedBlocks {
        cache_salt: salt.to_hex(),
        weights,
        blocks: blocks.iter().copied().map(block_hex).collect(),
    };
    sleep(transfer_time(engine, blocks.len())).await;
    let text = serde_json::to_vec(&exported).expect("exported blocks serialise to JSON");
    let response = send_request(Method::PUT, &request.url, Bytes::from(text)).await;
    engine.wait_until_unfrozen().await;
    if !engine.is_alive(incarnation) {
        return Err(TransferError::Lost);
    }
    match response {
        Ok((status, _)) if status.is_success() => Ok(blocks.len()),
        Ok(_) | Err(_) => Err(TransferError::Store),
    }
}

/// Reads blocks from the store into the cache; returns the number of new ones.
pub(crate) async fn import(
    engine: &Engine,
    request: ImportRequest,
) -> Result<usize, TransferError> {
    let salt = PrefixSeed::from_hex(&request.cache_salt).ok_or(TransferError::BadSalt)?;
    let incarnation = lock(&engine.state).engine_cache.incarnation;
    let text = match send_request(Method::GET, &request.url, Bytes::new()).await {
        Ok((StatusCode::OK, text)) => text,
        Ok((StatusCode::NOT_FOUND, _)) => return Err(TransferError::KeyNotFound),
        Ok(_) | Err(_) => return Err(TransferError::Store),
    };
    let exported: ExportedBlocks =
        serde_json::from_slice(&text).map_err(|_| TransferError::Store)?;
    if exported.cache_salt != salt.to_hex() {
        return Err(TransferError::SaltMismatch);
    }
    let blocks = exported.blocks.iter().map(|text| block_from_hex(text));
    let blocks: Option<Vec<BlockHash>> = blocks.collect();
    let blocks = blocks.ok_or(TransferError::BadBlock)?;
    sleep(transfer_time(engine, blocks.len())).await;
    engine.wait_until_unfrozen().await;
    if !engine.is_alive(incarnation) {
        return Err(TransferError::Lost);
    }
    let origin = Origin {
        salt,
        incarnation,
        // The weights that the blocks were computed with, not the loaded ones, so
        // that the oracle detects hits on blocks of other weights.
        weights: exported.weights,
    };
    let now = Instant::now();
    let stored = lock(&engine.state)
        .engine_cache
        .store(&blocks, &origin, now);
    engine.work_ready.notify_one();
    Ok(stored)
}

fn transfer_time(engine: &Engine, blocks: usize) -> Duration {
    Duration::from_secs_f64(engine.options.block_ms * blocks as f64 / 1000.0)
}
