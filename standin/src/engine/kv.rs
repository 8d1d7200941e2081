//! Requests about handles.

use jujubehook_http::http_types::Response;
use jujubehook_http::json;

use crate::ask::{done, refuse, Ask, Refusal};
use crate::engine::core::{check_id, Core};
use crate::engine::handle::{Handle, Ticket};

impl Core {
    /// Makes a ticket for a local handle.
    pub(super) fn export(&self, name: &str) -> Result<Response, Refusal> {
        let state = self.lock();
        match state.find_handle(name) {
            Ok(index) if !state.handles[index].remote => {
                Ok(json(200, &Ticket::from(&state.handles[index])))
            }
            Ok(_) => Err(refuse(409, format!("handle `{name}` is remote"))),
            Err(_) => Err(absent(name)),
        }
    }

    /// Adds a remote handle; a second import of the same ticket changes nothing.
    pub(super) fn import(&self, ask: &Ask, boot: u64) -> Result<Response, Refusal> {
        let ticket: Ticket = ask.parse()?;
        let handle: Handle = ticket
            .handle()
            .ok_or_else(|| refuse(400, "malformed hash state in ticket"))?;
        check_id(&handle.name)?;
        let mut state = self.lock();
        if state.warmth.boot != boot {
            return Err(refuse(503, "crashed"));
        }
        match state.find_handle(&handle.name) {
            Ok(index) if !state.handles[index].remote => {
                return Err(refuse(409, format!("handle `{}` exists", handle.name)));
            }
            Ok(index) => state.handles[index] = handle,
            Err(index) => state.handles.insert(index, handle),
        }
        Ok(done())
    }

    /// Removes a handle; streams that need it are cut, since their KV is gone.
    pub(super) fn release(&self, name: &str) -> Result<Response, Refusal> {
        let mut state = self.lock();
        let Ok(index) = state.find_handle(name) else {
            return Err(absent(name));
        };
        state.handles.remove(index);
        let users: Vec<String> = state
            .streams
            .iter()
            .filter(|stream| stream.context.iter().any(|context| context == name))
            .map(|stream| stream.attempt.clone())
            .collect();
        for attempt in users {
            state.cancel(&attempt);
        }
        state.note();
        Ok(done())
    }
}

fn absent(name: &str) -> Refusal {
    refuse(404, format!("no handle `{name}`"))
}
