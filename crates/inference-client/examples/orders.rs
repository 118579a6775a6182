//! Sends an order, which must not be executed twice. The client retries it only if it cannot have
//! been executed.

use std::time::Duration;

use cranetack_inference_client::{ChatRequest, Client, Error, Idempotency, Message, Options};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Error> {
    let base = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "http://127.0.0.1:8090".to_owned());
    let options = Options {
        idempotency: Idempotency::NonIdempotent,
        deadline: Duration::from_secs(8),
        ..Options::default()
    };
    let client = Client::with_options(&base, options)?;
    let request = ChatRequest::new("parts-chat", vec![Message::user("Order two head gaskets.")]);
    match client.chat(&request).await {
        Ok(response) => println!(
            "{}",
            response.choices[0].message.content.as_deref().unwrap_or("")
        ),
        Err(Error::NotSent(reason)) => println!("nothing was ordered: {reason}"),
        Err(Error::ConnectionLost | Error::StreamBroken) => {
            println!("the order may have been executed: check before you send it again")
        }
        Err(Error::Api { status: 503, .. }) => println!("nothing was ordered: service overloaded"),
        Err(error) => return Err(error),
    }
    Ok(())
}
