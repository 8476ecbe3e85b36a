//! Assignment of ids to the names of request classes and tenants.
//!
//! A name keeps its id for as long as the broker runs, through all versions of the configuration, and an id is never
//! assigned to another name. The routing state is stored by id and would otherwise be attributed to another request
//! class or tenant.

use routing::{ClassId, TenantId};
use std::collections::BTreeMap;

/// Names of request classes and tenants, with their ids. Names that the settings no longer contain keep their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameRegistry {
    classes: NumberedNames,
    tenants: NumberedNames,
}

/// Names with their numbers, and the next unassigned number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct NumberedNames {
    numbers: BTreeMap<String, usize>,
    next_number: usize,
}

impl NumberedNames {
    /// Numbers names by their positions in a list. A name that occurs twice has the number of its first position.
    fn from_names<'a>(names: impl Iterator<Item = &'a str>) -> NumberedNames {
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
    /// Creates a registry in which the ids are the positions in these lists.
    pub fn from_names<'a>(
        classes: impl Iterator<Item = &'a str>,
        tenants: impl Iterator<Item = &'a str>,
    ) -> NameRegistry {
        NameRegistry {
            classes: NumberedNames::from_names(classes),
            tenants: NumberedNames::from_names(tenants),
        }
    }

    /// Returns a copy of the registry with new ids for the names that have no id yet.
    pub(crate) fn extended_with<'a>(
        &self,
        classes: impl Iterator<Item = &'a str>,
        tenants: impl Iterator<Item = &'a str>,
    ) -> NameRegistry {
        let mut extended = self.clone();
        classes.for_each(|name| extended.classes.add(name));
        tenants.for_each(|name| extended.tenants.add(name));
        extended
    }

    /// Returns the id of a request class, or `None` if the name never had one.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).map(|number| ClassId(number as u16))
    }

    /// Returns the id of a tenant, or `None` if the name never had one.
    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).map(|number| TenantId(number as u32))
    }

    /// Returns the number of a request class, or `usize::MAX` if there is no such class. The number may exceed the
    /// range of a [`ClassId`].
    pub(crate) fn class_number(&self, name: &str) -> usize {
        self.classes.get(name).unwrap_or(usize::MAX)
    }

    /// Returns the number of a tenant, or `usize::MAX` if there is no such tenant.
    pub(crate) fn tenant_number(&self, name: &str) -> usize {
        self.tenants.get(name).unwrap_or(usize::MAX)
    }

    /// Returns all request classes with their ids, sorted by name.
    pub fn classes(&self) -> impl Iterator<Item = (&str, ClassId)> {
        self.classes.numbers.iter().map(|(name, number)| (&name[..], ClassId(*number as u16)))
    }
}
