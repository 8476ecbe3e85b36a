//! Which number a class or a tenant has. A number, once given, stays with its name for as long as the
//! broker runs, through all versions of its configuration, and is never given to another: what the module
//! remembers by number goes by meaning.

use routing::{ClassId, TenantId};
use std::collections::BTreeMap;

/// Names with their numbers. Those that are no longer in use keep theirs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameRegistry {
    classes: Numbers,
    tenants: Numbers,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Numbers {
    known: BTreeMap<String, usize>,
    next: usize,
}

impl Numbers {
    /// In the order of a list; of two with one name the first has it.
    fn in_order<'a>(names: impl Iterator<Item = &'a str>) -> Numbers {
        let mut numbers = Numbers::default();
        for name in names {
            numbers.known.entry(name.to_owned()).or_insert(numbers.next);
            numbers.next += 1;
        }
        numbers
    }

    fn add(&mut self, name: &str) {
        if !self.known.contains_key(name) {
            self.known.insert(name.to_owned(), self.next);
            self.next += 1;
        }
    }
}

impl NameRegistry {
    pub fn in_order<'a>(
        classes: impl Iterator<Item = &'a str>,
        tenants: impl Iterator<Item = &'a str>,
    ) -> NameRegistry {
        NameRegistry { classes: Numbers::in_order(classes), tenants: Numbers::in_order(tenants) }
    }

    /// The same, and a number for each name that has none.
    pub(crate) fn with<'a>(
        &self,
        classes: impl Iterator<Item = &'a str>,
        tenants: impl Iterator<Item = &'a str>,
    ) -> NameRegistry {
        let mut more = self.clone();
        classes.for_each(|name| more.classes.add(name));
        tenants.for_each(|name| more.tenants.add(name));
        more
    }

    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.known.get(name).map(|no| ClassId(*no as u16))
    }

    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.known.get(name).map(|no| TenantId(*no as u32))
    }

    pub(crate) fn class_at(&self, name: &str) -> usize {
        self.classes.known.get(name).copied().unwrap_or(usize::MAX)
    }

    pub(crate) fn tenant_at(&self, name: &str) -> usize {
        self.tenants.known.get(name).copied().unwrap_or(usize::MAX)
    }

    pub fn classes(&self) -> impl Iterator<Item = (&str, ClassId)> {
        self.classes.known.iter().map(|(name, no)| (&name[..], ClassId(*no as u16)))
    }
}
