"""Three of twenty replicas crash, half a second apart, each while it reads a prompt with the same shared part. Are
proper requests refused afterwards?"""
import asyncio
import os
import random
import shutil
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import world  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["sudur-a", "sudur-b", "sudur-c"]
HOT = "a5c41e"  # the shared part that many prompts of one archive begin with
ROUTES = [world.route("digest", "/digest/", 15000, 3000, 1000), world.route("chat", "/chat/", 10000, 300, 250)]


async def main():
    record = world.Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp()
    store, replicas, instances = world.Store(), [], []
    await store.start()
    store.put("keyed.op", "config", world.config(3, ROUTES))

    def on_event(replica, what, name, fragment):
        if fragment == HOT:
            record(replica.name, what, name)

    async def start_replica(number, cold_ms):
        name = f"i-{random.getrandbits(40):010x}"
        replica = world.Replica(name, f"{world.NET}.{100 + number}", ZONES[number % 3], on_event)
        await replica.start()
        replicas.append(replica)
        address = f"{replica.host}:{replica.port}"
        store.put("keyed.servers", name, world.entry(address, replica.zone, cold_ms, int(time.time() * 1e3)))
        return replica

    async def crash(replica, number):
        record("crash of", replica.name)
        replica.crash()
        await asyncio.sleep(3.6)  # three heartbeat intervals
        store.put("keyed.servers", replica.name, None)
        await asyncio.sleep(0.9)
        await start_replica(number, 3000)

    outcomes, tasks = [], []

    async def client(path, tokens, fragment, deadline_ms):
        for attempt in range(2):
            name = f"{random.getrandbits(64):016x}"
            ip = random.choice(instances).ip
            if fragment == HOT:
                record("sent", name, "to", ip)
            status, retry = await world.ask(ip, path, name, tokens, fragment, deadline_ms)
            outcomes.append(status)
            if fragment == HOT or status != 200:
                record("answered", name, status, "archive" if fragment == HOT else "chat")
            if status == 200 or 400 <= status < 500 and status not in (408, 421, 429):
                return
            await asyncio.sleep(retry)

    try:
        await asyncio.gather(*(start_replica(number, 0) for number in range(20)))
        seeds = ",".join(f"{world.NET}.{number}:8229" for number in (1, 2, 3))
        for number, zone in enumerate(ZONES, 1):
            instances.append(world.Instance(number, zone, store.address, seeds, folder))
        ready = await asyncio.gather(*(instance.wait_ready() for instance in instances))
        if not all(ready):
            return 2
        await asyncio.sleep(3)
        start = time.monotonic()
        next_chat, next_hot, crashes, next_crash = start, start, 0, start + 6
        while time.monotonic() < start + 45:
            now = time.monotonic()
            if now >= next_chat:
                next_chat += 0.2
                tasks.append(asyncio.create_task(client("/chat/x", 5000, f"c{random.randrange(60):02x}", 10000)))
            if now >= next_hot:
                next_hot += 1.5
                tasks.append(asyncio.create_task(client("/digest/x", 300000, HOT, 15000)))
            if TROUBLE and crashes < 3 and now >= next_crash:
                reading = [
                    replica for replica in replicas
                    if any(f == HOT and now > at + 0.15 for f, at in replica.reading.values())
                    and replica.process.returncode is None
                ]
                if reading:
                    crashes, next_crash = crashes + 1, now + 0.4
                    replica = reading[0]
                    replica.reading.clear()
                    tasks.append(asyncio.create_task(crash(replica, replicas.index(replica) % 20)))
            await asyncio.sleep(0.01)
        clients = asyncio.gather(*tasks)
        await asyncio.wait_for(clients, 20)
        denied = sum(400 <= status < 500 and status not in (408, 421, 429) for status in outcomes)
        limit = 5 + len(outcomes) / 500
        record(f"requests {len(outcomes)}, ended with a 4xx of the system's own {denied}, limit {limit:.1f}, crashes {crashes}")
        served = sum(status == 200 for status in outcomes)
        if TROUBLE and crashes < 3 or served < len(outcomes) / 2:
            return 2
        return int(denied > limit)
    finally:
        for replica in replicas:
            replica.kill()
        for instance in instances:
            instance.process.kill()
            instance.process.wait()
        shutil.rmtree(folder) if "KEEP" not in os.environ else print(folder)


try:
    code = asyncio.run(main())
except (OSError, asyncio.TimeoutError) as error:
    print(error)
    code = 2
sys.exit(code)
