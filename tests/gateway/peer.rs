//! What gateways tell each other.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::peer::{LinkKey, PeerNews, PeerTable};
use lynxcart::wire::gen::{GatewayLoad, UpstreamLoad};

use crate::fixture::{key_of, placed};

const NOW: ClockTime = ClockTime(10_000);
const PEER: &str = "10.9.9.9:1";

#[test]
fn a_replica_named_dead_reaches_the_others_first_hand_only() {
    let (_, mut mine) = placed();
    let dead = key_of(&mine, "v100-a-03");
    mine.name_dead(NOW, dead);
    let (_, mut theirs) = placed();
    let mut peers = PeerTable::default();
    for message in PeerTable::default().tell(NOW + 100, &mine) {
        for news in peers.hear(NOW + 100, PEER, &message, &theirs) {
            let PeerNews::NamedDead(key, ago_ms) = news else {
                panic!("{news:?}");
            };
            assert!(theirs.hear_named(NOW + 100, key, ago_ms), "it is news");
            assert!(
                !theirs.hear_named(NOW + 100, key, ago_ms),
                "it is news once"
            );
        }
    }
    assert!(theirs.get(dead).named_dead(NOW + 100));
    assert!(!theirs.get(dead).usable(NOW + 100));
    let told = PeerTable::default().tell(NOW + 200, &theirs);
    let named = told
        .iter()
        .flat_map(|message| &message.loads)
        .filter(|load| load.named_ago > 0);
    assert_eq!(named.count(), 0, "hearsay went on");
}

#[test]
fn old_word_and_word_of_another_incarnation_do_not_count() {
    let (_, table) = placed();
    let key = key_of(&table, "l4-c-01");
    let load = |born| GatewayLoad {
        loads: vec![UpstreamLoad {
            address: table.get(key).entry.address.to_string(),
            born,
            in_flight: 7,
            reserved: 1_000,
            named_ago: 1,
            pace_milli: 0,
        }],
        pipes: Vec::new(),
    };
    let mut peers = PeerTable::default();
    assert_eq!(peers.hear(NOW, PEER, &load(99), &table), []);
    assert_eq!(peers.peer_load(key).in_flight, 0.0);
    assert_eq!(
        peers.hear(NOW, PEER, &load(1), &table),
        [PeerNews::NamedDead(key, 0)]
    );
    assert_eq!(peers.peer_load(key).in_flight, 7.0);
    peers.sum(NOW + 2_000);
    assert_eq!(peers.peer_load(key).in_flight, 0.0);
}

#[test]
fn crossings_of_all_gateways_are_counted_whichever_way() {
    let (_, table) = placed();
    let pipe = LinkKey::between("a", "b");
    let mut mine = PeerTable::default();
    mine.add_links(&[LinkKey::between("b", "a"), LinkKey::between("a", "c")]);
    let mut theirs = PeerTable::default();
    theirs.add_links(&[pipe.clone(), pipe.clone()]);
    for message in theirs.tell(NOW, &table) {
        mine.hear(NOW, PEER, &message, &table);
    }
    assert_eq!(mine.link_requests(&pipe), 3);
    theirs.remove_links(&[pipe.clone(), pipe.clone()]);
    for message in theirs.tell(NOW, &table) {
        mine.hear(NOW, PEER, &message, &table);
    }
    assert_eq!(mine.link_requests(&pipe), 1);
}
