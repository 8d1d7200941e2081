use crate::id::{Tokens, WorkspaceId};

/// Start-time fair queueing between workspaces.
///
/// The start tag of a workspace is the virtual start time of its next chunk, in tokens divided by its weight.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    /// Index into `shares` by name, sorted. `shares` itself is in order of arrival, so that queue entries can keep the
    /// index.
    names: Vec<(WorkspaceId, usize)>,
    shares: Vec<Share>,
    virtual_time: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Share {
    pub(super) start_tag: f64,
    pub(super) weight: f64,
}

impl Shares {
    /// Charges `tokens` to a workspace; `floor` is the lowest start tag of the workspaces that could have been
    /// served.
    pub(super) fn charge(&mut self, share: usize, tokens: Tokens, floor: f64) {
        self.virtual_time = self.virtual_time.max(floor);
        let share = &mut self.shares[share];
        share.start_tag += tokens as f64 / share.weight;
    }

    /// Returns the index of a workspace, and adds it if it is new.
    pub(super) fn register(&mut self, workspace: &WorkspaceId, weight: u32) -> usize {
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
                    start_tag: self.virtual_time,
                    weight,
                });
                index
            }
        }
    }

    /// Marks a workspace as having queued work again. It gets no credit for the time it was idle.
    pub(super) fn activate(&mut self, share: usize) {
        let start_tag = &mut self.shares[share].start_tag;
        *start_tag = start_tag.max(self.virtual_time);
    }

    pub(super) fn get(&self, share: usize) -> &Share {
        &self.shares[share]
    }

    pub(super) fn len(&self) -> usize {
        self.shares.len()
    }
}
