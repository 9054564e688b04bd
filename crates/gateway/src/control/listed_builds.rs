//! Which software versions of a service's endpoints were listed recently.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::clock::Millis;
use crate::endpoint::Endpoint;

/// Software versions that are no longer listed, and how far back this is complete.
#[derive(Debug, Default)]
pub struct ListedBuilds {
    complete_since: Option<Millis>,
    /// When an endpoint was last listed, by service and software version.
    dropped: BTreeMap<(Arc<str>, Arc<str>), Millis>,
}

impl ListedBuilds {
    /// Records that all entries were read.
    pub fn entries_read(&mut self, now: Millis) {
        self.complete_since.get_or_insert(now);
    }

    /// Records that entries may have come and gone unnoticed until now.
    pub fn interrupted(&mut self, now: Millis) {
        if let Some(since) = &mut self.complete_since {
            *since = now;
        }
    }

    /// Records that an endpoint is no longer listed.
    pub fn endpoint_dropped(&mut self, endpoint: &Endpoint, now: Millis) {
        let version = (endpoint.service.clone(), endpoint.build.clone());
        self.dropped.insert(version, now);
    }

    /// Forgets the versions that were last listed before a time.
    pub fn forget_before(&mut self, time: Millis) {
        self.dropped.retain(|_, dropped_at| *dropped_at >= time);
    }

    /// Returns the only version of the service that was listed since a time; none if
    /// there were several or this is not known.
    pub fn sole_build<'a>(
        &self,
        service: &str,
        listed: impl Iterator<Item = &'a Endpoint>,
        since: Millis,
    ) -> Option<Arc<str>> {
        if self.complete_since.is_none_or(|complete| complete > since) {
            return None;
        }
        let dropped = self
            .dropped
            .iter()
            .filter(|((name, _), dropped_at)| &**name == service && **dropped_at >= since)
            .map(|((_, build), _)| build);
        let mut builds: BTreeSet<&Arc<str>> = listed
            .filter(|endpoint| &*endpoint.service == service)
            .map(|endpoint| &endpoint.build)
            .chain(dropped)
            .collect();
        let first = builds.pop_first()?.clone();
        builds.is_empty().then_some(first)
    }
}
