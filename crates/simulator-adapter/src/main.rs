//! The policy on the line-based JSON wire of a simulator.
//!
//! Reads batches of events from standard input, one JSON value a line, and answers each with one
//! line of actions. No decision is made here: wire values become the policy's types and back.

mod decode;
mod encode;
mod error;
mod fields;
mod instance;
mod names;
mod process;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use process::Process;

fn main() -> ExitCode {
    // A panic of the policy is reported on the wire.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("cranetack-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut process = Process::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().split(b'\n').enumerate() {
        let number = index + 1;
        let line = line.map_err(|error| format!("line {number}: cannot be read: {error}"))?;
        let reply = process
            .batch(&line)
            .map_err(|error| format!("line {number}: {error}"))?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|error| format!("the reply cannot be written: {error}"))?;
    }
    Ok(())
}
