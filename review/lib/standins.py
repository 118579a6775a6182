"""Stand-ins for the servers, discovery and clients around a router, and the start of the router.

The router is the project's own program, started with the `run` command of the deploy file as a
separate process. Everything listens on loopback with free ports. Only the standard library is used.
"""

import asyncio
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be run, for example because the program has not been built."""


class Record:
    """Writes what happens to record.txt, one line for each event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, what):
        self.file.write(f"{self.now():9.4f}  {who:<12} {what}\n")
        self.file.flush()


def run_command():
    """The `run` command of the deploy file."""
    deploy_file = (ROOT / "deploy/balancer.toml").read_text()
    found = re.search(r'^run\s*=\s*"([^"]*)"', deploy_file, re.MULTILINE)
    if found is None:
        raise CannotRun("deploy/balancer.toml has no run command")
    return found.group(1)


def end_with_parent():
    """Makes the system kill this child process if the test dies without ending it."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(type=kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Request:
    """A request that has arrived in full. `at` is when its last byte was read."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.at = time.monotonic()


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Request(method, target, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def plain_response(status, reason, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(text, finish=None):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return f"data: {json.dumps({'choices': [choice]})}\n\n".encode()


STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
DONE = b"data: [DONE]\n\n"


class Worker:
    """A model server. A reader answers 202 and keeps the read state; a writer fetches the state and
    streams. The worker ends an attempt when its connection is closed."""

    states = {}  # request id -> the reader that holds its read state, for all workers together

    def __init__(self, record, name, kind, role, group=1, zone="here"):
        self.record, self.name, self.kind, self.role = record, name, kind, role
        self.group, self.zone = group, zone
        self.status, self.since_ms = "up", 0
        self.read_s, self.events, self.event_s = 0.05, 10, 0.1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
            "group": self.group, "status": self.status, "weight": 1.0, "since_ms": self.since_ms,
        }

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, reader, writer):
        """Answers one request. Returns whether the connection can take another one."""
        if request.target.startswith("/bootstrap/rooms/"):
            return await self.answer_room(request, writer)
        if request.target in ("/alive", "/metrics/load"):
            writer.write(plain_response(200, "OK", b"TEXT x0=0.1, x1=0.0"))
            await writer.drain()
            return True
        request_id = request.headers.get("x-request-id", "-")
        self.record.write(self.name, f"attempt received, id {request_id}")
        attempt = asyncio.create_task(self.run_attempt(request, request_id, writer))
        closed = asyncio.create_task(reader.read(1))
        await asyncio.wait({attempt, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not attempt.done():
            self.record.write(self.name, f"the router closed the attempt, id {request_id}")
            attempt.cancel()
            return False
        closed.cancel()
        await asyncio.wait({closed})
        failure = attempt.exception()
        if failure is not None:
            self.record.write(self.name, f"attempt broke, id {request_id}: {failure}")
            return False
        return attempt.result()

    async def answer_room(self, request, writer):
        request_id = request.target.rsplit("/", 1)[1]
        self.record.write(self.name, f"{request.method} place, id {request_id}")
        if request.method == "DELETE":
            Worker.states.pop(request_id, None)
            writer.write(plain_response(204, "No Content"))
        else:
            writer.write(plain_response(200, "OK"))
        await writer.drain()
        return True

    async def run_attempt(self, request, request_id, writer):
        if self.role == "read":
            await asyncio.sleep(self.read_s)
            Worker.states[request_id] = self.name
            writer.write(plain_response(202, "Accepted", b'{"cached_tokens":0}'))
            await writer.drain()
            self.record.write(self.name, f"prompt read, id {request_id}")
            return True
        if self.role == "write" and Worker.states.pop(request_id, None) is None:
            writer.write(plain_response(410, "Gone", headers=["X-Not-Run: 1"]))
            await writer.drain()
            return True
        return await self.stream(request_id, writer)

    async def stream(self, request_id, writer):
        self.record.write(self.name, f"stream begins, id {request_id}")
        writer.write(STREAM_HEAD)
        for number in range(self.events):
            await self.write_event(writer, number)
            await asyncio.sleep(self.event_s)
        writer.write(chunk(event("end", "stop")) + chunk(DONE) + b"0\r\n\r\n")
        await writer.drain()
        self.record.write(self.name, f"stream complete, id {request_id}")
        return True

    async def write_event(self, writer, number):
        writer.write(chunk(event(f"part-{number} ")))
        await writer.drain()


class Discovery:
    """The agent of discovery: the full list, and watches of its changes. `told` has the time at
    which each version was written to the router."""

    def __init__(self, record, workers):
        self.record, self.workers = record, workers
        self.version, self.changes = 1, {}
        self.changed = asyncio.Condition()
        self.told = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def change(self, worker, status):
        async with self.changed:
            worker.status = status
            self.version += 1
            self.changes[self.version] = worker
            self.changed.notify_all()
        return self.version

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(plain_response(200, "OK", await self.list_for(request.target)))
                version = self.version
                await writer.drain()
                for told in range(1, version + 1):
                    self.told.setdefault(told, time.monotonic())
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def list_for(self, target):
        query = target.partition("?")[2]
        fields = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        if "from" not in fields:
            entries = [worker.entry() for worker in self.workers]
            return self.encode(True, entries)
        known = int(fields["from"])
        hold = int(fields.get("hold_ms", "0")) / 1000
        async with self.changed:
            try:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: self.version > known), hold or 0.0001
                )
            except asyncio.TimeoutError:
                pass
            changed = {w.name: w for v, w in self.changes.items() if v > known}
            return self.encode(False, [worker.entry() for worker in changed.values()])

    def encode(self, is_full, entries):
        body = {"index": self.version, "snapshot": is_full, "endpoints": entries}
        return json.dumps(body).encode()


class Router:
    """A router process, started with the `run` command of the deploy file."""

    def __init__(self, record, name, settings, discovery, environment=None):
        self.record, self.name = record, name
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        (self.folder / "tmp").mkdir()
        self.config_path = self.folder / "config.json"
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
            "seed": os.urandom(8).hex(), "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        }
        self.environment = environment or {}
        self.process = None

    def start(self):
        self.config_path.write_text(json.dumps(self.config))
        command = run_command()
        if not (ROOT / "target/release/cranetack").exists():
            raise CannotRun("target/release/cranetack is missing: run the build of the deploy file")
        environment = {
            **os.environ, "PROXY_NAME": self.name, "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"], "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder / "tmp"), "CRANETACK_LOG": "info", **self.environment,
        }
        log = open(self.folder / "log.txt", "a")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, preexec_fn=end_with_parent,
        )
        log.close()
        self.record.write("platform", f"started {self.name}: {command}")

    async def wait_ready(self, limit_s=10):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    self.record.write("platform", f"{self.name} is ready")
                    return
            except ConnectionError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready: {self.log()[-500:]}")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
        self.record.write("platform", f"{signal.Signals(number).name} to {self.name}")

    def log(self):
        return (self.folder / "log.txt").read_text(errors="replace")

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def chat_request(request_id, request_class, deadline_ms, body, session="s1"):
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
        f"X-Request-Id: {request_id}\r\nX-Class: {request_class}\r\nX-Key: {session}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nX-Extras: prompt_len=400,max_out=300\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode()


def chat_body(prompt="check the record", **fields):
    message = {"role": "user", "content": prompt}
    body = {"model": "chat", "stream": True, "max_tokens": 300, "messages": [message], **fields}
    return json.dumps(body).encode()


class Answer:
    """What a client received: status 0 if there was no head. `complete` says whether the response
    ended with its last chunk or its whole length; `failure` how the connection ended otherwise."""

    def __init__(self):
        self.status, self.body, self.complete, self.failure = 0, b"", False, ""
        self.first_at = self.ended_at = None
        self.close = False

    def describe(self):
        if self.status == 0:
            return f"no answer ({self.failure})"
        parts = self.body.count(b"data:")
        end = "complete" if self.complete else f"cut off ({self.failure})"
        return f"status {self.status}, {parts} events, {end}"


async def read_answer(reader, answer):
    """Reads one response into `answer`."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        answer.first_at = time.monotonic()
        lines = head.decode("latin-1").lower().split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        answer.close = headers.get("connection") == "close"
        if "chunked" in headers.get("transfer-encoding", ""):
            while (size := int((await reader.readline()).strip(), 16)) > 0:
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(int(headers.get("content-length", "0")))
        answer.complete = True
    except asyncio.IncompleteReadError:
        answer.failure = "the connection was closed"
    except ValueError:
        answer.failure = "the connection was closed between two chunks"
    except ConnectionError as error:
        answer.failure = f"the connection was reset: {error}"
    answer.ended_at = time.monotonic()
    return answer


def run_case(folder, case):
    """Runs `case(record, trouble)`, which returns the list of broken rules, and exits."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"disruption {'on' if trouble else 'off'}")

    async def limited():
        playing = asyncio.ensure_future(case(record, trouble))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        return await asyncio.wait_for(playing, 115)

    try:
        broken = asyncio.run(limited())
    except CannotRun as error:
        record.write("case", f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(NOT_RUN)
    except (Exception, asyncio.CancelledError):  # a fault of the test itself is not a result
        record.write("case", "could not run: " + traceback.format_exc().replace("\n", " | "))
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in broken:
        record.write("verdict", f"broken: {line}")
        print(f"broken: {line}")
    if not broken:
        record.write("verdict", "the rule held")
        print("the rule held")
    sys.exit(RULE_BROKEN if broken else RULE_HELD)
