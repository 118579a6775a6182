"""A planned restart while clients are still writing their requests."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from deployments import tejo_registos  # noqa: E402
from standins import (  # noqa: E402
    Answer, Discovery, Router, Worker, chat_body, chat_request, read_answer, run_case,
)

LAST_BYTE_S = 1.0     # the client writes the last byte of its request this long after SIGTERM
SLACK_S = 0.05        # every time limit is 50 ms longer on sockets
TAKEN_LATE_S = 0.7 + SLACK_S   # a request that came later and is unanswered at SIGKILL is lost
# The longest deadline, taken as 3 s where it is longer, plus 0.7 s.
KILL_S = 3.0 + 0.7 + SLACK_S

# The class, its deadline in ms, and when the client connects, in seconds after SIGTERM.
ROUNDS = [("consulta", 7_000, 0.2), ("averbamento", 3_000, 0.2), ("consulta", 7_000, -0.3)]


class RecordingWorker(Worker):
    """A worker that notes the ids of the requests that it has received."""

    received = set()

    async def run_attempt(self, request, request_id, writer):
        RecordingWorker.received.add(request_id)
        return await super().run_attempt(request, request_id, writer)


class SlowClient:
    """A client that connects, writes its request in two pieces and waits for the answer. Times are
    in seconds after `term_at`, the time for which SIGTERM is planned."""

    def __init__(self, record, router, request_id, request_class, deadline_ms):
        self.record, self.router, self.request_id = record, router, request_id
        self.request_class, self.deadline_ms = request_class, deadline_ms
        self.answer, self.last_byte_at = Answer(), None

    async def run(self, term_at, connect_s):
        body = chat_body("x" * 4000)
        head = chat_request(self.request_id, self.request_class, self.deadline_ms, body)
        await asyncio.sleep(term_at + connect_s - time.monotonic())
        reader, writer = await asyncio.open_connection("127.0.0.1", self.router.port)
        writer.write(head + body[:2000])
        self.record.write("client", f"head and half of the body written, id {self.request_id}")
        answered = asyncio.create_task(read_answer(reader, self.answer))
        await asyncio.sleep(term_at + LAST_BYTE_S - time.monotonic())
        if not answered.done():
            writer.write(body[2000:])
            await writer.drain()
            self.last_byte_at = time.monotonic()
            self.record.write("client", f"last byte written, id {self.request_id}")
        await answered
        self.record.write("client", f"id {self.request_id}: {self.answer.describe()}")
        writer.close()

    def loss(self, term_at):
        """Says why the request is lost by the rule; None if it is not."""
        if self.last_byte_at is None or self.answer.complete:
            return None
        came_s = self.last_byte_at - term_at
        if came_s <= TAKEN_LATE_S:
            return None
        if self.answer.status == 0 and self.request_id not in RecordingWorker.received:
            # The first request on a connection that is closed with nothing sent on for it has
            # failed and is not lost.
            return None
        return f"request {self.request_id} came {came_s:.2f} s after SIGTERM and was lost: " \
               f"{self.answer.describe()}"


async def play_round(record, trouble, number, discovery):
    """One restart of a router, with one client. Returns the losses."""
    request_class, deadline_ms, connect_s = ROUNDS[number]
    router = Router(record, "n1", tejo_registos(), discovery)
    try:
        router.start()
        await router.wait_ready()
        term_at = time.monotonic() + 0.5
        client = SlowClient(record, router, f"c0ffee{number:04x}", request_class, deadline_ms)
        served = asyncio.create_task(client.run(term_at, connect_s))
        await asyncio.sleep(term_at - time.monotonic())
        if trouble:
            router.signal(signal.SIGTERM)
            term_at = time.monotonic()
            await asyncio.sleep(KILL_S)
            if router.process.poll() is None:
                router.signal(signal.SIGKILL)
            else:
                record.write("platform", f"the router has ended with {router.process.poll()}")
        await served
        loss = client.loss(term_at)
        return [loss] if loss else []
    finally:
        router.stop()


async def case(record, trouble):
    workers = [
        RecordingWorker(record, "reader-1", "prefill", "read"),
        RecordingWorker(record, "writer-1", "decode", "write"),
    ]
    for worker in workers:
        worker.events, worker.event_s = 40, 0.14  # 160 tokens, four to an event, 35 ms each
        await worker.start()
    discovery = Discovery(record, workers)
    await discovery.start()
    losses = []
    for number in range(len(ROUNDS)):
        losses += await play_round(record, trouble, number, discovery)
    return losses


run_case(FOLDER, case)
