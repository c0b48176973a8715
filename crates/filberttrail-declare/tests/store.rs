//! Checks that a store never applies an older generation, even if manifests and parts arrive late,
//! twice or out of order, and that it refuses damaged ones.

use bytes::Bytes;
use filberttrail_declare::model::Declarations;
use filberttrail_declare::store::Outcome;
use filberttrail_declare::{Manifest, Operation, Store, manifest, sample};
use filberttrail_test_support::property;

fn declarations() -> Declarations {
    // One port for each sidecar of the sample: 16 engines, and 2 services with 3 instances each.
    let ports: Vec<u16> = (7_000..7_022).collect();
    sample::declarations(&ports)
}

fn history() -> Vec<Manifest> {
    let declarations = declarations();
    let mut all = vec![Manifest::new(&declarations, "change-1".into())];
    for generation in 2..10_u32 {
        let mut operation: Operation = all[all.len() - 1].operation.clone();
        let names = ["ordinary", "peak", "maintenance"];
        operation.preset = names[generation as usize % 3].into();
        let next = all[all.len() - 1].with_operation(operation, format!("change-{generation}"));
        all.push(next);
    }
    all
}

fn encode(manifest: &Manifest) -> Vec<u8> {
    serde_json::to_vec(manifest).expect("a manifest is JSON")
}

/// Offers manifests and parts in a scripted order; returns the applied generations.
///
/// Each byte of the script is one offer. Its remainder by 4 selects what is offered: 0 the part
/// with the estate, 1 the part with the teams, 2 and 3 the manifest whose index in the history is
/// the byte's quotient by 4, modulo the length of the history.
///
/// With `unordered`, returns the generation of every offered manifest instead, as if each was
/// applied on arrival, with or without its parts.
fn run_script(script: &[u8], unordered: bool) -> Vec<u64> {
    let (history, parts) = (history(), manifest::split(&declarations()));
    let first = &history[0];
    let mut store = Store::new();
    let mut applied = Vec::new();
    for step in script {
        let index = usize::from(*step);
        let outcome = match step % 4 {
            0 => store.offer_part(&first.estate, Bytes::from(parts[0].1.clone())),
            1 => store.offer_part(&first.teams, Bytes::from(parts[1].1.clone())),
            _ => {
                let manifest = &history[index / 4 % history.len()];
                if unordered {
                    // Without ordering, every manifest is applied when it arrives.
                    applied.push(manifest.generation);
                }
                store.offer_manifest(&encode(manifest))
            }
        };
        if let Ok(Outcome::Applied(view)) = outcome
            && !unordered
        {
            applied.push(view.manifest.generation);
        }
    }
    applied
}

#[test]
fn never_applies_an_older_generation() {
    fn is_strictly_increasing(script: Vec<u8>) -> bool {
        run_script(&script, false).windows(2).all(|pair| pair[0] < pair[1])
    }
    property::check(41, is_strictly_increasing as fn(Vec<u8>) -> bool);
}

#[test]
fn applies_an_older_generation_without_ordering() {
    let scripts: Vec<Vec<u8>> = (0..64).map(|start| vec![start, start + 64, start + 33]).collect();
    let is_strictly_increasing =
        |script: &Vec<u8>| run_script(script, true).windows(2).all(|pair| pair[0] < pair[1]);
    assert!(
        !scripts.iter().all(is_strictly_increasing),
        "no script offers an older manifest, or one twice, so the property test cannot fail"
    );
}

#[test]
fn refuses_a_damaged_part_and_still_needs_it() {
    let mut store = Store::new();
    let manifest = &history()[0];
    store.offer_manifest(&encode(manifest)).expect("a manifest");
    let refused = store.offer_part(&manifest.estate, Bytes::from_static(b"{}"));
    assert!(
        refused
            .expect_err("an error")
            .to_string()
            .contains("its content does not match its digest")
    );
    assert_eq!(store.missing().len(), 2);
    assert_eq!(store.generation(), 0);
}

#[test]
fn refuses_malformed_manifests() {
    let mut store = Store::new();
    for text in ["", "{}", "[1,2]", "{\"generation\":-1}", "\u{0}"] {
        assert!(store.offer_manifest(text.as_bytes()).is_err(), "{text:?} was accepted");
    }
}

#[test]
fn reports_an_older_manifest_as_stale() {
    let (history, parts) = (history(), manifest::split(&declarations()));
    let mut store = Store::new();
    store.offer_manifest(&encode(&history[3])).expect("a manifest");
    for (digest, (_, bytes)) in [&history[3].estate, &history[3].teams].iter().zip(parts) {
        store.offer_part(digest, bytes.into()).expect("a part");
    }
    assert_eq!(store.generation(), 4);
    assert!(matches!(store.offer_manifest(&encode(&history[1])), Ok(Outcome::Stale)));
    assert_eq!(store.generation(), 4);
}
