//! Tests of splitting event streams: only complete events are passed on, each once and in order,
//! whatever the chunks and runs.

use bytes::Bytes;
use lynxcart::gateway::event_stream::{EventSplitter, StreamError};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

fn push(splitter: &mut EventSplitter, text: &str) -> Result<String, StreamError> {
    let complete = splitter.push(Bytes::copy_from_slice(text.as_bytes()))?;
    Ok(String::from_utf8(complete.to_vec()).unwrap())
}

#[test]
fn an_incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    assert_eq!(push(&mut splitter, "id: 1\ndata: to"), Ok(String::new()));
    assert!(splitter.has_partial_event());
    assert_eq!(push(&mut splitter, "ken 1\n\nid"), Ok(event(1)));
    assert_eq!(splitter.last_id(), Some(1));
}

#[test]
fn a_new_run_neither_repeats_nor_skips_events() {
    let mut splitter = EventSplitter::default();
    assert_eq!(push(&mut splitter, &events(1..=3)), Ok(events(1..=3)));
    assert_eq!(push(&mut splitter, "id: 4\ndata: tok"), Ok(String::new()));
    splitter.restart();
    assert!(!splitter.has_partial_event());
    // The new run begins earlier than necessary; events that were passed on are dropped.
    assert_eq!(push(&mut splitter, &events(2..=5)), Ok(events(4..=5)));
    splitter.restart();
    assert_eq!(push(&mut splitter, &event(7)), Err(StreamError::Gap));
}

#[test]
fn what_is_no_event_in_its_place_is_not_passed_on() {
    struct Case {
        name: &'static str,
        /// Whether another run brought the events 1 to 3 before.
        is_continuation: bool,
        text: &'static str,
        expected: Result<&'static str, StreamError>,
    }
    let case = |name, is_continuation, text, expected| Case {
        name,
        is_continuation,
        text,
        expected,
    };
    let head = "HTTP/1.1 500 Error\r\nserver: x\r\n\r\n";
    let cases = [
        case("head", false, head, Err(StreamError::NotAnEvent)),
        case("head", true, head, Err(StreamError::NotAnEvent)),
        case("html", false, "<p>x</p>\n\n", Err(StreamError::NotAnEvent)),
        case(
            "text",
            true,
            "out of room\n\n",
            Err(StreamError::NotAnEvent),
        ),
        case(
            "head in an event",
            true,
            "HTTP/1.1 200 OK\nid: 4\n\n",
            Err(StreamError::NotAnEvent),
        ),
        case("no id", true, "data: x\n\n", Err(StreamError::Unnumbered)),
        case(
            "own event without id",
            false,
            "data: x\n\n",
            Ok("data: x\n\n"),
        ),
        case("comment", true, ": x\n\n", Ok(": x\n\n")),
        case(
            "version first",
            true,
            "x-weight-versions: 2\nid: 4\ndata: x\n\n",
            Ok("x-weight-versions: 2\nid: 4\ndata: x\n\n"),
        ),
        case(
            "CRLF",
            true,
            "id: 4\r\ndata: x\r\n\r\nid: 5\r\n\r\n",
            Ok("id: 4\r\ndata: x\r\n\r\nid: 5\r\n\r\n"),
        ),
        case(
            "backwards",
            true,
            "id: 4\n\nid: 2\n\n",
            Err(StreamError::Repeated),
        ),
        case(
            "gap after an event",
            true,
            "id: 4\n\nid: 6\n\n",
            Err(StreamError::Gap),
        ),
        case(
            "largest id",
            false,
            "id: 18446744073709551615\n\n",
            Ok("id: 18446744073709551615\n\n"),
        ),
        case("data without a colon", false, "data\n\n", Ok("data\n\n")),
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        if case.is_continuation {
            push(&mut splitter, &events(1..=3)).unwrap();
            splitter.restart();
        }
        let before = splitter.last_id();
        let result = push(&mut splitter, case.text);
        assert_eq!(result, case.expected.map(str::to_owned), "{}", case.name);
        // What is not passed on has to come again.
        if result.is_err() {
            assert_eq!(splitter.last_id(), before, "{}", case.name);
        }
    }
}

#[test]
fn only_a_stream_with_ids_can_be_continued_and_only_by_new_events() {
    let mut splitter = EventSplitter::after(Some(2));
    assert_eq!(push(&mut splitter, &events(1..=2)), Ok(String::new()));
    assert_eq!(push(&mut splitter, &events(3..=3)), Ok(event(3)));
    assert!(splitter.can_continue() && !splitter.is_empty_continuation());
    splitter.restart();
    assert!(splitter.is_empty_continuation());
    assert_eq!(push(&mut splitter, ": x\n\n"), Ok(": x\n\n".to_owned()));
    assert_eq!(push(&mut splitter, &events(1..=3)), Ok(String::new()));
    assert!(splitter.is_empty_continuation());
    push(&mut splitter, &event(4)).unwrap();
    assert!(!splitter.is_empty_continuation());

    let mut splitter = EventSplitter::default();
    push(&mut splitter, "data: x\n\n").unwrap();
    assert!(!splitter.can_continue());
}

proptest! {
    #[test]
    fn each_event_is_passed_on_once_for_any_chunks_and_runs(
        count in 1_u64..60,
        chunk_sizes in proptest::collection::vec(1_usize..90, 1..80),
        chunk_counts in proptest::collection::vec(1_usize..20, 0..4)
    ) {
        let mut splitter = EventSplitter::default();
        let mut passed_on = String::new();
        let mut chunk_sizes = chunk_sizes.iter().cycle();
        let mut chunk_counts = chunk_counts.into_iter();
        loop {
            let from = splitter.last_id().map_or(1, |last| last + 1);
            if from > count {
                break;
            }
            let text = events(from..=count);
            let (mut unsent, mut chunks) = (text.as_bytes(), 0);
            let max_chunks = chunk_counts.next();
            while !unsent.is_empty() && max_chunks.is_none_or(|max_chunks| chunks < max_chunks) {
                let (chunk, remaining) = unsent.split_at((*chunk_sizes.next().unwrap()).min(unsent.len()));
                let complete = splitter.push(Bytes::copy_from_slice(chunk)).unwrap();
                passed_on.push_str(std::str::from_utf8(&complete).unwrap());
                unsent = remaining;
                chunks += 1;
            }
            splitter.restart();
        }
        prop_assert_eq!(passed_on, events(1..=count));
    }
}
