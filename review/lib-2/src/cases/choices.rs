//! A stream breaks between two choices of an answer. The client asked for one whole response.

use std::fs;
use std::time::{Duration, Instant};

use crate::cases::burst::inference_file;
use crate::discovery::Discovery;
use crate::http::{read_response, Connection};
use crate::router::{free_address, Options, Router};
use crate::worker::Fleet;
use crate::{Context, Verdict};

const REQUESTS: usize = 5;
const CHOICES: usize = 3;

pub fn run(context: &Context) -> Verdict {
    let record = &context.record;
    let fleet = Fleet::start(2, 2, record)?;
    let discovery = Discovery::start(fleet.entries.clone(), record)?;
    let inference = context.folder.join("inference.toml");
    let listen = free_address()?;
    fs::write(&inference, inference_file(&context.root, listen)?)?;
    let mut options = Options::new(discovery.address);
    let variable = (
        "CRANETACK_INFERENCE".to_owned(),
        inference.display().to_string(),
    );
    options.environment.push(variable);
    let _router = Router::start("n0", &context.root, &context.folder, &options, record)?;
    let mut wrong = 0;
    for number in 0..REQUESTS {
        let id = format!("choices-{number}");
        if context.trouble {
            fleet.reset_between_choices(&id, 1);
        }
        let body = format!(
            r#"{{"model":"parts-chat","n":{CHOICES},"messages":[{{"role":"user","content":"which gasket fits?"}}]}}"#
        );
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut connection = Connection::open(listen)?;
        connection.write(request.as_bytes())?;
        record.line(format!(
            "client: asks for {CHOICES} choices in one response ({id})"
        ));
        let answer = read_response(&mut connection, Instant::now() + Duration::from_secs(8));
        let answer = answer.map_err(|end| std::io::Error::other(format!("no answer: {end:?}")))?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(format!("client: {id} got {}: {text}", answer.status));
        let choices = text.matches("\"finish_reason\":\"stop\"").count();
        if answer.status == 200 && choices < CHOICES {
            wrong += 1;
            record.line(format!(
                "broken: {id} got 200 with {choices} of {CHOICES} choices"
            ));
        }
    }
    record.say(format!(
        "{wrong} of {REQUESTS} answers were passed on as whole and were not"
    ));
    Ok(wrong == 0)
}
