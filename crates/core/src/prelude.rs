//! Types that nearly every module uses.

pub use crate::ids::{
    EngineId, Incarnation, InstanceId, KindName, Millis, ModelName, Offset, RequestId, ServiceName,
    WeightsVersion, WorkspaceId, Zone,
};
pub use crate::prefix::{BlockHash, PrefixChain, PrefixSeed};
