//! The pass time that an agent reports does not depend on how busy its engine is. If it did, all
//! entries would move from a busy replica to an idle one at the same time.

use lynxcart::agent::stage::StageTable;
use lynxcart::agent::{AgentContext, PositionOutput, SequenceKey};
use lynxcart::wire::gen::{ModelRole, StageHop, StageOpen};
use lynxcart::wire::RequestKey;

/// Time of a pass without other requests, in microseconds.
const UNLOADED_PASS_MICROS: u32 = 5_000;
/// Number of other requests in flight that doubles the time of a pass.
const PASS_DOUBLING_IN_FLIGHT: u32 = 16;

#[test]
fn a_busy_engine_is_reported_as_fast_as_an_idle_one() {
    for in_flight in [1, 8, 17, 33, 64] {
        let role = ModelRole {
            model: "m".into(),
            first_layer: 0,
            end_layer: 4,
            accelerator: "a".into(),
        };
        let mut table = StageTable::new(role, 64);
        let mut cx = AgentContext::default();
        table.engine_up();
        for number in 0..in_flight {
            let open = StageOpen {
                request: Some(RequestKey(u128::from(number)).into()),
                attempt: 1,
                chain: vec![
                    StageHop {
                        address: "a".into(),
                        first_layer: 0,
                        end_layer: 4,
                    },
                    StageHop {
                        address: "b".into(),
                        first_layer: 4,
                        end_layer: 8,
                    },
                ],
                model: "m".into(),
                max_tokens: 4,
                prompt: "p".into(),
                fresh: true,
                ..StageOpen::default()
            };
            table.open(&mut cx, "entry", open, false);
        }
        for number in 0..in_flight {
            let sequence = SequenceKey {
                request: RequestKey(u128::from(number)),
                opening: u64::from(number) + 1,
            };
            let micros = UNLOADED_PASS_MICROS
                + UNLOADED_PASS_MICROS * (in_flight - 1) / PASS_DOUBLING_IN_FLIGHT;
            table.engine_done(
                &mut cx,
                sequence,
                0,
                vec![PositionOutput::default()],
                micros,
            );
        }
        let reported_micros = table.unloaded_pass_micros();
        assert!(
            reported_micros.abs_diff(UNLOADED_PASS_MICROS) <= 10,
            "{in_flight} in flight: {reported_micros} us"
        );
    }
}
