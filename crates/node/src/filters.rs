//! The filter chain of a request: authenticate, classify, admit, relay.
//!
//! Each filter takes what the one before it found out and returns either the
//! input of the next or the final error.

pub mod authenticate;
pub mod classify;
pub mod completion;
pub mod limit;
pub mod service_call;

use std::sync::Arc;

use crossbeam::channel::Sender;
use flamingolock_core::entry_token::FleetKeys;
use flamingolock_core::record::NodeIncarnation;
use tokio::sync::watch;

use crate::control::Event;
use crate::decisions::DecisionLog;
use crate::endpoint_client::EndpointClient;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::view::SharedView;

/// What every request needs; cheap to clone.
#[derive(Clone)]
pub struct TrafficContext {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// Newest published view.
    pub view: SharedView,
    /// Client for engines and services.
    pub http: EndpointClient,
    /// Way to the control thread.
    pub events: Sender<Event>,
    /// This life of the node.
    pub node: NodeIncarnation,
    /// Keys that sign entry tokens.
    pub keys: Arc<FleetKeys>,
    /// Turns true when streams in progress have to end.
    pub abort_signal: watch::Receiver<bool>,
    /// Where decisions are recorded.
    pub decisions: Arc<DecisionLog>,
    /// Where requests are counted.
    pub metrics: Arc<Metrics>,
}
