//! Which software versions of a service's endpoints were listed recently.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use flamingolock_wire::gossip::{BuildHistory, ListedBuild};

use crate::clock::Millis;
use crate::endpoint::Endpoint;

/// Time in ms for which at least an endpoint stays listed.
const MIN_LISTED_MS: Millis = 3_000;

/// Software versions that were listed, and how far back this is complete.
#[derive(Debug, Default)]
pub struct ListedBuilds {
    complete_since: Option<Millis>,
    /// Time up to which this is complete.
    complete_until: Option<Millis>,
    /// When an endpoint was last seen to be listed, by service and software version.
    /// Those that are listed now may be missing.
    seen: BTreeMap<(Arc<str>, Arc<str>), Millis>,
}

impl ListedBuilds {
    /// Records that all entries were read, `unread_ms` after this node's copy was last
    /// current; none if it never was. Then the versions are known up to when another node,
    /// or the record, told them.
    pub fn entries_read(&mut self, unread_ms: Option<Millis>, now: Millis) {
        let untold_ms = self.complete_until.map(|at| now.saturating_sub(at));
        let gap_ms = unread_ms.or(untold_ms);
        if gap_ms.is_some_and(|gap| gap > MIN_LISTED_MS) {
            self.complete_since = Some(now);
        }
        self.complete_since.get_or_insert(now);
        self.extend_until(now);
    }

    fn extend_until(&mut self, time: Millis) {
        self.complete_until = self.complete_until.max(Some(time));
    }

    /// Records that an endpoint is no longer listed.
    pub fn endpoint_dropped(&mut self, endpoint: &Endpoint, now: Millis) {
        self.saw(endpoint.service.clone(), endpoint.build.clone(), now);
    }

    fn saw(&mut self, service: Arc<str>, build: Arc<str>, at: Millis) {
        let last = self.seen.entry((service, build)).or_insert(at);
        *last = at.max(*last);
    }

    /// Adds what another node saw.
    pub fn learn(&mut self, history: &BuildHistory, now: Millis) {
        for listed in &history.builds {
            let at = now.saturating_sub(listed.age_ms);
            self.saw(
                listed.service.as_str().into(),
                listed.build.as_str().into(),
                at,
            );
        }
        if history.complete_ms == 0 {
            return;
        }
        let since = now.saturating_sub(history.complete_ms);
        let own = self.complete_since.unwrap_or(since);
        self.complete_since = Some(own.min(since));
        self.extend_until(now);
    }

    /// Returns what this node saw, for another node; none if it has read no entries. Unless its
    /// copy of the entries is current, other versions may have been listed since.
    pub fn history<'a>(
        &self,
        listed: impl Iterator<Item = &'a Endpoint>,
        is_current: bool,
        now: Millis,
    ) -> Option<BuildHistory> {
        let since = self.complete_since?;
        let mut seen = self.seen.clone();
        for endpoint in listed {
            seen.insert((endpoint.service.clone(), endpoint.build.clone()), now);
        }
        let listed = |((service, build), at): ((Arc<str>, Arc<str>), Millis)| ListedBuild {
            service: service.to_string(),
            build: build.to_string(),
            age_ms: now.saturating_sub(at),
        };
        Some(BuildHistory {
            builds: seen.into_iter().map(listed).collect(),
            complete_ms: if is_current {
                now.saturating_sub(since)
            } else {
                0
            },
            ..BuildHistory::default()
        })
    }

    /// Adds what the nodes recorded before all of them ended. The record names every
    /// version that may have begun a stream.
    pub fn recover(&mut self, recorded: &BuildHistory, now: Millis) {
        for listed in &recorded.builds {
            self.saw(
                listed.service.as_str().into(),
                listed.build.as_str().into(),
                now,
            );
        }
        self.complete_since = Some(0);
        self.extend_until(now);
    }

    /// Forgets the versions that were last listed before a time.
    pub fn forget_before(&mut self, time: Millis) {
        self.seen.retain(|_, at| *at >= time);
    }

    /// Returns which versions of the service were listed since a time.
    pub fn served<'a>(
        &self,
        service: &str,
        listed: impl Iterator<Item = &'a Endpoint>,
        since: Millis,
    ) -> ServedBuilds {
        let seen = self
            .seen
            .iter()
            .filter(|((name, _), at)| &**name == service && **at >= since)
            .map(|((_, build), _)| build.clone());
        let builds = listed
            .filter(|endpoint| &*endpoint.service == service)
            .map(|endpoint| endpoint.build.clone())
            .chain(seen)
            .collect();
        ServedBuilds {
            builds,
            is_complete: self
                .complete_since
                .is_some_and(|complete| complete <= since),
            complete_since: self.complete_since,
        }
    }
}

/// Software versions of a service that were listed since a time.
#[derive(Debug)]
pub struct ServedBuilds {
    /// Those that this node knows of.
    pub builds: BTreeSet<Arc<str>>,
    /// True if there were no others.
    pub is_complete: bool,
    /// Time from which on this node knows all of them.
    pub complete_since: Option<Millis>,
}

impl ServedBuilds {
    /// Returns the only version; none if there were several or this is not known.
    pub fn sole(&self) -> Option<&Arc<str>> {
        let first = self.builds.first().filter(|_| self.builds.len() == 1);
        first.filter(|_| self.is_complete)
    }
}
