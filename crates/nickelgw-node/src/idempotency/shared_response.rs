//! A response that several clients read, each at its own position.

use crate::clock::Clock;
use async_channel::{bounded, Receiver, RecvError, Sender};
use bytes::Bytes;
use futures_lite::Stream;
use nickelgw_chat::core::idempotency::{EntryId, IdempotencyTable};
use nickelgw_protocol::chat::ApiError;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Largest number of events by which a run may be ahead of its slowest subscriber once its response is no
/// longer recorded.
const MAX_BUFFERED_EVENTS: usize = 32;

/// Kind of a response, with the body or error if it is not a stream.
#[derive(Clone)]
pub(super) enum ResponseHead {
    Stream,
    Unary(Bytes),
    Error(ApiError),
}

/// A subscriber's position in the stream, and the channel that wakes it.
struct Cursor {
    position: usize,
    wakeup: Sender<()>,
}

/// The part of a response that is kept in memory, and its subscribers.
#[derive(Default)]
struct ResponseBuffer {
    /// Kind of the response; `None` if it is not known yet.
    head: Option<ResponseHead>,
    events: VecDeque<Bytes>,
    /// Position in the stream of the first event in `events`.
    first_position: usize,
    is_finished: bool,
    /// Whether all events are kept from the beginning, for later clients.
    is_recorded: bool,
    /// Cursors by subscriber id.
    cursors: HashMap<u64, Cursor>,
    /// Id of the subscriber that was added last.
    last_subscriber: u64,
}

/// Response of one run, as far as it has arrived.
pub(super) struct SharedResponse {
    buffer: RefCell<ResponseBuffer>,
    /// Channel that wakes the run when a subscriber has read something or has disconnected.
    consumed: (Sender<()>, Receiver<()>),
}

impl SharedResponse {
    pub fn new() -> Rc<SharedResponse> {
        let buffer = RefCell::new(ResponseBuffer { is_recorded: true, ..ResponseBuffer::default() });
        Rc::new(SharedResponse { buffer, consumed: bounded(1) })
    }

    pub fn set_head(&self, head: ResponseHead) {
        self.buffer.borrow_mut().head = Some(head);
    }

    /// Appends an event. From the first event with `is_recorded` false on, the response is no longer
    /// recorded.
    pub fn push(&self, event: Bytes, is_recorded: bool) {
        let mut buffer = self.buffer.borrow_mut();
        buffer.is_recorded &= is_recorded;
        buffer.events.push_back(event);
    }

    pub fn finish(&self) {
        self.buffer.borrow_mut().is_finished = true;
        self.wake_subscribers();
    }

    pub fn wake_subscribers(&self) {
        for cursor in self.buffer.borrow().cursors.values() {
            let _ = cursor.wakeup.try_send(());
        }
    }

    /// Drops the events that every subscriber has read, unless the response is recorded for later clients.
    pub fn drop_consumed(&self) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_recorded {
            return;
        }
        let end = buffer.first_position + buffer.events.len();
        let slowest = buffer.cursors.values().map(|cursor| cursor.position).min().unwrap_or(end);
        while buffer.first_position < slowest && buffer.events.pop_front().is_some() {
            buffer.first_position += 1;
        }
    }

    /// Returns whether the run may continue; if not, it has to wait for its slowest subscriber.
    pub fn has_capacity(&self) -> bool {
        let buffer = self.buffer.borrow();
        buffer.is_recorded || buffer.events.len() <= MAX_BUFFERED_EVENTS
    }

    /// Waits until a subscriber has read something or has disconnected.
    pub async fn consumed(&self) -> Result<(), RecvError> {
        self.consumed.1.recv().await
    }

    fn notify_consumed(&self) {
        let _ = self.consumed.0.try_send(());
    }
}

/// Guard of one client of a run. When dropped, it reports to the table that the client no longer listens.
pub(super) struct ListenerGuard {
    pub table: Rc<RefCell<IdempotencyTable>>,
    pub clock: Clock,
    pub entry_id: EntryId,
}

impl Drop for ListenerGuard {
    fn drop(&mut self) {
        self.table.borrow_mut().listener_left(self.clock.now(), self.entry_id);
    }
}

/// Client that reads a shared response. Dropping it means that the client has disconnected.
pub(super) struct Subscriber {
    response: Rc<SharedResponse>,
    id: u64,
    wakeup: Pin<Box<Receiver<()>>>,
    /// Dropped after the subscriber is removed from the response.
    _listener: ListenerGuard,
}

impl Subscriber {
    pub fn new(response: Rc<SharedResponse>, listener: ListenerGuard) -> Subscriber {
        let (sender, wakeup) = bounded(1);
        let id = {
            let mut buffer = response.buffer.borrow_mut();
            buffer.last_subscriber += 1;
            let (id, position) = (buffer.last_subscriber, buffer.first_position);
            buffer.cursors.insert(id, Cursor { position, wakeup: sender });
            id
        };
        Subscriber { response, id, wakeup: Box::pin(wakeup), _listener: listener }
    }

    /// Waits until the kind of the response is known; `None` if the run was cancelled.
    pub async fn head(&self) -> Option<ResponseHead> {
        loop {
            let head = self.response.buffer.borrow().head.clone();
            if head.is_some() {
                return head;
            }
            self.wakeup.recv().await.ok()?;
        }
    }

    /// Returns the next event, or `None` at the end of the response. Pending if the next event has not
    /// arrived yet.
    fn poll_buffer(&self) -> Poll<Option<Bytes>> {
        let mut buffer = self.response.buffer.borrow_mut();
        let Some(position) = buffer.cursors.get(&self.id).map(|cursor| cursor.position) else {
            return Poll::Pending;
        };
        let event = buffer.events.get(position - buffer.first_position).cloned();
        match event {
            Some(event) => {
                if let Some(cursor) = buffer.cursors.get_mut(&self.id) {
                    cursor.position += 1;
                }
                Poll::Ready(Some(event))
            }
            None if buffer.is_finished => Poll::Ready(None),
            None => Poll::Pending,
        }
    }
}

impl Drop for Subscriber {
    fn drop(&mut self) {
        self.response.buffer.borrow_mut().cursors.remove(&self.id);
        self.response.notify_consumed();
    }
}

impl Stream for Subscriber {
    type Item = Bytes;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        loop {
            if let Poll::Ready(next) = self.poll_buffer() {
                self.response.notify_consumed();
                return Poll::Ready(next);
            }
            // The wakeup channel is closed if the run was cancelled: the response ends here, incomplete.
            match self.wakeup.as_mut().poll_next(cx) {
                Poll::Ready(Some(())) => continue,
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}
