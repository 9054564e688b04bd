//! Workspaces, and which of them share cached prompt parts.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// A customer, identified by API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that is sent to endpoints.
    pub name: String,
    /// Priority that overrides the route's, if set.
    pub priority: Option<u8>,
    /// True if no KV cache may be shared with other workspaces.
    pub isolated: bool,
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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspaces {
    by_name: BTreeMap<String, Arc<Workspace>>,
    isolation_key: u64,
}

impl Workspaces {
    /// Number of workspaces that are isolated.
    pub fn isolated_count(&self) -> usize {
        self.isolated().count()
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
