use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{DeserializeOwned, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A value that is read from a JSON object only. Derived decoders also accept an array of the members in declaration
/// order, which would make that order part of the schema.
pub(super) struct Object<T>(pub(super) T);

struct Members<T>(PhantomData<T>);

impl<'de, T: DeserializeOwned> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer
            .deserialize_map(Members(PhantomData))
            .map(Object)
    }
}

impl<'de, T: DeserializeOwned> Visitor<'de> for Members<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<T, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map))
    }
}

/// Deserializes a member that is an object.
pub(super) fn object<'de, T: DeserializeOwned, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Object::deserialize(deserializer).map(|Object(value)| value)
}

/// Deserializes a member that is a list of objects.
pub(super) fn objects<'de, T: DeserializeOwned, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<T>, D::Error> {
    let objects = Vec::<Object<T>>::deserialize(deserializer)?;
    Ok(objects.into_iter().map(|Object(value)| value).collect())
}
