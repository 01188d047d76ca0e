//! Classes by name, as both fronts look them up.

use crate::routing::{Consistency, Idempotency, Settings, TimeDelta};

/// The classes of a service.
#[derive(Clone, Debug)]
pub struct Classes {
    names: Vec<String>,
    /// For a keyed class, the number of its twin for requests that carry no key.
    keyless: Vec<Option<usize>>,
    kinds: Vec<Option<Consistency>>,
    deadlines: Vec<Option<TimeDelta>>,
}

impl Classes {
    /// Names the classes of `settings`, and adds a twin to each keyed class. A repeat of a request without
    /// a key is dropped by nobody, so the twin may be repeated only where it never ran.
    pub fn new(names: Vec<String>, settings: &mut Settings) -> Classes {
        settings.classes.truncate(names.len());
        let mut keyless = Vec::new();
        for n in 0..settings.classes.len() {
            let twin = (settings.classes[n].idempotency == Some(Idempotency::Keyed))
                .then_some(settings.classes.len());
            if twin.is_some() {
                let class = crate::routing::Class {
                    idempotency: Some(Idempotency::NonIdempotent),
                    ..settings.classes[n].clone()
                };
                settings.classes.push(class);
            }
            keyless.push(twin);
        }
        let named = &settings.classes[..keyless.len()];
        Classes {
            kinds: named.iter().map(|c| c.consistency).collect(),
            deadlines: named.iter().map(|c| c.deadline).collect(),
            names,
            keyless,
        }
    }

    /// Names of the classes, and for every class number, twins included, that of its name.
    pub fn names(&self) -> (&[String], Vec<usize>) {
        let own = 0..self.keyless.len();
        let mut named: Vec<usize> = own.clone().collect();
        // Twins were added in the order of their classes.
        named.extend(own.filter(|n| self.keyless[*n].is_some()));
        (&self.names[..self.keyless.len()], named)
    }

    /// The number of a class by its name, for a request with or without a key.
    pub fn find(&self, name: &str, keyed: bool) -> Option<usize> {
        let n = self.names.iter().take(self.keyless.len()).position(|c| c == name)?;
        Some(self.keyless[n].filter(|_| !keyed).unwrap_or(n))
    }

    fn kind(&self, name: &str) -> Option<Consistency> {
        self.names.iter().position(|c| c == name).and_then(|n| self.kinds.get(n).copied().flatten())
    }

    /// Whether a class writes.
    pub fn writes(&self, name: &str) -> bool {
        self.kind(name) == Some(Consistency::Write)
    }

    /// Whether what a class answers includes a position that its client names.
    pub fn sees_positions(&self, name: &str) -> bool {
        matches!(self.kind(name), Some(Consistency::Session | Consistency::Strong | Consistency::Write))
    }

    /// The deadline of a class.
    pub fn deadline(&self, name: &str) -> Option<TimeDelta> {
        let n = self.names.iter().position(|c| c == name)?;
        self.deadlines.get(n).copied().flatten()
    }
}

#[cfg(test)]
mod tests;
