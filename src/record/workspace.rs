use crate::id::{Tokens, WorkspaceId};

use super::{Body, Grant};

const DEFAULT_WEIGHT: u32 = 1;

/// Grants, limits and keys of a workspace.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Workspace {
    /// Models that the workspace may use, sorted by model.
    pub grants: Vec<Grant>,
    /// SHA-256 digests of the callers' keys, 64 lower-case hexadecimal digits each, sorted.
    pub keys: Vec<String>,
    /// Longest prompt in tokens, if limited.
    pub max_prompt: Option<Tokens>,
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Weight of the workspace when workspaces share a target, 1 to 1,000.
    pub weight: u32,
}

/// Creates the body of a workspace record; sorts all lists.
pub(super) fn body(
    name: WorkspaceId,
    mut grants: Vec<Grant>,
    mut keys: Vec<String>,
    max_prompt: Option<Tokens>,
    weight: Option<u32>,
) -> Body {
    for grant in &mut grants {
        grant.adapters.sort();
        grant.versions.sort();
    }
    grants.sort_by(|a, b| a.model.cmp(&b.model));
    keys.sort();
    Body::Workspace(Workspace {
        grants,
        keys,
        max_prompt,
        name,
        weight: weight.unwrap_or(DEFAULT_WEIGHT),
    })
}
