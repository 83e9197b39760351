//! Differences between a manifest and the one that it replaces, exact and compact.

use crate::{
    HashMap,
    id::ManifestVersion,
    manifest::{DataCentre, Manifest, Service, Upstream},
    record::Body,
};
use serde::{Deserialize, Serialize};

/// A manifest, as the difference from its parent.
///
/// Void for a reader with another parent, since the digest of the result would not match.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The version of the parent.
    pub replaces: ManifestVersion,
    /// The digest of the resulting manifest.
    pub digest: u64,
    /// Data centres that are added, removed or changed.
    pub data_centres: Edits<DataCentre>,
    /// Services that are added or removed.
    pub services: Edits<Service>,
    /// Services that are in both manifests and changed.
    pub changed: Vec<Change>,
}

/// The changes of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The service's index in the resulting manifest.
    pub place: u32,
    /// The service without its upstreams, if anything else changes.
    pub settings: Option<Service>,
    /// Upstreams that are added, removed or changed.
    pub upstreams: Edits<Upstream>,
}

/// The changes of a list; entries that are kept stay in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edits<T> {
    /// Indices in the old list of removed entries, ascending.
    pub removed: Vec<u32>,
    /// Added entries with their indices in the new list, ascending.
    pub added: Vec<Added<T>>,
}

/// An added entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Added<T> {
    /// Its index in the new list.
    pub place: u32,
    /// The entry.
    pub entry: T,
}

impl Body {
    /// Returns the shortest body that publishes `manifest` after `parent`: itself or a difference.
    #[must_use]
    pub fn publication(parent: Option<&Manifest>, manifest: &Manifest) -> Self {
        let whole = Self::Manifest(manifest.clone());
        let size = |body: &Self| bincode::serialized_size(body).unwrap_or(u64::MAX);
        let parent = parent.filter(|parent| parent.version() == manifest.replaces);
        let difference = parent.map(|parent| Difference::between(parent, manifest));
        difference
            .map(|difference| Self::Difference(Box::new(difference)))
            .filter(|difference| size(difference) < size(&whole))
            .unwrap_or(whole)
    }
}

impl Difference {
    /// Returns the difference from `old` to `new`, which replaces it.
    #[must_use]
    pub fn between(old: &Manifest, new: &Manifest) -> Self {
        let same_name = |old: &Service, new: &Service| old.name == new.name;
        let services = Edits::between(
            &old.services,
            &new.services,
            |service| &service.name,
            same_name,
        );
        let kept_indices = services.kept_indices(old.services.len());
        let added_places = services.added.iter().map(|added| added.place as usize);
        let added_places: Vec<usize> = added_places.collect();
        let kept_places =
            (0..new.services.len()).filter(|place| added_places.binary_search(place).is_err());
        let pairs = kept_places.zip(kept_indices);
        let changed = pairs.filter_map(|(place, before)| {
            Change::between(place, &old.services[before], &new.services[place])
        });
        Self {
            replaces: new.replaces,
            digest: new.digest(),
            data_centres: Edits::between(
                &old.data_centres,
                &new.data_centres,
                |data_centre| &data_centre.name,
                PartialEq::eq,
            ),
            changed: changed.collect(),
            services,
        }
    }

    /// Returns the resulting manifest; `None` if the difference is not from `parent`.
    #[must_use]
    pub fn apply(&self, parent: &Manifest) -> Option<Manifest> {
        if self.replaces != parent.version() {
            return None;
        }
        let mut manifest = Manifest {
            replaces: self.replaces,
            data_centres: self.data_centres.apply(&parent.data_centres)?,
            services: self.services.apply(&parent.services)?,
        };
        for change in &self.changed {
            let service = manifest.services.get_mut(change.place as usize)?;
            change.apply(service)?;
        }
        (manifest.digest() == self.digest).then_some(manifest)
    }
}

impl Change {
    fn between(place: usize, old: &Service, new: &Service) -> Option<Self> {
        if old == new {
            return None;
        }
        let (before, after) = (old.settings(), new.settings());
        Some(Self {
            place: place as u32,
            settings: (before != after).then_some(after),
            upstreams: Edits::between(
                &old.upstreams,
                &new.upstreams,
                |upstream| &upstream.name,
                PartialEq::eq,
            ),
        })
    }

    fn apply(&self, service: &mut Service) -> Option<()> {
        let upstreams = self.upstreams.apply(&service.upstreams)?;
        if let Some(settings) = &self.settings {
            service.clone_from(settings);
        }
        service.upstreams = upstreams;
        Some(())
    }
}

impl<T: Clone> Edits<T> {
    /// Returns the edits that turn `old` into `new`.
    ///
    /// Entries of the same name are kept if `is_same` holds for them and their order allows it.
    fn between<'a, N: Eq + std::hash::Hash + 'a>(
        old: &'a [T],
        new: &'a [T],
        name: impl Fn(&'a T) -> &'a N,
        is_same: impl Fn(&T, &T) -> bool,
    ) -> Self {
        let indices = old.iter().map(&name).zip(0..);
        let indices: HashMap<&N, usize> = indices.collect();
        let (mut removed, mut added) = (Vec::new(), Vec::new());
        let mut next = 0;
        for (place, entry) in (0..).zip(new) {
            let index = indices.get(name(entry)).copied();
            match index.filter(|index| *index >= next && is_same(&old[*index], entry)) {
                Some(index) => {
                    removed.extend(next as u32..index as u32);
                    next = index + 1;
                }
                None => added.push(Added {
                    place,
                    entry: entry.clone(),
                }),
            }
        }
        removed.extend(next as u32..old.len() as u32);
        Self { removed, added }
    }

    /// Returns the indices of the kept entries in an old list of `old_len` entries.
    fn kept_indices(&self, old_len: usize) -> impl Iterator<Item = usize> {
        let removed = |index: &usize| self.removed.binary_search(&(*index as u32)).is_ok();
        (0..old_len).filter(move |index| !removed(index))
    }

    /// Returns the new list; `None` if the edits do not fit a list as long as `old`.
    fn apply(&self, old: &[T]) -> Option<Vec<T>> {
        let is_ascending = self.removed.is_sorted_by(|one, other| one < other);
        let is_within = self
            .removed
            .last()
            .is_none_or(|last| (*last as usize) < old.len());
        if !is_ascending || !is_within {
            return None;
        }
        let mut kept = self.kept_indices(old.len()).map(|index| &old[index]);
        let mut new = Vec::with_capacity(old.len() - self.removed.len() + self.added.len());
        for added in &self.added {
            while new.len() < added.place as usize {
                new.push(kept.next()?.clone());
            }
            if new.len() > added.place as usize {
                return None;
            }
            new.push(added.entry.clone());
        }
        new.extend(kept.cloned());
        Some(new)
    }
}
