//! Search filters (RFC 4515), built and never pasted: a value cannot become a part of the filter.

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Filter {
    And(Vec<Filter>),
    Or(Vec<Filter>),
    Not(Box<Filter>),
    Equal(&'static str, String),
    AtLeast(&'static str, String),
    Present(&'static str),
}

/// What must not stand bare in a value: the filter's own signs, NUL, and bytes that are no text.
pub fn escape(value: &[u8]) -> String {
    let mut out = String::with_capacity(value.len());
    for &b in value {
        match b {
            b'(' | b')' | b'*' | b'\\' | 0 | 0x80.. => out.push_str(&format!("\\{b:02x}")),
            b => out.push(b as char),
        }
    }
    out
}

impl std::fmt::Display for Filter {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let all = |f: &mut std::fmt::Formatter, sign: char, of: &[Filter]| {
            write!(f, "({sign}")?;
            of.iter().try_for_each(|x| write!(f, "{x}"))?;
            write!(f, ")")
        };
        match self {
            Filter::And(of) => all(f, '&', of),
            Filter::Or(of) => all(f, '|', of),
            Filter::Not(of) => write!(f, "(!{of})"),
            Filter::Equal(a, v) => write!(f, "({a}={})", escape(v.as_bytes())),
            Filter::AtLeast(a, v) => write!(f, "({a}>={})", escape(v.as_bytes())),
            Filter::Present(a) => write!(f, "({a}=*)"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn unescape(text: &str) -> Vec<u8> {
        let (mut out, mut rest) = (Vec::new(), text.as_bytes());
        while let Some((&b, more)) = rest.split_first() {
            if b == b'\\' {
                out.push(u8::from_str_radix(std::str::from_utf8(&more[..2]).unwrap(), 16).unwrap());
                rest = &more[2..];
            } else {
                out.push(b);
                rest = more;
            }
        }
        out
    }

    #[test]
    fn a_filter_is_written_as_published() {
        let f = Filter::And(vec![
            Filter::Present("objectClass"),
            Filter::Not(Box::new(Filter::Equal("uid", "*)(uid=*".into()))),
            Filter::Or(vec![Filter::AtLeast("modifyTimestamp", "20261201Z".into())]),
        ]);
        let want = r"(&(objectClass=*)(!(uid=\2a\29\28uid=\2a))(|(modifyTimestamp>=20261201Z)))";
        assert_eq!(f.to_string(), want);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(121), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn no_value_becomes_a_part_of_the_filter(value in "\\PC{0,40}", bytes in prop::collection::vec(any::<u8>(), 0..60)) {
            let text = Filter::Equal("uid", value.clone()).to_string();
            let inner = &text[5..text.len() - 1];
            prop_assert!(!inner.contains(['(', ')', '*', '\0']) && inner.is_ascii());
            prop_assert_eq!(unescape(inner), value.as_bytes());
            prop_assert_eq!(unescape(&escape(&bytes)), bytes);
        }
    }
}
