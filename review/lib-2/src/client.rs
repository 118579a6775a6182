//! Requests of clients on the platform's API.

/// A request of a client, as bytes. `work` are fields of the body that tell the stand-in workers
/// what the request takes, such as `"read_ms":20`. The prompt has `prompt_bytes` bytes.
pub fn chat(id: &str, class: &str, deadline_ms: u64, work: &str, prompt_bytes: usize) -> Vec<u8> {
    let prompt = "part ".repeat(prompt_bytes / 5 + 1);
    let body = format!(
        r#"{{"model":"chat","stream":true,{work},"max_tokens":500,"messages":[{{"role":"user","content":"{}"}}]}}"#,
        &prompt[..prompt_bytes]
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Key: k-{id}\r\nX-Deadline-Ms: {deadline_ms}\r\nX-Extras: prompt_len={},max_out=500\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        prompt_bytes / 4,
        body.len()
    )
    .into_bytes()
}
