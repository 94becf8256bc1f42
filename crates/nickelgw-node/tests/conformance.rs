//! Tests a node with an independent client library (async-openai): all kinds of responses and errors. The
//! library needs tokio, which only this test uses.

mod common;

use async_openai::config::OpenAIConfig;
use async_openai::error::OpenAIError;
use async_openai::types::chat::{
    ChatCompletionRequestMessage, ChatCompletionRequestSystemMessage, ChatCompletionRequestUserMessage,
    ChatCompletionStreamOptions, CreateChatCompletionRequest, CreateChatCompletionRequestArgs, FinishReason,
};
use async_openai::Client;
use common::{engine_config, TestCluster, API_KEY};
use futures_lite::StreamExt;
use serde_json::json;

fn client(cluster: &TestCluster, key: &str) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", cluster.node);
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

fn test_cluster() -> TestCluster {
    TestCluster::new(["r0a", "w0a"].map(engine_config).to_vec())
}

#[test]
fn unary_responses_have_text_and_usage() {
    let cluster = test_cluster();
    run(async {
        let response = client(&cluster, API_KEY).chat().create(request("chat")).await.unwrap();
        let choice = &response.choices[0];
        assert_eq!(choice.message.content.as_deref(), Some("w0 w1 w2 w3 w4 "));
        assert_eq!((choice.finish_reason, response.model.as_str()), (Some(FinishReason::Length), "chat"));
        let usage = response.usage.unwrap();
        assert_eq!((usage.completion_tokens, usage.total_tokens), (5, usage.prompt_tokens + 5));
    });
}

#[test]
fn streams_have_role_finish_reason_and_usage() {
    let cluster = test_cluster();
    run(async {
        for include_usage in [true, false] {
            let mut chat_request = request("chat");
            chat_request.stream_options = include_usage
                .then(|| ChatCompletionStreamOptions { include_usage: Some(true), ..Default::default() });
            let mut stream = client(&cluster, API_KEY).chat().create_stream(chat_request).await.unwrap();
            let (mut text, mut role, mut finish, mut usage) = (String::new(), None, None, None);
            while let Some(chunk) = stream.next().await {
                let chunk = chunk.unwrap();
                usage = chunk.usage.or(usage);
                for choice in chunk.choices {
                    role = choice.delta.role.or(role);
                    text += choice.delta.content.as_deref().unwrap_or("");
                    finish = choice.finish_reason.or(finish);
                }
            }
            assert_eq!(text, "w0 w1 w2 w3 w4 ");
            assert_eq!(
                (role.unwrap().to_string().as_str(), finish),
                ("assistant", Some(FinishReason::Length))
            );
            assert_eq!(usage.map(|usage| usage.completion_tokens), include_usage.then_some(5));
        }
    });
}

#[test]
fn models_are_listed_and_retrieved() {
    let cluster = test_cluster();
    run(async {
        let client = client(&cluster, API_KEY);
        let all = client.models().list().await.unwrap();
        assert_eq!(all.data.len(), 4);
        assert_eq!(client.models().retrieve("booking").await.unwrap().id, "booking");
        assert!(client.models().retrieve("none").await.is_err());
    });
}

#[test]
fn errors_have_type_code_and_param() {
    let cluster = test_cluster();
    run(async {
        let error = async |key: &str, chat_request: CreateChatCompletionRequest| match client(&cluster, key)
            .chat()
            .create(chat_request)
            .await
        {
            Err(OpenAIError::ApiError(error)) => {
                let (status, error) = (error.status_code.as_u16(), error.api_error);
                (status, error.r#type.unwrap_or_default(), error.code.unwrap_or_default(), error.param)
            }
            other => panic!("{other:?}"),
        };
        let invalid = "invalid_request_error".to_string();
        let rejection = error("sk-wrong-key", request("chat")).await;
        assert_eq!(rejection, (401, invalid.clone(), "invalid_api_key".into(), None));
        let rejection = error(API_KEY, request("nope")).await;
        assert_eq!(rejection, (404, invalid.clone(), "model_not_found".into(), Some("model".into())));
        let two = CreateChatCompletionRequest { n: Some(2), ..request("chat") };
        assert_eq!(error(API_KEY, two).await, (400, invalid, "invalid_request".into(), Some("n".into())));
        // The only prefill engine drains, so that the request is shed with retry-after. The library reports
        // only the status of a 503.
        cluster.control("r0a", json!({"fault": "drain"}));
        assert_eq!(error(API_KEY, request("chat")).await.0, 503);
    });
}

#[test]
fn a_broken_stream_ends_in_an_error_event() {
    let cluster = test_cluster();
    cluster.control("w0a", json!({"fault": "ending", "how": "none"}));
    run(async {
        let mut stream = client(&cluster, API_KEY).chat().create_stream(request("chat")).await.unwrap();
        let mut last = None;
        while let Some(chunk) = stream.next().await {
            last = Some(chunk);
        }
        assert!(last.unwrap().is_err(), "the client accepted the broken stream as complete");
    });
}
