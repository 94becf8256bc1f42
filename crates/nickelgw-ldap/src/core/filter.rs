//! Search filters (RFC 4515) as a type, so that a value cannot change the structure of a filter.

use std::fmt;

/// Search filter. `Display` writes the text form of RFC 4515. Attribute names are constants of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filter {
    /// Matches if all of these filters match.
    And(Vec<Filter>),
    /// Matches if at least one of these filters matches.
    Or(Vec<Filter>),
    /// Matches if this filter does not match.
    Not(Box<Filter>),
    /// Matches if the attribute has this value.
    Equal(&'static str, String),
    /// Matches if the attribute is this value or greater.
    GreaterOrEqual(&'static str, String),
    /// Matches if the attribute has any value.
    Present(&'static str),
}

/// Escapes the bytes of a value that must not occur unescaped: special characters of filters, NUL, and
/// non-ASCII bytes.
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
