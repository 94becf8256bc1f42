//! Log lines about bytes that cannot be used: one a minute of each kind, with how many there were.

use std::collections::BTreeMap;

const EVERY_S: f64 = 60.0;

/// When each kind was last told of, and how many there were since.
#[derive(Default)]
pub struct Seldom(BTreeMap<&'static str, (f64, u64)>);

impl Seldom {
    /// One more of a kind. If it is time for a line, how many there were since the last one.
    pub fn count(&mut self, now: f64, kind: &'static str) -> Option<u64> {
        let (at, times) = self.0.entry(kind).or_insert((f64::NEG_INFINITY, 0));
        *times += 1;
        (now >= *at + EVERY_S).then(|| {
            *at = now;
            std::mem::take(times)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_kind_is_told_of_once_a_minute_with_its_count() {
        let mut s = Seldom::default();
        let told: Vec<_> = (0..130).filter_map(|t| Some((t, s.count(f64::from(t), "client")?))).collect();
        assert_eq!(told, [(0, 1), (60, 60), (120, 60)]);
        assert_eq!(s.count(1.0, "engine"), Some(1));
    }
}
