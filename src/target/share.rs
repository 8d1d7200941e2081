use crate::id::{Tokens, WorkspaceId};

/// Start-time fair queueing between workspaces.
///
/// `tag` of a workspace is the virtual start time of its next piece, in tokens divided by weight.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    /// Sorted by name; the index points into `shares`, which keeps its order so that entries can refer to it.
    names: Vec<(WorkspaceId, usize)>,
    shares: Vec<Share>,
    time: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Share {
    pub(super) tag: f64,
    pub(super) weight: f64,
}

impl Shares {
    /// Charges `tokens` to a workspace; `floor` is the lowest tag among those that could have been served.
    pub(super) fn charge(&mut self, share: usize, tokens: Tokens, floor: f64) {
        self.time = self.time.max(floor);
        let share = &mut self.shares[share];
        share.tag += tokens as f64 / share.weight;
    }

    /// Index of a workspace, which is added if it is new.
    pub(super) fn enter(&mut self, workspace: &WorkspaceId, weight: u32) -> usize {
        let weight = f64::from(weight.max(1));
        match self.names.binary_search_by(|(name, _)| name.cmp(workspace)) {
            Ok(at) => {
                let index = self.names[at].1;
                self.shares[index].weight = weight;
                index
            }
            Err(at) => {
                let index = self.shares.len();
                self.names.insert(at, (workspace.clone(), index));
                self.shares.push(Share {
                    tag: self.time,
                    weight,
                });
                index
            }
        }
    }

    /// A workspace without queued work gets no credit for the time it was idle.
    pub(super) fn wake(&mut self, share: usize) {
        let tag = &mut self.shares[share].tag;
        *tag = tag.max(self.time);
    }

    pub(super) fn get(&self, share: usize) -> &Share {
        &self.shares[share]
    }

    pub(super) fn len(&self) -> usize {
        self.shares.len()
    }
}
