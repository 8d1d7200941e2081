//! Export, import and release of KV handles.

use jujubehook_http::http_types::Response;
use jujubehook_http::json;

use crate::engine::core::{check_id, Core};
use crate::engine::handle::{Handle, Ticket};
use crate::request::{refuse, success, Refusal, Request};

impl Core {
    /// Responds with the ticket of a local handle.
    pub(super) fn export(&self, name: &str) -> Result<Response, Refusal> {
        let state = self.lock();
        match state.find_handle(name) {
            Ok(index) if !state.handles[index].remote => {
                Ok(json(200, &Ticket::from(&state.handles[index])))
            }
            Ok(_) => Err(refuse(409, format!("handle `{name}` is remote"))),
            Err(_) => Err(no_handle(name)),
        }
    }

    /// Adds a remote handle from a ticket. Importing the same ticket again changes nothing.
    pub(super) fn import(&self, request: &Request, boot: u64) -> Result<Response, Refusal> {
        let ticket: Ticket = request.parse()?;
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
        Ok(success())
    }

    /// Removes a handle and cancels the streams that use it, since their KV is gone.
    pub(super) fn release(&self, name: &str) -> Result<Response, Refusal> {
        let mut state = self.lock();
        let Ok(index) = state.find_handle(name) else {
            return Err(no_handle(name));
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
        state.report_load();
        Ok(success())
    }
}

fn no_handle(name: &str) -> Refusal {
    refuse(404, format!("no handle `{name}`"))
}
