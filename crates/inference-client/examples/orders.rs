//! An order must not run twice: the client tries again only what has not run, and gives up in good time.

use std::time::Duration;

use cranetack_inference_client::{ChatRequest, Client, Error, Message, Options, Safety};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Error> {
    let base = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "http://127.0.0.1:8090".to_owned());
    let options = Options {
        safety: Safety::Unsafe,
        deadline: Duration::from_secs(8),
        ..Options::default()
    };
    let client = Client::with(&base, options)?;
    let asked = ChatRequest::new("parts-chat", vec![Message::user("Order two head gaskets.")]);
    match client.chat(&asked).await {
        Ok(answer) => println!(
            "{}",
            answer.choices[0].message.content.as_deref().unwrap_or("")
        ),
        Err(Error::NotSent(why)) => println!("nothing was ordered: {why}"),
        Err(Error::Lost | Error::Broken) => {
            println!("it may have been ordered: ask before you try again")
        }
        Err(Error::Api { status: 503, .. }) => println!("nothing was ordered: the service is full"),
        Err(error) => return Err(error),
    }
    Ok(())
}
