//! Tests of load reports between gateways.

use lynxcart::clock::ClockTime;
use lynxcart::gateway::peer::{LinkKey, PeerReport, PeerTable};
use lynxcart::wire::gen::{GatewayLoad, UpstreamLoad};

use crate::fixture::{key_of, placed_fleet};

const NOW: ClockTime = ClockTime(10_000);
const PEER: &str = "10.9.9.9:1";

#[test]
fn only_a_direct_report_of_a_dead_replica_is_passed_on() {
    let (_, mut local) = placed_fleet();
    let dead = key_of(&local, "v100-a-03");
    local.report_dead(NOW, dead);
    let (_, mut remote) = placed_fleet();
    let mut peers = PeerTable::default();
    for message in PeerTable::default().load_messages(NOW + 100, &local) {
        for report in peers.apply_report(NOW + 100, PEER, &message, &remote) {
            let PeerReport::ReportedDead(key, ago_ms) = report else {
                panic!("{report:?}");
            };
            assert!(
                remote.apply_peer_death(NOW + 100, key, ago_ms),
                "the report is new"
            );
            assert!(
                !remote.apply_peer_death(NOW + 100, key, ago_ms),
                "the same report is not new again"
            );
        }
    }
    assert!(remote.get(dead).reported_dead(NOW + 100));
    assert!(!remote.get(dead).usable(NOW + 100));
    let messages = PeerTable::default().load_messages(NOW + 200, &remote);
    let reported = messages
        .iter()
        .flat_map(|message| &message.loads)
        .filter(|load| load.named_ago > 0);
    assert_eq!(reported.count(), 0, "an indirect report was passed on");
}

#[test]
fn old_reports_and_reports_of_another_incarnation_do_not_count() {
    let (_, table) = placed_fleet();
    let key = key_of(&table, "l4-c-01");
    let load = |born| GatewayLoad {
        loads: vec![UpstreamLoad {
            address: table.get(key).entry.address.to_string(),
            born,
            in_flight: 7,
            reserved: 1_000,
            named_ago: 1,
            ..UpstreamLoad::default()
        }],
        ..GatewayLoad::default()
    };
    let mut peers = PeerTable::default();
    assert_eq!(peers.apply_report(NOW, PEER, &load(99), &table), []);
    assert_eq!(peers.peer_load(key).in_flight, 0.0);
    assert_eq!(
        peers.apply_report(NOW, PEER, &load(1), &table),
        [PeerReport::ReportedDead(key, 0)]
    );
    assert_eq!(peers.peer_load(key).in_flight, 7.0);
    peers.refresh_totals(NOW + 2_000);
    assert_eq!(peers.peer_load(key).in_flight, 0.0);
}

#[test]
fn link_requests_of_all_gateways_are_counted_in_both_directions() {
    let (_, table) = placed_fleet();
    let link = LinkKey::between("a", "b");
    let mut local = PeerTable::default();
    local.add_links(&[LinkKey::between("b", "a"), LinkKey::between("a", "c")]);
    let mut remote = PeerTable::default();
    remote.add_links(&[link.clone(), link.clone()]);
    for message in remote.load_messages(NOW, &table) {
        local.apply_report(NOW, PEER, &message, &table);
    }
    assert_eq!(local.link_requests(&link), 3);
    remote.remove_links(&[link.clone(), link.clone()]);
    for message in remote.load_messages(NOW, &table) {
        local.apply_report(NOW, PEER, &message, &table);
    }
    assert_eq!(local.link_requests(&link), 1);
}

/// A replica that said to one gateway that it is leaving gets no new requests from the others.
#[test]
fn peers_are_told_that_a_replica_is_leaving() {
    let (_, mut local) = placed_fleet();
    let (_, remote) = placed_fleet();
    let leaving = key_of(&local, "v100-a-03");
    local.mark_leaving(leaving);
    let mut told = Vec::new();
    for message in PeerTable::default().load_messages(NOW, &local) {
        told.extend(PeerTable::default().apply_report(NOW, "peer", &message, &remote));
    }
    assert_eq!(told, [PeerReport::Leaving(key_of(&remote, "v100-a-03"))]);
}

#[test]
fn gateway_that_was_told_of_a_leaving_replica_tells_those_that_start_later() {
    let (_, mut told) = placed_fleet();
    let (_, started) = placed_fleet();
    let leaving = key_of(&told, "v100-a-03");
    told.mark_told_leaving(leaving);
    let messages = PeerTable::default().load_messages(NOW, &told);
    let reports = messages
        .iter()
        .flat_map(|message| PeerTable::default().apply_report(NOW, "peer", message, &started));
    let reports: Vec<PeerReport> = reports.collect();
    assert_eq!(
        reports,
        [PeerReport::Leaving(key_of(&started, "v100-a-03"))]
    );
}

/// Totals are kept as reports arrive, and are those of all loads that still count.
#[test]
fn totals_follow_each_report_and_lose_what_is_too_old() {
    let (_, table) = placed_fleet();
    let key = key_of(&table, "l4-c-01");
    let entry = &table.get(key).entry;
    let report = |in_flight| GatewayLoad {
        loads: vec![UpstreamLoad {
            address: entry.address.to_string(),
            born: entry.born,
            in_flight,
            reserved: u64::from(in_flight) * 10,
            ..UpstreamLoad::default()
        }],
        ..GatewayLoad::default()
    };
    let mut peers = PeerTable::default();
    for (peer, in_flight, total) in [("p", 7, 7.0), ("q", 5, 12.0), ("p", 2, 7.0), ("q", 0, 2.0)] {
        peers.apply_report(NOW, peer, &report(in_flight), &table);
        assert_eq!(peers.peer_load(key).in_flight, total, "after {peer}");
        assert_eq!(peers.peer_load(key).reserved_kv, total * 10.0);
    }
    peers.apply_report(NOW + 1_000, "q", &report(4), &table);
    peers.refresh_totals(NOW + 1_600);
    assert_eq!(
        peers.peer_load(key).in_flight,
        4.0,
        "the report of p is old"
    );
}

#[test]
fn word_of_an_unknown_incarnation_that_is_leaving_is_not_lost() {
    let (_, table) = placed_fleet();
    let address = table.get(key_of(&table, "l4-c-01")).entry.address;
    for (leaving, expected) in [
        (false, vec![]),
        (true, vec![PeerReport::LeavingElsewhere(address, 99)]),
    ] {
        let load = GatewayLoad {
            loads: vec![UpstreamLoad {
                address: address.to_string(),
                born: 99,
                leaving,
                ..UpstreamLoad::default()
            }],
            ..GatewayLoad::default()
        };
        let mut peers = PeerTable::default();
        assert_eq!(peers.apply_report(NOW, PEER, &load, &table), expected);
    }
}
