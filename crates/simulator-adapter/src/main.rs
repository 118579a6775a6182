//! Reads batches of events from standard input, one JSON value a line, and answers each with one line of actions.
//! No decision is made here: wire values become the types of `cranetack` and back.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
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
    let mut process = wire::Process::default();
    let mut output = io::stdout().lock();
    for (index, line) in io::stdin().lock().split(b'\n').enumerate() {
        let line = line.map_err(|e| format!("line {}: cannot be read: {e}", index + 1))?;
        let reply = process
            .batch(&line)
            .map_err(|e| format!("line {}: {e}", index + 1))?;
        let sent = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        sent.map_err(|e| format!("the reply cannot be written: {e}"))?;
    }
    Ok(())
}
