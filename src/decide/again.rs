//! Sending again, as far as the kind allows; answering and letting go.

use super::*;

impl Router {
    /// Whether a further send is allowed: to this writer, or (none named) at all, a read and a write left.
    pub(super) fn again(&self, now: f64, i: usize, writer: Option<usize>) -> bool {
        let inf = &self.infs[i];
        let need = if inf.state.is_some() || writer.is_some() { 1 } else { 2 };
        if inf.sends.len() + need > self.most_sends {
            return false;
        }
        match (inf.ran, self.routes[inf.route].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (_, Idempotency::NonIdempotent) => false,
            // Only inside the group that drops repeats, and while it surely still remembers.
            (Some((first, at)), Idempotency::Keyed { scope: group, window_s: memory_s }) => {
                let same = |w: usize| match group {
                    IdempotencyScope::All => true,
                    IdempotencyScope::Zone => self.engines[w].zone == self.engines[first].zone,
                    IdempotencyScope::Cell => self.engines[w].cell == self.engines[first].cell,
                };
                // A prompt is not read again for it outside the group either: that, too, counts as a send.
                let inside = writer.map_or(need == 1 || group == IdempotencyScope::All, same);
                // Its bytes may go out only when a connection has come up.
                now + self.target + self.connect < at + memory_s && inside
            }
        }
    }

    /// Until when a held state may be sent on: a further send may not come up either, nor the first call that lets go.
    pub(super) fn last_send(&self, i: usize) -> f64 {
        self.infs[i].held_since + (self.hold / 2.0).min(self.hold - 2.0 * self.connect)
    }

    /// Whether a held state's time is too short for one more send.
    pub(super) fn is_spent(&self, now: f64, i: usize) -> bool {
        now >= self.last_send(i)
    }

    /// A held state's time is over, and it is let go of, whatever is out for its inference: what has arrived keeps it.
    pub fn reservation_expired(&mut self, now: f64, inf: RequestHandle) {
        let i = inf.0 as usize;
        self.infs[i].state = None;
        if self.infs[i].stage == Stage::Held {
            self.infs[i].stage = Stage::Queued;
            if !self.again(now, i, None) {
                self.give_up(i, RejectionReason::ReservationExpired);
            }
        }
    }

    /// Whether letting go of what earlier reads left is still to be confirmed; until it is nothing is read for the inference.
    pub fn set_release_pending(&mut self, inf: RequestHandle, awaited: bool) {
        self.infs[inf.0 as usize].release_pending = awaited;
    }

    /// Answers at once: shed where a repeat is harmless, else errored; lets go of what is held.
    pub(super) fn give_up(&mut self, i: usize, why: RejectionReason) {
        if matches!(self.infs[i].stage, Stage::Ended | Stage::Closed) {
            return;
        }
        self.todo.reasons.push((RequestHandle(i as u32), why));
        let inf = &self.infs[i];
        // A read is no effect once it has ended; where none may be called off it has not.
        let out = |s: &Sent| s.live && (s.write || !self.cancel);
        let may_have_run = inf.ran.is_some() || inf.sends.iter().any(out);
        let harmless = match self.routes[inf.route].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: IdempotencyScope::All, .. } => true,
            _ => !may_have_run,
        };
        if harmless {
            let back = self.come_back.map(|most| most.min(self.life / 4.0));
            self.todo.rejected.push((RequestHandle(i as u32), back));
        } else {
            self.todo.failed.push(RequestHandle(i as u32));
        }
        let live = inf.sends.iter().enumerate().filter(|(_, s)| s.live && self.cancel);
        self.todo.cancelled.extend(live.map(|(n, _)| (RequestHandle(i as u32), n as u32)));
        self.close(i);
    }

    /// The inference is over; what it holds is let go, and its handle once no send is out.
    pub(super) fn close(&mut self, i: usize) {
        let live = self.infs[i].sends.iter().any(|s| s.live);
        // A send still out keeps the state from being let go: it is said again when the last one ends.
        if self.infs[i].stage != Stage::Streaming && !self.infs[i].sends.is_empty() {
            self.todo.released.push(RequestHandle(i as u32));
        }
        self.infs[i].stage = if live { Stage::Ended } else { Stage::Closed };
        self.open.retain(|&o| o != i);
        if !live {
            self.todo.closed.push(RequestHandle(i as u32));
        }
    }
}
