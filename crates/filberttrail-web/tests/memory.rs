//! Checks that a budget bounds the bytes that bodies hold, and gets all of them back.

use filberttrail_kernel::clock::Manual;
use filberttrail_web::memory::{Budget, Buffer, Cause, Part, Sizes};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const MEGABYTE: usize = 1 << 20;
const SIZE: usize = 4 * MEGABYTE;

fn budget() -> (Budget, Arc<Manual>) {
    let clock = Arc::new(Manual::new());
    let sizes = Sizes { requests: SIZE, responses: SIZE, connections: SIZE, peers: SIZE };
    (Budget::new(sizes, clock.clone()), clock)
}

fn used(budget: &Budget) -> usize {
    budget.used(Part::Requests)
}

/// Returns a buffer with this number of bytes.
fn fill(budget: &Budget, team: &str, size: usize) -> Buffer {
    let mut buffer = Buffer::new(budget, Part::Requests, team, size);
    let pieces = vec![1; size];
    assert!(pieces.chunks(1_000).all(|piece| buffer.push(piece)), "the body gave way");
    buffer
}

/// Guards against a share of the memory that is lost or used twice.
#[test]
fn parts_divide_the_memory() {
    let sizes = Sizes::with_memory(160_000_000);
    let parts = Part::ALL.map(|part| sizes.of(part));
    assert_eq!(parts, [48_000_000, 40_000_000, 40_000_000, 8_000_000]);
}

/// Guards against small pieces that retain more than their bytes, and against preallocation.
#[test]
fn a_buffer_is_charged_by_its_capacity_and_grows_with_the_body() {
    let (budget, _) = budget();
    let mut buffer = Buffer::new(&budget, Part::Requests, "a", MEGABYTE);
    for _ in 0..1_000 {
        assert!(buffer.push(b"x"));
    }
    assert_eq!(used(&budget), 8_192);
    assert!(buffer.push(&[0; 8_000]));
    assert_eq!(used(&budget), 16_384);
    drop(buffer);
    assert_eq!(used(&budget), 0);
}

/// Guards against a buffer that grows beyond what the body was announced to have.
#[test]
fn a_buffer_does_not_outgrow_the_announced_length() {
    let (budget, _) = budget();
    let buffer = fill(&budget, "a", 100_001);
    assert_eq!(used(&budget), 100_001);
    let body = buffer.finish().expect("a body");
    assert_eq!(body.len(), 100_001);
    assert_eq!(used(&budget), 100_001);
    let clone = body.clone();
    drop(body);
    assert_eq!(used(&budget), 100_001);
    drop(clone);
    assert_eq!(used(&budget), 0);
}

/// Guards against complete bodies without an announced length that keep up to twice their size.
#[test]
fn a_complete_body_returns_the_capacity_that_it_does_not_use() {
    let (budget, _) = budget();
    let mut buffer = Buffer::new(&budget, Part::Requests, "a", SIZE);
    assert!(buffer.push(&[1; 70_000]) && buffer.push(&[1; 1]));
    assert_eq!(used(&budget), 131_072);
    let body = buffer.finish().expect("a body");
    assert!((70_001..80_000).contains(&used(&budget)), "{}", used(&budget));
    assert_eq!(body.len(), 70_001);
}

/// Guards against a flood that keeps its memory, and against an evicted body that keeps its bytes.
#[tokio::test]
async fn the_oldest_body_gives_way_and_is_told() {
    let (budget, clock) = budget();
    let mut old = fill(&budget, "a", MEGABYTE);
    clock.advance(Duration::from_secs(1));
    let bodies = [fill(&budget, "a", MEGABYTE), fill(&budget, "a", MEGABYTE)];
    clock.advance(Duration::from_secs(1));
    let new = fill(&budget, "b", MEGABYTE / 2);
    old.evicted().await;
    assert!(!old.push(b"x"), "an evicted body grew");
    assert!(old.finish().is_none());
    assert_eq!(used(&budget), 2 * MEGABYTE + MEGABYTE / 2);
    assert_eq!(budget.denied(Part::Requests, Cause::Evicted), 1);
    assert!(bodies.into_iter().chain([new]).all(|body| body.finish().is_some()));
    assert_eq!(used(&budget), 0);
}

/// Guards against large bodies of running requests, which cannot be evicted, that leave no room.
#[test]
fn small_bodies_find_room_beside_large_ones_that_run() {
    let (budget, _) = budget();
    let mut complete = Vec::new();
    for _ in 0..3 {
        complete.push(fill(&budget, "a", MEGABYTE).finish().expect("a body"));
    }
    let mut refused = Buffer::new(&budget, Part::Requests, "b", MEGABYTE);
    assert!(!refused.push(&[0; 100_000]), "large bodies use more than their share");
    assert_eq!(budget.denied(Part::Requests, Cause::Refused), 1);
    let small = fill(&budget, "b", 50_000);
    let charge = budget.charge(Part::Requests, 8_192).expect("room for a small body");
    drop((small, charge, refused));
    assert_eq!(used(&budget), 3 * MEGABYTE);
}

/// Guards against a single large body that is refused although nothing else is there.
#[test]
fn a_large_body_in_an_idle_process_finds_room() {
    let limits = Sizes::with_memory(160_000_000);
    let budget = Budget::new(limits, Arc::new(Manual::new()));
    assert!(fill(&budget, "a", 16 << 20).finish().is_some());
}

/// Guards against a small body that finds no room beside bodies that are still being read.
#[test]
fn a_small_body_displaces_one_that_is_being_read() {
    let (budget, clock) = budget();
    let mut reading: Vec<Buffer> = (0..64).map(|_| fill(&budget, "a", 64 << 10)).collect();
    assert_eq!(used(&budget), SIZE);
    clock.advance(Duration::from_secs(1));
    assert!(budget.charge(Part::Requests, 8_192).is_some());
    reading.retain_mut(|buffer| buffer.push(b""));
    assert_eq!(reading.len(), 63);
}

/// Guards against a slow reader of a response whose memory is taken without its connection being closed.
#[test]
fn a_held_response_is_evicted_by_its_connection() {
    let (budget, clock) = budget();
    let held = fill(&budget, "a", 2 * MEGABYTE).finish_evictable();
    let (bytes, hold) = held.expect("a body");
    let closed = Arc::new(AtomicUsize::new(0));
    let counter = closed.clone();
    hold.on_evict(move || {
        counter.fetch_add(1, Ordering::Relaxed);
    });
    clock.advance(Duration::from_secs(1));
    let new = fill(&budget, "b", 2 * MEGABYTE);
    assert_eq!(closed.load(Ordering::Relaxed), 1);
    assert_eq!(used(&budget), 2 * MEGABYTE);
    let late = closed.clone();
    hold.on_evict(move || {
        late.fetch_add(1, Ordering::Relaxed);
    });
    assert_eq!(closed.load(Ordering::Relaxed), 2, "an eviction before the start was lost");
    drop((bytes, hold, new));
    assert_eq!(used(&budget), 0);
}

/// Guards against bytes that are lost or counted twice when bodies come and go on several threads.
#[test]
fn all_bytes_return_after_many_evictions() {
    let (budget, clock) = budget();
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (budget, clock) = (&budget, &clock);
            scope.spawn(move || {
                for round in 0..200 {
                    let team = format!("team-{thread}");
                    let size = 1 + 7_919 * (round * 31 + thread * 17) % MEGABYTE;
                    let mut buffer = Buffer::new(budget, Part::Requests, &team, size);
                    let whole = vec![0; size].chunks(50_000).all(|piece| buffer.push(piece));
                    assert!(used(budget) <= SIZE);
                    clock.advance(Duration::from_millis(1));
                    if whole && round % 2 == 0 {
                        drop(buffer.finish());
                    }
                }
            });
        }
    });
    assert_eq!(used(&budget), 0);
}

/// Guards against a shortage that logs each refusal, or whose end is never logged.
#[tokio::test(start_paused = true)]
async fn a_shortage_is_logged_at_its_start_and_its_end() {
    let (budget, clock) = budget();
    let (sender, mut events) = tokio::sync::mpsc::unbounded_channel();
    let budget = budget.with_log(move |event| sender.send(event.clone()).expect("a receiver"));
    for _ in 0..3 {
        let mut refused = Buffer::new(&budget, Part::Requests, "a", SIZE);
        assert!(!refused.push(&[0; SIZE]));
    }
    let start = events.recv().await.expect("a start");
    assert_eq!((start.part, start.size, start.denied), (Part::Requests, SIZE, None));
    assert!(events.try_recv().is_err());
    clock.advance(Duration::from_secs(4));
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(events.try_recv().is_err(), "the end came too early");
    clock.advance(Duration::from_secs(1));
    let end = events.recv().await.expect("an end");
    assert_eq!((end.part, end.used, end.denied), (Part::Requests, 0, Some(3)));
}
