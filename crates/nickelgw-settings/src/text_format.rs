//! Conversion between protobuf text format and the messages of [`crate::proto`].

use crate::error::SettingsError;
use crate::proto::{Day, Node};
use miette::Diagnostic;
use prost::Message;
use prost_reflect::text_format::ParseError;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

/// Message that a settings file may contain.
pub(crate) trait SettingsMessage: Message + Default {
    /// Full name of the message in the descriptors.
    const FULL_NAME: &'static str;
}

impl SettingsMessage for Node {
    const FULL_NAME: &'static str = "nickelgw.settings.Node";
}

impl SettingsMessage for Day {
    const FULL_NAME: &'static str = "nickelgw.settings.Day";
}

fn descriptor<T: SettingsMessage>() -> Option<MessageDescriptor> {
    let descriptors = &include_bytes!(concat!(env!("OUT_DIR"), "/settings.bin"))[..];
    DescriptorPool::decode(descriptors).ok()?.get_message_by_name(T::FULL_NAME)
}

/// Formats the message as text. Returns an empty text if the descriptors do not contain the message.
pub(crate) fn write<T: SettingsMessage>(message: &T) -> String {
    let dynamic = descriptor::<T>()
        .and_then(|descriptor| DynamicMessage::decode(descriptor, &message.encode_to_vec()[..]).ok());
    dynamic.map(|dynamic| dynamic.to_text_format()).unwrap_or_default()
}

/// Parses the message from text. Missing required fields are left empty; validation reports them.
pub(crate) fn parse<T: SettingsMessage>(file: &str, text: &str) -> Result<T, SettingsError> {
    let syntax = |reason: String| SettingsError::Syntax { file: file.into(), reason };
    let descriptor = descriptor::<T>()
        .ok_or_else(|| syntax(format!("message {} is not in the descriptors", T::FULL_NAME)))?;
    let dynamic = DynamicMessage::parse_text_format(descriptor, text)
        .map_err(|error| syntax(with_location(text, &error)))?;
    T::decode(&dynamic.encode_to_vec()[..]).map_err(|error| syntax(error.to_string()))
}

/// Formats the parser's error with its line and column.
fn with_location(text: &str, error: &ParseError) -> String {
    let Some(span) = error.labels().and_then(|mut labels| labels.next()) else {
        return format!("at the end of the text: {error}");
    };
    let before = &text[..span.offset().min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
    format!("line {line}, column {column}: {error}")
}
