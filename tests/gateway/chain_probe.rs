//! Tests of what the answers of a silent chain's replicas show.

use lynxcart::gateway::chain_probe::{judge_probes, ProbeOutcome};
use lynxcart::gateway::upstream::UpstreamKey;

use ProbeOutcome::{Answered, Refused, Silent};

#[test]
fn only_replicas_that_are_silent_beside_others_or_refuse_are_unreachable() {
    struct Case {
        name: &'static str,
        outcomes: &'static [ProbeOutcome],
        unreachable: &'static [u32],
    }
    let cases = [
        Case {
            name: "all answer: the stream waits for something else",
            outcomes: &[Answered, Answered],
            unreachable: &[],
        },
        Case {
            name: "one went dark",
            outcomes: &[Answered, Silent, Answered],
            unreachable: &[1],
        },
        Case {
            name: "two went dark together",
            outcomes: &[Silent, Answered, Silent],
            unreachable: &[0, 2],
        },
        Case {
            name: "none is heard: this gateway may be cut off",
            outcomes: &[Silent, Silent],
            unreachable: &[],
        },
        Case {
            name: "the only one crashed",
            outcomes: &[Refused],
            unreachable: &[0],
        },
        Case {
            name: "one crashed, and the others are not heard",
            outcomes: &[Silent, Refused],
            unreachable: &[1],
        },
        Case {
            name: "nobody was asked",
            outcomes: &[],
            unreachable: &[],
        },
    ];
    for case in cases {
        let outcomes = (0..).map(UpstreamKey).zip(case.outcomes.iter().copied());
        let outcomes: Vec<(UpstreamKey, ProbeOutcome)> = outcomes.collect();
        let keys = case.unreachable.iter().copied().map(UpstreamKey);
        let expected: Vec<UpstreamKey> = keys.collect();
        assert_eq!(judge_probes(&outcomes), expected, "{}", case.name);
    }
}
