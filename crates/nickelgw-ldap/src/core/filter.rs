//! Search filters (RFC 4515) as a type: a value cannot change the structure of the filter.

use std::fmt;

/// A search filter; its `Display` is the published text form. Attribute names are constants of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filter {
    /// All of these match.
    And(Vec<Filter>),
    /// One of these matches.
    Or(Vec<Filter>),
    /// This does not match.
    Not(Box<Filter>),
    /// The attribute has the value.
    Equal(&'static str, String),
    /// The attribute is the value or greater.
    GreaterOrEqual(&'static str, String),
    /// The attribute has any value.
    Present(&'static str),
}

/// Escapes what must not stand bare in a value: the filter's own characters, NUL, and bytes beyond ASCII.
pub fn escape(value: &[u8]) -> String {
    let mut escaped = String::with_capacity(value.len());
    for &byte in value {
        match byte {
            b'(' | b')' | b'*' | b'\\' | 0 | 0x80.. => escaped.push_str(&format!("\\{byte:02x}")),
            _ => escaped.push(byte as char),
        }
    }
    escaped
}

fn write_all(formatter: &mut fmt::Formatter, operator: char, filters: &[Filter]) -> fmt::Result {
    write!(formatter, "({operator}")?;
    filters.iter().try_for_each(|filter| write!(formatter, "{filter}"))?;
    write!(formatter, ")")
}

impl fmt::Display for Filter {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Filter::And(filters) => write_all(formatter, '&', filters),
            Filter::Or(filters) => write_all(formatter, '|', filters),
            Filter::Not(filter) => write!(formatter, "(!{filter})"),
            Filter::Equal(attribute, value) => {
                write!(formatter, "({attribute}={})", escape(value.as_bytes()))
            }
            Filter::GreaterOrEqual(attribute, value) => {
                write!(formatter, "({attribute}>={})", escape(value.as_bytes()))
            }
            Filter::Present(attribute) => write!(formatter, "({attribute}=*)"),
        }
    }
}

#[cfg(test)]
#[path = "filter_tests.rs"]
mod tests;
