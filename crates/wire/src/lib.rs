//! Messages, framing and handshake between nodes.
//!
//! A connection between two nodes starts with [`handshake::handshake`], which
//! proves on both sides that the other holds the fleet key. After it, each side
//! sends [`message::PeerFrame`] values through [`codec::PeerCodec`].

pub mod call;
pub mod codec;
pub mod convert;
pub mod gossip;
pub mod handshake;
pub mod heartbeat;
pub mod knowledge;
pub mod message;
pub mod permit;
pub mod records;
pub mod snapshot;
