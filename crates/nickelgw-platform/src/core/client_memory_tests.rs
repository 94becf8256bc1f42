use super::*;
use proptest::prelude::*;

const POOL_BYTES: usize = 100_000;

fn grant(memory: &mut ClientMemory, now: f64, key: u64, stage: RequestStage, bytes: usize) -> MemoryGrant {
    memory.request(now, key, stage, bytes + GUARANTEED_BYTES)
}

/// Regression test: bytes that each connection could use whatever the others used added up to more than the limit
/// of the process.
#[test]
fn unfinished_heads_leave_most_of_the_pool_to_others() {
    let mut memory = ClientMemory::new(POOL_BYTES);
    let keys: Vec<u64> = (0..100).map(|_| memory.add()).collect();
    let granted = keys
        .iter()
        .filter(|key| grant(&mut memory, 0.0, **key, RequestStage::Head, 5_000) == MemoryGrant::Granted);
    assert_eq!(granted.count(), 5);
    let usual = memory.add();
    assert_eq!(grant(&mut memory, 0.0, usual, RequestStage::Body, 60_000), MemoryGrant::Granted);
}

#[test]
fn request_that_has_stalled_the_longest_gives_way_first() {
    let mut memory = ClientMemory::new(POOL_BYTES);
    let [stalled, moving, whole, waiting] = [0; 4].map(|_| memory.add());
    assert_eq!(grant(&mut memory, 0.0, whole, RequestStage::Open, 20_000), MemoryGrant::Granted);
    assert_eq!(grant(&mut memory, 0.0, stalled, RequestStage::Body, 40_000), MemoryGrant::Granted);
    assert_eq!(grant(&mut memory, 0.0, moving, RequestStage::Body, 40_000), MemoryGrant::Granted);
    memory.set_progress(0.95, moving);
    let exhausted = |reclaim| MemoryGrant::Exhausted { reclaim };
    assert_eq!(grant(&mut memory, 1.0, waiting, RequestStage::Body, 30_000), exhausted(vec![stalled]));
    // What is about to be freed is not asked for twice.
    assert_eq!(grant(&mut memory, 1.0, waiting, RequestStage::Body, 30_000), exhausted(vec![]));
    memory.remove(stalled);
    assert_eq!(grant(&mut memory, 1.0, waiting, RequestStage::Body, 30_000), MemoryGrant::Granted);
}

#[test]
fn request_that_arrived_completely_as_it_was_to_give_way_keeps_its_memory() {
    let mut memory = ClientMemory::new(POOL_BYTES);
    let [arriving, waiting] = [0; 2].map(|_| memory.add());
    assert_eq!(grant(&mut memory, 0.0, arriving, RequestStage::Body, POOL_BYTES), MemoryGrant::Granted);
    let reclaim = vec![arriving];
    assert_eq!(grant(&mut memory, 1.0, waiting, RequestStage::Body, 1), MemoryGrant::Exhausted { reclaim });
    memory.set(1.0, arriving, RequestStage::Open, POOL_BYTES + GUARANTEED_BYTES);
    let reclaim = vec![];
    assert_eq!(grant(&mut memory, 2.0, waiting, RequestStage::Body, 1), MemoryGrant::Exhausted { reclaim });
}

proptest! {
    /// Whatever the connections do, what was granted stays within the pool, and all of it is free in the end.
    #[test]
    fn granted_memory_stays_within_the_pool(
        steps in prop::collection::vec((0u64..8, 0usize..4, 0usize..60_000, any::<bool>()), 1..200),
    ) {
        let mut memory = ClientMemory::new(POOL_BYTES);
        let mut used = [0; 8];
        (0..8).for_each(|_| { memory.add(); });
        for (step, (key, stage, bytes, frees)) in steps.into_iter().enumerate() {
            let stage = [RequestStage::Idle, RequestStage::Head, RequestStage::Body, RequestStage::Open][stage];
            let now = 0.03 * step as f64;
            if frees {
                memory.set(now, key, stage, 0);
                used[key as usize] = 0;
            } else if grant(&mut memory, now, key, stage, bytes) == MemoryGrant::Granted {
                used[key as usize] = bytes;
            }
            prop_assert!(used.iter().sum::<usize>() <= POOL_BYTES);
            prop_assert_eq!(memory.used_bytes, used.iter().sum::<usize>());
        }
        (0..8).for_each(|key| memory.remove(key));
        prop_assert_eq!((memory.used_bytes, memory.head_bytes), (0, 0));
    }
}
