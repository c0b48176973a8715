//! Checks the validation of declarations and manifests, and lookups in a view.

use filberttrail_declare::load::{Source, parse};
use filberttrail_declare::model::{Call, Service};
use filberttrail_declare::{Manifest, View, manifest, sample};

fn parse_errors(text: &str) -> Vec<String> {
    let source = Source { name: "estate.toml".into(), text: text.into() };
    let errors = parse(&[source]).expect_err("errors");
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn accepts_the_sample() {
    let ports: Vec<u16> = (7_000..7_022).collect();
    let errors = filberttrail_declare::check::check(&sample::declarations(&ports));
    assert!(errors.is_empty(), "{errors:?}");
}

#[test]
fn reports_all_errors_at_once_with_location_and_fix() {
    let errors = parse_errors(
        r#"
initial-preset = "calm"
colour = "green"
[[data-centres]]
name = "north"
region = "home"
[[data-centres]]
name = "north"
region = "home"
[[upstreams]]
name = "engine"
data-centre = "nowhere"
address = "127.0.0.1:7000"
[[upstreams]]
name = "wrong"
data-centre = "north"
address = "not an address"
group = "g"
[[teams]]
name = "brewers"
key-sha256 = "short"
models = ["none"]
weight = 0
[[presets]]
name = "ordinary"
in-flight = 0
queue = 4
queue-wait-ms = 0
retry-percent = 101
"#,
    );
    for expected in [
        "no preset is called 'calm'",
        "colour: unknown key",
        "declared twice",
        "no data centre is called 'nowhere'",
        "not one of group and service",
        "(wrong)",
        "key-sha256 is no SHA-256",
        "no group runs the model 'none'",
        "weight is 0",
        "in-flight is 0",
        "retry-percent is over 100",
        "a queue whose wait is 0",
    ] {
        assert!(
            errors.iter().any(|error| error.contains(expected)),
            "no '{expected}' in {errors:#?}"
        );
    }
}

#[test]
fn reports_the_line_of_a_syntax_error() {
    let errors = parse_errors("initial-preset = \"a\"\n\n[[teams]\n");
    assert!(errors[0].contains("estate.toml:3"), "{errors:?}");
}

#[test]
fn only_get_head_and_declared_calls_are_repeatable() {
    let call = Call { method: "POST".into(), path: "/quotes/*".into() };
    let service = Service { name: "counter".into(), repeatable: vec![call], claim_shards: 1 };
    assert!(service.is_repeatable("GET", "/anything"));
    assert!(service.is_repeatable("POST", "/quotes/7"));
    assert!(!service.is_repeatable("POST", "/quotes/7/pay"));
    assert!(!service.is_repeatable("POST", "/quotes"));
    assert!(!service.is_repeatable("PUT", "/quotes/7"));
    assert!(!service.is_repeatable("POST", "/payments"));
}

#[test]
fn refuses_declarations_without_the_preset_in_force() {
    let ports: Vec<u16> = (7_000..7_022).collect();
    let declarations = sample::declarations(&ports);
    let first = Manifest::new(&declarations, "one".into());
    let mut next = declarations.clone();
    next.estate.presets.retain(|preset| preset.name != "ordinary");
    let refused = first.with_declarations(&next, "two".into()).expect_err("an error");
    assert!(refused.to_string().contains("in force but not declared"));
}

#[test]
fn refuses_to_change_the_number_of_claim_shards() {
    let ports: Vec<u16> = (7_000..7_022).collect();
    let before = sample::declarations(&ports);
    let mut after = before.clone();
    assert!(manifest::check_claim_shards(&before, &after).is_ok());
    after.estate.services[0].claim_shards += 1;
    let refused = manifest::check_claim_shards(&before, &after).expect_err("an error").to_string();
    assert!(refused.contains("claim-shards") && refused.contains("run again"), "{refused}");
}

#[test]
fn finds_teams_by_key_and_upstreams_in_service() {
    let ports: Vec<u16> = (7_000..7_022).collect();
    let declarations = sample::declarations(&ports);
    let mut manifest = Manifest::new(&declarations, "one".into());
    manifest.operation.data_centres_out.insert("harbour".into());
    let [(_, estate), (_, teams)] = manifest::split(&declarations);
    let view = View::new(manifest, &estate, &teams).expect("a view");
    assert_eq!(view.find_team("dev-key-03").expect("a team").name, "team-03");
    assert!(view.find_team("dev-key-3").is_none());
    let in_service = |all: Vec<&filberttrail_declare::model::Upstream>| {
        all.iter().filter(|upstream| !view.is_out(upstream)).count()
    };
    assert_eq!(in_service(view.upstreams_of_model("draft")), 12);
    assert_eq!(in_service(view.upstreams_of_service("counter")), 2);
}
