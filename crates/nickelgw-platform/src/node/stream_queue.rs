//! Queue of a stream's pieces between the task that reads them from an engine and the task that writes them to the
//! client. A client that does not read fills its queue; reading from the engine then pauses.

use super::stream_memory::StreamMemoryUse;
use crate::core::event_stream::StreamPiece;
use async_channel::{Receiver, RecvError, Sender, TryRecvError};
use event_listener::Event;
use std::rc::Rc;

/// Maximum number of pieces in a queue.
const MAX_PIECES: usize = 32;
/// Size in bytes at which a queue takes no further piece; the last one may exceed it.
const MAX_BYTES: usize = 4 * 1024;

/// The end of a queue at which pieces are added.
pub struct PieceSender {
    pieces: Sender<StreamPiece>,
    /// Counts the bytes in the queue.
    memory: Rc<StreamMemoryUse>,
    /// Notifies the sender that pieces were taken out.
    taken: Rc<Event>,
}

/// The end of a queue at which pieces are taken out; dropping it ends the queue.
pub struct PieceReceiver {
    pieces: Receiver<StreamPiece>,
    memory: Rc<StreamMemoryUse>,
    taken: Rc<Event>,
}

/// Error returned when the receiver was dropped.
#[derive(Debug)]
pub struct ReceiverDropped;

/// Creates a queue whose bytes `memory` counts.
pub fn stream_queue(memory: &Rc<StreamMemoryUse>) -> (PieceSender, PieceReceiver) {
    let (sender, receiver) = async_channel::bounded(MAX_PIECES);
    let taken = Rc::new(Event::new());
    let sender = PieceSender { pieces: sender, memory: memory.clone(), taken: taken.clone() };
    (sender, PieceReceiver { pieces: receiver, memory: memory.clone(), taken })
}

fn length(piece: &StreamPiece) -> usize {
    match piece {
        StreamPiece::Events(events) => events.len(),
        StreamPiece::End => 0,
    }
}

impl PieceSender {
    /// Waits until the queue has room, and adds the piece.
    pub async fn send(&self, piece: StreamPiece) -> Result<(), ReceiverDropped> {
        self.room().await;
        self.memory.set_queued(length(&piece));
        self.pieces.send(piece).await.map_err(|_| ReceiverDropped)
    }

    /// Waits until the queue has room, or the receiver was dropped.
    pub async fn room(&self) {
        while self.is_full() {
            let taken = self.taken.listen();
            if self.is_full() {
                taken.await;
            }
        }
    }

    fn is_full(&self) -> bool {
        self.memory.queued_bytes() >= MAX_BYTES && !self.pieces.is_closed()
    }
}

impl PieceReceiver {
    /// Waits for the next piece; fails after the last one.
    pub async fn recv(&self) -> Result<StreamPiece, RecvError> {
        self.pieces.recv().await.inspect(|piece| self.set_taken(piece))
    }

    /// Takes a piece that is in the queue.
    pub fn try_recv(&self) -> Result<StreamPiece, TryRecvError> {
        self.pieces.try_recv().inspect(|piece| self.set_taken(piece))
    }

    /// Notes that the pieces that were taken out have been written to the client.
    pub fn set_written(&self) {
        self.memory.set_written();
    }

    fn set_taken(&self, piece: &StreamPiece) {
        self.memory.set_taken(length(piece));
        self.taken.notify(1);
    }
}

impl Drop for PieceReceiver {
    fn drop(&mut self) {
        self.pieces.close();
        self.taken.notify(1);
    }
}
