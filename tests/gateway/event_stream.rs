//! Streams of events: whole events only, each once and in order, over any cuts and runs.

use bytes::Bytes;
use lynxcart::gateway::event_stream::{EventCutter, StreamError};
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

fn push(cutter: &mut EventCutter, text: &str) -> Result<String, StreamError> {
    let whole = cutter.push(Bytes::copy_from_slice(text.as_bytes()))?;
    Ok(String::from_utf8(whole.to_vec()).unwrap())
}

#[test]
fn a_part_of_an_event_is_held_back() {
    let mut cutter = EventCutter::default();
    assert_eq!(push(&mut cutter, "id: 1\ndata: to"), Ok(String::new()));
    assert!(cutter.holds_part());
    assert_eq!(push(&mut cutter, "ken 1\n\nid"), Ok(event(1)));
    assert_eq!(cutter.last(), Some(1));
}

#[test]
fn a_new_run_neither_repeats_nor_skips() {
    let mut cutter = EventCutter::default();
    assert_eq!(push(&mut cutter, &events(1..=3)), Ok(events(1..=3)));
    assert_eq!(push(&mut cutter, "id: 4\ndata: tok"), Ok(String::new()));
    cutter.restart();
    assert!(!cutter.holds_part());
    // It begins earlier than it had to: what was passed on stays away.
    assert_eq!(push(&mut cutter, &events(2..=5)), Ok(events(4..=5)));
    cutter.restart();
    assert_eq!(push(&mut cutter, &event(7)), Err(StreamError::Gap));
}

proptest! {
    #[test]
    fn any_cuts_and_runs_give_each_event_once(
        count in 1_u64..60,
        cuts in proptest::collection::vec(1_usize..90, 1..80),
        ends in proptest::collection::vec(1_usize..20, 0..4)
    ) {
        let mut cutter = EventCutter::default();
        let mut given = String::new();
        let mut cuts = cuts.iter().cycle();
        let mut ends = ends.into_iter();
        loop {
            let from = cutter.last().map_or(1, |last| last + 1);
            if from > count {
                break;
            }
            let text = events(from..=count);
            let (mut rest, mut pieces) = (text.as_bytes(), 0);
            let end = ends.next();
            while !rest.is_empty() && end.is_none_or(|end| pieces < end) {
                let (piece, left) = rest.split_at((*cuts.next().unwrap()).min(rest.len()));
                let whole = cutter.push(Bytes::copy_from_slice(piece)).unwrap();
                given.push_str(std::str::from_utf8(&whole).unwrap());
                rest = left;
                pieces += 1;
            }
            cutter.restart();
        }
        prop_assert_eq!(given, events(1..=count));
    }
}
