"""A planned restart while clients of the inference API read streams."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployments import lakeshore_parts  # noqa: E402
from standins import (  # noqa: E402
    Answer, Discovery, Router, Worker, chat_body, free_port, read_answer, run_case,
)

EVENTS, EVENT_S = 25, 0.2   # a stream of 100 tokens, four to an event: 5 s
STREAMED_S = 2.0            # how long the streams have run at SIGTERM: they end 3 s after it
# The longest deadline, taken as 3 s where it is longer, plus 0.7 s, and 50 ms as for all limits.
KILL_S = 3.0 + 0.7 + 0.05
MODELS = {"orders": "parts-order", "lookups": "parts-lookup"}

INFERENCE_FILE = """
listen = "127.0.0.1:{port}"
[chat]
class = "parts-lookup"
deadline_ms = 6000
[embeddings]
class = "parts-lookup"
deadline_ms = 15000
[rerank]
class = "parts-lookup"
deadline_ms = 10000
[[models]]
name = "orders"
chat = "parts-order"
[[models]]
name = "lookups"
chat = "parts-lookup"
"""


def start_routers(record, discovery, inference_port):
    """Returns two routers of one tier, of which the first serves the inference API too."""
    peers = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(2)]
    routers = []
    for number in range(2):
        settings = lakeshore_parts()
        settings["balancers"], settings["me"] = len(peers), number
        settings["allowed"]["peers"] = True
        router = Router(record, f"n{number + 1}", settings, discovery)
        router.config["peer_listen"], router.config["peers"] = peers[number], peers
        routers.append(router)
    path = routers[0].folder / "inference.toml"
    path.write_text(INFERENCE_FILE.format(port=inference_port))
    routers[0].environment["CRANETACK_INFERENCE"] = str(path)
    return routers


async def read_stream(record, port, request_id, model):
    """Sends a chat request to the inference API and reads its stream."""
    body = chat_body(model=model)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: inference\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 6000\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    answer = await read_answer(reader, Answer())
    writer.close()
    record.write("client", f"id {request_id}, {MODELS[model]}: {answer.describe()}")
    if not answer.complete:
        record.write("client", f"id {request_id}: its last bytes were {answer.body[-120:]!r}")
    return answer


async def case(record, trouble):
    workers = [
        Worker(record, "reader-1", "prefill", "read"),
        Worker(record, "writer-1", "decode", "write"),
    ]
    for worker in workers:
        worker.events, worker.event_s = EVENTS, EVENT_S
        await worker.start()
    discovery = Discovery(record, workers)
    await discovery.start()
    inference_port = free_port()
    routers = start_routers(record, discovery, inference_port)
    try:
        for router in routers:
            router.start()
        for router in routers:
            await router.wait_ready()
        clients = {
            f"face{number:04x}": asyncio.create_task(
                read_stream(record, inference_port, f"face{number:04x}", model)
            )
            for number, model in enumerate(MODELS)
        }
        await asyncio.sleep(STREAMED_S)
        if trouble:
            routers[0].signal(signal.SIGTERM)
        term_at = time.monotonic()
        if trouble:
            await asyncio.sleep(KILL_S)
            if routers[0].process.poll() is None:
                routers[0].signal(signal.SIGKILL)
            else:
                record.write("platform", f"n1 has ended with {routers[0].process.poll()}")
        losses = []
        for request_id, client in clients.items():
            answer = await client
            ended_s = answer.ended_at - term_at
            # What SIGKILL breaks off came before SIGTERM, so that it is not lost.
            if answer.status == 200 and not answer.complete and ended_s < KILL_S:
                losses.append(
                    f"stream {request_id} was cut off by the router {ended_s:.2f} s after SIGTERM, "
                    f"{KILL_S - ended_s:.2f} s before SIGKILL: {answer.describe()}"
                )
        return losses
    finally:
        for router in routers:
            router.stop()


run_case(FOLDER, case)
