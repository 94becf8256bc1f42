//! Slots and memory of an engine, assigned to requests in the order of their arrival.

use super::Engine;
use async_channel::Sender;
use std::collections::VecDeque;
use std::rc::Rc;

/// Request that waits for a slot.
struct Waiter {
    memory_tokens: f64,
    wake: Sender<()>,
}

/// Queue of the requests that wait for a slot, in the order of their arrival.
#[derive(Default)]
pub(super) struct SlotQueue {
    waiters: VecDeque<Waiter>,
}

/// Slot and memory in use by a request. Both become free when it is dropped, however the work ended.
pub(super) struct Slot {
    engine: Rc<Engine>,
    memory_tokens: f64,
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut model = self.engine.model.borrow_mut();
            model.running -= 1;
            model.memory_used -= self.memory_tokens;
        }
        self.engine.admit_next();
    }
}

/// Guard that counts a request as queued until it is dropped.
struct Queued<'a> {
    engine: &'a Engine,
    prompt_tokens: f64,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let mut model = self.engine.model.borrow_mut();
        model.queued -= 1;
        model.queued_prompt_tokens -= self.prompt_tokens;
    }
}

impl Engine {
    /// Waits for a free slot and enough free memory, and takes them.
    pub(super) async fn acquire_slot(self: &Rc<Self>, prompt_tokens: f64, memory_tokens: f64) -> Slot {
        let is_free =
            self.slot_queue.borrow().waiters.is_empty() && self.model.borrow().has_capacity(memory_tokens);
        if !is_free {
            self.wait_for_turn(prompt_tokens, memory_tokens).await;
        }
        let mut model = self.model.borrow_mut();
        model.running += 1;
        model.memory_used += memory_tokens;
        Slot { engine: self.clone(), memory_tokens }
    }

    async fn wait_for_turn(&self, prompt_tokens: f64, memory_tokens: f64) {
        let (wake, woken) = async_channel::bounded(1);
        self.slot_queue.borrow_mut().waiters.push_back(Waiter { memory_tokens, wake });
        {
            let mut model = self.model.borrow_mut();
            model.queued += 1;
            model.queued_prompt_tokens += prompt_tokens;
        }
        let _queued = Queued { engine: self, prompt_tokens };
        let _ = woken.recv().await;
    }

    fn admit_next(&self) {
        let waiters = &mut self.slot_queue.borrow_mut().waiters;
        // Requests that were cancelled while they waited are skipped.
        while waiters.front().is_some_and(|waiter| waiter.wake.receiver_count() == 0) {
            waiters.pop_front();
        }
        let fits = |waiter: &Waiter| self.model.borrow().has_capacity(waiter.memory_tokens);
        if waiters.front().is_some_and(fits) {
            if let Some(next) = waiters.pop_front() {
                let _ = next.wake.try_send(());
            }
        }
    }
}
