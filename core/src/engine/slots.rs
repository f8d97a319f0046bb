//! A table of values at stable positions, and a sorted index from keys to positions.
//!
//! Attempts, queries, targets and plans refer to each other by position, so that following a
//! reference costs one array access at any fleet size. Positions are reused, so users must check
//! the identity of the value that they find.

/// A position in a [`SlotTable`].
pub(crate) type Slot = u32;

/// Values at stable positions; the position of a removed value is reused.
#[derive(Debug)]
pub(crate) struct SlotTable<T> {
    entries: Vec<Option<T>>,
    free: Vec<Slot>,
}

impl<T> Default for SlotTable<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> SlotTable<T> {
    /// Stores a value at a free position and returns the position.
    pub(crate) fn insert(&mut self, value: T) -> Slot {
        if let Some(slot) = self.free.pop() {
            self.entries[slot as usize] = Some(value);
            return slot;
        }
        self.entries.push(Some(value));
        (self.entries.len() - 1) as Slot
    }

    pub(crate) fn get(&self, slot: Slot) -> Option<&T> {
        self.entries.get(slot as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut T> {
        self.entries.get_mut(slot as usize)?.as_mut()
    }

    /// Removes and returns the value at a position.
    pub(crate) fn remove(&mut self, slot: Slot) -> Option<T> {
        let value = self.entries.get_mut(slot as usize)?.take()?;
        self.free.push(slot);
        Some(value)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(slot, entry)| Some((slot as Slot, entry.as_ref()?)))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (Slot, &mut T)> {
        self.entries
            .iter_mut()
            .enumerate()
            .filter_map(|(slot, entry)| Some((slot as Slot, entry.as_mut()?)))
    }

    /// Returns the position that the next inserted value will get.
    pub(crate) fn next_slot(&self) -> Slot {
        self.free
            .last()
            .copied()
            .unwrap_or(self.entries.len() as Slot)
    }
}

/// A sorted index from keys to positions.
#[derive(Debug)]
pub(crate) struct KeyIndex<K> {
    entries: Vec<(K, Slot)>,
}

impl<K> Default for KeyIndex<K> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord> KeyIndex<K> {
    pub(crate) fn find<Q>(&self, key: &Q) -> Option<Slot>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let index = self.search(key).ok()?;
        Some(self.entries[index].1)
    }

    /// Adds a key, or replaces the position of a key that is already in the index.
    pub(crate) fn insert(&mut self, key: K, slot: Slot) {
        match self.search(&key) {
            Ok(index) => self.entries[index].1 = slot,
            Err(index) => self.entries.insert(index, (key, slot)),
        }
    }

    /// Removes a key and returns its position.
    pub(crate) fn remove<Q>(&mut self, key: &Q) -> Option<Slot>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let index = self.search(key).ok()?;
        Some(self.entries.remove(index).1)
    }

    /// Returns all entries, sorted by key.
    pub(crate) fn entries(&self) -> &[(K, Slot)] {
        &self.entries
    }

    fn search<Q>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.entries
            .binary_search_by(|(known, _)| known.borrow().cmp(key))
    }
}
