//! Types that nearly every module needs.

pub use crate::catalog::{Catalog, RequestKind, Route, Service, ServiceKind};
pub use crate::clock::{Millis, now};
pub use crate::dialect::Dialect;
pub use crate::endpoint::{Endpoint, EndpointKey};
