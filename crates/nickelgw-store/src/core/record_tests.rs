use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(51), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn sealed_record_is_decoded_and_altered_bytes_are_rejected(
        key in prop::collection::vec(any::<u8>(), 0..20), value in prop::collection::vec(any::<u8>(), 0..60),
        written_ms in any::<u64>(), flip in any::<prop::sample::Index>(), junk in prop::collection::vec(any::<u8>(), 0..60),
    ) {
        let mut sealed = seal(&key, written_ms, &value);
        prop_assert_eq!(unseal(&key, &sealed), Ok((written_ms, &value[..])));
        let other = [&key[..], &[1]].concat();
        prop_assert!(unseal(&other, &sealed).is_err() && unseal(&key, &junk).is_err());
        let n = flip.index(sealed.len());
        prop_assert!(unseal(&key, &sealed[..n]).is_err());
        sealed[n] ^= 1;
        prop_assert!(unseal(&key, &sealed).is_err());
    }
}
