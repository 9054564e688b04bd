//! Conversions between wire messages and core types.

use std::net::AddrParseError;
use std::str::Utf8Error;

use bytes::Bytes;
use flamingolock_core::heartbeat;
use flamingolock_core::members::{self, Instance, MemberState};
use flamingolock_core::prelude::*;
use flamingolock_core::tail::Record;
use thiserror::Error;

use crate::message::{
    Heartbeat, InstanceRow, LogRecord, MemberReport, Payload, PeerFrame, Standing,
};

/// Why a message cannot be converted to a core type.
#[derive(Debug, Error)]
pub enum ConversionError {
    /// An address is not `ip:port`.
    #[error("address is not ip:port")]
    Address(#[from] AddrParseError),
    /// The body of a record is not valid UTF-8.
    #[error("record body is not valid UTF-8")]
    NotText(#[from] Utf8Error),
}

/// Next offsets that the sender of a heartbeat needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offsets {
    /// Of the control stream.
    pub control: Offset,
    /// Of the claims stream.
    pub claims: Offset,
}

/// Converts block hashes to their wire form.
pub fn hash_values(blocks: &[BlockHash]) -> Vec<u64> {
    blocks.iter().map(|block| block.0).collect()
}

/// Converts block hashes from their wire form.
pub fn block_hashes(values: &[u64]) -> Vec<BlockHash> {
    values.iter().copied().map(BlockHash).collect()
}

/// Returns the prefix chain of a permit request or probe that carries a whole chain.
pub fn prefix_chain(values: &[u64], tokens: u32) -> PrefixChain {
    PrefixChain {
        blocks: block_hashes(values),
        tokens,
    }
}

/// Converts a duration to a 32-bit number of milliseconds, saturating at the maximum.
pub fn millis_u32(duration: Millis) -> u32 {
    u32::try_from(duration.0).unwrap_or(u32::MAX)
}

impl From<Payload> for PeerFrame {
    fn from(payload: Payload) -> Self {
        Self {
            leaving: false,
            payload: Some(payload),
        }
    }
}

/// Converts a heartbeat and the sender's offsets to a message.
pub fn heartbeat_message(heartbeat: &heartbeat::Heartbeat, offsets: Offsets) -> Heartbeat {
    let state = heartbeat.state;
    Heartbeat {
        incarnation: state.incarnation.0,
        counter: state.counter,
        leaving: state.standing == members::Standing::Leaving,
        digest: heartbeat.digest,
        control_offset: offsets.control.0,
        claims_offset: offsets.claims.0,
        reports: heartbeat.reports.iter().map(MemberReport::from).collect(),
        wants_answer: heartbeat.wants_answer,
        check: heartbeat
            .check
            .as_ref()
            .map(InstanceId::to_string)
            .unwrap_or_default(),
    }
}

/// Converts a message to a heartbeat and the sender's offsets.
pub fn heartbeat_from_message(message: Heartbeat) -> (heartbeat::Heartbeat, Offsets) {
    let offsets = Offsets {
        control: Offset(message.control_offset),
        claims: Offset(message.claims_offset),
    };
    let standing = if message.leaving {
        members::Standing::Leaving
    } else {
        members::Standing::Live
    };
    let heartbeat = heartbeat::Heartbeat {
        state: MemberState {
            incarnation: Incarnation(message.incarnation),
            counter: message.counter,
            standing,
        },
        digest: message.digest,
        reports: message.reports.into_iter().map(Into::into).collect(),
        wants_answer: message.wants_answer,
        check: (!message.check.is_empty()).then(|| message.check.into()),
    };
    (heartbeat, offsets)
}

impl From<&members::Report> for MemberReport {
    fn from(report: &members::Report) -> Self {
        let standing = match report.state.standing {
            members::Standing::Live => Standing::Live,
            members::Standing::Suspected => Standing::Suspected,
            members::Standing::Leaving => Standing::Leaving,
        };
        Self {
            instance: report.instance.to_string(),
            incarnation: report.state.incarnation.0,
            counter: report.state.counter,
            standing: standing as i32,
        }
    }
}

impl From<MemberReport> for members::Report {
    fn from(message: MemberReport) -> Self {
        let standing = match message.standing() {
            Standing::Live => members::Standing::Live,
            Standing::Suspected => members::Standing::Suspected,
            Standing::Leaving => members::Standing::Leaving,
        };
        Self {
            state: MemberState {
                incarnation: Incarnation(message.incarnation),
                counter: message.counter,
                standing,
            },
            instance: message.instance.into(),
        }
    }
}

impl From<&Record> for LogRecord {
    fn from(record: &Record) -> Self {
        Self {
            offset: record.offset.0,
            id: record.id.to_string(),
            time_ms: record.time.0,
            body: Bytes::copy_from_slice(record.body.as_bytes()),
        }
    }
}

impl TryFrom<LogRecord> for Record {
    type Error = ConversionError;

    fn try_from(message: LogRecord) -> Result<Self, ConversionError> {
        Ok(Self {
            offset: Offset(message.offset),
            time: Millis(message.time_ms),
            id: message.id.into(),
            body: std::str::from_utf8(&message.body)?.into(),
        })
    }
}

impl From<&Instance> for InstanceRow {
    fn from(instance: &Instance) -> Self {
        Self {
            name: instance.name.to_string(),
            address: instance.address.to_string(),
            peer_address: instance.peer_address.to_string(),
            zone: instance.zone.to_string(),
            leaving: instance.leaving,
        }
    }
}

impl TryFrom<InstanceRow> for Instance {
    type Error = ConversionError;

    fn try_from(message: InstanceRow) -> Result<Self, ConversionError> {
        Ok(Self {
            address: message.address.parse()?,
            peer_address: message.peer_address.parse()?,
            name: message.name.into(),
            zone: message.zone.into(),
            leaving: message.leaving,
        })
    }
}
