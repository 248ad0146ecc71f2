//! Tests of the splitter for server-sent events.

use ingress::{Event, EventSplitter, SplitError};
use quickcheck::{QuickCheck, TestResult};

/// Splits the concatenated parts into events. Also returns whether a partial event remains.
fn split(parts: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.push(part);
        while let Some(event) = splitter.next_event().unwrap() {
            events.push(event);
        }
    }
    (events, splitter.has_partial())
}

/// Guards against a partial event among the results, and against changed bytes.
#[test]
fn complete_events_keep_their_bytes() {
    let text = b"weight-versions: 3\nid: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\nda";
    let (events, has_partial) = split(&[text]);
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(7), Some(8)]);
    let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
    assert_eq!(bytes, text[..text.len() - 8]);
    assert!(has_partial);
}

/// Guards against a result that depends on how the bytes are divided into reads.
#[test]
fn read_boundaries_do_not_change_the_events() {
    fn holds(ids: Vec<u16>, boundaries: Vec<usize>) -> TestResult {
        let text: String = ids.iter().map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect();
        let mut boundaries: Vec<usize> =
            boundaries.into_iter().map(|boundary| boundary % (text.len() + 1)).collect();
        boundaries.extend([0, text.len()]);
        boundaries.sort_unstable();
        let parts: Vec<&[u8]> =
            boundaries.windows(2).map(|pair| &text.as_bytes()[pair[0]..pair[1]]).collect();
        TestResult::from_bool(split(&parts) == split(&[text.as_bytes()]))
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u16>, Vec<usize>) -> TestResult);
}

/// Guards against unbounded memory use by an event that never ends.
#[test]
fn event_above_the_size_limit_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 300 * 1024]);
    assert_eq!(splitter.next_event(), Err(SplitError::TooLarge));
}
