//! Tests of frames: only authenticated frames of the right version are accepted; any other input is
//! rejected without a panic.

use lynxcart::wire::gen::{envelope::Body, ConfigDigest, Envelope};
use lynxcart::wire::{FrameError, FrameKeys, WIRE_VERSION};
use proptest::prelude::*;

fn keys(secrets: &[&str]) -> FrameKeys {
    let secrets: Vec<String> = secrets.iter().map(|s| (*s).to_owned()).collect();
    FrameKeys::from_secrets(&secrets).expect("the secrets are not empty")
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
    sealing_secrets: &'static [&'static str],
    opening_secrets: &'static [&'static str],
    accepted: bool,
}

/// Pairs of keys of a sender and a receiver. The accepted ones occur during a key rotation.
const KEY_CASES: &[KeyCase] = &[
    KeyCase {
        sealing_secrets: &["old"],
        opening_secrets: &["old"],
        accepted: true,
    },
    KeyCase {
        sealing_secrets: &["old"],
        opening_secrets: &["old", "new"],
        accepted: true,
    },
    KeyCase {
        sealing_secrets: &["new", "old"],
        opening_secrets: &["old", "new"],
        accepted: true,
    },
    KeyCase {
        sealing_secrets: &["new", "old"],
        opening_secrets: &["new"],
        accepted: true,
    },
    KeyCase {
        sealing_secrets: &["old"],
        opening_secrets: &["new"],
        accepted: false,
    },
    KeyCase {
        sealing_secrets: &["other"],
        opening_secrets: &["old", "new"],
        accepted: false,
    },
];

#[test]
fn frames_are_accepted_throughout_a_key_rotation() {
    for case in KEY_CASES {
        let frame = keys(case.sealing_secrets).seal(&envelope(WIRE_VERSION, digest()));
        let result = keys(case.opening_secrets).open(&frame);
        assert_eq!(
            result.is_ok(),
            case.accepted,
            "{:?} {:?}",
            case.sealing_secrets,
            case.opening_secrets
        );
    }
}

#[test]
fn frames_of_another_version_or_without_body_are_rejected() {
    let keys = keys(&["k"]);
    let other_version = keys.seal(&envelope(WIRE_VERSION + 1, digest()));
    assert_eq!(keys.open(&other_version), Err(FrameError::BadVersion));
    let without_body = keys.seal(&envelope(WIRE_VERSION, None));
    assert_eq!(keys.open(&without_body), Err(FrameError::NoBody));
}

proptest! {
    #[test]
    fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        prop_assert!(keys(&["k"]).open(&bytes).is_err());
    }

    #[test]
    fn frame_with_a_flipped_bit_is_rejected(index in any::<prop::sample::Index>(), bit in 0..8u32) {
        let keys = keys(&["k"]);
        let mut frame = keys.seal(&envelope(WIRE_VERSION, digest()));
        let index = index.index(frame.len());
        frame[index] ^= 1 << bit;
        prop_assert_eq!(keys.open(&frame), Err(FrameError::BadTag));
    }
}
