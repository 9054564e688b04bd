//! What identifies a request that comes again: its id differs with each attempt of a caller.

use http::Method;
use http::uri::PathAndQuery;
use xxhash_rust::xxh3::Xxh3;

use crate::dialect::PromptPart;
use crate::payload::Payload;

/// Content of a request that its repeats have in common.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Host that it was sent to.
    pub host: &'a str,
    /// Path with the query.
    pub target: &'a PathAndQuery,
    /// Name of the caller's workspace, if it has one.
    pub workspace: Option<&'a str>,
    /// The body.
    pub body: &'a Payload,
    /// Model that it asks for.
    pub model: Option<&'a str>,
    /// Parts of its prompt.
    pub parts: &'a [PromptPart],
}

/// Fingerprints of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// Of method, host, path, caller and body.
    pub request: u64,
    /// The same with the prompt, if it has one: requests with other prompts may agree in
    /// all else.
    pub prompt: Option<u64>,
}

impl Fingerprints {
    /// Fingerprints of a request with this content.
    pub fn of(content: &Content) -> Self {
        let mut hash = Xxh3::new();
        let mut add = |field: &[u8]| {
            // With its length, so that bytes cannot move from one field to the next.
            hash.update(&field.len().to_be_bytes());
            hash.update(field);
        };
        add(content.method.as_str().as_bytes());
        add(content.host.as_bytes());
        add(content.target.as_str().as_bytes());
        add(&[u8::from(content.workspace.is_some())]);
        add(content.workspace.unwrap_or_default().as_bytes());
        hash.update(&content.body.len().to_be_bytes());
        for part in content.body.parts() {
            hash.update(part);
        }
        let request = hash.digest();
        let prompt = content.model.map(|model| {
            hash.update(model.as_bytes());
            for part in content.parts {
                hash.update(&part.id.to_be_bytes());
            }
            hash.digest()
        });
        Self { request, prompt }
    }

    /// All of them.
    pub fn ids(&self) -> Vec<u64> {
        [Some(self.request), self.prompt]
            .into_iter()
            .flatten()
            .collect()
    }
}
