//! Batch of records that are sent in one datagram.

use super::record::{AgedRecord, Message, NodeRecord, MAX_DATAGRAM_BYTES};

/// Maximum size of a datagram without its records: version, authentication code, sender and time.
const DATAGRAM_OVERHEAD_BYTES: usize = 128;

/// Returns whether a datagram can hold the record on its own.
pub(super) fn fits_datagram(record: &NodeRecord) -> bool {
    DATAGRAM_OVERHEAD_BYTES + record.max_encoded_len() <= MAX_DATAGRAM_BYTES
}

/// Collects records up to the size of a datagram.
pub(super) struct RecordBatch {
    records: Vec<AgedRecord>,
    encoded_len: usize,
}

impl RecordBatch {
    pub(super) fn new() -> RecordBatch {
        RecordBatch { records: Vec::new(), encoded_len: DATAGRAM_OVERHEAD_BYTES }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn fits(&self, record: &NodeRecord) -> bool {
        self.encoded_len + record.max_encoded_len() <= MAX_DATAGRAM_BYTES
    }

    pub(super) fn push(&mut self, aged: AgedRecord) {
        self.encoded_len += aged.record.max_encoded_len();
        self.records.push(aged);
    }

    pub(super) fn into_message(self) -> Message {
        Message::Records(self.records)
    }
}
