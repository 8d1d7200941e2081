//! Guards against records that are lost, overwritten or published twice, and against wrong reports of what is in force.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use assert_cmd::Command;
use jujubehook::record::Fold;
use jujubehook::remote;
use jujubehook_http::http_types::{Method, Request, Response};
use jujubehook_http::{json, text, Client, Peer, Reuse, Server};
use jujubehook_standin::{list, log, List, Log};
use serde_json::{json as value, Value};
use tempfile::TempDir;

const KEY: &str = "0123456789abcdef";
const LIMIT: usize = 1 << 20;

const RECORDS: &str = r#"
[[record]]
schema = 2
kind = "domain"
name = "north"
body.service.in = true

[[record]]
schema = 1
kind = "workspace"
name = "coop"
[record.body]
models = ["m"]
keys = []
weight = 3
"#;

/// A log, an instance list and a folder with records and connection options.
struct Case {
    folder: TempDir,
    list: List,
    log: Log,
}

impl Case {
    fn new(settings: log::Settings) -> Self {
        let case = smol::block_on(async {
            Self {
                folder: tempfile::tempdir().unwrap(),
                list: List::start(any_port(), list::Settings::default())
                    .await
                    .unwrap(),
                log: Log::start(any_port(), settings).await.unwrap(),
            }
        });
        fs::create_dir(case.folder.path().join("records")).unwrap();
        fs::write(case.folder.path().join("peer.key"), format!("{KEY}\n")).unwrap();
        case.operator(case.log.address());
        case.write(RECORDS);
        case
    }

    /// Number of entries in stream `config`.
    fn appended(&self) -> usize {
        let client = remote::Log::new(self.log.address(), remote::Settings::default());
        let page = smol::block_on(client.read("config", 1, 1000, Duration::ZERO));
        page.unwrap().entries.len()
    }

    fn append(&self, stream: &str, entry: &str) {
        let client = remote::Log::new(self.log.address(), remote::Settings::default());
        smol::block_on(client.append(stream, entry)).unwrap();
    }

    /// Starts an instance that reports `offset`, and adds it to the instance list.
    fn instance(&self, id: &'static str, state: &str, offset: &Arc<AtomicU64>) -> Server {
        let offset = Arc::clone(offset);
        let server = smol::block_on(Server::start(
            any_port(),
            move |request: Request, _: Peer| {
                let offset = offset.load(Ordering::Relaxed);
                async move { status(&request, id, offset) }
            },
        ));
        let server = server.unwrap();
        self.list(id, state, server.address());
        server
    }

    fn list(&self, id: &str, state: &str, address: SocketAddr) {
        let row = value!({"role": "entry", "address": address, "domain": "north", "state": state});
        send(
            self.list.address(),
            Method::Put,
            &format!("/instances/{id}"),
            &row,
        );
    }

    /// Writes the operator file, with `log` as the address of the log.
    fn operator(&self, log: SocketAddr) {
        let list = self.list.address();
        let text = format!("list = \"{list}\"\nlog = \"{log}\"\npeer_key_file = \"peer.key\"\n");
        fs::write(self.folder.path().join("operator.toml"), text).unwrap();
    }

    /// Runs a command; returns the exit code, standard output and standard error.
    fn run(&self, arguments: &[&str]) -> (i32, String, String) {
        let mut command = Command::cargo_bin("jujubehook").unwrap();
        let command = command.current_dir(self.folder.path()).args(arguments);
        let output = command
            .args(["--operator", "operator.toml"])
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (
            output.status.code().unwrap(),
            text(output.stdout),
            text(output.stderr),
        )
    }

    fn write(&self, records: &str) {
        fs::write(self.folder.path().join("records/all.toml"), records).unwrap();
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn send(address: SocketAddr, method: Method, path: &str, body: &Value) {
    let mut request = Client::request(method, address, path).unwrap();
    request.set_body(body.to_string());
    let client = Client::default();
    let work = client.fetch(address, request, Reuse::Never, LIMIT);
    let (response, _) = smol::block_on(work).unwrap();
    assert!(response.status().is_success(), "{path}");
}

fn status(request: &Request, id: &str, offset: u64) -> Response {
    let key = request.header("x-peer-key").map(|key| key.as_str());
    if key != Some(KEY) || request.url().path() != "/peer/status" {
        return text(401, "");
    }
    let target = value!({"target": "e1", "domain": "north", "owner": "i1", "state": "warm", "queued": 4,
        "running": 2, "free_tokens": 900, "limit": 8});
    let targets = if id == "i1" {
        vec![target]
    } else {
        vec![value!({"target": "e1"})]
    };
    json(
        200,
        &value!({"instance": id, "domain": "north", "offset": offset, "ready": true,
        "in_service": true, "peers": [{"instance": "i9", "age_ms": 321}], "targets": targets,
        "alarms": [format!("log down at {id}")], "requests": 17}),
    )
}

/// The offset of an instance in which every entry is in force.
fn in_force() -> Arc<AtomicU64> {
    Arc::new(AtomicU64::new(u64::MAX))
}

#[test]
fn publish() {
    let case = Case::new(log::Settings::default());
    let _instance = case.instance("i1", "live", &in_force());
    let (code, out, err) = case.run(&["plan", "records"]);
    assert_eq!((code, out.matches("create ").count()), (0, 2), "{out}{err}");
    assert_eq!(case.appended(), 0);
    let (code, out, err) = case.run(&["apply", "records"]);
    assert_eq!(code, 0, "{out}{err}");
    assert!(
        out.contains("published: 2, rejected: 0, offset: 2"),
        "{out}"
    );
    assert_eq!(case.run(&["plan", "records"]).1, "no change\n");
    case.write(&RECORDS.replace("weight = 3", "weight = 4"));
    let (_, out, _) = case.run(&["plan", "records"]);
    assert_eq!(
        out,
        "change workspace `coop` (base 2)\n  body.limits.weight: 3 -> 4\n"
    );
    assert_eq!(case.run(&["apply", "records"]).0, 0);
    let (_, shown, _) = case.run(&["show"]);
    case.write(&shown);
    let (_, out, _) = case.run(&["plan", "--json", "records"]);
    let plan: Value = serde_json::from_str(&out).unwrap();
    let difference = value!([{"key": "schema", "from": 1, "to": 2}]);
    assert_eq!(
        (plan[0]["differences"].clone(), plan[1].clone()),
        (difference, Value::Null)
    );
    case.write("");
    assert_eq!(case.run(&["plan", "records"]).1, "no change\n");
    assert_eq!(case.run(&["apply", "--prune", "records"]).0, 0);
    assert_eq!(case.run(&["show", "--json"]).1, "[]\n");
    // A deleted record is created again, based on the revision of its deletion.
    case.write(RECORDS);
    assert_eq!(case.run(&["apply", "records"]).0, 0);
    assert_eq!(case.appended(), 7);
}

#[test]
fn lost_reply() {
    let case = Case::new(log::Settings::default());
    send(
        case.log.address(),
        Method::Post,
        "/fault",
        &value!({"drop_reply": 1}),
    );
    let (code, out, err) = case.run(&["apply", "--wait", "0", "--json", "records"]);
    assert_eq!(code, 0, "{out}{err}");
    let report: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(report["published"][0]["offset"], 1, "{out}");
    assert_eq!(case.appended(), 2, "the append must not be repeated");
}

/// Forwards requests to the log; just before the first append, another operator publishes an entry.
async fn race(mut request: Request, log: SocketAddr, appends: Arc<AtomicU64>) -> Response {
    let client = Client::default();
    let path = request.url().path().to_owned() + "?" + request.url().query().unwrap_or("");
    let mut bodies = vec![request.take_body().into_bytes().await.unwrap()];
    if request.method() == Method::Post && appends.fetch_add(1, Ordering::Relaxed) == 0 {
        let entry = value!({"schema": 2, "kind": "domain", "name": "north", "base": 0,
            "body": {"service": {"in": false}}});
        bodies.insert(0, entry.to_string().into_bytes());
    }
    let mut answer = Vec::new();
    for body in bodies {
        let mut copy = Client::request(request.method(), log, &path).unwrap();
        copy.set_body(body);
        answer = client
            .fetch(log, copy, Reuse::Never, LIMIT)
            .await
            .unwrap()
            .1;
    }
    text(200, String::from_utf8(answer).unwrap())
}

#[test]
fn racing_operators() {
    let case = Case::new(log::Settings::default());
    let (log, appends) = (case.log.address(), Arc::new(AtomicU64::new(0)));
    let proxy = Server::start(any_port(), move |request: Request, _: Peer| {
        race(request, log, Arc::clone(&appends))
    });
    let proxy = smol::block_on(proxy).unwrap();
    case.operator(proxy.address());
    let (code, out, err) = case.run(&["apply", "--wait", "0", "records"]);
    assert_eq!(code, 3, "{out}{err}");
    assert!(err.contains("domain `north` rejected: base `0`"), "{err}");
    assert!(
        out.contains("published: 1, rejected: 1, offset: 3"),
        "{out}"
    );
    let (_, out, _) = case.run(&["plan", "records"]);
    assert_eq!(
        out,
        "change domain `north` (base 1)\n  body.service.in: false -> true\n"
    );
}

#[test]
fn late_instances() {
    let case = Case::new(log::Settings::default());
    let (code, _, err) = case.run(&["apply", "--wait", "0.3", "records"]);
    assert_eq!(code, 4, "{err}");
    assert!(err.contains("no live instance"), "{err}");
    let behind = Arc::new(AtomicU64::new(1));
    let _servers = [
        case.instance("i1", "live", &in_force()),
        case.instance("i2", "live", &behind),
        case.instance("i4", "leaving", &behind),
    ];
    let gone = TcpListener::bind(any_port()).unwrap().local_addr().unwrap();
    case.list("i3", "live", gone);
    let (code, out, err) = case.run(&["apply", "--wait", "0.5", "records"]);
    assert_eq!(code, 4, "{out}{err}");
    assert!(err.contains("instance `i2` has offset 1 in force"), "{err}");
    assert!(err.contains("instance `i3` does not answer"), "{err}");
    assert!(
        err.contains("offset 2 is not in force in `i2`, `i3`\n"),
        "{err}"
    );
    let (code, out, err) = case.run(&["status"]);
    assert_eq!(code, 1, "{out}{err}");
    assert!(err.contains("no status from `i3`"), "{err}");
    let rows: Vec<_> = out
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .collect();
    assert_eq!(rows[2][..2], ["i2", "north"], "{out}");
    assert_eq!(
        rows[2][3..],
        ["true", "false", "true", "1", "1", "321", "1"],
        "{out}"
    );
    assert!(out.contains("no answer: cannot connect"), "{out}");
    assert!(
        rows.contains(&vec!["e1", "north", "i1", "warm", "4", "2", "8", "900"]),
        "{out}"
    );
    assert!(out.contains("alarm i2: log down at i2\n"), "{out}");
    let (_, out, _) = case.run(&["status", "--json"]);
    let answer: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(answer["instances"][0]["status"]["requests"], 17, "{out}");
    fs::write(case.folder.path().join("peer.key"), "another-peer-key").unwrap();
    let (code, _, err) = case.run(&["status"]);
    assert_eq!(code, 1);
    assert!(
        err.contains("no status from `i1`, `i2`, `i3`, `i4`"),
        "{err}"
    );
}

#[test]
fn log_down() {
    let case = Case::new(log::Settings::default());
    send(
        case.log.address(),
        Method::Post,
        "/fault",
        &value!({"rate": 0.001}),
    );
    case.append("config", "{}");
    let (code, _, err) = case.run(&["apply", "--wait", "0", "records"]);
    assert_eq!(code, 1, "{err}");
    assert!(
        err.contains("429") && err.contains("it is not published"),
        "{err}"
    );
    send(
        case.log.address(),
        Method::Post,
        "/fault",
        &value!({"down_ms": 60_000}),
    );
    std::thread::sleep(Duration::from_millis(200));
    for command in ["plan", "apply"] {
        let (code, _, err) = case.run(&[command, "records"]);
        assert_eq!(code, 1, "{err}");
        assert!(err.contains("cannot read the log"), "{err}");
    }
}

#[test]
fn snapshot() {
    let case = Case::new(log::Settings {
        retention: 2,
        ..log::Settings::default()
    });
    let entry = |base: u64, name: &str| {
        value!({"schema": 2, "kind": "domain", "name": name, "base": base, "body": {"service": {"in": true}}})
            .to_string()
    };
    let entries = [entry(0, "a"), entry(0, "b"), entry(0, "c"), entry(2, "b")];
    let mut fold = Fold::default();
    for (index, entry) in entries.iter().enumerate() {
        case.append("config", entry);
        if index < 2 {
            fold.apply(index as u64 + 1, entry).unwrap();
        }
    }
    let (code, _, err) = case.run(&["show"]);
    assert_eq!(code, 1);
    assert!(err.contains("stream `config` starts at offset 3"), "{err}");
    case.append(
        "config-snapshot",
        &String::from_utf8(fold.snapshot()).unwrap(),
    );
    let (code, out, err) = case.run(&["show", "--json"]);
    assert_eq!(code, 0, "{err}");
    let records: Value = serde_json::from_str(&out).unwrap();
    let revisions: Vec<_> = records
        .as_array()
        .unwrap()
        .iter()
        .map(|record| &record["revision"])
        .collect();
    assert_eq!(revisions, [1, 4, 3]);
}
