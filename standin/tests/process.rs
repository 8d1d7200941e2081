//! Stand-ins that run as processes.

mod common;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use common::get;

const PROGRAM: &str = env!("CARGO_BIN_EXE_standin");

/// Guards against a process that does not print its address, or prints a wrong one.
#[test]
fn address_line() {
    let paths = [
        ("engine", "/v1/streams"),
        ("list", "/instances"),
        ("log", "/streams/s"),
        ("service", "/stats"),
        ("store", "/weights/m/1"),
    ];
    for (name, path) in paths {
        let mut child = Command::new(PROGRAM)
            .args([name, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        out.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening address=").unwrap();
        let status = smol::block_on(get(address.parse().unwrap(), path)).0;
        child.kill().unwrap();
        child.wait().unwrap();
        assert_eq!(status, 200, "{name}");
    }
}

/// Guards against invalid arguments that are silently ignored.
#[test]
fn bad_arguments() {
    for args in [
        ["engine", "--memroy=1"],
        ["engin", "--memory=1"],
        ["engine", "--decode-rate=0"],
    ] {
        let output = Command::new(PROGRAM).args(args).output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && message.starts_with("error: "),
            "{message}"
        );
    }
}
