//! The misbehaving clients of a crowd. Each opens one connection after another, and holds as much of
//! the router as it can with each.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

use super::client_kind::ClientKind;
use super::servers::ResponsePlan;

/// First letter of the ids of a crowd's requests. No other clients have such ids.
pub const CROWD_ID_PREFIX: &str = "c";
/// Pause of a client between two connections.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// Longest time for which a client waits for what the router does with its connection.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time for which a client sends without end on one connection.
const FULL_SPEED_DURATION: Duration = Duration::from_secs(4);
/// Receive buffer of a client that reads slowly, in bytes.
const SLOW_RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;
/// Number of bytes that a client that reads slowly takes at once.
const SLOW_READ_BYTES: usize = 64;
/// Pause of a client that reads slowly between two reads.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Number of requests that a client sends at once.
const REQUESTS_AT_ONCE: usize = 8;
/// Number of small requests in one write of a client that sends at full speed.
const SMALL_REQUESTS_PER_WRITE: usize = 200;
/// The size of the request bodies that are sent at once, in bytes.
const WHOLE_BODY_BYTES: usize = 200_000;
/// The size of the request bodies that are sent slowly or in part, in bytes. It is below the limit of
/// the protocol, 256 KiB.
const LARGE_BODY_BYTES: usize = 250_000;
/// Bytes that a client leaves unread at the router when it disconnects.
const UNREAD_BYTES: usize = 5_000_000;
/// The deadline of all requests, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Numbers of the requests of all clients, so that ids and names are always new.
#[derive(Clone, Default)]
pub struct RequestNumbers(Rc<Cell<u64>>);

impl RequestNumbers {
    /// Returns a number that has not been returned before.
    pub fn next(&self) -> u64 {
        self.0.replace(self.0.get() + 1)
    }
}

/// Misbehaving clients that run on a thread of their own until this is dropped.
pub struct Crowd {
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts one client for each of the kinds, at the address beside it.
    pub fn start(members: Vec<(ClientKind, SocketAddr)>) -> Crowd {
        let (end, ended) = oneshot::channel();
        let thread = std::thread::spawn(move || run_crowd(members, ended));
        Crowd {
            end: Some(end),
            thread: Some(thread),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_crowd(members: Vec<(ClientKind, SocketAddr)>, ended: oneshot::Receiver<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return;
    };
    LocalSet::new().block_on(&runtime, async {
        let numbers = RequestNumbers::default();
        for (kind, address) in members {
            let client = MisbehavingClient {
                kind,
                address,
                numbers: numbers.clone(),
            };
            spawn_local(client.run());
        }
        let _ = ended.await;
    });
}

/// One misbehaving client.
pub struct MisbehavingClient {
    /// What the client does.
    pub kind: ClientKind,
    /// The address of the frontend to which the client connects.
    pub address: SocketAddr,
    /// The source of request ids.
    pub numbers: RequestNumbers,
}

impl MisbehavingClient {
    /// Opens one connection after another. Does not return.
    pub async fn run(self) {
        loop {
            // The router may close or reset a connection at any time.
            let _ = timeout(PATIENCE + FULL_SPEED_DURATION, self.connect_once()).await;
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Returns how the requests are made that this client sends without end, if it does.
    fn endless_request(&self) -> Option<fn(&MisbehavingClient) -> String> {
        match self.kind {
            ClientKind::SmallRequests => Some(MisbehavingClient::small_request),
            ClientKind::UnknownNames => Some(MisbehavingClient::unknown_class),
            ClientKind::NewNames => Some(MisbehavingClient::new_names),
            ClientKind::ShortDeadlines => Some(MisbehavingClient::short_deadline),
            _ => None,
        }
    }

    async fn connect_once(&self) -> std::io::Result<()> {
        let stream = if self.kind.reads_slowly() {
            let socket = TcpSocket::new_v4()?;
            socket.set_recv_buffer_size(SLOW_RECEIVE_BUFFER_BYTES)?;
            socket.connect(self.address).await?
        } else {
            TcpStream::connect(self.address).await?
        };
        stream.set_nodelay(true)?;
        if let Some(request) = self.endless_request() {
            return self.send_without_end(stream, request).await;
        }
        match self.kind {
            ClientKind::SlowReader => self.read_slowly(stream, 4_000, 90).await,
            ClientKind::SlowReaderOfLargeEvents => self.read_slowly(stream, 300, 14_000).await,
            ClientKind::SlowReaderOfErrors => self.ignore_errors(stream).await,
            ClientKind::UnreadWholeResponse => self.leave_unread(stream).await,
            ClientKind::LargeBatch => self.send_batch(stream).await,
            ClientKind::ManyFields => self.send_fields(stream, 1_500, true).await,
            ClientKind::UnfinishedHead => self.send_fields(stream, 90, false).await,
            _ => self.send_bodies(stream).await,
        }
    }

    async fn send_bodies(&self, stream: TcpStream) -> std::io::Result<()> {
        match self.kind {
            ClientKind::WholeRequests => self.send_whole_requests(stream).await,
            ClientKind::TinyChunks => self.send_tiny_chunks(stream).await,
            ClientKind::SlowWriter => self.write_slowly(stream).await,
            ClientKind::StopsHalfway => self.stop_halfway(stream).await,
            _ => self.leave(stream).await,
        }
    }

    /// Returns the head of a chat request with further fields, without its end.
    fn head(&self, fields: &str) -> String {
        let number = self.numbers.next();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {CROWD_ID_PREFIX}{number:08x}\r\n\
             x-class: chat\r\nx-deadline-ms: {DEADLINE_MS}\r\nx-extras: prompt_len=100,max_out=20\r\n\
             {fields}"
        )
    }

    /// Returns a whole chat request with a body of `bytes` bytes.
    fn chat(&self, plan: ResponsePlan, bytes: usize) -> String {
        let body = chat_body(plan, bytes, true);
        let head = self.head(&format!("content-length: {}\r\n\r\n", body.len()));
        head + &body
    }

    async fn send_whole_requests(&self, stream: TcpStream) -> std::io::Result<()> {
        let plan = ResponsePlan {
            events: 3,
            event_bytes: 90,
            gap_ms: 20,
        };
        let requests: String = (0..REQUESTS_AT_ONCE)
            .map(|_| self.chat(plan, WHOLE_BODY_BYTES))
            .collect();
        send_and_read(stream, requests.into_bytes(), REQUESTS_AT_ONCE).await
    }

    async fn read_slowly(
        &self,
        mut stream: TcpStream,
        events: usize,
        event_bytes: usize,
    ) -> std::io::Result<()> {
        let plan = ResponsePlan {
            events,
            event_bytes,
            gap_ms: 0,
        };
        stream.write_all(self.chat(plan, 300).as_bytes()).await?;
        let mut buffer = [0; SLOW_READ_BYTES];
        while stream.read(&mut buffer).await? > 0 {
            sleep(SLOW_READ_INTERVAL).await;
        }
        Ok(())
    }

    async fn ignore_errors(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let requests = "GET /nothing HTTP/1.1\r\nhost: app\r\n\r\n".repeat(20_000);
        let _ = timeout(PATIENCE, stream.write_all(requests.as_bytes())).await;
        sleep(PATIENCE).await;
        Ok(())
    }

    async fn send_tiny_chunks(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let head = self.head("transfer-encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        let chunks = "1;name=value\r\nx\r\n".repeat(2_000);
        stream.write_all(chunks.as_bytes()).await?;
        wait_for_end(stream).await
    }

    async fn write_slowly(&self, stream: TcpStream) -> std::io::Result<()> {
        const CHUNK_BYTES: usize = 12_500;
        const CHUNK_INTERVAL: Duration = Duration::from_millis(100);
        let plan = ResponsePlan {
            events: 3,
            event_bytes: 90,
            gap_ms: 20,
        };
        let request = self.chat(plan, LARGE_BODY_BYTES).into_bytes();
        let (reader, mut writer) = stream.into_split();
        let writing = async {
            for chunk in request.chunks(CHUNK_BYTES) {
                writer.write_all(chunk).await?;
                sleep(CHUNK_INTERVAL).await;
            }
            std::future::pending::<std::io::Result<()>>().await
        };
        tokio::select! {
            written = writing => written,
            ended = read_responses(reader, 1) => ended,
        }
    }

    async fn stop_halfway(&self, mut stream: TcpStream) -> std::io::Result<()> {
        const SENT_BYTES: usize = 200_000;
        let fields: String = (0..80)
            .map(|field| format!("x-field-{field}: {}\r\n", "v".repeat(85)))
            .collect();
        let head = self.head(&format!(
            "{fields}content-length: {LARGE_BODY_BYTES}\r\n\r\n"
        ));
        stream.write_all(head.as_bytes()).await?;
        let sending = async { stream.write_all(&vec![b'x'; SENT_BYTES]).await };
        let _ = timeout(PATIENCE, sending).await;
        wait_for_end(stream).await
    }

    async fn send_fields(
        &self,
        mut stream: TcpStream,
        fields: usize,
        is_finished: bool,
    ) -> std::io::Result<()> {
        let fields: String = (0..fields)
            .map(|field| format!("a{field}: b\r\n"))
            .collect();
        let end = if is_finished { "\r\n" } else { "" };
        let head = self.head(&fields) + end;
        stream.write_all(head.as_bytes()).await?;
        wait_for_end(stream).await
    }

    fn small_request(&self) -> String {
        "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\ncontent-length: 2\r\n\r\n{}".to_owned()
    }

    fn unknown_class(&self) -> String {
        let number = self.numbers.next();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {CROWD_ID_PREFIX}{number:08x}\r\n\
             x-class: class-{number}\r\nx-deadline-ms: 100\r\ncontent-length: 2\r\n\r\n{{}}"
        )
    }

    fn new_names(&self) -> String {
        let number = self.numbers.next();
        let body = format!(
            "{{\"model\":\"m{number}\",\"user\":\"u{number}\",\"stream\":true,\"messages\":[]}}"
        );
        let length = body.len();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {CROWD_ID_PREFIX}{number:08x}\r\n\
             x-class: chat\r\nx-key: session-{number}\r\nx-deadline-ms: 1\r\n\
             x-extras: prefix=p{number},prompt_len=9000,prefix_len=8000,max_out=20\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
    }

    fn short_deadline(&self) -> String {
        let number = self.numbers.next();
        let class = if number.is_multiple_of(2) {
            "chat"
        } else {
            "order"
        };
        let deadline_ms = 20 + number % 50;
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: app\r\nx-request-id: {CROWD_ID_PREFIX}{number:08x}\r\n\
             x-class: {class}\r\nx-deadline-ms: {deadline_ms}\r\n\
             x-extras: prompt_len=100,max_out=20\r\ncontent-length: 2\r\n\r\n{{}}"
        )
    }

    /// Sends requests at full speed for some seconds, and reads all responses.
    async fn send_without_end(
        &self,
        stream: TcpStream,
        request: impl Fn(&Self) -> String,
    ) -> std::io::Result<()> {
        let (mut reader, mut writer) = stream.into_split();
        let sending = async {
            loop {
                let requests: String = (0..SMALL_REQUESTS_PER_WRITE)
                    .map(|_| request(self))
                    .collect();
                writer.write_all(requests.as_bytes()).await?;
            }
        };
        let reading = async {
            let mut buffer = vec![0; 64 * 1024];
            while reader.read(&mut buffer).await? > 0 {}
            Ok(())
        };
        tokio::select! {
            sent = sending => sent,
            read = reading => read,
            () = sleep(FULL_SPEED_DURATION) => Ok(()),
        }
    }

    async fn leave(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let plan = ResponsePlan {
            events: 100,
            event_bytes: 90,
            gap_ms: 20,
        };
        let mut requests = String::new();
        while requests.len() < UNREAD_BYTES {
            requests += &self.chat(plan, 16_000);
        }
        let sending = stream.write_all(requests.as_bytes());
        let _ = timeout(Duration::from_millis(300), sending).await;
        Ok(())
    }

    async fn send_batch(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let texts = vec!["\"a\""; 15_000].join(",");
        let body = format!("{{\"model\":\"m\",\"input\":[{texts}]}}");
        let number = self.numbers.next();
        let head = format!(
            "POST /v1/embeddings HTTP/1.1\r\nhost: app\r\nx-request-id: {CROWD_ID_PREFIX}{number:08x}\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        let _ = timeout(PATIENCE, stream.write_all(body.as_bytes())).await;
        sleep(PATIENCE).await;
        Ok(())
    }

    async fn leave_unread(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let plan = ResponsePlan {
            events: 400,
            event_bytes: 1_000,
            gap_ms: 0,
        };
        let body = chat_body(plan, 300, false);
        let head = self.head(&format!("content-length: {}\r\n\r\n", body.len()));
        stream.write_all((head + &body).as_bytes()).await?;
        sleep(PATIENCE).await;
        Ok(())
    }
}

/// Returns the body of a chat request that asks for a response, filled up to `bytes` bytes.
pub fn chat_body(plan: ResponsePlan, bytes: usize, is_streamed: bool) -> String {
    let marker = plan.marker();
    let start = format!(
        "{{\"model\":\"m\",\"stream\":{is_streamed},\"user\":\"{marker}\",\
         \"messages\":[{{\"role\":\"user\",\"content\":\""
    );
    let end = "\"}]}";
    let filler = "x".repeat(bytes.saturating_sub(start.len() + end.len()));
    format!("{start}{filler}{end}")
}

/// Sends bytes, and reads `responses` responses meanwhile.
async fn send_and_read(stream: TcpStream, bytes: Vec<u8>, responses: usize) -> std::io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let sending = async {
        writer.write_all(&bytes).await?;
        std::future::pending::<std::io::Result<()>>().await
    };
    tokio::select! {
        sent = sending => sent,
        ended = timeout(PATIENCE, read_responses(reader, responses)) => ended.unwrap_or(Ok(())),
    }
}

/// Reads until as many responses have begun, and no data has come for a while, or the connection
/// ends.
async fn read_responses(
    mut reader: impl AsyncRead + Unpin,
    responses: usize,
) -> std::io::Result<()> {
    const STATUS_LINE: &[u8] = b"HTTP/1.1 ";
    const LAST_RESPONSE_WAIT: Duration = Duration::from_millis(200);
    let mut buffer = vec![0; 16 * 1024];
    let mut begun = 0;
    loop {
        let wait = if begun < responses {
            PATIENCE
        } else {
            LAST_RESPONSE_WAIT
        };
        match timeout(wait, reader.read(&mut buffer)).await {
            Ok(Ok(length)) if length > 0 => {
                let windows = buffer[..length].windows(STATUS_LINE.len());
                begun += windows.filter(|window| *window == STATUS_LINE).count();
            }
            Ok(Ok(_)) | Err(_) => return Ok(()),
            Ok(Err(error)) => return Err(error),
        }
    }
}

/// Reads until the router closes the connection.
async fn wait_for_end(stream: impl AsyncRead + AsyncWrite + Unpin) -> std::io::Result<()> {
    let mut stream = stream;
    let mut buffer = vec![0; 4 * 1024];
    let reading = async {
        while stream.read(&mut buffer).await? > 0 {}
        Ok(())
    };
    timeout(PATIENCE, reading).await.unwrap_or(Ok(()))
}
