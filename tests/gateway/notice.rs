//! Tests of the notices that wait for the store.

use lynxcart::fingerprint::RequestFingerprint;
use lynxcart::gateway::notice::{KeptNotice, NoticeQueue};
use lynxcart::gateway::part_ledger::{PartCertainty, PromptPart};

fn part_notice(certainty: Option<PartCertainty>) -> KeptNotice {
    KeptNotice::PromptPart {
        part: PromptPart::new("model", 7),
        certainty,
    }
}

fn write_all(queue: &mut NoticeQueue) -> Vec<KeptNotice> {
    let notices = queue.next_write().to_vec();
    for notice in &notices {
        queue.record_stored(notice.clone());
    }
    notices
}

#[test]
fn store_does_not_keep_a_quarantine_that_was_released() {
    let fingerprint = RequestFingerprint([1; 16]);
    let part_notices = (
        part_notice(Some(PartCertainty::Suspected)),
        part_notice(None),
    );
    let request_notices = (
        KeptNotice::Quarantine(fingerprint),
        KeptNotice::Released(fingerprint),
    );
    let mut queue = NoticeQueue::default();
    for (quarantined, released) in [part_notices, request_notices] {
        for _ in 0..2 {
            queue.add(quarantined.clone());
            assert_eq!(write_all(&mut queue), vec![quarantined.clone()]);
            queue.add(released.clone());
            assert_eq!(write_all(&mut queue), vec![released.clone()]);
        }
    }
    // What was not written yet is not written at all.
    let released = part_notice(None);
    queue.add(part_notice(Some(PartCertainty::Suspected)));
    queue.add(part_notice(Some(PartCertainty::Confirmed)));
    queue.add(released);
    assert_eq!(write_all(&mut queue).len(), 0);
    assert_eq!(queue.next_write(), []);
}
