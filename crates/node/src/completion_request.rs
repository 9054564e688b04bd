//! Parses the bodies of completion requests in the format of the common
//! completions API.

use std::collections::BTreeMap;

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::api::ApiError;

/// Default limit on completion tokens.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

/// Largest limit on completion tokens that a caller may set.
const MAX_COMPLETION_TOKENS: u32 = 32_768;

/// Largest number of stop sequences in a request.
const MAX_STOP_SEQUENCES: usize = 4;

/// The fields of a completion request that the node uses.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// Text that the model completes.
    pub prompt: String,
    /// Limit on completion tokens.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the stream ends with an event that has the token usage.
    pub include_usage: bool,
    /// Text that the caller already received, when it resumes a stream.
    pub answer_so_far: Option<String>,
    /// Sampling parameters, forwarded to the engine.
    pub sampling: SamplingParams,
}

/// Sampling parameters of the engine, which the node forwards unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SamplingParams {
    /// Sampling temperature.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// Probability mass of nucleus sampling.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub top_p: Option<f64>,
    /// Seed of the engine's random number generator.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<i64>,
    /// Penalty on tokens that already occurred.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub presence_penalty: Option<f64>,
    /// Penalty on tokens in proportion to their number of occurrences.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub frequency_penalty: Option<f64>,
    /// Bias of individual tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub logit_bias: Option<BTreeMap<String, f64>>,
    /// Stop sequences.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stop: Option<Stop>,
}

/// One stop sequence or several.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Stop {
    /// A single stop sequence.
    One(String),
    /// A list of stop sequences.
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct TextBody {
    prompt: Prompt,
    #[serde(default)]
    best_of: Option<u32>,
    #[serde(default)]
    echo: Option<bool>,
    #[serde(default)]
    suffix: Option<String>,
    #[serde(default)]
    logprobs: Option<u32>,
    #[serde(flatten)]
    common: CommonFields,
}

#[derive(Deserialize)]
struct ChatBody {
    messages: Vec<Message>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    tools: Option<Vec<IgnoredAny>>,
    #[serde(default)]
    functions: Option<Vec<IgnoredAny>>,
    #[serde(default)]
    response_format: Option<ResponseFormat>,
    #[serde(default)]
    logprobs: Option<bool>,
    #[serde(flatten)]
    common: CommonFields,
}

/// Fields that text and chat requests share.
#[derive(Deserialize)]
struct CommonFields {
    model: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    answer_so_far: Option<String>,
    #[serde(flatten)]
    sampling: SamplingParams,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct ResponseFormat {
    #[serde(rename = "type")]
    kind: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    List(Vec<IgnoredAny>),
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    #[serde(rename = "type", default)]
    kind: String,
    #[serde(default)]
    text: String,
}

/// Parses the body of `POST /v1/completions`.
///
/// # Errors
///
/// Returns an error that names the malformed part or the unsupported field.
pub fn parse_text(body: &[u8]) -> Result<CompletionRequest, ApiError> {
    let parsed: TextBody = serde_json::from_slice(body).map_err(|error| invalid_json(&error))?;
    let prompt = match parsed.prompt {
        Prompt::Text(prompt) => prompt,
        Prompt::List(entries) => {
            let count = entries.len();
            let message = format!("`prompt` must be one string, not a list of {count}");
            return Err(unsupported("prompt", &message));
        }
    };
    reject_if(parsed.best_of.is_some_and(|best| best != 1), "best_of")?;
    reject_if(parsed.echo == Some(true), "echo")?;
    reject_if(parsed.suffix.is_some_and(|text| !text.is_empty()), "suffix")?;
    reject_if(parsed.logprobs.is_some(), "logprobs")?;
    parsed.common.into_request(prompt, None)
}

/// Parses the body of `POST /v1/chat/completions`.
///
/// # Errors
///
/// Returns an error that names the malformed part or the unsupported field.
pub fn parse_chat(body: &[u8]) -> Result<CompletionRequest, ApiError> {
    let parsed: ChatBody = serde_json::from_slice(body).map_err(|error| invalid_json(&error))?;
    if parsed.messages.is_empty() {
        let error = ApiError::invalid("bad_messages", "`messages` is empty");
        return Err(error.with_param("messages"));
    }
    reject_if(parsed.tools.is_some_and(|list| !list.is_empty()), "tools")?;
    reject_if(
        parsed.functions.is_some_and(|list| !list.is_empty()),
        "functions",
    )?;
    let format = parsed.response_format.map(|format| format.kind);
    reject_if(format.is_some_and(|kind| kind != "text"), "response_format")?;
    reject_if(parsed.logprobs == Some(true), "logprobs")?;
    let prompt = chat_prompt(&parsed.messages)?;
    parsed
        .common
        .into_request(prompt, parsed.max_completion_tokens)
}

impl CommonFields {
    fn into_request(
        self,
        prompt: String,
        max_completion_tokens: Option<u32>,
    ) -> Result<CompletionRequest, ApiError> {
        reject_if(self.n.is_some_and(|n| n != 1), "n")?;
        let stops = match &self.sampling.stop {
            Some(Stop::Many(stops)) => stops.len(),
            Some(Stop::One(_)) | None => 0,
        };
        if stops > MAX_STOP_SEQUENCES {
            let message = format!("`stop` has more than {MAX_STOP_SEQUENCES} entries");
            return Err(ApiError::invalid("bad_stop", message).with_param("stop"));
        }
        let max_tokens = max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > MAX_COMPLETION_TOKENS {
            let message = format!("max_tokens must lie between 1 and {MAX_COMPLETION_TOKENS}");
            return Err(ApiError::invalid("bad_max_tokens", message).with_param("max_tokens"));
        }
        let options = self.stream_options;
        Ok(CompletionRequest {
            model: self.model,
            prompt,
            max_tokens,
            stream: self.stream.unwrap_or_default(),
            include_usage: options.is_some_and(|options| options.include_usage),
            answer_so_far: self.answer_so_far,
            sampling: self.sampling,
        })
    }
}

/// Renders the messages as one prompt. They keep their order, so conversations with
/// a common prefix yield prompts with a common prefix.
fn chat_prompt(messages: &[Message]) -> Result<String, ApiError> {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str("<|");
        prompt.push_str(&message.role);
        prompt.push_str("|>");
        match &message.content {
            None => {}
            Some(Content::Text(text)) => prompt.push_str(text),
            Some(Content::Parts(parts)) => {
                for part in parts {
                    reject_if(part.kind != "text", "messages")?;
                    prompt.push_str(&part.text);
                }
            }
        }
        prompt.push('\n');
    }
    prompt.push_str("<|assistant|>");
    Ok(prompt)
}

fn reject_if(wrong: bool, param: &'static str) -> Result<(), ApiError> {
    if !wrong {
        return Ok(());
    }
    let message = format!("this value of `{param}` is not supported");
    Err(unsupported(param, &message))
}

fn unsupported(param: &'static str, message: &str) -> ApiError {
    ApiError::invalid("unsupported_value", message).with_param(param)
}

fn invalid_json(error: &serde_json::Error) -> ApiError {
    ApiError::invalid("bad_json", format!("the body cannot be read: {error}"))
}
