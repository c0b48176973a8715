//! Counts the values of a CBOR message without decoding it.

use serde::de::{IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// The number of values of a message: numbers, strings, lists and maps. An empty list of one byte takes
/// 24 bytes in memory, so the length of a message does not bound what it takes once decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Items(pub usize);

impl<'de> Deserialize<'de> for Items {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ItemsVisitor)
    }
}

struct ItemsVisitor;

impl<'de> Visitor<'de> for ItemsVisitor {
    type Value = Items;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<Items, E> {
        Ok(Items(1))
    }

    fn visit_i64<E>(self, _: i64) -> Result<Items, E> {
        Ok(Items(1))
    }

    fn visit_u64<E>(self, _: u64) -> Result<Items, E> {
        Ok(Items(1))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Items, E> {
        Ok(Items(1))
    }

    fn visit_str<E>(self, _: &str) -> Result<Items, E> {
        Ok(Items(1))
    }

    fn visit_bytes<E>(self, _: &[u8]) -> Result<Items, E> {
        Ok(Items(1))
    }

    fn visit_unit<E>(self) -> Result<Items, E> {
        Ok(Items(1))
    }

    fn visit_none<E>(self) -> Result<Items, E> {
        Ok(Items(1))
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Items, D::Error> {
        Items::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Items, A::Error> {
        let mut count = 1;
        while let Some(Items(items)) = access.next_element()? {
            count += items;
        }
        Ok(Items(count))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Items, A::Error> {
        let mut count = 1;
        while let Some((IgnoredAny, Items(items))) = access.next_entry()? {
            count += items;
        }
        Ok(Items(count))
    }
}
