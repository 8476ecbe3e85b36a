//! Which ids the names of request classes and tenants have. An id, once assigned, stays with its name for as
//! long as the broker runs, through all versions of its configuration, and is never assigned to another name:
//! the routing state is stored by id, and would otherwise count for another class or tenant.

use routing::{ClassId, TenantId};
use std::collections::BTreeMap;

/// Names of request classes and tenants with their ids. Names that are no longer in use still have theirs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameRegistry {
    classes: NumberedNames,
    tenants: NumberedNames,
}

/// Names with their numbers, and the next free number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct NumberedNames {
    numbers: BTreeMap<String, usize>,
    next_number: usize,
}

impl NumberedNames {
    /// Numbers by the order of a list; of two items with the same name the first one's number counts.
    fn in_order<'a>(names: impl Iterator<Item = &'a str>) -> NumberedNames {
        let mut numbered = NumberedNames::default();
        for name in names {
            numbered.numbers.entry(name.to_owned()).or_insert(numbered.next_number);
            numbered.next_number += 1;
        }
        numbered
    }

    fn add(&mut self, name: &str) {
        if !self.numbers.contains_key(name) {
            self.numbers.insert(name.to_owned(), self.next_number);
            self.next_number += 1;
        }
    }

    fn get(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }
}

impl NameRegistry {
    /// Ids by the order of these lists.
    pub fn in_order<'a>(
        classes: impl Iterator<Item = &'a str>,
        tenants: impl Iterator<Item = &'a str>,
    ) -> NameRegistry {
        NameRegistry { classes: NumberedNames::in_order(classes), tenants: NumberedNames::in_order(tenants) }
    }

    /// The same, with new ids for the names that have no id yet.
    pub(crate) fn with<'a>(
        &self,
        classes: impl Iterator<Item = &'a str>,
        tenants: impl Iterator<Item = &'a str>,
    ) -> NameRegistry {
        let mut extended = self.clone();
        classes.for_each(|name| extended.classes.add(name));
        tenants.for_each(|name| extended.tenants.add(name));
        extended
    }

    /// The id of a request class.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).map(|number| ClassId(number as u16))
    }

    /// The id of a tenant.
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).map(|number| TenantId(number as u32))
    }

    /// The number of a request class, which may be more than a [`ClassId`] holds; the largest where there is
    /// no such class.
    pub(crate) fn class_number(&self, name: &str) -> usize {
        self.classes.get(name).unwrap_or(usize::MAX)
    }

    /// The number of a tenant; the largest where there is no such tenant.
    pub(crate) fn tenant_number(&self, name: &str) -> usize {
        self.tenants.get(name).unwrap_or(usize::MAX)
    }

    /// All request classes with their ids, by name.
    pub fn classes(&self) -> impl Iterator<Item = (&str, ClassId)> {
        self.classes.numbers.iter().map(|(name, number)| (&name[..], ClassId(*number as u16)))
    }
}
