use jujubehook_http::http_types::Response;

/// Header with the boot number of a target on each of its replies.
const BOOT_HEADER: &str = "x-boot";

/// Header that says whether a target is cold, `1` or `0`, on each of its replies.
const COLD_HEADER: &str = "x-cold";

/// Boot number on a target's reply.
pub fn boot_number(response: &Response) -> Option<u64> {
    response
        .header(BOOT_HEADER)
        .and_then(|values| values.last().as_str().parse().ok())
}

/// Whether a target's reply says that it is cold.
pub fn cold_flag(response: &Response) -> Option<bool> {
    match response.header(COLD_HEADER)?.last().as_str() {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}
