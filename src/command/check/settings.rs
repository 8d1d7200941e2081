use std::path::Path;

use serde_json::json;

use crate::command::{output, Error};
use crate::settings::Settings;

/// Checks a settings file of the daemon and prints the result.
pub(super) fn check(file: &Path, json: bool) -> Result<(), Error> {
    match Settings::load(file) {
        Ok(_) if json => output::print_json(&json!({"faults": []})),
        Ok(_) => output::print(&format!("`{}` is valid\n", file.display())),
        Err(error) => {
            if json {
                output::print_json(&json!({"faults": [error.to_string()]}))?;
            }
            Err(Error::Failed(error.to_string()))
        }
    }
}
