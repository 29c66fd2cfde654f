//! Views as text for people.

mod fleet;
mod jobs;
mod plan;
mod status;
mod voters;

pub(super) use self::{
    fleet::{hosts, pools, presets, waves},
    jobs::{explanation, history, jobs},
    plan::plan,
    status::status,
    voters::{placed, voters},
};

/// A value, or a dash.
fn dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| String::from("-"), |v| v.to_string())
}

/// The stable name of an enum's variant, as JSON gives it.
fn label(value: &impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(text)) => text.replace('_', " "),
        Ok(other) => other.to_string(),
        Err(_) => String::from("?"),
    }
}
