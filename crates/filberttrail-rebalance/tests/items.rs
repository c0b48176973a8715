//! The count of a message's values, on which the memory for its decoded form depends.

use filberttrail_rebalance::items::Items;

fn count(value: &impl serde::Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("the value is encoded");
    let Items(count) = ciborium::from_reader(&bytes[..]).expect("the message is counted");
    count
}

/// Guards against messages that take far more memory than they have bytes.
#[test]
fn counts_values_of_every_kind_and_depth() {
    assert_eq!(count(&7_u8), 1);
    assert_eq!(count(&(-7_i32, 0.5_f64, "text", true, None::<u8>, Some(1))), 7);
    assert_eq!(count(&vec![Vec::<Vec<u32>>::new(); 1_000]), 1_001);
    let map = std::collections::BTreeMap::from([("a", vec![1, 2]), ("b", vec![])]);
    assert_eq!(count(&map), 5);
}
