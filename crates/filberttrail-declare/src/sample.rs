//! The sample declarations that `dev` and the tests use: engine groups and services on loopback.

use crate::model::*;
use filberttrail_kernel::digest::sha256_hex;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The names of the sample's data centres.
pub const DATA_CENTRES: [&str; 3] = ["north", "harbour", "south"];
/// The number of engines.
pub const ENGINES: usize = 16;
/// The number of engines per group.
pub const RANKS: usize = 4;
/// The names of the sample's services; the counter service is the first.
pub const SERVICES: [&str; 2] = ["counter", "control"];
/// The number of instances per service.
pub const INSTANCES: usize = 3;
/// The number of teams.
pub const TEAMS: usize = 10;

/// Returns the API key of a sample team; the declarations contain only its digest.
pub fn team_key(index: usize) -> String {
    format!("dev-key-{index:02}")
}

/// Returns the name of a sample team.
pub fn team_name(index: usize) -> String {
    format!("team-{index:02}")
}

/// Builds the sample declarations.
///
/// `ports` are the sidecars' ports: first those of the engines, then of each service's instances.
/// Missing ports are 0.
pub fn declarations(ports: &[u16]) -> Declarations {
    let mut estate = Estate { initial_preset: "ordinary".into(), ..Estate::default() };
    for name in DATA_CENTRES {
        estate.data_centres.push(DataCentre { name: name.into(), region: "home".into() });
    }
    for index in 0..ENGINES / RANKS {
        let name = format!("drafting-{index}");
        estate.groups.push(Group { name, model: "draft".into(), experts: 16, slots: 5 });
    }
    for name in SERVICES {
        estate.services.push(Service { name: name.into(), repeatable: vec![], claim_shards: 16 });
    }
    let mut ports = ports.iter().copied();
    for index in 0..ENGINES {
        let upstream = upstream(format!("engine-{index:02}"), index / RANKS, ports.next());
        let group = Some(format!("drafting-{}", index / RANKS));
        estate.upstreams.push(Upstream { group, rank: (index % RANKS) as u32, ..upstream });
    }
    for name in SERVICES {
        for index in 0..INSTANCES {
            let upstream = upstream(format!("{name}-{index}"), index, ports.next());
            estate.upstreams.push(Upstream { service: Some(name.into()), ..upstream });
        }
    }
    estate.presets = vec![
        preset("ordinary", 256, 128, 2_000, 10),
        preset("peak", 512, 64, 800, 5),
        Preset { rebalance: false, ..preset("maintenance", 128, 64, 2_000, 10) },
    ];
    Declarations { estate, teams: (0..TEAMS).map(team).collect() }
}

fn upstream(name: String, index: usize, port: Option<u16>) -> Upstream {
    Upstream {
        name,
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].into(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port.unwrap_or_default()),
        group: None,
        service: None,
        rank: 0,
        cold_limit: 4,
        warm_limit: 32,
        checks_fences: index.is_multiple_of(2),
    }
}

fn preset(
    name: &str,
    in_flight: u32,
    queue: u32,
    queue_wait_ms: u64,
    retry_percent: u32,
) -> Preset {
    let name = name.into();
    Preset { name, in_flight, queue, queue_wait_ms, retry_percent, rebalance: true }
}

fn team(index: usize) -> Team {
    let all = vec!["*".to_string()];
    Team {
        name: team_name(index),
        key_sha256: sha256_hex(team_key(index).as_bytes()),
        models: all.clone(),
        services: if index == 0 { all } else { vec![SERVICES[index % 2].into()] },
        weight: if index < 3 { 4 } else { 1 },
    }
}
