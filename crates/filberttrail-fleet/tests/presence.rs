//! Which entries run, as entries of small and large estates can tell from messages.

use filberttrail_fleet::blame::TRIAL_ENTRIES;
use filberttrail_fleet::presence::{Heard, Hearing, Presence, SILENCE_LIMIT};
use filberttrail_fleet::subset;
use filberttrail_kernel::digest::stable_hash;
use std::time::Duration;

const RETENTION: Duration = Duration::from_secs(60);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("entry-{number}")).collect()
}

fn hash(name: &str) -> u64 {
    stable_hash(name.as_bytes())
}

fn presence(own: &str, names: &[String]) -> Presence {
    let mut presence = Presence::new(ms(0), own, "noord");
    presence.set_entries(ms(0), names.iter().map(|name| (name.as_str(), "noord")));
    presence
}

/// Guards against duties that stay with machines that were removed: suspects were tried by nobody.
#[test]
fn two_entries_that_run_may_try_a_suspect_however_many_are_gone() {
    let heard = Heard::new();
    for (gone, present) in [(6, 3), (1, 2), (40, 7), (300, 3), (0, 5)] {
        let names = names(gone + present);
        let running = &names[gone..];
        let mut entries: Vec<Presence> = running.iter().map(|own| presence(own, &names)).collect();
        for at in (0..6_000).step_by(400) {
            for entry in &mut entries {
                running.iter().for_each(|name| entry.record_message(ms(at), name));
            }
        }
        for subject in 0..200_u64 {
            let may_try = |(name, entry): &(&String, &Presence)| {
                let list = entry.list_running(ms(6_000), &heard);
                subset::is_member(hash(name), &list, subject, TRIAL_ENTRIES)
            };
            let count = running.iter().zip(&entries).filter(may_try).count();
            assert_eq!(count, TRIAL_ENTRIES, "{gone} gone, {present} present, subject {subject}");
        }
    }
}

#[test]
fn an_entry_is_silent_after_the_limit_and_runs_again_with_its_next_message() {
    let heard = Heard::new();
    let names = names(2);
    let mut presence = presence("entry-0", &names);
    assert_eq!(presence.list_silent(SILENCE_LIMIT - ms(1), &heard), Vec::<String>::new());
    assert_eq!(presence.list_silent(SILENCE_LIMIT, &heard), ["entry-1"]);
    presence.record_message(ms(9_000), "entry-1");
    assert_eq!(presence.list_silent(ms(9_000), &heard), Vec::<String>::new());
    // While this process stood still, nobody could be heard.
    presence.restart(ms(60_000));
    assert_eq!(presence.list_silent(ms(60_000), &heard), Vec::<String>::new());
    presence.record_message(ms(60_100), "unregistered");
    assert_eq!(presence.list_running(ms(60_100), &heard).len(), 2);
}

/// Guards against each entry of a large estate taking all others for silent, as it hears only relays.
#[test]
fn entries_of_a_large_estate_hear_of_silent_ones_from_relays() {
    let names: Vec<(String, &str)> = ["noord", "zuid"]
        .into_iter()
        .flat_map(|place| (0..30).map(move |number| (format!("{place}-{number}"), place)))
        .collect();
    let listed = || names.iter().map(|(name, place)| (name.as_str(), *place));
    let start = |own: &str, place: &str, hearing: Hearing| {
        let mut presence = Presence::new(ms(0), own, place);
        presence.set_entries(ms(0), listed());
        presence.set_hearing(ms(0), hearing);
        presence
    };
    let mut relays = [
        start("noord-0", "noord", Hearing::DataCentre),
        start("zuid-0", "zuid", Hearing::DataCentre),
    ];
    let mut member = start("noord-9", "noord", Hearing::Relays);
    let gone = ["noord-3", "zuid-4", "zuid-5"];
    let mut heard = Heard::new();
    for at in (0..8_000).step_by(100) {
        let now = ms(at);
        heard.extend(["noord", "zuid"].map(|place| (place.to_string(), now)));
        for (relay, place) in relays.iter_mut().zip(["noord", "zuid"]) {
            for (name, _) in names.iter().filter(|(_, own)| *own == place) {
                if !gone.contains(&name.as_str()) {
                    relay.record_message(now, name);
                }
            }
        }
        let [noord, zuid] = &mut relays;
        noord.record_silent(now, &zuid.report_own(now, &heard));
        zuid.record_silent(now, &noord.report_own(now, &heard));
        member.record_silent(now, &noord.report_all(now, &heard));
    }
    for presence in [&relays[0], &relays[1], &member] {
        assert_eq!(presence.list_silent(ms(7_900), &heard), gone);
        assert_eq!(presence.list_running(ms(7_900), &heard).len(), names.len() - gone.len());
    }
    // One of them returns, and what was told of it is not told on between relays.
    for at in (8_000..12_000).step_by(100) {
        let now = ms(at);
        heard.extend(["noord", "zuid"].map(|place| (place.to_string(), now)));
        let [noord, zuid] = &mut relays;
        names
            .iter()
            .filter(|(name, own)| *own == "noord" && name != "noord-3")
            .for_each(|(name, _)| noord.record_message(now, name));
        names
            .iter()
            .filter(|(name, own)| *own == "zuid" && name != "zuid-5")
            .for_each(|(name, _)| zuid.record_message(now, name));
        noord.record_silent(now, &zuid.report_own(now, &heard));
        zuid.record_silent(now, &noord.report_own(now, &heard));
        member.record_silent(now, &noord.report_all(now, &heard));
    }
    for presence in [&relays[0], &relays[1], &member] {
        assert_eq!(presence.list_silent(ms(11_900), &heard), ["noord-3", "zuid-5"]);
    }
    // A data centre that is gone as a whole has no relay that tells of it.
    heard.insert("noord".to_string(), ms(20_000));
    member.record_silent(ms(20_000), &[]);
    assert_eq!(member.list_silent(ms(20_000), &heard).len(), 30, "all of zuid");
}

/// Guards against limits that are divided by the machines of months: a registration leaves the store.
#[test]
fn one_entry_at_a_time_questions_a_registration_after_the_retention() {
    let heard = Heard::new();
    let names = names(9);
    let running = &names[..7];
    let mut entries: Vec<Presence> = running.iter().map(|own| presence(own, &names)).collect();
    let mut first = None;
    let mut all = None;
    for at in (0..120_000).step_by(500) {
        for entry in &mut entries {
            running.iter().for_each(|name| entry.record_message(ms(at), name));
        }
        let expired = |entry: &Presence| {
            let expired = entry.list_expired(ms(at), RETENTION, &heard);
            assert!(expired.iter().all(|name| !running.contains(name)), "{expired:?}");
            expired.contains(&"entry-8".to_string())
        };
        let count = entries.iter().filter(|entry| expired(entry)).count();
        if count > 0 {
            first.get_or_insert((at, count));
        }
        if count == running.len() {
            all.get_or_insert(at);
        }
    }
    assert_eq!(first, Some((60_000, 1)));
    assert!(all.is_some(), "another one does so if the first can't");
}
