use super::*;

fn decode_in_pieces(bytes: &[u8], piece_len: usize) -> Result<Vec<Event>, Malformed> {
    let (mut decoder, mut events) = (EventDecoder::default(), Vec::new());
    for piece in bytes.chunks(piece_len) {
        decoder.push(piece);
        while let Some(event) = decoder.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

#[test]
fn events_do_not_depend_on_how_the_bytes_are_split() {
    let text = b": hello\n\ndata: {\"a\":1}\n\nevent: x\r\ndata:two\r\ndata: lines\r\n\r\ndata: [DONE]\n\n";
    let events = decode_in_pieces(text, text.len()).unwrap();
    assert_eq!(events.len(), 3);
    assert!(matches!(&events[0], Event::Data { data, .. } if &data[..] == b"{\"a\":1}"));
    assert!(matches!(&events[1], Event::Data { data, .. } if &data[..] == b"two\nlines"));
    assert_eq!(events[2], Event::Done);
    for piece_len in 1..text.len() {
        assert_eq!(decode_in_pieces(text, piece_len).unwrap(), events, "split every {piece_len} bytes");
    }
}

#[test]
fn invalid_and_oversized_events_are_rejected_and_truncated_ones_are_detected() {
    assert!(decode_in_pieces(b"<html>nope</html>\n\n", 5).is_err());
    assert!(decode_in_pieces(&vec![b'x'; MAX_EVENT_BYTES + 9], 4096).is_err());
    let mut truncated = EventDecoder::default();
    truncated.push(b"data: {\"a\"");
    assert!(truncated.next_event().unwrap().is_none() && truncated.has_incomplete_event());
}
