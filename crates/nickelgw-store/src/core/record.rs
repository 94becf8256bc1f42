//! A record as it stands in the file: form, time, code of all of it, value. What is not exactly what was written is
//! not believed, whatever the file layer says of it.

const FORM: u8 = 1;
const HEAD: usize = 1 + 8 + 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    #[error("too short to be a record")]
    Short,
    #[error("of a form that this program does not know: {0}")]
    Form(u8),
    #[error("not what was written")]
    Altered,
}

fn code(key: &[u8], written_ms: u64, value: &[u8]) -> [u8; 16] {
    let mut h = blake3::Hasher::new();
    h.update(&(key.len() as u64).to_le_bytes()).update(key).update(&written_ms.to_le_bytes()).update(value);
    let mut out = [0; 16];
    out.copy_from_slice(&h.finalize().as_bytes()[..16]);
    out
}

pub fn seal(key: &[u8], written_ms: u64, value: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD + value.len());
    out.push(FORM);
    out.extend(written_ms.to_le_bytes());
    out.extend(code(key, written_ms, value));
    out.extend(value);
    out
}

/// When it was written, in milliseconds since 1970, and the value.
pub fn unseal<'a>(key: &[u8], bytes: &'a [u8]) -> Result<(u64, &'a [u8]), RecordError> {
    let Some((head, value)) = bytes.split_at_checked(HEAD) else { return Err(RecordError::Short) };
    if head[0] != FORM {
        return Err(RecordError::Form(head[0]));
    }
    let written_ms = head[1..9].iter().rev().fold(0u64, |n, b| n << 8 | u64::from(*b));
    match head[9..] == code(key, written_ms, value) {
        true => Ok((written_ms, value)),
        false => Err(RecordError::Altered),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(51), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn what_was_sealed_comes_back_and_nothing_else_does(
            key in prop::collection::vec(any::<u8>(), 0..20), value in prop::collection::vec(any::<u8>(), 0..60),
            at in any::<u64>(), flip in any::<prop::sample::Index>(), junk in prop::collection::vec(any::<u8>(), 0..60),
        ) {
            let mut sealed = seal(&key, at, &value);
            prop_assert_eq!(unseal(&key, &sealed), Ok((at, &value[..])));
            let other = [&key[..], &[1]].concat();
            prop_assert!(unseal(&other, &sealed).is_err() && unseal(&key, &junk).is_err());
            let n = flip.index(sealed.len());
            prop_assert!(unseal(&key, &sealed[..n]).is_err());
            sealed[n] ^= 1;
            prop_assert!(unseal(&key, &sealed).is_err());
        }
    }
}
