use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn unescape(text: &str) -> Vec<u8> {
    let (mut unescaped, mut remaining) = (Vec::new(), text.as_bytes());
    while let Some((&byte, tail)) = remaining.split_first() {
        if byte == b'\\' {
            unescaped.push(u8::from_str_radix(std::str::from_utf8(&tail[..2]).unwrap(), 16).unwrap());
            remaining = &tail[2..];
        } else {
            unescaped.push(byte);
            remaining = tail;
        }
    }
    unescaped
}

#[test]
fn filter_is_formatted_as_in_rfc_4515() {
    let filter = Filter::And(vec![
        Filter::Present("objectClass"),
        Filter::Not(Box::new(Filter::Equal("uid", "*)(uid=*".into()))),
        Filter::Or(vec![Filter::GreaterOrEqual("modifyTimestamp", "20261201Z".into())]),
    ]);
    let expected = r"(&(objectClass=*)(!(uid=\2a\29\28uid=\2a))(|(modifyTimestamp>=20261201Z)))";
    assert_eq!(filter.to_string(), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(121), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn any_value_is_escaped(value in "\\PC{0,40}", bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        let text = Filter::Equal("uid", value.clone()).to_string();
        let inner = &text[5..text.len() - 1];
        prop_assert!(!inner.contains(['(', ')', '*', '\0']) && inner.is_ascii());
        prop_assert_eq!(unescape(inner), value.as_bytes());
        prop_assert_eq!(unescape(&escape(&bytes)), bytes);
    }
}
