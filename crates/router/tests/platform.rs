//! The platform's front on loopback, against stand-in readers and writers.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{
    endpoint_entry, run, settings, start_scripted_server, Bed, Behaviour, Client, FakeDiscovery,
    FakeServer, Observation, RawClient, ScriptedServer, DONE, EVENT, FINISH,
};
use tokio::task::spawn_local;

const CHAT: &str = "/v1/chat/completions";

async fn pair(writes: Behaviour) -> (Rc<FakeServer>, Rc<FakeServer>, Bed) {
    let reader = FakeServer::start(8, Behaviour::Prefill).await;
    let writer = FakeServer::start(8, writes).await;
    let bed = Bed::start(vec![
        endpoint_entry(&reader, "reader", "up"),
        endpoint_entry(&writer, "writer", "up"),
    ])
    .await;
    (reader, writer, bed)
}

fn rooms(worker: &FakeServer, method: &str, id: &str) -> usize {
    worker
        .observations
        .borrow()
        .iter()
        .filter(|s| {
            **s == Observation::SlotCall {
                method: method.to_owned(),
                id: id.to_owned(),
            }
        })
        .count()
}

#[test]
fn a_prompt_is_read_and_its_answer_written_with_a_place_asked_for() {
    run(async {
        let (reader, writer, bed) = pair(Behaviour::Answer).await;
        reader.service_time.set(Duration::from_millis(30));
        let mut client = Client::connect(bed.platform).await;
        // One connection serves request after request.
        for id in ["a1", "a2"] {
            let (status, headers, body) = client.send_chat(id, "order", 5_000).await;
            assert_eq!(
                (status, &headers["content-type"]),
                (200, &"text/event-stream".parse().unwrap())
            );
            assert_eq!(body.unwrap(), format!("{EVENT}{FINISH}{DONE}"));
            assert_eq!(rooms(&writer, "POST", id), 1);
        }
        assert_eq!(
            (reader.count_started(CHAT), writer.count_started(CHAT)),
            (2, 2)
        );
    });
}

/// Guards against an effect that happens twice: what may have run is not sent again for an `unsafe` class,
/// and is for a `safe` one.
#[test]
fn a_connection_that_breaks_after_the_last_byte_ends_an_unsafe_request() {
    run(async {
        let (_reader, writer, bed) = pair(Behaviour::CloseConnection).await;
        let mut client = Client::connect(bed.platform).await;
        let (status, _, _) = client.send_chat("b1", "order", 5_000).await;
        assert_eq!((status, writer.count_started(CHAT)), (502, 1));
        let (status, _, _) = client.send_chat("b2", "chat", 5_000).await;
        assert_eq!(
            (status, writer.count_started(CHAT)),
            (503, 3),
            "four attempts are two reads and two answers"
        );
    });
}

/// Guards against a broken stream that looks whole: the client's connection ends without the last chunk.
#[test]
fn a_broken_stream_is_passed_on_as_broken() {
    run(async {
        let (_reader, writer, bed) = pair(Behaviour::TruncateStream).await;
        let mut client = Client::connect(bed.platform).await;
        let (status, _, body) = client.send_chat("c1", "chat", 5_000).await;
        assert_eq!((status, body, writer.count_started(CHAT)), (200, None, 1));
    });
}

/// A chunked answer's head, and parts of its body.
fn chunked(parts: &[&str]) -> String {
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    parts.iter().fold(head.to_owned(), |text, part| {
        format!("{text}{:x}\r\n{part}\r\n", part.len())
    })
}

/// Guards against an answer that is spoilt in place of its opening and waited for until the deadline, and
/// against calling that harmless: it has run, so an `unsafe` request fails at once and is not sent again.
#[test]
fn an_answer_spoilt_before_its_first_event_may_have_run() {
    for script in [
        "\u{1}\u{2}noise\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nx-load: TEXT x0=".to_owned(),
        format!("HTTP/1.1 200 OK\r\nx-long: {}", "x".repeat(100_000)),
        format!("{}zz\r\n", chunked(&[])),
        format!("{}c0000000\r\n", chunked(&[])),
        format!("{}40\r\ndata: ", chunked(&[])),
    ] {
        run(async {
            let reader = FakeServer::start(8, Behaviour::Prefill).await;
            let ScriptedServer {
                entry: writer,
                request_count: asked,
            } = start_scripted_server("writer", vec![script.clone()]).await;
            let bed = Bed::start(vec![endpoint_entry(&reader, "reader", "up"), writer]).await;
            let mut client = Client::connect(bed.platform).await;
            let (status, ..) = client.send_chat("n1", "order", 60_000).await;
            assert_eq!((status, asked.get()), (502, 1), "{script:.60?}");
        });
    }
}

/// Guards against a stream that is spoilt later and goes on, or ends as if it were whole.
#[test]
fn a_stream_spoilt_after_its_first_event_is_broken_off() {
    for spoilt in [
        "zz\r\nnoise",
        "3\r\nabcdef\r\n",
        "c0000000\r\ndata: x\n\n",
        "40\r\ndata: x",
        "4",
    ] {
        run(async {
            let reader = FakeServer::start(8, Behaviour::Prefill).await;
            let ScriptedServer {
                entry: writer,
                request_count: asked,
            } = start_scripted_server("writer", vec![chunked(&[EVENT]), spoilt.to_owned()]).await;
            let bed = Bed::start(vec![endpoint_entry(&reader, "reader", "up"), writer]).await;
            let mut client = Client::connect(bed.platform).await;
            let (status, _, body) = client.send_chat("o1", "chat", 60_000).await;
            assert_eq!((status, body, asked.get()), (200, None, 1), "{spoilt:?}");
        });
    }
}

/// Guards against a good answer that is lost for what comes with it, and against a second answer behind it that
/// is given to the next request.
#[test]
fn a_good_answer_with_more_than_belongs_to_it_is_passed_on_alone() {
    run(async {
        let answer = format!(
            "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n{}0\r\n\r\n",
            chunked(&[EVENT, DONE])
        );
        let answer = answer.replace("content-type", "x-load: ?=\u{fffd}\r\ncontent-type");
        let behind = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";
        let reader = FakeServer::start(8, Behaviour::Prefill).await;
        let ScriptedServer {
            entry: writer,
            request_count: asked,
        } = start_scripted_server("writer", vec![format!("{answer}{behind}")]).await;
        let bed = Bed::start(vec![endpoint_entry(&reader, "reader", "up"), writer]).await;
        let mut client = Client::connect(bed.platform).await;
        for n in 1..4 {
            let (status, _, body) = client.send_chat(&format!("p{n}"), "order", 5_000).await;
            assert_eq!(
                (status, body.unwrap(), asked.get()),
                (200, format!("{EVENT}{DONE}").into(), n)
            );
        }
    });
}

/// Guards against state that stays pinned for a client that has gone: the attempt is called off, and what a
/// read that was cut off may have left is let go.
#[test]
fn a_client_that_leaves_during_the_read_leaves_nothing_held() {
    run(async {
        let (reader, writer, bed) = pair(Behaviour::Answer).await;
        reader.behaviour.set(Behaviour::Hang);
        let mut client = Client::connect(bed.platform).await;
        let asked = spawn_local(async move { client.send_chat("d1", "chat", 5_000).await.0 });
        reader
            .wait_until(|seen| {
                seen.iter()
                    .any(|s| matches!(s, Observation::RequestStarted { .. }))
            })
            .await;
        asked.abort();
        reader
            .wait_until(|seen| {
                seen.contains(&Observation::SlotReleased {
                    id: "d1".to_owned(),
                })
            })
            .await;
        while rooms(&reader, "DELETE", "d1") + rooms(&writer, "DELETE", "d1") == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(writer.count_started(CHAT), 0);
    });
}

/// Guards against a client that has left unseen, as its close stands behind a request that it sent ahead: its first
/// request is called off, and the one behind it is never sent on.
#[test]
fn a_client_that_leaves_behind_a_request_sent_ahead_is_seen_to_leave() {
    run(async {
        let (reader, writer, bed) = pair(Behaviour::Answer).await;
        reader.behaviour.set(Behaviour::Hang);
        let asks = |id: &str, body: &str| {
            format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: chat\r\n\
                 x-deadline-ms: 60000\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        // A small one that comes along with the first, and one of which the library reads a part.
        for (n, body) in ["{}".to_owned(), "x".repeat(14 * 1024)].iter().enumerate() {
            let [first, second] = ["first", "second"].map(|name| format!("{name}{n}"));
            let mut client = RawClient::connect(bed.platform).await;
            client
                .send(&(asks(&first, "{}") + &asks(&second, body)))
                .await;
            reader
                .wait_until(|seen| {
                    seen.contains(&Observation::RequestStarted {
                        path: CHAT.to_owned(),
                        id: first.clone(),
                    })
                })
                .await;
            drop(client);
            reader
                .wait_until(|seen| seen.contains(&Observation::SlotReleased { id: first.clone() }))
                .await;
            while rooms(&reader, "DELETE", &first) + rooms(&writer, "DELETE", &first) == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        assert_eq!(
            (reader.count_started(CHAT), writer.count_started(CHAT)),
            (2, 0)
        );
    });
}

/// Guards against kept connections whose workers have died: they are noticed, and nothing is sent twice.
#[test]
fn connections_that_died_while_kept_are_not_used() {
    run(async {
        let (reader, writer, bed) = pair(Behaviour::Answer).await;
        let mut client = Client::connect(bed.platform).await;
        for round in 0..3 {
            let (status, _, _) = client.send_chat(&format!("e{round}"), "order", 5_000).await;
            assert_eq!(status, 200);
            reader.close_connections();
            writer.close_connections();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(
            (reader.count_started(CHAT), writer.count_started(CHAT)),
            (3, 3)
        );
    });
}

/// Guards against an `unsafe` request that fails for a kept connection its worker has dropped unseen: it goes over
/// a new one. A read goes over a kept one, and is sent again at once: its worker is not set aside for that.
#[test]
fn connections_that_were_dropped_unseen_cost_no_request() {
    run(async {
        let (reader, writer, bed) = pair(Behaviour::Answer).await;
        reader.drops_reused_connections.set(true);
        writer.drops_reused_connections.set(true);
        let mut client = Client::connect(bed.platform).await;
        for round in 0..4 {
            let (status, ..) = client.send_chat(&format!("r{round}"), "order", 400).await;
            assert_eq!(status, 200, "round {round}");
            // A connection rests for 30 ms before it is used again.
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        assert_eq!(
            (reader.count_started(CHAT), writer.count_started(CHAT)),
            (4, 4)
        );
    });
}

/// Guards against a restart that loses what was taken: it is answered, and kept connections are closed.
#[test]
fn the_end_answers_all_that_was_taken() {
    run(async {
        let (reader, _writer, mut bed) = pair(Behaviour::Answer).await;
        reader.service_time.set(Duration::from_millis(1_000));
        let mut kept = Client::connect(bed.platform).await;
        assert_eq!(kept.get("/up").await.0, 200);
        let mut client = Client::connect(bed.platform).await;
        let asked = spawn_local(async move { client.send_chat("f1", "order", 5_000).await });
        reader
            .wait_until(|seen| !seen.is_empty() || reader.count_started(CHAT) > 0)
            .await;
        bed.stop.take().unwrap().send(()).unwrap();
        // Connections still come for a while, and are served, but no more are asked for.
        while Client::connect(bed.platform).await.get("/up").await.0 == 200 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let (status, headers, _) = Client::connect(bed.platform)
            .await
            .send_chat("f2", "order", 5_000)
            .await;
        assert_eq!(
            (status, &headers["connection"]),
            (200, &"close".parse().unwrap())
        );
        let (status, _, body) = asked.await.unwrap();
        assert_eq!((status, body.is_some()), (200, true));
        bed.stopped.await.unwrap();
        drop(kept);
    });
}

/// Guards against streams that the end of the program cuts off, and against requests that it finds unanswered:
/// where streams can be moved, one is broken off in time, so that its client asks elsewhere for the rest.
#[test]
fn where_streams_can_be_moved_all_is_answered_shortly_before_the_end() {
    run(async {
        let reader = FakeServer::start(8, Behaviour::Prefill).await;
        let writer = FakeServer::start(8, Behaviour::StreamEndlessly).await;
        let mut set = settings();
        set["domain"]["resume"] = true.into();
        let lines = vec![
            endpoint_entry(&reader, "reader", "up"),
            endpoint_entry(&writer, "writer", "up"),
        ];
        let mut bed = Bed::start_set(lines, None, set).await;
        let ask = |id: &'static str, class: &'static str| {
            let platform = bed.platform;
            spawn_local(async move {
                Client::connect(platform)
                    .await
                    .send_chat(id, class, 60_000)
                    .await
            })
        };
        let streams = ask("q1", "order");
        reader
            .wait_until(|seen| {
                seen.contains(&Observation::SlotReleased {
                    id: "q1".to_owned(),
                })
            })
            .await;
        reader.behaviour.set(Behaviour::Hang);
        let waits = ask("q2", "order");
        reader
            .wait_until(|seen| {
                seen.contains(&Observation::RequestStarted {
                    path: CHAT.to_owned(),
                    id: "q2".to_owned(),
                })
            })
            .await;
        bed.stop.take().unwrap().send(()).unwrap();
        let (status, _, body) = streams.await.unwrap();
        assert_eq!((status, body), (200, None));
        assert_eq!(
            waits.await.unwrap().0,
            503,
            "a read has no effect: trying again is harmless"
        );
        bed.stopped.await.unwrap();
        assert_eq!(
            rooms(&reader, "DELETE", "q2") + rooms(&writer, "DELETE", "q2"),
            1
        );
    });
}

/// Guards against state that stays pinned while a worker refuses connections: another one is told.
#[test]
fn held_state_is_let_go_though_a_worker_is_down() {
    run(async {
        let reader = FakeServer::start(8, Behaviour::Hang).await;
        let mut down = endpoint_entry(&reader, "writer", "up");
        down["name"] = "down".into();
        down["address"] = "127.0.0.1:1".into();
        let bed = Bed::start(vec![endpoint_entry(&reader, "reader", "up"), down]).await;
        for n in 0..4 {
            let id = format!("h{n}");
            let mut client = Client::connect(bed.platform).await;
            let asked = spawn_local({
                let id = id.clone();
                async move { client.send_chat(&id, "chat", 5_000).await.0 }
            });
            reader
                .wait_until(|seen| {
                    seen.contains(&Observation::RequestStarted {
                        path: CHAT.to_owned(),
                        id: id.clone(),
                    })
                })
                .await;
            asked.abort();
            reader
                .wait_until(|seen| {
                    seen.contains(&Observation::SlotCall {
                        method: "DELETE".to_owned(),
                        id: id.clone(),
                    })
                })
                .await;
        }
    });
}

/// Guards against a list that goes stale after its connection broke: what drains is known soon after.
#[test]
fn the_list_is_followed_across_a_broken_connection() {
    run(async {
        let (reader, writer, bed) = pair(Behaviour::Answer).await;
        let other = FakeServer::start(8, Behaviour::Answer).await;
        bed.discovery.close_connections();
        bed.discovery.publish(vec![
            endpoint_entry(&reader, "reader", "up"),
            endpoint_entry(&writer, "writer", "draining"),
            endpoint_entry(&other, "writer", "up"),
        ]);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let mut client = Client::connect(bed.platform).await;
        for n in 0..3 {
            assert_eq!(
                client.send_chat(&format!("i{n}"), "order", 5_000).await.0,
                200
            );
        }
        assert_eq!(
            (writer.count_started(CHAT), other.count_started(CHAT)),
            (0, 3)
        );
    });
}

/// Guards against a list that stays with an address that is no longer discovery's: the new one is followed
/// though the old one's watch hangs and the versions there do not continue the old ones.
#[test]
fn the_list_is_followed_to_a_new_address() {
    run(async {
        let (reader, writer, bed) = pair(Behaviour::Answer).await;
        let other = FakeServer::start(8, Behaviour::Answer).await;
        for _ in 0..5 {
            bed.discovery.publish(vec![
                endpoint_entry(&reader, "reader", "up"),
                endpoint_entry(&writer, "writer", "up"),
            ]);
        }
        bed.discovery.silent.set(true);
        let lines = |status| {
            vec![
                endpoint_entry(&reader, "reader", "up"),
                endpoint_entry(&other, "writer", status),
            ]
        };
        let new = FakeDiscovery::start(lines("draining")).await;
        bed.moves.send_replace(new.address);
        let mut client = Client::connect(bed.platform).await;
        // The list is taken whole: of its writers none is up, and the old ones are gone.
        while client.send_chat("j0", "chat", 200).await.0 == 200 {}
        let before = writer.count_started(CHAT);
        new.publish(lines("up"));
        let (status, ..) = client.send_chat("j1", "order", 5_000).await;
        assert_eq!(
            (
                status,
                writer.count_started(CHAT) - before,
                other.count_started(CHAT)
            ),
            (200, 0, 1)
        );
    });
}

/// Guards against clients that use up descriptors and memory, and against those that keep their connections
/// without asking and so take the places of those that ask.
#[test]
fn connections_of_clients_are_bounded_and_those_without_a_request_make_room() {
    run(async {
        let (reader, _writer, bed) = pair(Behaviour::Answer).await;
        // 64 descriptors less 32 are shared by workers and clients, and theirs by two fronts.
        const MOST: usize = 8;
        let mut kept = Client::connect(bed.platform).await;
        assert_eq!(kept.get("/up").await.0, 200);
        let mut silent = Vec::new();
        for _ in 0..2 * MOST {
            silent.push(RawClient::connect(bed.platform).await);
        }
        let mut client = Client::connect(bed.platform).await;
        assert_eq!(client.send_chat("k0", "order", 5_000).await.0, 200);
        // Requests that are being answered keep their places: one more waits for its turn.
        reader.behaviour.set(Behaviour::Hang);
        let mut asked = Vec::new();
        for n in 0..MOST {
            let mut client = Client::connect(bed.platform).await;
            asked.push(spawn_local(async move {
                client.send_chat(&format!("k{n}x"), "order", 9_000).await.0
            }));
        }
        reader.wait_until(|seen| seen.len() >= MOST).await;
        let mut client = Client::connect(bed.platform).await;
        let waits = spawn_local(async move { client.get("/up").await.0 });
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(!waits.is_finished() && asked.iter().all(|a| !a.is_finished()));
        asked.pop().unwrap().abort();
        assert_eq!(waits.await.unwrap(), 200);
    });
}

/// Guards against clients that say nothing, or never finish what they say: they are closed in a bounded time,
/// and others are served all the while. A connection that is kept between two requests is no such thing.
#[test]
fn a_request_that_does_not_come_to_its_end_is_ended() {
    run(async {
        let (_reader, _writer, bed) = pair(Behaviour::Answer).await;
        let mut kept = Client::connect(bed.platform).await;
        assert_eq!(kept.get("/up").await.0, 200);
        let head = format!("POST {CHAT} HTTP/1.1\r\nhost: app\r\n");
        let platform = bed.platform;
        let ends = [
            (String::new(), ""),
            (head.clone(), ""),
            (
                format!("{head}content-length: 9\r\n\r\n{{"),
                "HTTP/1.1 408 ",
            ),
            (
                format!("{head}content-length: 60000000\r\n\r\n{{"),
                "HTTP/1.1 413 ",
            ),
            (format!("{head}content-length: -1\r\n\r\n"), "HTTP/1.1 400 "),
            (
                format!("{head}x-long: {}", "x".repeat(20_000)),
                "HTTP/1.1 431 ",
            ),
            ("\u{1}\u{2}\r\n\r\n".to_owned(), "HTTP/1.1 400 "),
        ]
        .map(|(text, answer)| {
            spawn_local(async move {
                let mut raw = RawClient::connect(platform).await;
                raw.send(&text).await;
                let said = raw.read_until_closed().await;
                assert!(
                    said.starts_with(answer) && said.is_empty() == answer.is_empty(),
                    "{text:?}: {said:?}"
                );
            })
        });
        for end in ends {
            end.await.unwrap();
        }
        assert_eq!(kept.get("/up").await.0, 200);
    });
}

/// Guards against a request that hides another in its body: it is refused, and nothing of either is passed on.
#[test]
fn a_request_with_a_length_and_an_encoding_is_refused_with_what_it_hides() {
    run(async {
        let (reader, _writer, bed) = pair(Behaviour::Answer).await;
        let request = |id: &str, framing: &str| {
            format!(
                "POST {CHAT} HTTP/1.1\r\nhost: app\r\nx-request-id: {id}\r\nx-class: chat\r\n\
                x-deadline-ms: 2000\r\n{framing}\r\n"
            )
        };
        let (length, encoding) = ("content-length: 5\r\n", "transfer-encoding: chunked\r\n");
        for framing in [format!("{length}{encoding}"), format!("{encoding}{length}")] {
            let mut raw = RawClient::connect(bed.platform).await;
            raw.send(&format!(
                "{}0\r\n\r\n{}",
                request("l1", &framing),
                request("l2", "")
            ))
            .await;
            let said = raw.read_until_closed().await;
            assert!(
                said.starts_with("HTTP/1.1 400 ") && !said[9..].contains("HTTP/1.1"),
                "{said}"
            );
        }
        let mut raw = RawClient::connect(bed.platform).await;
        let hidden = request("l4", &format!("{encoding}{length}"));
        raw.send(&format!(
            "{}2\r\n{{}}\r\n0\r\n\r\n{hidden}0\r\n\r\n",
            request("l3", encoding)
        ))
        .await;
        let said = raw.read_until_closed().await;
        assert!(
            said.starts_with("HTTP/1.1 200 "),
            "an encoding alone is nothing bad: {said}"
        );
        assert_eq!(reader.count_started(CHAT), 1);
    });
}

/// Guards against two requests under one id: what servers hold for the one would be let go for the other.
#[test]
fn the_id_of_an_open_request_is_not_taken_again() {
    run(async {
        let (reader, writer, bed) = pair(Behaviour::Answer).await;
        writer.behaviour.set(Behaviour::Hang);
        let mut client = Client::connect(bed.platform).await;
        let asked = spawn_local(async move { client.send_chat("m1", "order", 9_000).await.0 });
        writer
            .wait_until(|seen| {
                seen.iter()
                    .any(|s| matches!(s, Observation::RequestStarted { .. }))
            })
            .await;
        let mut other = Client::connect(bed.platform).await;
        assert_eq!(other.send_chat("m1", "chat", 9_000).await.0, 409);
        let body =
            serde_json::json!({"model": "m", "messages": [{"role": "user", "content": "x"}]});
        let again = http::Request::post(CHAT)
            .header("host", "app")
            .header("x-request-id", "m1");
        let again = again.body(body.to_string().into()).unwrap();
        assert_eq!(
            Client::connect(bed.inference).await.send(again).await.0,
            409
        );
        assert!(!asked.is_finished());
        assert_eq!(
            (
                reader.count_started(CHAT),
                writer.count_started(CHAT),
                rooms(&writer, "DELETE", "m1")
            ),
            (1, 1, 0)
        );
    });
}

#[test]
fn bad_input_is_answered_plainly() {
    run(async {
        let (_reader, _writer, bed) = pair(Behaviour::Answer).await;
        let mut client = Client::connect(bed.platform).await;
        assert_eq!(client.get("/nowhere").await.0, 404);
        assert_eq!(client.get(CHAT).await.0, 405);
        let (status, _, body) = client.send_chat("g1", "unheard-of", 5_000).await;
        let long = http::Request::post(CHAT)
            .header("host", "app")
            .body("x".repeat(300_000).into())
            .unwrap();
        assert_eq!(Client::connect(bed.platform).await.send(long).await.0, 413);
        assert_eq!(
            (status, body.unwrap()),
            (400, "the class \"unheard-of\" is not known\n".into())
        );
    });
}
