//! The memory that many messages share stays within its limit, and is returned.

use filberttrail_limit::{Holding, Memory};
use filberttrail_test_support::property::check;

/// Guards against a crowd of large messages that leaves no room for an ordinary one.
#[test]
fn a_small_message_finds_room_while_large_ones_hold_memory() {
    let memory = Memory::new(1_000_000);
    let mut crowd: Vec<Holding> = (0..100).map(|_| memory.hold()).collect();
    for _ in 0..100 {
        for large in &mut crowd {
            large.grow(10_000);
        }
    }
    let mut ordinary = memory.hold();
    assert!(ordinary.grow(4_000));
    assert!(!ordinary.grow(100_000));
    assert!(memory.held() <= 1_000_000);
}

/// Guards against a refusal of a large message in an idle process.
#[test]
fn a_single_large_message_gets_half_of_the_memory() {
    let memory = Memory::new(1_000_000);
    let mut large = memory.hold();
    assert!(large.grow(500_000));
    assert!(!large.grow(1));
}

/// Guards against a sum above the limit, and against memory that is lost or returned twice.
#[test]
fn the_sum_stays_within_the_limit_and_everything_is_returned() {
    fn stays_within(seed: u64) -> bool {
        let mut random = fastrand::Rng::with_seed(seed);
        let limit = random.usize(0..10_000);
        let memory = Memory::new(limit);
        let mut holdings: Vec<Holding> = Vec::new();
        for _ in 0..500 {
            match random.u8(..4) {
                0 => holdings.push(memory.hold()),
                1 if !holdings.is_empty() => {
                    drop(holdings.swap_remove(random.usize(..holdings.len())))
                }
                2 if !holdings.is_empty() => {
                    let index = random.usize(..holdings.len());
                    holdings[index].shrink(random.usize(..1_000));
                }
                _ if !holdings.is_empty() => {
                    let index = random.usize(..holdings.len());
                    holdings[index].grow(random.usize(..1_000));
                }
                _ => {}
            }
            let sum: usize = holdings.iter().map(Holding::bytes).sum();
            assert_eq!(memory.held(), sum);
            assert!(sum <= limit);
        }
        drop(holdings);
        memory.held() == 0 && memory.hold().grow(limit / 2)
    }
    check(0x5eed_0038, stays_within as fn(u64) -> bool);
}
