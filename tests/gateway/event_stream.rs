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
