//! Messages, framing and handshake between nodes.
//!
//! A connection between two nodes starts with [`handshake::handshake`], in which
//! each side proves to the other that it holds the fleet key. Afterwards, both sides
//! exchange [`message::PeerFrame`] values through [`codec::PeerCodec`].

pub mod call;
pub mod codec;
pub mod convert;
pub mod gossip;
pub mod handshake;
pub mod heartbeat;
pub mod message;
pub mod permit;
pub mod records;
pub mod snapshot;
pub mod topic_copies;
