//! Look-ups in a configuration.

use filberttrail_fleet::route::{Kind, Route};
use filberttrail_fleet::{Configuration, Table, Team};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_string(),
        host: host.to_string(),
        prefix: prefix.to_string(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(2),
        target: Duration::from_millis(300),
        priority: 1,
        split: split.iter().map(|(name, weight)| (name.to_string(), *weight)).collect(),
        attempts: 2,
        anonymous: false,
        resumes: false,
    }
}

fn table() -> Table {
    let team = |name: &str, keys: &[&str]| Team {
        name: name.to_string(),
        keys: keys.iter().map(|key| key.to_string()).collect(),
        priority: None,
    };
    Table::new(Configuration {
        generation: 4,
        routes: vec![
            route("short", "desk.example", "/a/", &[("x", 1)]),
            route("long", "desk.example", "/a/b/", &[("x", 90), ("y", 10)]),
            route("none", "desk.example", "/none/", &[("x", 0)]),
        ],
        services: Vec::new(),
        teams: vec![team("north", &["k1", "k2"]), team("south", &["k3"])],
        body_bytes: 100,
    })
}

#[test]
fn selects_the_longest_matching_prefix_of_the_host_and_ignores_its_case_and_port() {
    let table = table();
    let name =
        |host: &str, path: &str| table.find_route(host, path).map(|route| route.name.clone());
    assert_eq!(name("desk.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("DESK.example:8080", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("desk.example", "/a"), None, "the slash at the end of a prefix has to match");
    assert_eq!(name("other.example", "/a/"), None);
}

#[test]
fn a_key_selects_only_the_team_that_holds_it() {
    let table = table();
    let name = |key: &str| table.find_team(key).map(|team| team.name.clone());
    assert_eq!(name("k2").as_deref(), Some("north"));
    assert_eq!(name("k3").as_deref(), Some("south"));
    assert_eq!(name("k4"), None);
}

#[test]
fn picks_services_by_weight_and_hash_and_none_if_all_weights_are_0() {
    let table = table();
    let route = table.find_route("desk.example", "/a/b/").expect("a route");
    let to_y =
        (0..1_000u64).filter(|hash| route.pick_service(*hash).is_some_and(|name| name == "y"));
    assert_eq!(to_y.count(), 100);
    assert_eq!(route.pick_service(17), route.pick_service(17));
    let none = table.find_route("desk.example", "/none/").expect("a route");
    assert_eq!(none.pick_service(3), None, "no service is picked if all weights are 0");
}
