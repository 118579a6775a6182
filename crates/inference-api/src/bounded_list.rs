//! Decoding of lists item by item. No more items are decoded than a limit allows, and none is kept
//! here, so that a list with many small items does not need many times its size in memory.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The outcome of decoding a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListLength {
    /// Number of items.
    pub(crate) items: usize,
    /// Maximum number of items.
    pub(crate) limit: usize,
}

impl ListLength {
    /// Returns whether the list has more items than allowed. Only the first ones were decoded.
    pub(crate) fn is_exceeded(self) -> bool {
        self.items > self.limit
    }

    /// Describes a list that is too long, as the continuation of its name.
    pub(crate) fn error_message(self) -> String {
        format!("holds {} items, more than {}", self.items, self.limit)
    }
}

/// Decodes the first `limit` items of a list, and passes each one to `visit`. Further items are
/// only counted. Fails if `raw` is no list or one of the first items is no `T`.
pub(crate) fn visit_items<'a, T: Deserialize<'a>>(
    raw: &'a RawValue,
    limit: usize,
    visit: impl FnMut(T),
) -> Result<ListLength, serde_json::Error> {
    let mut deserializer = serde_json::Deserializer::from_str(raw.get());
    let items = ListVisitor {
        limit,
        visit,
        item: PhantomData,
    };
    items.deserialize(&mut deserializer)
}

struct ListVisitor<T, Visit> {
    limit: usize,
    visit: Visit,
    item: PhantomData<T>,
}

impl<'de, T: Deserialize<'de>, Visit: FnMut(T)> DeserializeSeed<'de> for ListVisitor<T, Visit> {
    type Value = ListLength;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<ListLength, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de, T: Deserialize<'de>, Visit: FnMut(T)> Visitor<'de> for ListVisitor<T, Visit> {
    type Value = ListLength;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(mut self, mut list: A) -> Result<ListLength, A::Error> {
        let mut items = 0;
        while items < self.limit {
            let Some(item) = list.next_element::<T>()? else {
                break;
            };
            (self.visit)(item);
            items += 1;
        }
        while list.next_element::<IgnoredAny>()?.is_some() {
            items += 1;
        }
        Ok(ListLength {
            items,
            limit: self.limit,
        })
    }
}

#[cfg(test)]
mod tests;
