//! A client library that others wrote speaks to a node: all shapes of answers and errors. Its runtime stays here.

mod common;

use async_openai::config::OpenAIConfig;
use async_openai::error::OpenAIError;
use async_openai::types::chat::{
    ChatCompletionRequestMessage, ChatCompletionRequestSystemMessage, ChatCompletionRequestUserMessage,
    ChatCompletionStreamOptions, CreateChatCompletionRequest, CreateChatCompletionRequestArgs, FinishReason,
};
use async_openai::Client;
use common::{figures, World, KEY};
use futures_lite::StreamExt;
use serde_json::json;

fn client(w: &World, key: &str) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", w.node);
    Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(key))
}

fn request(model: &str) -> CreateChatCompletionRequest {
    let messages = vec![
        ChatCompletionRequestMessage::System(ChatCompletionRequestSystemMessage::from("Be kind.")),
        ChatCompletionRequestMessage::User(ChatCompletionRequestUserMessage::from("Tell me more.")),
    ];
    let mut args = CreateChatCompletionRequestArgs::default();
    args.model(model).messages(messages).max_completion_tokens(5u32);
    args.build().unwrap()
}

fn run(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(test);
}

fn world() -> World {
    World::new(["r0a", "w0a"].map(figures).to_vec())
}

#[test]
fn answers_in_one_piece() {
    let w = world();
    run(async {
        let answer = client(&w, KEY).chat().create(request("chat")).await.unwrap();
        let choice = &answer.choices[0];
        assert_eq!(choice.message.content.as_deref(), Some("w0 w1 w2 w3 w4 "));
        assert_eq!((choice.finish_reason, answer.model.as_str()), (Some(FinishReason::Length), "chat"));
        let usage = answer.usage.unwrap();
        assert_eq!((usage.completion_tokens, usage.total_tokens), (5, usage.prompt_tokens + 5));
    });
}

#[test]
fn answers_streamed_with_role_reason_and_usage() {
    let w = world();
    run(async {
        for usage in [true, false] {
            let mut ask = request("chat");
            ask.stream_options = usage
                .then(|| ChatCompletionStreamOptions { include_usage: Some(true), ..Default::default() });
            let mut stream = client(&w, KEY).chat().create_stream(ask).await.unwrap();
            let (mut text, mut role, mut finish, mut counted) = (String::new(), None, None, None);
            while let Some(chunk) = stream.next().await {
                let chunk = chunk.unwrap();
                counted = chunk.usage.or(counted);
                for c in chunk.choices {
                    role = c.delta.role.or(role);
                    text += c.delta.content.as_deref().unwrap_or("");
                    finish = c.finish_reason.or(finish);
                }
            }
            assert_eq!(text, "w0 w1 w2 w3 w4 ");
            assert_eq!(
                (role.unwrap().to_string().as_str(), finish),
                ("assistant", Some(FinishReason::Length))
            );
            assert_eq!(counted.map(|u| u.completion_tokens), usage.then_some(5));
        }
    });
}

#[test]
fn models_are_listed_and_found() {
    let w = world();
    run(async {
        let c = client(&w, KEY);
        let all = c.models().list().await.unwrap();
        assert_eq!(all.data.len(), 4);
        assert_eq!(c.models().retrieve("booking").await.unwrap().id, "booking");
        assert!(c.models().retrieve("none").await.is_err());
    });
}

#[test]
fn errors_have_their_type_code_and_param() {
    let w = world();
    run(async {
        let error = async |key: &str, ask: CreateChatCompletionRequest| match client(&w, key)
            .chat()
            .create(ask)
            .await
        {
            Err(OpenAIError::ApiError(e)) => {
                let e = (e.status_code.as_u16(), e.api_error);
                (e.0, e.1.r#type.unwrap_or_default(), e.1.code.unwrap_or_default(), e.1.param)
            }
            other => panic!("{other:?}"),
        };
        let invalid = "invalid_request_error".to_string();
        let told = error("sk-wrong-key", request("chat")).await;
        assert_eq!(told, (401, invalid.clone(), "invalid_api_key".into(), None));
        let told = error(KEY, request("nope")).await;
        assert_eq!(told, (404, invalid.clone(), "model_not_found".into(), Some("model".into())));
        let two = CreateChatCompletionRequest { n: Some(2), ..request("chat") };
        assert_eq!(error(KEY, two).await, (400, invalid, "invalid_request".into(), Some("n".into())));
        // Nothing can be read: shed with a time to come back.
        w.control("r0a", json!({"fault": "drain"}));
        // Of a 503 the library gives the status alone.
        assert_eq!(error(KEY, request("chat")).await.0, 503);
    });
}

#[test]
fn a_stream_that_breaks_ends_in_an_error_that_is_understood() {
    let w = world();
    w.control("w0a", json!({"fault": "ending", "how": "none"}));
    run(async {
        let mut stream = client(&w, KEY).chat().create_stream(request("chat")).await.unwrap();
        let mut last = None;
        while let Some(chunk) = stream.next().await {
            last = Some(chunk);
        }
        assert!(last.unwrap().is_err(), "the end was taken for a good one");
    });
}
