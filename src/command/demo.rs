use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jujubehook_standin::{engine, text};
use serde_json::json;

use super::options::no_arguments;
use super::{output, Error};
use crate::event;
use crate::load::{Answer, Caller, Fleet, Settings};

/// Text of `jujubehook demo --help`.
pub(super) const HELP: &str = "\
Usage: jujubehook demo [--log FILE]

Runs three failure domains in one process, each with two instances, four model
engines and one plain service, on loopback ports. Sends a short prompt, a prompt
of a million tokens, which needs several engines, and a sale that must not be
repeated, each through a different instance, and checks every answer.

Options:
  --log FILE  append the event lines of all instances to FILE

Examples:
  jujubehook demo
  jujubehook demo --log demo.log && jujubehook timeline demo.log

Exit codes: 0 all answers are complete and correct, 1 failure, 2 bad usage
";

/// Worker threads of the embedded fleet.
const THREADS: &str = "8";

/// Tokens to generate for each prompt.
const MAX_TOKENS: u64 = 24;

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(60);

/// Lengths of the prompts in tokens.
const PROMPT_TOKENS: [usize; 2] = [2_000, 1_000_000];

/// Runs `jujubehook demo`.
pub(super) fn run(parser: &mut lexopt::Parser) -> Result<(), Error> {
    use lexopt::prelude::*;

    let mut log = None;
    let mut values = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Err(Error::Help),
            Long("log") => log = Some(PathBuf::from(parser.value()?)),
            Value(value) => values.push(value),
            _ => return Err(argument.unexpected().into()),
        }
    }
    no_arguments(&values)?;
    if log.is_some() {
        let settings = event::Settings {
            file: log,
            ..event::Settings::default()
        };
        event::start(&settings).map_err(|error| Error::Failed(error.to_string()))?;
    }
    if std::env::var_os("SMOL_THREADS").is_none() {
        std::env::set_var("SMOL_THREADS", THREADS);
    }
    smol::block_on(run_demo())
}

async fn run_demo() -> Result<(), Error> {
    output::print("starting 3 failure domains on loopback ports\n")?;
    let fleet = Fleet::start(settings())
        .await
        .map_err(|error| Error::Failed(format!("cannot start the fleet: {error}")))?;
    let entries = fleet.entries();
    output::print(&format!(
        "{} instances are ready, {} engines and {} services have owners\n",
        entries.len(),
        fleet.engines().len(),
        fleet.services().len()
    ))?;
    let caller = Caller::new("key-0");
    let model = &fleet.settings().model;
    for (index, tokens) in PROMPT_TOKENS.into_iter().enumerate() {
        let prompt = "seat ".repeat(tokens * text::TOKEN_BYTES / 5);
        let entry = entries[2 * index];
        let answer = caller
            .complete(entry, model, &prompt, MAX_TOKENS, DEADLINE)
            .await;
        let complete = answer.text == text::response(&prompt, MAX_TOKENS as usize);
        report(&format!("prompt of {tokens:>7} tokens"), &answer, complete)?;
    }
    let (first, key) = sell(&caller, entries[4]).await;
    report("sale", &first, first.is_ok())?;
    let body = json!({"row": 3, "seat": 7});
    let again = caller
        .call(entries[1], "sell", Some(&key), &body, DEADLINE)
        .await;
    report("same sale again", &again, again.text == first.text)?;
    let sales = executions(&fleet).await?;
    output::print(&format!("the sale was run {sales} time(s)\n"))?;
    if sales == 1 {
        return Ok(());
    }
    Err(Error::Failed(format!("the sale was run {sales} times")))
}

/// Calls `sell` with a new idempotency key; returns the answer and the key.
async fn sell(caller: &Caller, entry: std::net::SocketAddr) -> (Answer, String) {
    let seconds = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_secs());
    let key = format!("{seconds}-demo-{:x}", fastrand::u64(..));
    let body = json!({"row": 3, "seat": 7});
    let answer = caller
        .call(entry, "sell", Some(&key), &body, DEADLINE)
        .await;
    (answer, key)
}

/// Number of sales that the services report as executed.
async fn executions(fleet: &Fleet) -> Result<u64, Error> {
    let mut count = 0;
    for (id, _, address) in fleet.services() {
        let stats = fleet
            .stats(address)
            .await
            .map_err(|error| Error::Failed(format!("`{id}` does not answer: {error}")))?;
        let calls = stats["calls"].as_array().cloned().unwrap_or_default();
        let counts = calls.iter().filter_map(|call| call["count"].as_u64());
        count += counts.sum::<u64>();
    }
    Ok(count)
}

/// Prints the timing of an answer, or fails if the answer is incomplete.
fn report(label: &str, answer: &Answer, complete: bool) -> Result<(), Error> {
    let total = answer.total.as_millis();
    if !complete {
        let kind = answer.error.as_deref().unwrap_or("incomplete");
        return Err(Error::Failed(format!("{label}: {kind} after {total} ms")));
    }
    let line = match answer.first_token {
        Some(first) => format!(
            "{label}: first token after {} ms, whole answer after {total} ms\n",
            first.as_millis()
        ),
        None => format!("{label}: answered after {total} ms\n"),
    };
    output::print(&line)
}

fn settings() -> Settings {
    Settings {
        engine: engine::Settings {
            // Ten and four times the default rates, so that the demo ends in seconds.
            prefill_rate: 500_000.0,
            decode_rate: 200.0,
            ..engine::Settings::default()
        },
        engines: 4,
        instances: 2,
        ..Settings::default()
    }
}
