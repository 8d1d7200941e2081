use crate::id::Tokens;

use super::{Offer, Part};

/// Chooses the fewest targets of one domain whose memory fits the prompt and the generated tokens. The parts are sorted
/// by target id. Among gangs of equal size, the one in the first domain is chosen, and in it the one whose last target
/// comes first. `None` if no domain has enough memory.
///
/// The parts hold consecutive segments of the prompt. The last target decodes, so it needs memory for all generated
/// tokens and at least one prompt token.
pub fn plan(prompt: Tokens, max_tokens: Tokens, offers: &[Offer]) -> Option<Vec<Part>> {
    if prompt == 0 {
        return None;
    }
    let mut offers = offers
        .iter()
        .filter(|offer| offer.free > 0)
        .collect::<Vec<_>>();
    offers.sort_by(|a, b| (&a.domain, &a.target).cmp(&(&b.domain, &b.target)));
    let mut best = None::<Vec<&Offer>>;
    for domain in offers.chunk_by(|a, b| a.domain == b.domain) {
        for last in 0..domain.len() {
            let Some(gang) = smallest_gang(prompt, max_tokens, domain[last], &domain[..last])
            else {
                continue;
            };
            if best.as_ref().is_none_or(|best| gang.len() < best.len()) {
                best = Some(gang);
            }
        }
    }
    best.map(|gang| split(prompt, max_tokens, &gang))
}

/// The smallest gang whose last target is `last`; `others` are the targets before it, sorted by target id.
fn smallest_gang<'a>(
    prompt: Tokens,
    max_tokens: Tokens,
    last: &'a Offer,
    others: &[&'a Offer],
) -> Option<Vec<&'a Offer>> {
    let last_segment = last
        .free
        .checked_sub(max_tokens)
        .filter(|segment| *segment > 0)?;
    let mut others = others.to_vec();
    others.sort_by_key(|offer| std::cmp::Reverse(offer.free));
    let mut left = prompt.saturating_sub(last_segment);
    let mut gang = Vec::new();
    for offer in others {
        if left == 0 {
            break;
        }
        left = left.saturating_sub(offer.free);
        gang.push(offer);
    }
    if left > 0 {
        return None;
    }
    gang.sort_by(|a, b| a.target.cmp(&b.target));
    gang.push(last);
    Some(gang)
}

/// Splits the prompt into one segment per target, each of at least one token.
fn split(prompt: Tokens, max_tokens: Tokens, gang: &[&Offer]) -> Vec<Part> {
    let mut left = prompt;
    let mut parts = Vec::with_capacity(gang.len());
    for (index, offer) in gang.iter().enumerate() {
        let after = (gang.len() - index - 1) as Tokens;
        let segment = if after == 0 {
            left
        } else {
            offer.free.min(left - after)
        };
        left -= segment;
        let generated = if after == 0 { max_tokens } else { 0 };
        parts.push(Part {
            target: offer.target.clone(),
            tokens: segment + generated,
        });
    }
    parts
}
