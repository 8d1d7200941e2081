use serde_json::{json, Map, Value};

/// Converts a TOML value to JSON. Dates and non-finite numbers have no JSON form and are errors.
pub(super) fn json(value: &toml::Value) -> Result<Value, String> {
    Ok(match value {
        toml::Value::Array(items) => {
            Value::Array(items.iter().map(json).collect::<Result<_, _>>()?)
        }
        toml::Value::Boolean(value) => json!(value),
        toml::Value::Datetime(value) => return Err(format!("date `{value}` is not allowed")),
        toml::Value::Float(value) if value.is_finite() => json!(value),
        toml::Value::Float(value) => return Err(format!("number `{value}` is not allowed")),
        toml::Value::Integer(value) => json!(value),
        toml::Value::String(value) => json!(value),
        toml::Value::Table(table) => object(table)?,
    })
}

/// Converts a TOML table to a JSON object.
pub(super) fn object(table: &toml::Table) -> Result<Value, String> {
    let mut object = Map::new();
    for (key, value) in table {
        object.insert(key.clone(), json(value)?);
    }
    Ok(Value::Object(object))
}
