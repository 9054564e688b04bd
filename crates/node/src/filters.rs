//! The filter chain of a request: authenticate, classify, admit, relay.
//!
//! Each filter takes the result of the previous one and returns either the input of
//! the next or the final error of the request.

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

/// Context that all requests share; cheap to clone.
#[derive(Clone)]
pub struct TrafficContext {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// Latest view that the control thread published.
    pub view: SharedView,
    /// Client for engines and services.
    pub http: EndpointClient,
    /// Event channel of the control thread.
    pub events: Sender<Event>,
    /// Name and incarnation of this node.
    pub node: NodeIncarnation,
    /// Keys that sign entry tokens.
    pub keys: Arc<FleetKeys>,
    /// Becomes true when the node aborts the streams in progress.
    pub abort_signal: watch::Receiver<bool>,
    /// Log of routing decisions.
    pub decisions: Arc<DecisionLog>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
}
