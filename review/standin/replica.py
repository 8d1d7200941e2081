"""Stand-in for a model replica: one process, so that it can be killed. Usage: replica.py ID ADDRESS PORT

Prints one line an event: `reads ID FRAGMENT`, `first ID FRAGMENT`, `done ID FRAGMENT`, `uses ID TICKET` for memory that
is reserved at a helper, and `holds TICKET TOKENS`, `frees TICKET WHY` for memory that is reserved here.
Its times follow the page: 154 prompt tokens a millisecond, 0.162 ms for a million pairs, 1.31 ms a step, events of 34
tokens. A prompt is read in even parts by the replica and the helpers that the request lists."""
import asyncio
import json
import os
import signal
import sys

NAME, HOST, PORT = sys.argv[1], sys.argv[2], int(sys.argv[3])
TOTAL = 405000
busy_until = 0.0
dark = False
tickets = {}  # tokens and end of the lease, by id


def order(body):
    """Carries out an order about memory; its status and the tokens that are free then."""
    now, call = asyncio.get_running_loop().time(), json.loads(body)
    expire(now)
    ticket = call["id"]
    if call["operation"] == "release":
        if tickets.pop(ticket, None):
            say("frees", ticket, "released")
        status = 200
    else:
        others = sum(tokens for id, (tokens, _) in tickets.items() if id != ticket)
        status = 200 if others + call["tokens"] <= TOTAL else 409
        if status == 200:
            tickets[ticket] = (call["tokens"], now + call["holdMs"] / 1e3)
            say("holds", ticket, call["tokens"])
    return status, TOTAL - sum(tokens for tokens, _ in tickets.values())


def expire(now):
    for ticket in [id for id, (_, end) in tickets.items() if end <= now]:
        del tickets[ticket]
        say("frees", ticket, "expired")


async def watch():
    while True:
        await asyncio.sleep(0.02)
        await wait_if_dark()
        expire(asyncio.get_running_loop().time())


def say(*words):
    print(*words, flush=True)


async def head(reader):
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (raw := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = raw.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().split()[:2], headers, body


async def serve(reader, writer):
    try:
        while (request := await head(reader)) is not None:
            await answer(request, writer)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def serve_other(reader, writer):
    """The replica of another service that has the address now."""
    try:
        while (request := await head(reader)) is not None:
            name = request[1].get("x-request-id", "")
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {name}\r\nX-Instance-Id: {NAME}-other\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def wait_if_dark():
    if dark:
        await asyncio.Event().wait()


async def answer(request, writer):
    global busy_until
    await wait_if_dark()
    (method, path), headers, received = request
    own = f"X-Request-Id: {headers.get('x-request-id', '')}\r\nX-Server-Signature: {NAME}\r\n"
    if headers.get("x-target-instance", NAME) != NAME:
        writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{own}X-Instance-Id: {NAME}\r\nContent-Length: 0\r\n\r\n".encode())
        return
    if method == "GET" or path == "/jujubehook/order":
        status, free = (200, TOTAL) if method == "GET" else order(received)
        body = json.dumps({"free": free}).encode()
        reason = "OK" if status == 200 else "Conflict"
        writer.write(f"HTTP/1.1 {status} {reason}\r\nX-Instance-Id: {NAME}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        return
    tokens = int(headers["x-token-usage"].split(",")[0])
    fragment = headers["x-prompt-prefix"].split(":")[0]
    answer_tokens = int(headers["x-token-usage"].split(",")[1])
    helpers = [helper for helper in headers.get("x-helper-replicas", "").split(",") if helper]
    parts = 1 + len(helpers)
    prefill = (tokens / 154 + tokens * tokens / 2e6 * 0.162) / parts / 1e3
    now = asyncio.get_running_loop().time()
    busy_until = max(busy_until, now) + prefill
    name = headers["x-request-id"]
    for helper in helpers:
        if "/" in helper:
            say("uses", name, helper.split("/")[1])
    say("reads", name, fragment)
    await asyncio.sleep(busy_until - now + 0.02)
    await wait_if_dark()
    say("first", name, fragment)
    writer.write(f"HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    start = int(headers.get("last-event-id", 0))
    for number in range(start + 1, answer_tokens // 34 + 1):
        await wait_if_dark()
        event = f"id: {number}\ndata: {name}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(34 * (1.31 + tokens / 1e3 * 0.00213) / 1e3)
    writer.write(b"0\r\n\r\n")
    say("done", name, fragment)


async def main():
    server = await asyncio.start_server(serve, HOST, PORT)

    def crash():
        # The port closes first, as if the machine had lost all sockets at once; then the process ends without a word.
        for listener in server.sockets:
            os.close(listener.fileno())
        os.kill(os.getpid(), signal.SIGKILL)

    def fall_silent():
        # Open connections stay without a word; after two seconds a replica of another service has the address.
        global dark
        dark = True
        server.close()
        asyncio.get_running_loop().call_later(2.0, lambda: asyncio.ensure_future(reuse()))

    async def reuse():
        await asyncio.start_server(serve_other, HOST, PORT)
        say("reused", NAME, "-")

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, crash)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, fall_silent)
    watcher = asyncio.create_task(watch())
    say("ready", NAME, "-")
    async with server:
        await watcher


asyncio.run(main())
