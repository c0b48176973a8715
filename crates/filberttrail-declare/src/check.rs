//! Checks the semantic rules of declarations.

use crate::model::{Declarations, Estate, Team, Upstream};
use filberttrail_kernel::Error;
use std::collections::HashSet;

/// The maximum size of a part, in bytes: the limit of the platform for one object.
pub const PART_LIMIT: usize = 1_000_000;

/// Returns an error for every violated rule, with its location and a suggested fix.
pub fn check(declarations: &Declarations) -> Vec<Error> {
    let mut errors = Vec::new();
    let estate = &declarations.estate;
    check_names(estate, &declarations.teams, &mut errors);
    check_presets(estate, &mut errors);
    check_groups(estate, &mut errors);
    check_upstreams(estate, &mut errors);
    check_teams(estate, &declarations.teams, &mut errors);
    check_sizes(declarations, &mut errors);
    errors
}

fn report(errors: &mut Vec<Error>, location: String, message: impl ToString, help: &str) {
    errors.push(Error::declaration(location, message, help));
}

fn check_names(estate: &Estate, teams: &[Team], errors: &mut Vec<Error>) {
    check_unique("data-centres", estate.data_centres.iter().map(|item| &item.name), errors);
    check_unique("groups", estate.groups.iter().map(|item| &item.name), errors);
    check_unique("services", estate.services.iter().map(|item| &item.name), errors);
    check_unique("upstreams", estate.upstreams.iter().map(|item| &item.name), errors);
    check_unique("presets", estate.presets.iter().map(|item| &item.name), errors);
    check_unique("teams", teams.iter().map(|item| &item.name), errors);
}

fn check_unique<'a>(list: &str, names: impl Iterator<Item = &'a String>, errors: &mut Vec<Error>) {
    let mut seen = HashSet::new();
    for name in names {
        let location = format!("{list} ({name})");
        if !is_valid_name(name) {
            let help = "use 1 to 64 of a-z, 0-9, '-', '.' and '_'";
            report(errors, location, "not a usable name", help);
        } else if !seen.insert(name) {
            report(errors, location, "declared twice", "rename or remove one of the two");
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    (1..=64).contains(&name.len()) && name.chars().all(allowed)
}

fn check_presets(estate: &Estate, errors: &mut Vec<Error>) {
    if !estate.presets.iter().any(|preset| preset.name == estate.initial_preset) {
        let message = format!("no preset is called '{}'", estate.initial_preset);
        report(errors, "initial-preset".into(), message, "name one of the presets");
    }
    for preset in &estate.presets {
        let location = format!("presets ({})", preset.name);
        if preset.in_flight == 0 {
            report(errors, location.clone(), "in-flight is 0", "allow at least one request");
        }
        if preset.retry_percent > 100 {
            report(errors, location.clone(), "retry-percent is over 100", "use 0 to 100");
        }
        if preset.queue > 0 && preset.queue_wait_ms == 0 {
            let help = "set queue-wait-ms above 0, or queue to 0";
            report(errors, location, "a queue whose wait is 0", help);
        }
    }
}

fn check_groups(estate: &Estate, errors: &mut Vec<Error>) {
    for group in &estate.groups {
        let location = format!("groups ({})", group.name);
        let members =
            estate.upstreams.iter().filter(|item| item.group.as_ref() == Some(&group.name));
        let mut ranks: Vec<u32> = members.map(|item| item.rank).collect();
        ranks.sort_unstable();
        if ranks.is_empty() {
            report(errors, location, "no upstream is part of it", "declare one with this group");
            continue;
        }
        if ranks.iter().enumerate().any(|(index, rank)| *rank as usize != index) {
            let message = format!("its ranks are {ranks:?}");
            report(errors, location.clone(), message, "number them 0, 1, 2 ... once each");
        }
        let slots = u64::from(group.slots) * ranks.len() as u64;
        if group.experts == 0 || slots < u64::from(group.experts) {
            let message = format!("{slots} slots for {} experts", group.experts);
            report(errors, location, message, "give each expert at least one slot");
        }
    }
}

fn check_upstreams(estate: &Estate, errors: &mut Vec<Error>) {
    let mut addresses = HashSet::new();
    for upstream in &estate.upstreams {
        let location = format!("upstreams ({})", upstream.name);
        if !estate.data_centres.iter().any(|item| item.name == upstream.data_centre) {
            let message = format!("no data centre is called '{}'", upstream.data_centre);
            report(errors, location.clone(), message, "declare it, or name another");
        }
        if !addresses.insert(upstream.address) {
            let message = format!("address {} is taken", upstream.address);
            report(errors, location.clone(), message, "give each sidecar its own address");
        }
        if upstream.cold_limit == 0 || upstream.cold_limit > upstream.warm_limit {
            let message = format!("cold-limit {} of {}", upstream.cold_limit, upstream.warm_limit);
            report(errors, location.clone(), message, "use 1 to warm-limit");
        }
        check_membership(estate, upstream, location, errors);
    }
}

fn check_membership(
    estate: &Estate,
    upstream: &Upstream,
    location: String,
    errors: &mut Vec<Error>,
) {
    match (&upstream.group, &upstream.service) {
        (Some(group), None) => {
            if !estate.groups.iter().any(|item| item.name == *group) {
                let message = format!("no group is called '{group}'");
                report(errors, location, message, "declare it, or name another");
            }
        }
        (None, Some(service)) => {
            if !estate.services.iter().any(|item| item.name == *service) {
                let message = format!("no service is called '{service}'");
                report(errors, location, message, "declare it, or name another");
            }
        }
        _ => report(errors, location, "not one of group and service", "name exactly one of them"),
    }
}

fn check_teams(estate: &Estate, teams: &[Team], errors: &mut Vec<Error>) {
    let models: HashSet<&str> = estate.groups.iter().map(|group| group.model.as_str()).collect();
    let services: HashSet<&str> = estate.services.iter().map(|item| item.name.as_str()).collect();
    let mut keys = HashSet::new();
    for team in teams {
        let location = format!("teams ({})", team.name);
        let key = &team.key_sha256;
        if key.len() != 64 || !key.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f')) {
            let help = "give the key's SHA-256 in lower-case hexadecimal, 64 characters";
            report(errors, location.clone(), "key-sha256 is no SHA-256", help);
        } else if !keys.insert(key) {
            report(
                errors,
                location.clone(),
                "shares its key with another team",
                "give it its own key",
            );
        }
        if team.weight == 0 {
            report(errors, location.clone(), "weight is 0", "use 1 or more");
        }
        for model in
            team.models.iter().filter(|name| *name != "*" && !models.contains(name.as_str()))
        {
            let message = format!("no group runs the model '{model}'");
            report(errors, location.clone(), message, "declare a group for it, or remove it here");
        }
        for name in
            team.services.iter().filter(|name| *name != "*" && !services.contains(name.as_str()))
        {
            let message = format!("no service is called '{name}'");
            report(errors, location.clone(), message, "declare it, or remove it here");
        }
    }
}

fn check_sizes(declarations: &Declarations, errors: &mut Vec<Error>) {
    for (name, bytes) in crate::manifest::split(declarations) {
        if bytes.len() > PART_LIMIT {
            let message = format!("{} bytes, over the platform's {PART_LIMIT}", bytes.len());
            report(errors, name.to_string(), message, "shorten names, or split the estate");
        }
    }
}
