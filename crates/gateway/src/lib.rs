//! Routed requests on a shared platform.
//!
//! Callers connect to any node. A node finds the route and the workspace of a
//! request, lets the control thread choose an endpoint, and relays the answer.
//! What must last lies in the platform's log; the nodes tell each other about
//! load by datagrams. How the platform spells things is behind [`dialect`].

pub mod attempt;
pub mod catalog;
pub mod clock;
pub mod control;
pub mod dialect;
pub mod directory;
pub mod endpoint;
pub mod event_stream;
pub mod forward;
pub mod gossip;
pub mod http_client;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peer_sync;
pub mod prelude;
pub mod relay;
pub mod request_handler;
pub mod response;
pub mod server;
pub mod settings;
pub mod store;
