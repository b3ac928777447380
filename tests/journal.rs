//! A journal that is loaded by the next owner has the same keys and states as that of the previous
//! owner, after many writes, merges, lost responses and expiry.

#[path = "world/store.rs"]
mod store;

use lynxcart::agent::journal::{
    head_key, journal_prefix, KeyState, PartitionJournal, ServiceResponse, KEY_RETENTION_MS,
};
use lynxcart::agent::AgentContext;
use lynxcart::agent::AgentOutput;
use lynxcart::clock::ClockTime;
use lynxcart::store::{
    prefix_end, PlatformError, PlatformItem, PlatformRequest, PlatformResponse, PlatformWrite,
};
use lynxcart::util::key_hash;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use store::FakeStore;

const SERVICE: &str = "s";

struct JournalHarness {
    store: FakeStore,
    cx: AgentContext,
    rng: Pcg64Mcg,
    /// Share of responses that are lost, per thousand.
    lost_per_mille: u32,
    /// Size of the largest value written, in bytes.
    largest_bytes: usize,
}

impl JournalHarness {
    fn new(seed: u64, lost_per_mille: u32) -> JournalHarness {
        let mut store = FakeStore::default();
        let head = PlatformRequest::Txn {
            compares: Vec::new(),
            writes: vec![PlatformWrite::Put {
                key: head_key(SERVICE, 0),
                value: b"head".to_vec(),
                lease: 0,
            }],
            reads: Vec::new(),
        };
        store.apply(ClockTime(0), &head);
        JournalHarness {
            store,
            cx: AgentContext::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            lost_per_mille,
            largest_bytes: 0,
        }
    }

    fn items(&self) -> Vec<PlatformItem> {
        let prefix = journal_prefix(SERVICE, 0);
        self.store.select(&prefix, &prefix_end(&prefix))
    }

    fn load(&self, epoch: u64) -> PartitionJournal {
        let head = self.store.select(&head_key(SERVICE, 0), "");
        let revision = head[0].mod_revision;
        PartitionJournal::load(SERVICE, 0, epoch, revision, &self.items())
    }

    /// Writes until nothing is left to write. Some responses are lost, before or after the write
    /// takes effect.
    fn write_all(&mut self, journal: &mut PartitionJournal) {
        while journal.next_wake() != ClockTime::NEVER {
            self.cx.now = self.cx.now + 1_000;
            if journal.write_next(&mut self.cx).is_none() {
                return;
            }
            for output in std::mem::take(&mut self.cx.outputs) {
                let AgentOutput::Platform(number, request) = output else {
                    continue;
                };
                self.answer_request(journal, number, &request);
            }
        }
    }

    fn answer_request(
        &mut self,
        journal: &mut PartitionJournal,
        number: u64,
        request: &PlatformRequest,
    ) {
        let now = self.cx.now;
        let lost = self.rng.random_range(0..1_000) < self.lost_per_mille;
        let arrives = !lost || self.rng.random();
        let mut result = Err(PlatformError("lost".into()));
        if arrives {
            let response = self.store.apply(now, request);
            assert!(matches!(response, PlatformResponse::Txn { .. }));
            if !lost {
                result = Ok(response);
            }
        }
        if let PlatformRequest::Txn { writes, .. } = request {
            let sizes = writes.iter().map(|write| match write {
                PlatformWrite::Put { value, .. } => value.len(),
                PlatformWrite::Delete { .. } => 0,
            });
            self.largest_bytes = self.largest_bytes.max(sizes.max().unwrap_or(0));
        }
        journal.handle_response(now, number, &result);
    }
}

fn hash(number: u32) -> [u8; 16] {
    key_hash("team", &number.to_string())
}

fn response(number: u32, bytes: usize) -> ServiceResponse {
    ServiceResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(vec![u8::try_from(number % 251).unwrap(); bytes]),
    }
}

#[test]
fn a_successor_restores_all_keys_of_the_owner() {
    struct JournalCase {
        name: &'static str,
        keys: u32,
        body_bytes: usize,
        lost_per_mille: u32,
    }
    let cases = [
        JournalCase {
            name: "few",
            keys: 5,
            body_bytes: 10,
            lost_per_mille: 0,
        },
        JournalCase {
            name: "many small, merged",
            keys: 3_000,
            body_bytes: 10,
            lost_per_mille: 0,
        },
        JournalCase {
            name: "many small, responses lost",
            keys: 2_000,
            body_bytes: 10,
            lost_per_mille: 300,
        },
        JournalCase {
            name: "large, over several full segments",
            keys: 1_200,
            body_bytes: 4_000,
            lost_per_mille: 50,
        },
    ];
    for (seed, case) in (1..).zip(cases) {
        let mut harness = JournalHarness::new(seed, case.lost_per_mille);
        let mut journal = harness.load(1);
        for number in 0..case.keys {
            let hash = hash(number);
            journal.record_intent(&hash, vec![1; 16], u64::from(number), 1_000);
            harness.write_all(&mut journal);
            match number % 4 {
                0 => journal.cancel(&hash, 1_000),
                1 => {}
                _ => journal.record_response(&hash, response(number, case.body_bytes), 1_000),
            }
            harness.write_all(&mut journal);
        }
        assert!(
            harness.largest_bytes <= 1_000_000,
            "{}: a value of {} bytes was written",
            case.name,
            harness.largest_bytes
        );
        let item_count = harness.items().len();
        assert!(item_count < 100, "{}: {item_count} stored items", case.name);
        let successor = harness.load(2);
        assert_eq!(successor.key_count(), case.keys as usize, "{}", case.name);
        for number in 0..case.keys {
            let known = successor.lookup(&hash(number)).expect("a key");
            let expected = match number % 4 {
                0 => KeyState::Cancelled,
                1 => KeyState::Unknown,
                _ => KeyState::Done(response(number, case.body_bytes)),
            };
            assert_eq!(known.state, expected, "{}: key {number}", case.name);
        }
    }
}

#[test]
fn keys_expire_after_the_retention_time_and_not_before() {
    let mut harness = JournalHarness::new(1, 0);
    let mut journal = harness.load(1);
    for number in 0..10 {
        journal.record_intent(&hash(number), vec![1; 16], u64::from(number), 1_000);
        harness.write_all(&mut journal);
        journal.record_response(&hash(number), response(number, 10), 1_000);
        harness.write_all(&mut journal);
    }
    for (wall_ms, known) in [
        (KEY_RETENTION_MS - 60_000, 10),
        (KEY_RETENTION_MS + 60_000, 0),
    ] {
        // Expired keys are removed only when there is something to write, so record another key.
        harness.cx.wall_start_ms = wall_ms;
        harness.cx.now = ClockTime(0);
        journal.record_intent(&hash(99), vec![1; 16], 99, wall_ms);
        harness.write_all(&mut journal);
        journal.cancel(&hash(99), wall_ms);
        harness.write_all(&mut journal);
        let old = (0..10).filter(|number| journal.lookup(&hash(*number)).is_some());
        assert_eq!(old.count(), known);
    }
}
