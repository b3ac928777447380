//! The journal through many writes, merges, lost answers and expiry: what a successor loads is
//! what the owner knew.

#[path = "world/store.rs"]
mod store;

use lynxcart::agent::journal::{
    head_key, journal_prefix, KeyAnswer, KeyState, PartitionJournal, REMEMBER_MS,
};
use lynxcart::agent::AgentContext;
use lynxcart::agent::AgentOutput;
use lynxcart::clock::ClockTime;
use lynxcart::store::{
    prefix_end, PlatformAnswer, PlatformCall, PlatformError, PlatformItem, PlatformWrite,
};
use lynxcart::util::key_hash;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use store::FakeStore;

const SERVICE: &str = "s";

struct Bench {
    store: FakeStore,
    cx: AgentContext,
    rng: Pcg64Mcg,
    /// Share of answers that are lost, per thousand.
    lost: u32,
    /// Largest value written, bytes.
    largest: usize,
}

impl Bench {
    fn new(seed: u64, lost: u32) -> Bench {
        let mut store = FakeStore::default();
        let head = PlatformCall::Txn {
            compares: Vec::new(),
            writes: vec![PlatformWrite::Put {
                key: head_key(SERVICE, 0),
                value: b"head".to_vec(),
                lease: 0,
            }],
            reads: Vec::new(),
        };
        store.apply(ClockTime(0), &head);
        Bench {
            store,
            cx: AgentContext::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            lost,
            largest: 0,
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

    /// Writes until nothing is left to write; some answers are lost, before or after the write.
    fn settle(&mut self, journal: &mut PartitionJournal) {
        while journal.wake() != ClockTime::NEVER {
            self.cx.now = self.cx.now + 1_000;
            if journal.write_next(&mut self.cx).is_none() {
                return;
            }
            for output in std::mem::take(&mut self.cx.outputs) {
                let AgentOutput::Platform(number, call) = output else {
                    continue;
                };
                self.answer(journal, number, &call);
            }
        }
    }

    fn answer(&mut self, journal: &mut PartitionJournal, number: u64, call: &PlatformCall) {
        let now = self.cx.now;
        let lost = self.rng.random_range(0..1_000) < self.lost;
        let arrives = !lost || self.rng.random();
        let mut result = Err(PlatformError("lost".into()));
        if arrives {
            let answer = self.store.apply(now, call);
            assert!(matches!(answer, PlatformAnswer::Txn { .. }));
            if !lost {
                result = Ok(answer);
            }
        }
        if let PlatformCall::Txn { writes, .. } = call {
            let sizes = writes.iter().map(|write| match write {
                PlatformWrite::Put { value, .. } => value.len(),
                PlatformWrite::Delete { .. } => 0,
            });
            self.largest = self.largest.max(sizes.max().unwrap_or(0));
        }
        journal.answer(now, number, &result);
    }
}

fn hash(number: u32) -> [u8; 16] {
    key_hash("team", &number.to_string())
}

fn done(number: u32, bytes: usize) -> KeyAnswer {
    KeyAnswer {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(vec![u8::try_from(number % 251).unwrap(); bytes]),
    }
}

#[test]
fn a_successor_knows_all_that_the_owner_knew() {
    struct JournalCase {
        name: &'static str,
        keys: u32,
        body_bytes: usize,
        lost: u32,
    }
    let cases = [
        JournalCase {
            name: "few",
            keys: 5,
            body_bytes: 10,
            lost: 0,
        },
        JournalCase {
            name: "many small, merged",
            keys: 3_000,
            body_bytes: 10,
            lost: 0,
        },
        JournalCase {
            name: "many small, answers lost",
            keys: 2_000,
            body_bytes: 10,
            lost: 300,
        },
        JournalCase {
            name: "large, over several full segments",
            keys: 1_200,
            body_bytes: 4_000,
            lost: 50,
        },
    ];
    for (seed, case) in (1..).zip(cases) {
        let mut bench = Bench::new(seed, case.lost);
        let mut journal = bench.load(1);
        for number in 0..case.keys {
            let hash = hash(number);
            journal.intend(&hash, vec![1; 16], u64::from(number), 1_000);
            bench.settle(&mut journal);
            match number % 4 {
                0 => journal.strike(&hash, 1_000),
                1 => {}
                _ => journal.finish(&hash, done(number, case.body_bytes), 1_000),
            }
            bench.settle(&mut journal);
        }
        assert!(
            bench.largest <= 1_000_000,
            "{}: a value of {}",
            case.name,
            bench.largest
        );
        let batches = bench.items().len();
        assert!(batches < 100, "{}: {batches} stored batches", case.name);
        let successor = bench.load(2);
        assert_eq!(successor.key_count(), case.keys as usize, "{}", case.name);
        for number in 0..case.keys {
            let known = successor.lookup(&hash(number)).expect("a key");
            let expected = match number % 4 {
                0 => KeyState::Struck,
                1 => KeyState::Unknown,
                _ => KeyState::Done(done(number, case.body_bytes)),
            };
            assert_eq!(known.state, expected, "{}: key {number}", case.name);
        }
    }
}

#[test]
fn keys_are_forgotten_after_their_time_and_not_before() {
    let mut bench = Bench::new(1, 0);
    let mut journal = bench.load(1);
    for number in 0..10 {
        journal.intend(&hash(number), vec![1; 16], u64::from(number), 1_000);
        bench.settle(&mut journal);
        journal.finish(&hash(number), done(number, 10), 1_000);
        bench.settle(&mut journal);
    }
    for (wall_ms, known) in [(REMEMBER_MS - 60_000, 10), (REMEMBER_MS + 60_000, 0)] {
        // Another key gives the journal something to write, and so the time to look.
        bench.cx.wall_start_ms = wall_ms;
        bench.cx.now = ClockTime(0);
        journal.intend(&hash(99), vec![1; 16], 99, wall_ms);
        bench.settle(&mut journal);
        journal.strike(&hash(99), wall_ms);
        bench.settle(&mut journal);
        let old = (0..10).filter(|number| journal.lookup(&hash(*number)).is_some());
        assert_eq!(old.count(), known);
    }
}
