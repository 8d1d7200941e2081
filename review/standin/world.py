"""Stand-ins for the platform's store, its settings and its clients, on loopback addresses."""
import asyncio
import base64
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NET = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, *words):
        print(f"{time.monotonic() - self.start:9.3f}", *words, file=self.file, flush=True)


class Store:
    """The platform's log: keyed topics with one partition."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.address = None

    def put(self, topic, key, value):
        """Appends a record; None removes the key."""
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self.serve, f"{NET}.250", 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while line := await reader.readline():
                length = 0
                while (raw := await reader.readline()) not in (b"\r\n", b""):
                    if raw.lower().startswith(b"content-length:"):
                        length = int(raw.split(b":")[1])
                body = await reader.readexactly(length)
                target = urllib.parse.urlsplit(line.split()[1].decode())
                query = {k: v[0] for k, v in urllib.parse.parse_qs(target.query).items()}
                await asyncio.sleep(0.004)
                status, answer = await self.answer(target.path, query, body)
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        topic = query["topic"]
        if path.endswith("log-append"):
            while body:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4 : 4 + size], body[4 + size :]
                key = record[1 : 1 + record[0]].decode()
                self.put(topic, key, record[1 + record[0] :] or None)
            end = len(self.topics[topic])
            return "200 OK", json.dumps({"offset": end - 1, "end": end}).encode()
        records = self.topics.setdefault(topic, [])
        if path.endswith("log-newest"):
            newest = {key: (value, at) for at, (key, value) in enumerate(records)}
            entries = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (value, at) in sorted(newest.items())
                if value is not None
            ]
            return "200 OK", json.dumps({"entries": entries, "hasMore": False, "end": len(records)}).encode()
        start, until = int(query["from"]), time.monotonic() + int(query.get("waitMs", 0)) / 1e3
        while len(records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + (value or b"")
            data += struct.pack(">I", len(record)) + record
        return "200 OK", data


def config(version, routes):
    """A configuration as on the wire, with one service of engines."""
    engine = {
        "slots": 16, "kvCapacityTokens": 405000, "kvTokenBytes": 163840, "stride": 34, "models": [{"name": "m"}],
        "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162,
        "chunk": 2048, "report_lag_ms": 200.0, "usual": {"prompt": 11301, "answer": 408}, "hopMs": 0.1,
    }
    service = {"name": "engines", "healthPath": "/health", "maxConnections": 976, "coldStartS": 3.0, "coldPerS": 36.0, "engine": engine}
    other = {"name": "other", "healthPath": "/health", "maxConnections": 248, "coldStartS": 0.0, "coldPerS": 0.0}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    tenants = [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]
    return json.dumps({"version": version, "routes": routes, "services": [service, other], "limits": limits, "tenants": tenants}).encode()


def route(name, prefix, timeout_ms, objective_ms, gap_ms):
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": timeout_ms,
        "targetLatencyMs": objective_ms, "priority": 1, "service": "engines", "maxAttempts": 2, "allowAnonymous": False,
        "sessionAffinity": True, "resumable": True, "gapTargetMs": gap_ms,
    }


def entry(address, zone, cold_ms, born, service="engines"):
    """A replica's entry in the store."""
    return json.dumps({
        "service": service, "address": address, "zone": zone, "version": "v1", "slots": 16, "state": "ready",
        "coldRemainingMs": cold_ms, "stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 1, "born": born,
    }).encode()


class Instance:
    """A process of the system, started with the deploy file's command and a filled template."""

    def __init__(self, number, zone, store, seeds, folder):
        self.ip = f"{NET}.{number}"
        values = {
            "{{nodeName|json}}": f'"edge-{zone}-1"', "{{zone|json}}": f'"{zone}"', "{{ip|json}}": f'"{self.ip}"',
            "{{listen.front}}": f"{self.ip}:8227", "{{listen.ready}}": f"{self.ip}:8220", "{{portRange.0}}": "7340",
            "{{seeds}}": seeds, "{{bounds.graceS}}": "8", "{{provider.address}}": store,
            "{{#bounds.configApplyMs}}": "", "{{/bounds.configApplyMs}}": "", "{{bounds.configApplyMs}}": "2000",
            "{{#bounds.drainMs}}": "", "{{/bounds.drainMs}}": "", "{{bounds.drainMs}}": "2000",
            "{{bounds.coldOverage}}": "1.5", "{{bounds.coldSlack}}": "5", "{{bounds.retryBudgetRatio}}": "0.2",
            "{{bounds.budgetSlack}}": "234", "{{bounds.retryWindowS}}": "10",
        }
        text = open(os.path.join(ROOT, "deploy", "settings.toml")).read()
        for name, value in values.items():
            text = text.replace(name, value)
        path = os.path.join(folder, f"{number}.toml")
        open(path, "w").write(text)
        self.log = open(os.path.join(folder, f"{number}.log"), "w")
        run = os.path.join("target", "release", "jujubehook-entry")
        self.process = subprocess.Popen([run], cwd=ROOT, env={**os.environ, "JUJUBEHOOK_CONFIG": path}, stdout=self.log, stderr=self.log)

    async def wait_ready(self):
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(self.ip, 8220)
                writer.write(b"GET /jujubehook/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
            except ConnectionError:
                pass
            await asyncio.sleep(0.1)
        return False


class Replica:
    """A process of replica.py; `reading` holds the requests that it has not begun to answer, with their fragments."""

    def __init__(self, name, host, zone, on_event):
        self.name, self.host, self.zone, self.on_event = name, host, zone, on_event
        self.reading = {}
        self.port = free_port(host)

    async def start(self):
        script = os.path.join(os.path.dirname(__file__), "replica.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, script, self.name, self.host, str(self.port), stdout=asyncio.subprocess.PIPE)
        await self.process.stdout.readline()
        self.task = asyncio.create_task(self.follow())

    async def follow(self):
        while line := await self.process.stdout.readline():
            what, name, fragment = line.decode().split()
            if what == "reads":
                self.reading[name] = (fragment, time.monotonic())
            elif what in ("first", "done"):
                self.reading.pop(name, None)
            self.on_event(self, what, name, fragment)

    def crash(self):
        self.process.send_signal(signal.SIGUSR1)

    def fall_silent(self):
        self.process.send_signal(signal.SIGUSR2)

    def kill(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


def free_port(host):
    import socket
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()[1]


async def ask(ip, path, name, tokens, fragment, deadline_ms, answer_tokens=408):
    """One client attempt on a connection of its own; its status, or 0 if the connection broke before one."""
    try:
        reader, writer = await asyncio.open_connection(ip, 8227)
    except ConnectionError:
        return 0, 0.0
    status, retry = 0, 0.0
    try:
        writer.write((
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\nX-Model-Name: m\r\n"
            f"X-Token-Usage: {tokens},{answer_tokens}\r\nX-Prompt-Prefix: {fragment}:40,{name}:{tokens - 40}\r\n"
            f"X-Request-Deadline: {deadline_ms}\r\nX-Api-Key: {KEY}\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}").encode())
        async with asyncio.timeout(deadline_ms / 1e3 + 1):
            line = await reader.readline()
            status = int(line.split()[1]) if line else 0
            while (raw := await reader.readline()) not in (b"\r\n", b""):
                if raw.lower().startswith(b"retry-after:"):
                    retry = float(raw.split(b":")[1])
            await reader.read()
    except (ConnectionError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    return status, retry
