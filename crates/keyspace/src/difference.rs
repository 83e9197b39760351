//! What a manifest changes of the one that it replaces, exactly and in few bytes.

use crate::{
    HashMap,
    id::ManifestVersion,
    manifest::{DataCentre, Manifest, Service, Upstream},
    record::Body,
};
use serde::{Deserialize, Serialize};

/// A manifest, told as what it changes of its parent.
///
/// Void for a reader that holds another parent: the digest would be another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The version of the parent.
    pub replaces: ManifestVersion,
    /// The digest of the manifest that results.
    pub digest: u64,
    /// Data centres that are added, removed or changed.
    pub data_centres: Edits<DataCentre>,
    /// Services that are added or removed.
    pub services: Edits<Service>,
    /// Services that both manifests have and that are changed.
    pub changed: Vec<Change>,
}

/// What changes of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The service's place in the manifest that results.
    pub place: u32,
    /// The service without its upstreams, if anything but these changes.
    pub settings: Option<Service>,
    /// Upstreams that are added, removed or changed.
    pub upstreams: Edits<Upstream>,
}

/// What changes of a list; entries that stay keep their order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edits<T> {
    /// Places of entries in the old list that go, ascending.
    pub removed: Vec<u32>,
    /// Entries that come, with their places in the new list, ascending.
    pub added: Vec<Added<T>>,
}

/// An entry that comes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Added<T> {
    /// Its place in the new list.
    pub place: u32,
    /// The entry.
    pub entry: T,
}

impl Body {
    /// The shortest body that publishes a manifest after `parent`.
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
    /// What `new` changes of `old`, which it replaces.
    #[must_use]
    pub fn between(old: &Manifest, new: &Manifest) -> Self {
        let same_name = |old: &Service, new: &Service| old.name == new.name;
        let services = Edits::between(&old.services, &new.services, |held| &held.name, same_name);
        let kept = services.kept(old.services.len());
        let moved_in = services.added.iter().map(|added| added.place as usize);
        let moved_in: Vec<usize> = moved_in.collect();
        let stayed = (0..new.services.len()).filter(|place| moved_in.binary_search(place).is_err());
        let pairs = stayed.zip(kept);
        let changed = pairs.filter_map(|(place, before)| {
            Change::between(place, &old.services[before], &new.services[place])
        });
        Self {
            replaces: new.replaces,
            digest: new.digest(),
            data_centres: Edits::between(
                &old.data_centres,
                &new.data_centres,
                |held| &held.name,
                PartialEq::eq,
            ),
            changed: changed.collect(),
            services,
        }
    }

    /// The manifest that results; none if `parent` is not the one that the difference is to.
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
                |held| &held.name,
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
    /// What makes `new` of `old`.
    ///
    /// Entries of one name that `is_same` says to be the same stay, as long as they are in order.
    fn between<'a, N: Eq + std::hash::Hash + 'a>(
        old: &'a [T],
        new: &'a [T],
        name: impl Fn(&'a T) -> &'a N,
        is_same: impl Fn(&T, &T) -> bool,
    ) -> Self {
        let places = old.iter().map(&name).zip(0..);
        let places: HashMap<&N, usize> = places.collect();
        let (mut removed, mut added) = (Vec::new(), Vec::new());
        let mut next = 0;
        for (place, entry) in (0..).zip(new) {
            let held = places.get(name(entry)).copied();
            match held.filter(|held| *held >= next && is_same(&old[*held], entry)) {
                Some(held) => {
                    removed.extend(next as u32..held as u32);
                    next = held + 1;
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

    /// The places of entries in the old list that stay.
    fn kept(&self, old: usize) -> impl Iterator<Item = usize> {
        let removed = |place: &usize| self.removed.binary_search(&(*place as u32)).is_ok();
        (0..old).filter(move |place| !removed(place))
    }

    /// The new list; none if the edits are not of a list as long as `old`.
    fn apply(&self, old: &[T]) -> Option<Vec<T>> {
        let is_ascending = self.removed.is_sorted_by(|one, other| one < other);
        let is_within = self
            .removed
            .last()
            .is_none_or(|last| (*last as usize) < old.len());
        if !is_ascending || !is_within {
            return None;
        }
        let mut kept = self.kept(old.len()).map(|place| &old[place]);
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
