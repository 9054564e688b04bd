//! Compatibility with client libraries of the API: accepted request fields, and the
//! fields of responses and stream events.

use std::net::SocketAddr;

use flamingolock_experiment::workload::{MODEL, Profile, WEIGHTS, workspace_key};
use flamingolock_testutils::fleet::{ProcessFleet, Programs};
use flamingolock_testutils::http::{EventReader, HttpResponse, call, request};
use serde_json::{Value, json};

const TEXT: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";

struct Fixture {
    _fleet: ProcessFleet,
    bearer: String,
    entry: SocketAddr,
}

fn fixture() -> Fixture {
    let mut fleet = ProcessFleet::start(Programs::new(
        env!("CARGO_BIN_EXE_flamingolock"),
        env!("CARGO_BIN_EXE_flamingoctl"),
    ));
    let model = format!("model=\"{MODEL}\"");
    let weights = format!("weights=\"{WEIGHTS}\"");
    fleet.add_engine("engine-1", &[&model, &weights, "decode_ms=1.0"]);
    fleet.add_node("entry-1", &[]);
    let profile = Profile::mixed(10.0);
    let mut manifest = profile.manifest();
    for workspace in manifest.workspaces.values_mut() {
        workspace.request_rate = None;
        workspace.max_inflight = None;
    }
    fleet.publish_manifest(&manifest);
    let key = workspace_key(&profile.workspaces[0].id);
    fleet.wait_serving("entry-1", &key, MODEL);
    Fixture {
        entry: fleet.nodes["entry-1"].address,
        bearer: format!("Bearer {key}"),
        _fleet: fleet,
    }
}

impl Fixture {
    fn send(&self, method: &str, path: &str, body: &str) -> HttpResponse {
        let headers = [
            ("authorization", self.bearer.as_str()),
            ("content-type", "application/json"),
            ("user-agent", "client-library/1.0"),
        ];
        call(self.entry, method, path, &headers, body)
    }

    fn post(&self, path: &str, body: &Value) -> HttpResponse {
        self.send("POST", path, &body.to_string())
    }

    /// Returns all events of a stream before the last, which must be `[DONE]`.
    fn events(&self, path: &str, body: &Value) -> Vec<Value> {
        let headers = [("authorization", self.bearer.as_str())];
        let text = request("POST", path, &headers, &body.to_string());
        let mut reader = EventReader::open(self.entry, &text);
        let mut events = Vec::new();
        while let Some(data) = reader.next_data() {
            if data == "[DONE]" {
                assert_eq!(reader.next_data(), None, "event after [DONE]");
                return events;
            }
            events.push(serde_json::from_str(&data).expect("each event is JSON"));
        }
        panic!("stream ended without [DONE] after {events:?}");
    }
}

fn text_body(more: &Value) -> Value {
    merge(
        json!({ "model": MODEL, "prompt": "why?", "max_tokens": 3 }),
        more,
    )
}

fn chat_body(more: &Value) -> Value {
    let messages = json!([
        { "role": "system", "content": "Be brief." },
        { "role": "user", "content": [{ "type": "text", "text": "why?" }] },
    ]);
    merge(
        json!({ "model": MODEL, "messages": messages, "max_tokens": 3 }),
        more,
    )
}

fn merge(mut body: Value, more: &Value) -> Value {
    for (name, value) in more.as_object().expect("an object") {
        body[name] = value.clone();
    }
    body
}

#[test]
fn whole_answers_have_every_field_that_clients_read() {
    let fixture = fixture();
    let answer = fixture.post(TEXT, &text_body(&json!({})));
    assert_eq!(answer.headers["content-type"], "application/json");
    let text = answer.json();
    assert_eq!(text["object"], "text_completion", "{text}");
    assert!(text["choices"][0]["text"].is_string(), "{text}");
    let chat = fixture.post(CHAT, &chat_body(&json!({}))).json();
    assert_eq!(chat["object"], "chat.completion", "{chat}");
    assert_eq!(chat["choices"][0]["message"]["role"], "assistant", "{chat}");
    assert!(chat["choices"][0]["message"]["content"].is_string());
    for answer in [text, chat] {
        assert!(answer["id"].is_string(), "{answer}");
        assert!(answer["created"].as_u64() > Some(0), "{answer}");
        assert_eq!(answer["model"], MODEL, "{answer}");
        assert_eq!(answer["choices"].as_array().map(Vec::len), Some(1));
        assert_eq!(answer["choices"][0]["index"], 0, "{answer}");
        assert_eq!(answer["choices"][0]["finish_reason"], "length", "{answer}");
        let usage = &answer["usage"];
        assert_eq!(usage["completion_tokens"], 3, "{answer}");
        let prompt = usage["prompt_tokens"].as_u64().expect("a number");
        assert!(prompt > 0, "{answer}");
        assert_eq!(usage["total_tokens"], prompt + 3, "{answer}");
    }
}

#[test]
fn streams_tell_the_usage_in_an_own_event_when_asked() {
    let fixture = fixture();
    for (path, body) in [(TEXT, text_body(&json!({}))), (CHAT, chat_body(&json!({})))] {
        let plain = fixture.events(path, &merge(body.clone(), &json!({ "stream": true })));
        assert!(plain.iter().all(|event| event["choices"][0]["index"] == 0));
        let options = json!({ "stream": true, "stream_options": { "include_usage": true } });
        let events = fixture.events(path, &merge(body, &options));
        assert_eq!(events.len(), plain.len() + 1, "{events:?}");
        let (last, before) = events.split_last().expect("there are events");
        assert_eq!(last["choices"], json!([]), "{last}");
        assert_eq!(last["usage"]["completion_tokens"], 3, "{last}");
        let finish = &before[before.len() - 1]["choices"][0]["finish_reason"];
        assert_eq!(finish, "length");
        for event in &events {
            assert_eq!(event["id"], events[0]["id"]);
            assert_eq!(event["object"], events[0]["object"]);
        }
    }
}

#[test]
fn the_first_event_of_a_chat_names_the_role() {
    let fixture = fixture();
    let events = fixture.events(CHAT, &chat_body(&json!({ "stream": true })));
    assert_eq!(events[0]["choices"][0]["delta"]["role"], "assistant");
    let texts = events
        .iter()
        .filter(|event| event["choices"][0]["delta"]["content"].is_string())
        .count();
    assert_eq!(texts, 3, "{events:?}");
}

#[test]
fn common_fields_are_accepted_and_unsupported_ones_named() {
    let fixture = fixture();
    let accepted = json!({
        "temperature": 1, "top_p": 0.5, "seed": 7, "presence_penalty": 0,
        "frequency_penalty": 0.1, "logit_bias": { "50256": -100 }, "stop": ["\n", "END"],
        "n": 1, "user": "technician-7", "store": false, "stream": null,
        "stream_options": null, "metadata": {}, "parallel_tool_calls": true,
    });
    for (path, body) in [(TEXT, text_body(&accepted)), (CHAT, chat_body(&accepted))] {
        let answer = fixture.post(path, &body);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let image = json!([{ "role": "user", "content": [{ "type": "image_url" }] }]);
    let cases = [
        (TEXT, json!({ "prompt": ["a", "b"] }), "prompt"),
        (TEXT, json!({ "prompt": [1, 2] }), "prompt"),
        (TEXT, json!({ "n": 2 }), "n"),
        (TEXT, json!({ "best_of": 3 }), "best_of"),
        (TEXT, json!({ "echo": true }), "echo"),
        (TEXT, json!({ "suffix": "!" }), "suffix"),
        (TEXT, json!({ "logprobs": 5 }), "logprobs"),
        (TEXT, json!({ "max_tokens": 0 }), "max_tokens"),
        (TEXT, json!({ "stop": ["1", "2", "3", "4", "5"] }), "stop"),
        (CHAT, json!({ "n": 3 }), "n"),
        (CHAT, json!({ "logprobs": true }), "logprobs"),
        (CHAT, json!({ "tools": [{ "type": "function" }] }), "tools"),
        (CHAT, json!({ "functions": [{}] }), "functions"),
        (
            CHAT,
            json!({ "response_format": { "type": "json_object" } }),
            "response_format",
        ),
        (CHAT, json!({ "messages": [] }), "messages"),
        (CHAT, json!({ "messages": image }), "messages"),
    ];
    for (path, more, param) in cases {
        let body = if path == TEXT {
            text_body(&more)
        } else {
            chat_body(&more)
        };
        let answer = fixture.post(path, &body);
        assert_eq!(answer.status, 400, "{more}: {answer:?}");
        let error = &answer.json()["error"];
        assert_eq!(error["param"], param, "{error}");
        assert_eq!(error["type"], "invalid_request_error", "{error}");
        let message = error["message"].as_str().expect("a message");
        assert!(message.contains(param), "{error}");
    }
}

#[test]
fn models_and_other_methods_answer_as_expected() {
    let fixture = fixture();
    let list = fixture.send("GET", "/v1/models", "").json();
    assert_eq!(list["object"], "list", "{list}");
    assert_eq!(list["data"][0]["id"], MODEL, "{list}");
    let one = fixture
        .send("GET", &format!("/v1/models/{MODEL}"), "")
        .json();
    assert_eq!(one["object"], "model", "{one}");
    assert_eq!(fixture.send("GET", "/v1/models/none", "").status, 404);
    let without_key = call(fixture.entry, "GET", "/v1/models", &[], "");
    assert_eq!(without_key.status, 401);
    let head = fixture.send("HEAD", "/v1/models", "");
    assert_eq!((head.status, head.body.as_str()), (200, ""));
    let options = call(fixture.entry, "OPTIONS", TEXT, &[], "");
    assert_eq!((options.status, options.body.as_str()), (204, ""));
    assert_eq!(options.headers["allow"], "POST, OPTIONS");
    let wrong = fixture.send("GET", TEXT, "");
    assert_eq!(wrong.status, 405);
    assert_eq!(wrong.headers["allow"], "POST, OPTIONS");
}
