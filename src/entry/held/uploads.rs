use std::cell::RefCell;
use std::rc::Rc;

use crate::entry::TargetKey;

/// Bytes of request bodies that were sent to each target and not answered yet. A target that reads slowly holds few
/// bytes itself, but all of them are held here.
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    /// Sorted by target; without those that have none.
    bytes: Rc<RefCell<Vec<(TargetKey, u64)>>>,
}

impl Uploads {
    /// Counts a body that is about to be sent to a target.
    pub fn start(&self, target: TargetKey, bytes: usize) -> Upload {
        let bytes = bytes as u64;
        let mut all = self.bytes.borrow_mut();
        match all.binary_search_by_key(&target, |(key, _)| *key) {
            Ok(at) => all[at].1 = all[at].1.saturating_add(bytes),
            Err(at) if bytes > 0 => all.insert(at, (target, bytes)),
            Err(_) => {}
        }
        Upload {
            bytes,
            target,
            uploads: self.clone(),
        }
    }

    /// Bytes that were sent to a target and not answered yet.
    pub fn bytes(&self, target: TargetKey) -> u64 {
        let all = self.bytes.borrow();
        let found = all.binary_search_by_key(&target, |(key, _)| *key);
        found.map_or(0, |at| all[at].1)
    }
}

/// A body on the way to a target; removed from its count on drop.
#[derive(Debug)]
pub struct Upload {
    bytes: u64,
    target: TargetKey,
    uploads: Uploads,
}

impl Drop for Upload {
    fn drop(&mut self) {
        let mut all = self.uploads.bytes.borrow_mut();
        let found = all.binary_search_by_key(&self.target, |(key, _)| *key);
        if let Ok(at) = found {
            all[at].1 = all[at].1.saturating_sub(self.bytes);
            if all[at].1 == 0 {
                all.remove(at);
            }
        }
    }
}
