//! Access to the fields of a simulator's day in JSON.

use super::InvalidSimulatorDay;
use serde_json::Value;

/// Parts of a simulator's day that several steps of the conversion need.
pub(super) struct Source<'a> {
    pub(super) json: &'a Value,
    pub(super) zones: Vec<String>,
    /// Number of engine kinds.
    pub(super) engine_kinds: usize,
    /// Role of each engine kind.
    pub(super) roles: &'a [Value],
    /// Capacity and speed of each engine kind.
    pub(super) engine_specs: &'a [Value],
    pub(super) servers: &'a [Value],
    /// Conversation profile of each request class (`talks` in JSON): numbers of tokens and latency targets.
    pub(super) profiles: &'a [Value],
    /// Request classes.
    pub(super) classes: &'a [Value],
}

impl<'a> Source<'a> {
    pub(super) fn read(json: &'a Value) -> Result<Self, InvalidSimulatorDay> {
        let zones = list(json, "zones")?.iter().filter_map(|zone| zone.as_str().map(String::from)).collect();
        let first_tier = list(json, "tiers")?.first().ok_or(InvalidSimulatorDay::NoTier)?;
        let family = &json["fam"];
        Ok(Source {
            json,
            zones,
            engine_kinds: list(first_tier, "kinds")?.len(),
            roles: list(family, "roles")?,
            engine_specs: list(family, "engines")?,
            servers: list(json, "servers")?,
            profiles: list(family, "talks")?,
            classes: list(json, "classes")?,
        })
    }

    /// Returns the share of requests that belong to a class. The shares need not sum to 1.
    pub(super) fn class_share(&self, class: usize) -> f64 {
        self.classes.get(class).and_then(|class| number(class, &["share"])).unwrap_or(0.0)
    }

    pub(super) fn total_class_share(&self) -> f64 {
        (0..self.classes.len()).map(|class| self.class_share(class)).sum()
    }

    /// Returns the mean of a value of the conversation profiles, weighted by the shares of the request
    /// classes.
    pub(super) fn mean_of_profiles(&self, value: impl Fn(&Value) -> f64) -> f64 {
        let weighted =
            self.profiles.iter().enumerate().map(|(n, profile)| self.class_share(n) * value(profile));
        weighted.sum::<f64>() / self.total_class_share().max(1e-9)
    }

    pub(super) fn mean_prompt_tokens(&self) -> f64 {
        self.mean_of_profiles(|profile| {
            number(profile, &["new_tokens"]).unwrap_or(500.0)
                + number(profile, &["prefix_share"]).unwrap_or(0.0)
                    * number(profile, &["prefix_tokens"]).unwrap_or(0.0)
        })
    }

    pub(super) fn mean_output_tokens(&self) -> f64 {
        self.mean_of_profiles(|profile| number(profile, &["out_tokens"]).unwrap_or(100.0)).max(1.0)
    }
}

pub(super) fn number(json: &Value, path: &[&str]) -> Option<f64> {
    path.iter().try_fold(json, |inner, key| inner.get(key))?.as_f64()
}

pub(super) fn required_number(json: &Value, path: &[&str]) -> Result<f64, InvalidSimulatorDay> {
    number(json, path).ok_or_else(|| InvalidSimulatorDay::MissingNumber(path.join(".")))
}

pub(super) fn list<'a>(json: &'a Value, name: &str) -> Result<&'a [Value], InvalidSimulatorDay> {
    let list = json[name].as_array().map(Vec::as_slice);
    list.ok_or_else(|| InvalidSimulatorDay::MissingList(name.into()))
}

pub(super) fn text<'a>(json: &'a Value, name: &str) -> &'a str {
    json[name].as_str().unwrap_or("")
}
