//! Resumption tickets: bounded in number and age, never across names or generations, each used once.

use std::collections::{BTreeMap, VecDeque};

pub struct Tickets<T> {
    most_a_name: usize,
    most: usize,
    age_s: f64,
    generation: u64,
    /// By name: tickets and when they came, newest last.
    names: BTreeMap<String, VecDeque<(f64, T)>>,
    count: usize,
}

impl<T> Tickets<T> {
    pub fn new(most_a_name: usize, most: usize, age_s: f64) -> Self {
        Tickets { most_a_name, most, age_s, generation: 0, names: BTreeMap::new(), count: 0 }
    }

    /// What was agreed under an earlier generation's keys and trust is not resumed.
    pub fn rotate(&mut self, generation: u64) {
        if generation != self.generation {
            self.generation = generation;
            self.names.clear();
            self.count = 0;
        }
    }

    pub fn put(&mut self, now: f64, generation: u64, name: &str, ticket: T) {
        if generation != self.generation || self.most_a_name == 0 {
            return;
        }
        if self.count >= self.most {
            self.drop_oldest();
        }
        let list = self.names.entry(name.to_string()).or_default();
        list.push_back((now, ticket));
        self.count += 1;
        if list.len() > self.most_a_name {
            list.pop_front();
            self.count -= 1;
        }
    }

    /// The newest ticket for the name; it is gone by that, as one used twice links connections.
    pub fn take(&mut self, now: f64, generation: u64, name: &str) -> Option<T> {
        if generation != self.generation {
            return None;
        }
        let list = self.names.get_mut(name)?;
        let found = list.pop_back();
        self.count -= usize::from(found.is_some());
        match found {
            Some((at, ticket)) if now - at < self.age_s => Some(ticket),
            // The newest is too old: so are the rest.
            _ => {
                self.forget(name);
                None
            }
        }
    }

    /// An engine that refused a ticket has lost its keys: its other tickets are as void.
    pub fn forget(&mut self, name: &str) {
        self.count -= self.names.remove(name).map_or(0, |l| l.len());
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn drop_oldest(&mut self) {
        let oldest = self.names.iter().filter_map(|(n, l)| Some((l.front()?.0, n.clone())));
        let oldest = oldest.min_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, name)) = oldest {
            if let Some(list) = self.names.get_mut(&name) {
                list.pop_front();
                self.count -= 1;
                if list.is_empty() {
                    self.names.remove(&name);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tickets_keep_to_their_name_generation_age_and_number() {
        let mut t = Tickets::new(2, 5, 10.0);
        t.rotate(1);
        (0..3).for_each(|k| t.put(k as f64, 1, "a", k));
        assert_eq!((t.len(), t.take(3.0, 1, "b")), (2, None));
        assert_eq!(t.take(3.0, 1, "a"), Some(2), "the newest, once");
        assert_eq!(t.take(20.0, 1, "a"), None, "too old");
        t.put(20.0, 1, "a", 7);
        t.put(20.0, 2, "a", 8);
        assert_eq!(t.take(20.0, 2, "a"), None, "another generation's");
        t.rotate(2);
        assert!(t.is_empty() && t.take(20.0, 1, "a").is_none());
        for k in 0..20 {
            t.put(30.0 + k as f64, 2, &format!("n{k}"), k);
        }
        assert_eq!((t.len(), t.take(50.0, 2, "n0"), t.take(50.0, 2, "n19")), (5, None, Some(19)));
    }
}
