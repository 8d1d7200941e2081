use jujubehook_http::http_types::Response;

/// Header with the boot number of a target, in each of its responses.
const BOOT_HEADER: &str = "x-boot";

/// Header that is `1` if a target is cold, else `0`, in each of its responses.
const COLD_HEADER: &str = "x-cold";

/// Reads the boot number from a target's response.
pub fn boot_number(response: &Response) -> Option<u64> {
    response
        .header(BOOT_HEADER)
        .and_then(|values| values.last().as_str().parse().ok())
}

/// Reads from a target's response whether the target is cold.
pub fn cold_flag(response: &Response) -> Option<bool> {
    match response.header(COLD_HEADER)?.last().as_str() {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}
