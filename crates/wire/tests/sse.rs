//! Guards against events that are lost, merged or split when the stream arrives in arbitrary chunks, and against events
//! that exceed the decoder's limit.

use wire::sse::{Decoder, DecoderError, encode};

fn decode(chunks: &[&[u8]]) -> Vec<(Option<String>, String)> {
    let mut decoder = Decoder::new(1024);
    let mut events = Vec::new();
    for chunk in chunks {
        decoder.feed(chunk).unwrap();
        while let Some(event) = decoder.next_event().unwrap() {
            events.push((event.id, event.data));
        }
    }
    events
}

#[test]
fn events_survive_every_split_point() {
    let mut stream = encode(Some("g.1"), b"{\"a\":1}").to_vec();
    stream.extend_from_slice(b": comment\r\n\r\ndata: x\r\n\r\n");
    stream.extend_from_slice(wire::sse::DONE);
    let whole = decode(&[&stream]);
    assert_eq!(whole.len(), 3);
    assert_eq!(whole[0], (Some("g.1".to_owned()), "{\"a\":1}".to_owned()));
    for split in 0..stream.len() {
        let (head, tail) = stream.split_at(split);
        assert_eq!(decode(&[head, tail]), whole, "split at {split}");
    }
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    assert_eq!(decode(&bytes), whole);
}

#[test]
fn an_event_over_the_size_limit_is_rejected() {
    let mut decoder = Decoder::new(16);
    let outcome = decoder.feed(&[b'x'; 32]);
    assert_eq!(outcome, Err(DecoderError::TooLarge(16)));
}
