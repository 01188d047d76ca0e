//! Request classes by name, for the client-facing servers.

use crate::routing::{Class, Consistency, Idempotency, Settings, TimeDelta};

/// Whether a request carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// It carries a key, so that endpoints drop a repeat of it.
    Present,
    /// It carries no key, so that a repeat of it runs again.
    Absent,
}

#[derive(Clone, Debug)]
struct NamedClass {
    name: String,
    /// The class number of the variant for requests without a key; `None` if the class is not keyed.
    keyless_variant: Option<usize>,
    consistency: Option<Consistency>,
    deadline: Option<TimeDelta>,
}

/// The request classes of a service, in the order of their class numbers.
#[derive(Clone, Debug)]
pub struct Classes(Vec<NamedClass>);

impl Classes {
    /// Assigns `names` to the classes of `settings`, in order, and appends a keyless variant of each keyed class to the
    /// settings.
    ///
    /// No endpoint drops the repeat of a request without a key. The variant is therefore not idempotent: its requests
    /// are retried only if the earlier attempt is known not to have run.
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

    /// The class names, in the order of the class numbers. Keyless variants have no names of their own.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|class| class.name.as_str())
    }

    /// For every class number, keyless variants included, the index of its name in [`Classes::names`].
    pub fn name_indices(&self) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.0.len()).collect();
        // `Classes::new` appended the variants in the order of their classes.
        for (index, class) in self.0.iter().enumerate() {
            if class.keyless_variant.is_some() {
                indices.push(index);
            }
        }
        indices
    }

    /// The class number for a request of the class `name`, with or without an idempotency key; `None` if there is no
    /// such class.
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

    /// Whether requests of the class are writes; false if there is no such class.
    pub fn writes(&self, name: &str) -> bool {
        self.class(name).and_then(|class| class.consistency) == Some(Consistency::Write)
    }

    /// Whether answers of the class include all commits up to a log position that the client sends; false if there is
    /// no such class.
    pub fn honors_client_position(&self, name: &str) -> bool {
        let consistency = self.class(name).and_then(|class| class.consistency);
        matches!(consistency, Some(Consistency::Session | Consistency::Strong | Consistency::Write))
    }

    /// How long a client waits for a request of the class, all attempts included; `None` if there is no such class or
    /// it has no deadline.
    pub fn deadline(&self, name: &str) -> Option<TimeDelta> {
        self.class(name)?.deadline
    }
}

#[cfg(test)]
mod tests;
