//! Tests of the lookup of routes and teams.

use lynxcart::gateway::catalog::{
    pick_target, RouteError, RouteRule, RouteTable, RouteTarget, ServingConfig, TeamRule, WorkKind,
};

fn route(host: &str, prefix: &str, anonymous: bool) -> RouteRule {
    RouteRule {
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: WorkKind::Idempotent,
        timeout_ms: 1_000,
        latency_target_ms: 100,
        priority: 2,
        targets: vec![RouteTarget {
            service: prefix.to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        anonymous,
        resumable: false,
        gap_target_ms: 0,
    }
}

fn config(version: u64) -> ServingConfig {
    ServingConfig {
        version,
        routes: vec![
            route("h.example", "/a/", false),
            route("h.example", "/a/b/", false),
            route("h.example", "/open/", true),
        ],
        teams: Some(vec![TeamRule {
            name: "mill".to_owned(),
            priority: Some(0),
            keys: vec!["k1".to_owned()],
        }]),
        ..ServingConfig::default()
    }
}

struct Case {
    host: &'static str,
    path: &'static str,
    key: &'static str,
    found: Result<(&'static str, Option<&'static str>, u8), RouteError>,
}

const CASES: &[Case] = &[
    Case {
        host: "h.example",
        path: "/a/x",
        key: "k1",
        found: Ok(("/a/", Some("mill"), 0)),
    },
    Case {
        host: "H.Example:80",
        path: "/a/b/x",
        key: "k1",
        found: Ok(("/a/b/", Some("mill"), 0)),
    },
    Case {
        host: "h.example",
        path: "/a/b",
        key: "k1",
        found: Ok(("/a/", Some("mill"), 0)),
    },
    Case {
        host: "h.example",
        path: "/open/x",
        key: "",
        found: Ok(("/open/", None, 2)),
    },
    Case {
        host: "h.example",
        path: "/a/x",
        key: "k2",
        found: Err(RouteError::BadKey),
    },
    Case {
        host: "h.example",
        path: "/a/x",
        key: "",
        found: Err(RouteError::BadKey),
    },
    Case {
        host: "h.example",
        path: "/b/",
        key: "k1",
        found: Err(RouteError::NoRoute),
    },
    Case {
        host: "other.example",
        path: "/a/",
        key: "k1",
        found: Err(RouteError::NoRoute),
    },
];

#[test]
fn the_longest_matching_prefix_wins_and_the_key_selects_the_team() {
    let mut table = RouteTable::default();
    assert_eq!(
        table.find("h.example", "/a/", "k1").unwrap_err(),
        RouteError::NoConfig
    );
    assert!(table.apply(config(3)));
    for case in CASES {
        let found = table.find(case.host, case.path, case.key);
        let found = found.map(|found| {
            let team = found.team.map(|team| team.name.as_str());
            (found.route.prefix.as_str(), team, found.priority())
        });
        assert_eq!(
            found, case.found,
            "{} {} {}",
            case.host, case.path, case.key
        );
    }
}

#[test]
fn versions_never_go_back() {
    let mut table = RouteTable::default();
    assert!(table.apply(config(3)));
    assert!(!table.apply(ServingConfig {
        routes: Vec::new(),
        ..config(2)
    }));
    assert!(!table.apply(ServingConfig {
        routes: Vec::new(),
        ..config(3)
    }));
    assert_eq!(table.config().routes.len(), 3);
}

#[test]
fn targets_are_picked_in_proportion_to_their_weights() {
    let target = |service: &str, weight| RouteTarget {
        service: service.to_owned(),
        weight,
    };
    let targets = [target("x", 90), target("none", 0), target("y", 10)];
    let count = |name| {
        (0..100)
            .filter(|draw| pick_target(&targets, *draw).unwrap().service == name)
            .count()
    };
    assert_eq!((count("x"), count("none"), count("y")), (90, 0, 10));
    assert!(pick_target(&[], 5).is_none());
}
