//! Reasons why a request is not assigned to an endpoint.

use crate::clock::Millis;
use crate::control::handovers::OtherNode;

/// Reason why a request was not assigned to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This node is cut off from the service, and this other one is not.
    AtOtherNode(OtherNode),
    /// This node is cut off from the service, and no other one can take the request.
    CutOff {
        /// When the caller may return.
        until: Millis,
    },
    /// No endpoint of the service is known.
    NoEndpoint,
    /// Every endpoint is loading weights or has outdated ones.
    AllReloading,
    /// Every endpoint has asked for a pause, the first one until this time.
    AllPaused {
        /// End of the pause.
        until: Millis,
    },
    /// Every endpoint has a limit of requests that is used up.
    AllLimited {
        /// When the caller may return.
        until: Millis,
    },
    /// Every endpoint has so many requests queued that this one would be late.
    Overloaded {
        /// When the caller may return.
        until: Millis,
        /// Queue at the best endpoint, in ms.
        queue_ms: u64,
    },
    /// The workspace has used up its quota.
    OverQuota {
        /// When the caller may return.
        until: Millis,
    },
    /// No owner of the workspace's quota answered.
    NoQuotaOwner {
        /// When the caller may return.
        until: Millis,
    },
    /// No engine has memory for the request.
    NoMemory {
        /// When memory is expected to be free.
        until: Millis,
    },
    /// The request needs more memory than any engine of its service has.
    ExceedsMemory,
    /// The retry budget is exhausted.
    Budget,
    /// The request resumes a stream, several software versions serve or did so recently,
    /// and it is not known which of them began the stream.
    UnknownBuild,
    /// A prompt part of the request crashes engines.
    StoppedPart {
        /// Earliest time at which the part may be tried again.
        until: Millis,
    },
    /// The request crashes endpoints.
    StoppedRequest {
        /// When its caller may return; none if it must not.
        until: Option<Millis>,
    },
}

impl Refusal {
    /// When the caller may return, if that is known.
    pub fn until(self) -> Option<Millis> {
        match self {
            Self::AllPaused { until }
            | Self::AllLimited { until }
            | Self::Overloaded { until, .. }
            | Self::NoMemory { until }
            | Self::CutOff { until }
            | Self::OverQuota { until }
            | Self::NoQuotaOwner { until }
            | Self::StoppedPart { until } => Some(until),
            Self::StoppedRequest { until } => until,
            Self::AtOtherNode(_)
            | Self::NoEndpoint
            | Self::AllReloading
            | Self::ExceedsMemory
            | Self::Budget
            | Self::UnknownBuild => None,
        }
    }

    /// Label used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AtOtherNode(_) => "at_other_node",
            Self::CutOff { .. } => "cut_off",
            Self::NoEndpoint => "no_endpoint",
            Self::AllReloading => "all_reloading",
            Self::AllPaused { .. } => "all_paused",
            Self::AllLimited { .. } => "all_limited",
            Self::Overloaded { .. } => "overloaded",
            Self::OverQuota { .. } => "over_quota",
            Self::NoQuotaOwner { .. } => "no_quota_owner",
            Self::NoMemory { .. } => "no_memory",
            Self::ExceedsMemory => "exceeds_memory",
            Self::Budget => "budget",
            Self::UnknownBuild => "unknown_build",
            Self::StoppedPart { .. } => "stopped_part",
            Self::StoppedRequest { .. } => "stopped_request",
        }
    }
}
