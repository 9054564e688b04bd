//! Workspaces, and which of them share cached prompt parts.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and the largest number of those of the answer.
    Tokens {
        /// Cost of a request that does not state its tokens.
        plain: u32,
    },
}

/// Limit of what a workspace's requests may cost, over all nodes together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Cost units a second; more than 0.
    pub per_second: f64,
    /// Cost units in addition to that.
    pub burst: f64,
}

impl Quota {
    /// Most cost units that one of `slots` buckets holds while all nodes are heard: its part of
    /// the burst and, in tokens, of the slack of the bound, so that a small burst does not shut
    /// out large requests.
    pub fn capacity(&self, slots: u32, slack: f64) -> f64 {
        let part = self.burst / f64::from(slots);
        match self.unit {
            QuotaUnit::Requests => part.max(1.0),
            QuotaUnit::Tokens { .. } => part + slack / f64::from(slots),
        }
    }

    /// Returns the cost of a request with this many tokens in its prompt and its answer; both
    /// are 0 if it does not state them. No request is free, as their number would have no
    /// limit.
    pub fn cost(&self, prompt_tokens: u32, output_tokens: u32) -> u32 {
        let cost = match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => match prompt_tokens.saturating_add(output_tokens) {
                0 => plain,
                tokens => tokens,
            },
        };
        cost.max(1)
    }
}

/// A customer, identified by API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that is sent to endpoints.
    pub name: String,
    /// Priority that overrides the route's, if set.
    pub priority: Option<u8>,
    /// True if no KV cache may be shared with other workspaces.
    pub isolated: bool,
    /// Limit of its requests; none if there is no limit.
    #[serde(default)]
    pub quota: Option<Quota>,
}

/// With whom a request shares cached prompt parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing<'a> {
    /// With the requests of all workspaces that are not isolated, under a configuration in
    /// which the same ones are isolated.
    Common {
        /// Identifies the set of isolated workspaces; 0 if it is empty.
        isolation_key: u64,
    },
    /// With the requests of this workspace alone.
    Alone(&'a str),
}

/// Workspaces by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspaces {
    by_name: BTreeMap<String, Arc<Workspace>>,
    isolation_key: u64,
}

impl Workspaces {
    /// Number of workspaces that are isolated.
    pub fn isolated_count(&self) -> usize {
        self.isolated().count()
    }

    /// Returns the quota of a workspace, if it has one.
    pub fn quota_of(&self, workspace: &str) -> Option<&Quota> {
        self.by_name.get(workspace)?.quota.as_ref()
    }

    /// Returns the quotas with the names of their workspaces.
    pub fn quotas(&self) -> impl Iterator<Item = (&str, &Quota)> {
        let workspaces = self.by_name.values();
        workspaces.filter_map(|workspace| Some((&*workspace.name, workspace.quota.as_ref()?)))
    }

    fn isolated(&self) -> impl Iterator<Item = &str> {
        let isolated = self.by_name.values().filter(|workspace| workspace.isolated);
        isolated.map(|workspace| workspace.name.as_str())
    }

    /// Returns with whom a workspace's requests share cached parts; `workspace` is none for
    /// requests of no workspace. One that is not listed shares them with nobody, as it may
    /// have been isolated.
    ///
    /// A workspace that becomes isolated leaves the parts of its earlier requests behind, and
    /// the others those that it has used. So the common parts belong to one set of isolated
    /// workspaces. This follows from the configuration alone: a node that has just started
    /// knows no earlier one.
    pub fn sharing<'a>(&self, workspace: Option<&'a str>) -> Sharing<'a> {
        let known = workspace.map(|name| (name, self.by_name.get(name)));
        match known {
            None => self.common(),
            Some((_, Some(workspace))) if !workspace.isolated => self.common(),
            Some((name, _)) => Sharing::Alone(name),
        }
    }

    fn common(&self) -> Sharing<'static> {
        Sharing::Common {
            isolation_key: self.isolation_key,
        }
    }
}

impl FromIterator<Arc<Workspace>> for Workspaces {
    fn from_iter<I: IntoIterator<Item = Arc<Workspace>>>(workspaces: I) -> Self {
        let named = workspaces
            .into_iter()
            .map(|workspace| (workspace.name.clone(), workspace));
        let mut workspaces = Self {
            by_name: named.collect(),
            isolation_key: 0,
        };
        workspaces.isolation_key = set_key(workspaces.isolated());
        workspaces
    }
}

/// Hash of a sorted set of names; 0 if it is empty.
fn set_key<'a>(names: impl Iterator<Item = &'a str>) -> u64 {
    let mut names = names.peekable();
    if names.peek().is_none() {
        return 0;
    }
    let mut hash = Xxh3::new();
    for name in names {
        // The length keeps one long name apart from two short ones.
        hash.update(&(name.len() as u64).to_be_bytes());
        hash.update(name.as_bytes());
    }
    hash.digest()
}
