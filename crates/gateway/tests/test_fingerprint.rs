//! Fingerprints of requests.

use bytes::Bytes;
use flamingolock_gateway::dialect::PromptPart;
use flamingolock_gateway::fingerprint::{Content, Fingerprints};
use flamingolock_gateway::payload::Payload;
use http::Method;
use http::uri::PathAndQuery;

const PARTS: [PromptPart; 2] = [
    PromptPart { id: 1, tokens: 10 },
    PromptPart { id: 2, tokens: 5 },
];

/// Fields of a request, in the order of method, host, target, workspace and body.
type Fields = (
    Method,
    &'static str,
    &'static str,
    Option<&'static str>,
    &'static str,
);

const FIELDS: Fields = (Method::POST, "a.example", "/a/b?c=d", Some("w"), "the body");

fn fingerprints(fields: &Fields, parts: &[PromptPart]) -> Fingerprints {
    let (method, host, target, workspace, body) = fields;
    Fingerprints::of(&Content {
        method,
        host,
        target: &PathAndQuery::from_static(target),
        workspace: *workspace,
        body: &Payload::from(Bytes::from_static(body.as_bytes())),
        model: Some("m"),
        parts,
    })
}

#[test]
fn repeats_have_the_same_fingerprints_and_other_requests_have_not() {
    let own = fingerprints(&FIELDS, &PARTS);
    assert_eq!(own, fingerprints(&FIELDS, &PARTS));
    let (method, host, target, workspace, body) = FIELDS;
    let others: [Fields; 6] = [
        (Method::GET, host, target, workspace, body),
        (method.clone(), "b.example", target, workspace, body),
        (method.clone(), host, "/a/b?c=e", workspace, body),
        (method.clone(), host, target, Some("x"), body),
        (method.clone(), host, target, None, body),
        (method, host, target, workspace, "the bodz"),
    ];
    for other in others {
        let other = fingerprints(&other, &PARTS);
        assert_ne!(own.request, other.request);
        assert_ne!(own.prompt, other.prompt);
    }
}

#[test]
fn prompts_tell_requests_apart_that_agree_in_all_else() {
    let own = fingerprints(&FIELDS, &PARTS);
    let other = fingerprints(&FIELDS, &PARTS[..1]);
    assert_eq!(own.request, other.request);
    assert_ne!(own.prompt, other.prompt);
}
