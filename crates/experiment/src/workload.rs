//! Generation of loads from a seed.

use flamingolock_core::manifest::{Manifest, Model, RequestKind, Service, Target, Workspace};
use flamingolock_core::prefix::BYTES_PER_TOKEN;
use flamingolock_core::prelude::*;
use flamingolock_node::filters::authenticate::key_hash;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Model that all workloads use.
pub const MODEL: &str = "planner";

/// Service that handles all calls.
pub const SERVICE: &str = "orders";

/// Version of the weights that engines serve at the start.
pub const WEIGHTS: &str = "v1";

/// Load of one workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceLoad {
    /// Name.
    pub id: WorkspaceId,
    /// Weight in the fair sharing of engine time.
    pub weight: f64,
    /// Requests per second.
    pub rate: f64,
    /// Number of tenant documents, the second level of prompts.
    pub documents: usize,
    /// Number of surveys or tooling sheets per document, the third level of prompts.
    pub sheets: usize,
    /// Fraction of requests that always use the first sheet of the first document.
    pub hot_share: f64,
}

/// Load of one request kind.
#[derive(Clone, Debug)]
pub struct KindLoad {
    /// Name.
    pub name: KindName,
    /// Definition in the manifest.
    pub kind: RequestKind,
    /// Relative share of all requests.
    pub share: f64,
    /// Tokens of the common preamble, the document, the sheet and the question.
    pub level_tokens: [usize; 4],
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

/// Load of a fleet.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Workspaces.
    pub workspaces: Vec<WorkspaceLoad>,
    /// Request kinds.
    pub kinds: Vec<KindLoad>,
    /// Additional cost of a recomputed token.
    pub recompute_price: f64,
}

/// Content of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A completion.
    Completion {
        /// Prompt to complete.
        prompt: String,
        /// Tokens of the answer.
        answer_tokens: u32,
    },
    /// A call of a service.
    Call {
        /// Body, unique within the load.
        body: String,
        /// True if the call must not be executed more than once.
        at_most_once: bool,
    },
}

/// One request of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Arrival time, relative to the start of the load.
    pub at: Millis,
    /// Sequence number within the load.
    pub number: u64,
    /// Workspace that sends the request.
    pub workspace: WorkspaceId,
    /// Request kind.
    pub kind: KindName,
    /// Content of the request.
    pub work: Work,
}

/// Returns the API key that the callers of a workspace send.
pub fn workspace_key(workspace: &WorkspaceId) -> String {
    format!("key-{workspace}")
}

impl Profile {
    /// Returns a load for the demo: scaled-down request kinds of both users, Qasr and
    /// Kalup, at `rate` requests per second.
    pub fn mixed(rate: f64) -> Self {
        let mut workspaces = Vec::new();
        let shares = [0.30, 0.22, 0.14, 0.10, 0.08, 0.07, 0.05, 0.04];
        for (index, share) in shares.iter().enumerate() {
            workspaces.push(WorkspaceLoad {
                id: WorkspaceId::from(format!("workspace-{}", index + 1)),
                weight: 1.0,
                rate: rate * share,
                documents: 3,
                sheets: 4,
                hot_share: 0.3,
            });
        }
        let kinds = vec![
            completion_kind("survey-review", 5, 0.35, [256, 768, 512, 48], 24, 20_000),
            completion_kind("press-schedule", 5, 0.20, [256, 1024, 512, 48], 32, 20_000),
            completion_kind("part-tag", 8, 0.20, [256, 256, 0, 32], 4, 10_000),
            call_kind("order-booking", false, 0.15),
            call_kind("job-lookup", true, 0.10),
        ];
        Self {
            workspaces,
            kinds,
            recompute_price: 0.5,
        }
    }

    /// Returns the manifest for this load.
    pub fn manifest(&self) -> Manifest {
        let mut manifest = Manifest::default();
        for load in &self.workspaces {
            let workspace = Workspace {
                weight: load.weight,
                key_hashes: vec![key_hash(&workspace_key(&load.id))],
                request_rate: None,
                max_inflight: None,
            };
            manifest.workspaces.insert(load.id.clone(), workspace);
        }
        for load in &self.kinds {
            manifest.kinds.insert(load.name.clone(), load.kind.clone());
        }
        let model = Model {
            weights: WeightsVersion::from(WEIGHTS),
            adapters: Vec::new(),
            recompute_price: self.recompute_price,
        };
        manifest.models.insert(ModelName::from(MODEL), model);
        manifest
            .services
            .insert(ServiceName::from(SERVICE), Service::default());
        manifest
    }

    /// Returns the requests of `seconds` seconds in order of their arrival. The same seed
    /// results in the same requests.
    pub fn arrivals(&self, seconds: f64, seed: u64) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (index, load) in self.workspaces.iter().enumerate() {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
            let mut at = 0.0;
            loop {
                // Exponentially distributed gaps result in a Poisson process.
                at += -(1.0 - rng.random::<f64>()).ln() / load.rate.max(1e-9);
                if at >= seconds {
                    break;
                }
                arrivals.push(self.arrival(load, Millis((at * 1000.0) as u64), &mut rng));
            }
        }
        arrivals.sort_by(|a, b| (a.at, &a.workspace).cmp(&(b.at, &b.workspace)));
        for (number, arrival) in arrivals.iter_mut().enumerate() {
            arrival.number = number as u64;
        }
        arrivals
    }

    fn arrival(&self, load: &WorkspaceLoad, at: Millis, rng: &mut ChaCha8Rng) -> Arrival {
        let kind = self.choose_kind(rng);
        let nonce: u64 = rng.random();
        let work = match &kind.kind.target {
            Target::Service(_) => Work::Call {
                body: format!("{{\"order\":\"{}-{nonce:016x}\"}}", load.id),
                at_most_once: !kind.kind.repeatable,
            },
            Target::Model(_) => {
                let (document, sheet) = choose_sheet(load, rng);
                let prompt = prompt(&load.id, kind, document, sheet, nonce);
                Work::Completion {
                    prompt,
                    answer_tokens: kind.answer_tokens,
                }
            }
        };
        Arrival {
            at,
            number: 0,
            workspace: load.id.clone(),
            kind: kind.name.clone(),
            work,
        }
    }

    fn choose_kind(&self, rng: &mut ChaCha8Rng) -> &KindLoad {
        let total: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        let mut remaining = rng.random::<f64>() * total;
        for kind in &self.kinds {
            remaining -= kind.share;
            if remaining < 0.0 {
                return kind;
            }
        }
        &self.kinds[self.kinds.len() - 1]
    }
}

/// Returns a request kind that targets the model.
pub fn completion_kind(
    name: &str,
    priority: u8,
    share: f64,
    level_tokens: [usize; 4],
    answer_tokens: u32,
    deadline_ms: u64,
) -> KindLoad {
    let kind = RequestKind {
        target: Target::Model(ModelName::from(MODEL)),
        priority,
        deadline_ms,
        repeatable: true,
    };
    KindLoad {
        name: KindName::from(name),
        kind,
        share,
        level_tokens,
        answer_tokens,
    }
}

/// Returns a request kind that targets the service.
pub fn call_kind(name: &str, repeatable: bool, share: f64) -> KindLoad {
    let kind = RequestKind {
        target: Target::Service(ServiceName::from(SERVICE)),
        priority: 5,
        deadline_ms: 5_000,
        repeatable,
    };
    KindLoad {
        name: KindName::from(name),
        kind,
        share,
        level_tokens: [0; 4],
        answer_tokens: 0,
    }
}

fn choose_sheet(load: &WorkspaceLoad, rng: &mut ChaCha8Rng) -> (usize, usize) {
    if rng.random::<f64>() < load.hot_share {
        return (0, 0);
    }
    let document = rng.random_range(0..load.documents.max(1));
    let sheet = rng.random_range(0..load.sheets.max(1));
    (document, sheet)
}

fn prompt(
    workspace: &WorkspaceId,
    kind: &KindLoad,
    document: usize,
    sheet: usize,
    nonce: u64,
) -> String {
    let [preamble, tenant, leaf, question] = kind.level_tokens;
    let mut text = String::new();
    append_text(&mut text, &format!("preamble of {}", kind.name), preamble);
    append_text(
        &mut text,
        &format!("{workspace} document {document}"),
        tenant,
    );
    append_text(
        &mut text,
        &format!("{workspace} document {document} sheet {sheet}"),
        leaf,
    );
    append_text(&mut text, &format!("question {nonce:016x}"), question);
    text
}

/// Appends `tokens` tokens of text that is specific to `label`.
fn append_text(text: &mut String, label: &str, tokens: usize) {
    let mut remaining = tokens * BYTES_PER_TOKEN;
    let mut line = 0;
    while remaining > 0 {
        let piece = format!("{label}, line {line}. ");
        let take = piece.len().min(remaining);
        text.push_str(&piece[..take]);
        remaining -= take;
        line += 1;
    }
}
