//! A YAML document as a tree that knows its lines.

use std::fmt::{self, Formatter};

use serde::{
    Deserialize, Deserializer,
    de::{Error as DeError, MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::{DuplicateKeyPolicy, Spanned};

use super::problem::Problem;

/// A value and the line where it begins.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) line: u64,
    pub(super) value: Value,
}

/// What a node holds. A map keeps its order and its duplicates.
#[derive(Clone, Debug)]
pub(super) enum Value {
    Null,
    Flag(bool),
    Integer(i64),
    Decimal(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(String, Node)>),
}

impl Node {
    /// Reads one document.
    pub(super) fn parse(text: &str) -> Result<Self, Problem> {
        let options = serde_saphyr::options! {
            duplicate_keys: DuplicateKeyPolicy::PassThrough,
            strict_booleans: true,
        };
        serde_saphyr::from_str_with_options(text, options).map_err(|error| Problem {
            line: error.location().map_or(1, |l| l.line()),
            path: String::new(),
            wrong: format!(
                "this isn't YAML ({})",
                first_line(&error.without_snippet().to_string())
            ),
            right: String::from("correct the syntax"),
        })
    }
}

/// The parser's own words, without the place that it repeats.
fn first_line(message: &str) -> &str {
    message.lines().next().unwrap_or_default()
}

impl Value {
    /// What it is, for messages.
    pub(super) fn shown(&self) -> String {
        match self {
            Self::Null => String::from("nothing"),
            Self::Flag(flag) => flag.to_string(),
            Self::Integer(number) => number.to_string(),
            Self::Decimal(number) => number.to_string(),
            Self::Text(text) => format!("{text:?}"),
            Self::List(_) => String::from("a list"),
            Self::Map(_) => String::from("a map"),
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self {
            line: spanned.referenced.line(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        Value::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Flag(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Integer(value))
    }

    fn visit_u64<E: DeError>(self, value: u64) -> Result<Value, E> {
        match i64::try_from(value) {
            Ok(value) => Ok(Value::Integer(value)),
            Err(_) => Ok(Value::Text(value.to_string())),
        }
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Decimal(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(String::from(value)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut map = Vec::new();
        while let Some(entry) = entries.next_entry()? {
            map.push(entry);
        }
        Ok(Value::Map(map))
    }
}
