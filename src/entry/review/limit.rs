use super::super::engine::usable_tokens;
use super::super::{Limits, Profile, Service, Workspace};
use super::{Field, Names, Report};

/// Tokens of the smallest request: one of the prompt and one of the answer.
const MIN_TOKENS: u32 = 2;

/// Checks a service by itself.
pub(super) fn check_service(place: &str, service: &Service, names: &Names, report: &mut Report) {
    if service.name.is_empty() {
        report.error(names.within(place, Field::Name), "is empty");
    }
    if service.cold_per_s < 0.0 {
        let message = format!("{} is below 0", service.cold_per_s);
        report.warn(names.within(place, Field::ColdPerS), message);
    }
    if let Some(profile) = &service.profile {
        let place = names.within(place, Field::Profile);
        check_profile(&place, profile, names, report);
    }
}

fn check_profile(place: &str, profile: &Profile, names: &Names, report: &mut Report) {
    if profile.slots == 0 {
        let message = "0, so its engines take no request";
        report.warn(names.within(place, Field::Slots), message);
    }
    if usable_tokens(profile) < MIN_TOKENS {
        let message = format!(
            "{} tokens are less than one request needs",
            profile.memory_tokens
        );
        report.warn(names.within(place, Field::MemoryTokens), message);
    }
    if profile.step.is_zero() {
        let message = "0, so its engines are predicted to generate in no time";
        report.warn(names.within(place, Field::Step), message);
    }
}

/// Checks a workspace by itself.
pub(super) fn check_workspace(
    place: &str,
    workspace: &Workspace,
    names: &Names,
    report: &mut Report,
) {
    if workspace.name.is_empty() {
        report.error(names.within(place, Field::Name), "is empty");
    }
    if workspace.keys.is_empty() {
        let message = "no keys, so no request belongs to the workspace";
        report.warn(names.within(place, Field::Keys), message);
    }
}

/// Checks the limits for callers.
pub(super) fn check_limits(limits: &Limits, names: &Names, report: &mut Report) {
    if limits.idle_timeout.is_zero() {
        let place = names.within((names.field)(Field::Limits), Field::IdleTimeout);
        report.warn(
            place,
            "0, so connections are closed as soon as they are idle",
        );
    }
}
