//! Measures single data structures and decisions in isolation, at three sizes each.

use super::Row;
use filberttrail_declare::model::{Declarations, Team, Upstream};
use filberttrail_declare::{Manifest, View, manifest, sample};
use filberttrail_kernel::digest::sha256_hex;
use filberttrail_kernel::id::Attempt;
use filberttrail_kernel::{Result, plugin};
use filberttrail_limit::Shares;
use filberttrail_limit::shares::Bounds;
use filberttrail_place::{Constraints, Map, Placer};
use filberttrail_protocol::frame::Load;
use filberttrail_protocol::{Frame, codec};
use filberttrail_route::{Candidate, Policy, Request, prefix};
use filberttrail_state::claim::{Operation, Outcome};
use filberttrail_state::{Ledger, Shard};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Measures every data structure and decision.
pub fn measure() -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for size in [500, 1_500, 5_500] {
        measure_teams(&mut rows, size)?;
    }
    for size in [100, 500, 1_500] {
        measure_upstreams(&mut rows, size)?;
    }
    for size in [16, 64, 256] {
        measure_routing(&mut rows, size)?;
        measure_placement(&mut rows, size)?;
    }
    for size in [50, 500, 5_500] {
        measure_shares(&mut rows, size);
    }
    for size in [2_000, 20_000, 200_000] {
        measure_ledger(&mut rows, size);
    }
    for size in [100, 500, 1_500] {
        measure_claims(&mut rows, size);
    }
    for size in [1, 16, 128] {
        measure_frames(&mut rows, size)?;
    }
    Ok(rows)
}

/// Returns the mean duration of a call, in microseconds.
fn measure_mean_time<T>(times: u32, mut call: impl FnMut() -> T) -> f64 {
    let started_at = Instant::now();
    for _ in 0..times {
        black_box(call());
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}

/// Returns the resident memory of the process, in bytes, for pages of 4 KiB.
fn read_resident_memory() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0
}

/// Returns by how much a value increases the resident memory, in bytes.
fn measure_memory<T>(make: impl FnOnce() -> T) -> f64 {
    let before = read_resident_memory();
    let value = make();
    let after = read_resident_memory();
    // The value is leaked, so that later measurements cannot reuse its memory.
    std::mem::forget(black_box(value));
    (after - before).max(0.0)
}

fn build_declarations(teams: usize, upstreams: usize) -> Declarations {
    let ports: Vec<u16> = (7_000..7_022).collect();
    let mut declarations = sample::declarations(&ports);
    let team = declarations.teams[0].clone();
    declarations.teams = (0..teams)
        .map(|index| Team {
            name: format!("team-{index:04}"),
            key_sha256: sha256_hex(format!("key {index}").as_bytes()),
            ..team.clone()
        })
        .collect();
    let upstream = declarations.estate.upstreams[0].clone();
    let more = (declarations.estate.upstreams.len()..upstreams)
        .map(|index| Upstream { name: format!("engine-{index:04}"), ..upstream.clone() });
    let more: Vec<Upstream> = more.collect();
    declarations.estate.upstreams.extend(more);
    declarations
}

fn measure_view(
    rows: &mut Vec<Row>,
    what: &str,
    size: usize,
    declarations: &Declarations,
) -> Result<()> {
    let [(_, estate), (_, teams)] = manifest::split(declarations);
    let first = Manifest::new(declarations, "bench".into());
    let part = if what == "teams" { teams.len() } else { estate.len() };
    rows.push(Row::new(&format!("configuration part, {what}"), size, part as f64, "bytes"));
    let build = || View::new(first.clone(), &estate, &teams);
    build()?;
    let mean_us = measure_mean_time(5, build);
    rows.push(Row::new(&format!("configuration indexed, {what}"), size, mean_us, "us"));
    let bytes = measure_memory(|| (0..8).map(|_| build()).collect::<Vec<_>>()) / 8.0;
    rows.push(Row::new(&format!("configuration memory, {what}"), size, bytes, "bytes"));
    Ok(())
}

fn measure_teams(rows: &mut Vec<Row>, size: usize) -> Result<()> {
    measure_view(rows, "teams", size, &build_declarations(size, 22))
}

fn measure_upstreams(rows: &mut Vec<Row>, size: usize) -> Result<()> {
    measure_view(rows, "upstreams", size, &build_declarations(10, size))
}

fn measure_routing(rows: &mut Vec<Row>, size: usize) -> Result<()> {
    let policy = plugin::find::<Policy>("expected-wait")?;
    let mut random = fastrand::Rng::with_seed(1);
    let candidate = |index: usize| Candidate {
        id: index as u64,
        reported_load: (index % 20) as u32,
        sent_since_report: (index % 3) as u32,
        concurrency_limit: 48,
        step_time: Duration::from_millis(20),
        round_trip: Duration::from_micros(500),
        cached_tokens: (index % 7) as u64 * 32,
    };
    let candidates: Vec<Candidate> = (0..size).map(candidate).collect();
    let prefixes = prefix::hash_prefixes("a prompt of a few words");
    let request = Request { sequence: 1, prompt_tokens: 900, prefixes };
    let mean_us = measure_mean_time(2_000, || policy.choose(&request, &candidates, &mut random));
    rows.push(Row::new("routing decision, candidates", size, mean_us, "us"));
    Ok(())
}

fn measure_placement(rows: &mut Vec<Row>, size: usize) -> Result<()> {
    let placer = plugin::find::<Placer>("few-moves")?;
    let experts = 128.min(size as u32);
    let map = Map::uniform(experts, size as u32, 2);
    let popularity: Vec<f64> = (0..experts).map(|index| 1.0 + f64::from(index % 9)).collect();
    let mean_us =
        measure_mean_time(3, || (placer.place)(&map, &popularity, &Constraints::default()));
    rows.push(Row::new("placement decision of a layer, ranks", size, mean_us, "us"));
    Ok(())
}

fn measure_shares(rows: &mut Vec<Row>, size: usize) {
    let capacity = 2 * size as u32;
    let bounds = Bounds { capacity, queue: 128, wait: Duration::from_secs(2) };
    let mut shares = Shares::new(bounds);
    let names: Vec<String> = (0..size).map(|index| format!("team-{index:04}")).collect();
    let now = Duration::from_secs(1);
    names.iter().for_each(|name| {
        shares.submit(name, 1, now);
    });
    let mut next = names.iter().cycle();
    let mean_us = measure_mean_time(2_000, || {
        if let Some(name) = next.next() {
            shares.submit(name, 1, now);
            shares.release(name, now);
        }
    });
    rows.push(Row::new("share decision, active teams", size, mean_us, "us"));
}

fn measure_ledger(rows: &mut Vec<Row>, size: usize) {
    let fill = || {
        let mut ledger = Ledger::new();
        ledger.register_connection(1, 1);
        for number in 0..size as u64 {
            ledger.offer(Attempt { owner: 1, number }, 1, Duration::ZERO);
        }
        ledger
    };
    let bytes = measure_memory(fill);
    rows.push(Row::new("ledger memory, attempts", size, bytes, "bytes"));
    rows.push(Row::new("ledger filled, attempts", size, measure_mean_time(1, fill), "us"));
}

fn measure_claims(rows: &mut Vec<Row>, size: usize) {
    let mut shard = Shard::default();
    for number in 0..size {
        let attempt = Attempt { owner: 1, number: number as u64 };
        let key = sha256_hex(format!("key {number}").as_bytes());
        let request = sha256_hex(b"a request");
        shard.apply(&Operation::Claim { key: key.clone(), request, attempt }, Duration::ZERO);
        let body = "{\"registered\":true,\"notice\":17}".to_string();
        let outcome = Outcome { status: 201, headers: vec![], body };
        shard.apply(&Operation::Record { key, attempt, outcome }, Duration::ZERO);
    }
    let bytes = serde_json::to_vec(&shard).map(|value| value.len()).unwrap_or_default();
    rows.push(Row::new("claims object, claims", size, bytes as f64, "bytes"));
    let mean_us = measure_mean_time(10, || serde_json::to_vec(&shard));
    rows.push(Row::new("claims object encoded, claims", size, mean_us, "us"));
}

fn measure_frames(rows: &mut Vec<Row>, size: usize) -> Result<()> {
    let chunk =
        bytes::Bytes::from_static(b"data: {\"choices\":[{\"index\":0,\"text\":\"w0001 \"}]}\n\n");
    let frame = |index: usize| Frame::Chunk(index as u64, 40, chunk.clone());
    let batch: Vec<Frame> = (0..size).map(frame).collect();
    let message = codec::encode(&batch)?;
    rows.push(Row::new("message of chunks, chunks", size, message.len() as f64, "bytes"));
    let encoding = measure_mean_time(1_000, || codec::encode(&batch));
    rows.push(Row::new("message encoded, chunks", size, encoding, "us"));
    let decoding = measure_mean_time(1_000, || codec::decode(&message));
    rows.push(Row::new("message decoded, chunks", size, decoding, "us"));
    if size == 1 {
        let load = codec::encode(&[Frame::Load(Load::default())])?;
        rows.push(Row::new("load message, loads", 1, load.len() as f64, "bytes"));
        let beat = codec::encode(&[Frame::Beat])?;
        rows.push(Row::new("beat message, beats", 1, beat.len() as f64, "bytes"));
    }
    Ok(())
}
