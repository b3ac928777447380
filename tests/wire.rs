//! Frames: what is authenticated is taken, everything else is dropped without harm.

use lynxcart::wire::gen::{envelope::Body, ConfigDigest, Envelope};
use lynxcart::wire::{FrameError, FrameKeys, WIRE_VERSION};
use proptest::prelude::*;

fn keys(secrets: &[&str]) -> FrameKeys {
    let secrets: Vec<String> = secrets.iter().map(|s| (*s).to_owned()).collect();
    FrameKeys::from_secrets(&secrets).expect("secrets are given")
}

fn envelope(version: u32, body: Option<Body>) -> Envelope {
    Envelope {
        version,
        sender: "127.0.0.1:1".into(),
        incarnation: 7,
        lamport: 9,
        body,
    }
}

fn digest() -> Option<Body> {
    Some(Body::ConfigDigest(ConfigDigest {
        complete_to: 3,
        peers: Vec::new(),
    }))
}

struct KeyCase {
    seals: &'static [&'static str],
    opens: &'static [&'static str],
    taken: bool,
}

/// A rotation goes through these pairs without a stop.
const KEY_CASES: &[KeyCase] = &[
    KeyCase {
        seals: &["old"],
        opens: &["old"],
        taken: true,
    },
    KeyCase {
        seals: &["old"],
        opens: &["old", "new"],
        taken: true,
    },
    KeyCase {
        seals: &["new", "old"],
        opens: &["old", "new"],
        taken: true,
    },
    KeyCase {
        seals: &["new", "old"],
        opens: &["new"],
        taken: true,
    },
    KeyCase {
        seals: &["old"],
        opens: &["new"],
        taken: false,
    },
    KeyCase {
        seals: &["other"],
        opens: &["old", "new"],
        taken: false,
    },
];

#[test]
fn keys_rotate_without_a_stop() {
    for case in KEY_CASES {
        let frame = keys(case.seals).seal(&envelope(WIRE_VERSION, digest()));
        let opened = keys(case.opens).open(&frame);
        assert_eq!(
            opened.is_ok(),
            case.taken,
            "{:?} {:?}",
            case.seals,
            case.opens
        );
    }
}

#[test]
fn frames_of_another_version_or_without_body_are_dropped() {
    let keys = keys(&["k"]);
    let other = keys.seal(&envelope(WIRE_VERSION + 1, digest()));
    assert_eq!(keys.open(&other), Err(FrameError::BadVersion));
    let empty = keys.seal(&envelope(WIRE_VERSION, None));
    assert_eq!(keys.open(&empty), Err(FrameError::NoBody));
}

proptest! {
    #[test]
    fn hostile_frames_are_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        prop_assert!(keys(&["k"]).open(&bytes).is_err());
    }

    #[test]
    fn a_changed_frame_is_dropped(at in any::<prop::sample::Index>(), bit in 0..8u32) {
        let keys = keys(&["k"]);
        let mut frame = keys.seal(&envelope(WIRE_VERSION, digest()));
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        prop_assert_eq!(keys.open(&frame), Err(FrameError::BadTag));
    }
}
