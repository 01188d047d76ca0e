//! Request classes by name, as the client-facing servers look them up.

use crate::routing::{Class, Consistency, Idempotency, Settings, TimeDelta};

/// Whether a request carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// It does: endpoints drop a repeat of it.
    Present,
    /// It does not: a repeat of it runs again.
    Absent,
}

#[derive(Clone, Debug)]
struct NamedClass {
    name: String,
    /// For a keyed class, the number of its variant for requests without a key.
    keyless_variant: Option<usize>,
    consistency: Option<Consistency>,
    deadline: Option<TimeDelta>,
}

/// The request classes of a service, in the order of their class numbers.
#[derive(Clone, Debug)]
pub struct Classes(Vec<NamedClass>);

impl Classes {
    /// Names the classes of `settings`, and appends to the settings a keyless variant of each keyed class.
    ///
    /// No endpoint drops the repeat of a request without a key. The variant is therefore not idempotent: a request
    /// of it is retried only where the earlier attempt certainly never ran.
    pub fn new(names: Vec<String>, settings: &mut Settings) -> Classes {
        settings.classes.truncate(names.len());
        let mut named = Vec::new();
        let mut variants = Vec::new();
        for (name, class) in names.into_iter().zip(&settings.classes) {
            let mut keyless_variant = None;
            if class.idempotency == Some(Idempotency::Keyed) {
                keyless_variant = Some(settings.classes.len() + variants.len());
                variants.push(Class { idempotency: Some(Idempotency::NonIdempotent), ..class.clone() });
            }
            let (consistency, deadline) = (class.consistency, class.deadline);
            named.push(NamedClass { name, keyless_variant, consistency, deadline });
        }
        settings.classes.append(&mut variants);
        Classes(named)
    }

    /// The names of the classes, in the order of their numbers. Keyless variants have none of their own.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|class| class.name.as_str())
    }

    /// For every class number, keyless variants included, the index of its name in [`Classes::names`].
    pub fn name_indices(&self) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.0.len()).collect();
        // Variants were appended in the order of their classes.
        for (index, class) in self.0.iter().enumerate() {
            if class.keyless_variant.is_some() {
                indices.push(index);
            }
        }
        indices
    }

    /// The number of the class of that name for a request with or without an idempotency key.
    pub fn find(&self, name: &str, key: IdempotencyKey) -> Option<usize> {
        let number = self.0.iter().position(|class| class.name == name)?;
        match key {
            IdempotencyKey::Present => Some(number),
            IdempotencyKey::Absent => Some(self.0[number].keyless_variant.unwrap_or(number)),
        }
    }

    fn class(&self, name: &str) -> Option<&NamedClass> {
        self.0.iter().find(|class| class.name == name)
    }

    /// Whether requests of the class write.
    pub fn writes(&self, name: &str) -> bool {
        self.class(name).and_then(|class| class.consistency) == Some(Consistency::Write)
    }

    /// Whether an answer of the class reflects a log position that its client states.
    pub fn sees_positions(&self, name: &str) -> bool {
        let consistency = self.class(name).and_then(|class| class.consistency);
        matches!(consistency, Some(Consistency::Session | Consistency::Strong | Consistency::Write))
    }

    /// How long a client waits for a request of the class, all attempts included.
    pub fn deadline(&self, name: &str) -> Option<TimeDelta> {
        self.class(name)?.deadline
    }
}

#[cfg(test)]
mod tests;
