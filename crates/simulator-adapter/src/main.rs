//! Connects the routing policy to a simulator by JSON lines on standard input and output.
//!
//! Reads one batch of events per line and writes one line with the policy's actions for each. The
//! adapter makes no decisions: it only converts between wire values and the policy's types.

mod adapter;
mod decode;
mod encode;
mod error;
mod fields;
mod names;
mod router_policy;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use adapter::Adapter;

fn main() -> ExitCode {
    // A panic of the policy is reported in the reply, so nothing is printed to standard error.
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
    let mut adapter = Adapter::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().split(b'\n').enumerate() {
        let number = index + 1;
        let line = line.map_err(|error| format!("line {number}: cannot be read: {error}"))?;
        let reply = adapter
            .handle_batch(&line)
            .map_err(|error| format!("line {number}: {error}"))?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|error| format!("the reply cannot be written: {error}"))?;
    }
    Ok(())
}
