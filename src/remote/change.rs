use serde::Deserialize;

/// An event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Change {
    /// Hashes of the blocks, 16 hexadecimal digits each.
    pub blocks: Vec<String>,
    /// Effect on the blocks.
    pub kind: Effect,
    /// Number of the event. Numbers are consecutive; a gap means that events were lost.
    pub sequence: u64,
}

/// Effect of an event on cached blocks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// All blocks were evicted.
    Cleared,
    /// These blocks were evicted.
    Removed,
    /// These blocks were added.
    Stored,
}

/// Blocks that are in the cache according to `changes`, sorted. Events before a gap are ignored, since a lost event may
/// have evicted any block.
pub fn cached_blocks(changes: &[Change]) -> Vec<u64> {
    let mut blocks = Vec::new();
    let mut last = None;
    for change in changes {
        if last.is_some_and(|last| change.sequence != last + 1) {
            blocks.clear();
        }
        last = Some(change.sequence);
        let hashes = change
            .blocks
            .iter()
            .filter_map(|block| u64::from_str_radix(block, 16).ok());
        match change.kind {
            Effect::Cleared => blocks.clear(),
            Effect::Removed => hashes.for_each(|hash| remove(&mut blocks, hash)),
            Effect::Stored => hashes.for_each(|hash| insert(&mut blocks, hash)),
        }
    }
    blocks
}

fn insert(blocks: &mut Vec<u64>, hash: u64) {
    if let Err(index) = blocks.binary_search(&hash) {
        blocks.insert(index, hash);
    }
}

fn remove(blocks: &mut Vec<u64>, hash: u64) {
    if let Ok(index) = blocks.binary_search(&hash) {
        blocks.remove(index);
    }
}
