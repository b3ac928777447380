//! Tests of the order of positions in a store that is restored from older copies.

use lynxcart::store::position::{EraFault, EraStatement, EraTracker, StorePosition};
use proptest::prelude::{any, proptest};

#[test]
fn answers_are_believed_only_in_the_latest_era() {
    use EraStatement::{Absent, Era, Garbled};
    struct Case {
        name: &'static str,
        statements: &'static [EraStatement],
        last: Result<u64, EraFault>,
        era: u64,
    }
    let cases = [
        Case {
            name: "a store that states no era",
            statements: &[Absent, Absent],
            last: Ok(0),
            era: 0,
        },
        Case {
            name: "the first era stated is taken as it is",
            statements: &[Era(70)],
            last: Ok(70),
            era: 70,
        },
        Case {
            name: "a store that begins to state its era",
            statements: &[Absent, Era(70)],
            last: Ok(70),
            era: 70,
        },
        Case {
            name: "a restore",
            statements: &[Era(3), Era(4)],
            last: Ok(4),
            era: 4,
        },
        Case {
            name: "an answer that was overtaken",
            statements: &[Era(3), Era(4), Era(3)],
            last: Err(EraFault::Past),
            era: 4,
        },
        Case {
            name: "missing after it was stated",
            statements: &[Era(3), Absent],
            last: Err(EraFault::Absent),
            era: 3,
        },
        Case {
            name: "not a number",
            statements: &[Era(3), Garbled],
            last: Err(EraFault::Garbled),
            era: 3,
        },
        Case {
            name: "a rise beyond belief",
            statements: &[Era(3), Era(4_000)],
            last: Err(EraFault::Implausible),
            era: 3,
        },
        Case {
            name: "a number beyond belief",
            statements: &[Era(u64::MAX)],
            last: Err(EraFault::Implausible),
            era: 0,
        },
        Case {
            name: "believed again after faults",
            statements: &[Era(3), Garbled, Absent, Era(9_000), Era(4)],
            last: Ok(4),
            era: 4,
        },
    ];
    for case in cases {
        let mut tracker = EraTracker::default();
        let results = case.statements.iter().map(|said| tracker.observe(*said));
        let last = results.last().unwrap();
        assert_eq!(
            (last, tracker.era()),
            (case.last, case.era),
            "{}",
            case.name
        );
    }
}

proptest! {
    /// Tokens rise with positions, so that a replica fences off the holder of an earlier lease.
    #[test]
    fn fencing_tokens_keep_the_order_of_positions(
        one in (0..200_u64, 0..2_000_000_u64),
        other in (0..200_u64, 0..2_000_000_u64),
    ) {
        let (one, other) = (StorePosition::new(one.0, one.1), StorePosition::new(other.0, other.1));
        assert_eq!(one.cmp(&other), one.fencing_token().cmp(&other.fencing_token()));
    }

    /// A token is exact as a JSON number, or there is none.
    #[test]
    fn fencing_tokens_fit_a_json_number(era in any::<u64>(), revision in any::<u64>()) {
        let token = StorePosition::new(era, revision).fencing_token();
        assert!(token.is_none_or(|token| token < 1 << 53));
    }

    /// The era that a tracker knows never falls, and answers are believed only in it.
    #[test]
    fn known_era_never_falls(eras in proptest::collection::vec(0..100_u64, 1..40)) {
        let mut tracker = EraTracker::default();
        let mut latest = 0;
        for era in eras {
            if tracker.observe(EraStatement::Era(era)).is_ok() {
                assert!(era >= latest);
                latest = era;
            }
            assert_eq!(tracker.era(), latest);
        }
    }
}
