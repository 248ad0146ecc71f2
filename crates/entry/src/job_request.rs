//! Parsing and validation of generation requests.

use crate::{
    api_error::ApiError,
    config::Config,
    job::{AnswerKind, Job},
    shared::Shared,
};
use base::{Clock, ModelName};
use fleet::{Account, Model, Preset};
use limit::Class;
use wire::{
    engine::{EngineRequest, Message},
    openai::{ChatMessage, ChatRequest, CompletionRequest, Content, Prompt},
};

/// Largest number of tokens of an answer if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Fields that the bodies of completion requests and chat completion requests have in common.
struct CommonFields<'r> {
    model: &'r str,
    max_tokens: Option<u32>,
    temperature: Option<f64>,
    top_p: Option<f64>,
    n: Option<u32>,
    is_stream: bool,
}

/// Creates the job of a generation from the body of `POST /v1/completions`.
///
/// # Errors
///
/// `InvalidJson`, `InvalidField` or `UnknownModel`.
pub(crate) fn completion_job(
    body: &[u8],
    account: &Account,
    config: &Config,
    shared: &Shared,
) -> Result<Job, ApiError> {
    let raw: CompletionRequest = serde_json::from_slice(body)?;
    let prompt = match raw.prompt {
        Prompt::Text(text) => text,
        Prompt::List(mut texts) if texts.len() == 1 => texts.remove(0),
        Prompt::List(_) => return Err(ApiError::InvalidField("prompt", "one text")),
    };
    let common = CommonFields {
        model: &raw.model,
        max_tokens: raw.max_tokens,
        temperature: raw.temperature,
        top_p: raw.top_p,
        n: raw.n,
        is_stream: raw.stream.unwrap_or(false),
    };
    let mut job = build_job(&common, AnswerKind::Text, account, config, shared)?;
    job.request.prompt = prompt;
    Ok(job)
}

/// Creates the job of a generation from the body of `POST /v1/chat/completions`.
///
/// # Errors
///
/// `InvalidJson`, `InvalidField` or `UnknownModel`.
pub(crate) fn chat_job(
    body: &[u8],
    account: &Account,
    config: &Config,
    shared: &Shared,
) -> Result<Job, ApiError> {
    let raw: ChatRequest = serde_json::from_slice(body)?;
    if raw.messages.is_empty() {
        return Err(ApiError::InvalidField("messages", "at least one message"));
    }
    let messages = raw.messages.into_iter().map(chat_message).collect::<Result<_, _>>()?;
    let common = CommonFields {
        model: &raw.model,
        max_tokens: raw.max_completion_tokens.or(raw.max_tokens),
        temperature: raw.temperature,
        top_p: raw.top_p,
        n: raw.n,
        is_stream: raw.stream.unwrap_or(false),
    };
    let mut job = build_job(&common, AnswerKind::Chat, account, config, shared)?;
    job.request.messages = messages;
    Ok(job)
}

fn chat_message(raw: ChatMessage) -> Result<Message, ApiError> {
    let content = match raw.content {
        Content::Text(text) => text,
        Content::Parts(parts) => {
            if parts.iter().any(|part| part.r#type != "text") {
                return Err(ApiError::InvalidField("messages", "parts of type text"));
            }
            parts.into_iter().map(|part| part.text).collect()
        }
    };
    Ok(Message { role: raw.role, content })
}

/// Validates the common fields and creates a job whose request has neither a prompt nor messages yet.
fn build_job(
    common: &CommonFields<'_>,
    kind: AnswerKind,
    account: &Account,
    config: &Config,
    shared: &Shared,
) -> Result<Job, ApiError> {
    if common.n.is_some_and(|n| n != 1) {
        return Err(ApiError::InvalidField("n", "1"));
    }
    let max_tokens = common.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || u64::from(max_tokens) > shared.limits.max_tokens {
        return Err(ApiError::InvalidField("max_tokens", "1 up to the limit in the settings"));
    }
    if common.temperature.is_some_and(|value| !(0.0..=2.0).contains(&value)) {
        return Err(ApiError::InvalidField("temperature", "0 to 2"));
    }
    if common.top_p.is_some_and(|value| !(0.0..=1.0).contains(&value)) {
        return Err(ApiError::InvalidField("top_p", "0 to 1"));
    }
    let (model, adapter) = find_model(common.model, config)?;
    let generation_id = shared.new_generation_id();
    let is_short = u64::from(max_tokens) <= shared.limits.short_max_tokens;
    let request = EngineRequest {
        request_id: String::new(),
        model: model.name.to_string(),
        version: shared.serving.version(model).into(),
        adapter: adapter.to_owned(),
        max_tokens,
        temperature: common.temperature,
        top_p: common.top_p,
        stream: true,
        ..EngineRequest::default()
    };
    Ok(Job {
        generation_id,
        account: account.name.clone(),
        service: model.service.clone(),
        preset: config
            .document
            .service(&model.service)
            .map_or(Preset::default(), |service| service.preset),
        class: if is_short { Class::Short } else { Class::Long },
        kind,
        is_stream: common.is_stream,
        created_s: Clock::unix_ms() / 1_000,
        model_label: common.model.to_owned(),
        request,
    })
}

/// Finds the model and the adapter that `label` names in the form `model` or `model:adapter`. Without an adapter, the
/// second value is empty.
fn find_model<'c, 'r>(
    label: &'r str,
    config: &'c Config,
) -> Result<(&'c Model, &'r str), ApiError> {
    let unknown = || ApiError::UnknownModel(label.chars().take(100).collect::<String>().into());
    let (name, adapter) = label.split_once(':').unwrap_or((label, ""));
    let name = ModelName::try_from(name).map_err(|_| unknown())?;
    let model = config.document.model(&name).ok_or_else(unknown)?;
    let is_adapter_valid =
        adapter.is_empty() || model.adapters.iter().any(|known| known == adapter);
    if is_adapter_valid { Ok((model, adapter)) } else { Err(unknown()) }
}
