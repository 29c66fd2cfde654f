"""Minions crash one after the other, whatever runs there; a job that runs on most of them must still be done."""

import asyncio, json, os, random, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-3"))
import stand

MINIONS = 8
CRASHES = int(os.environ.get("CRASHES", 7))
EVERY = float(os.environ.get("EVERY", 4.0))
DOWN = 3.0
TASKS = int(os.environ.get("TASKS", 7))
MS = int(os.environ.get("MS", 20000))


async def case(record, trouble):
    provider = await stand.Provider(record).start()
    world = stand.World(record, entries=1, provider=provider.address)
    ends = {}

    def observer(what, minion, task, run):
        ends.setdefault(what, []).append((task, run))

    try:
        await world.start()
        await world.operator("PUT", "/config", stand.config(1))
        for i in range(1, MINIONS + 1):
            minion = await stand.Minion(world, "i-%d" % i, "work", rack="r1-%d" % ((i + 3) // 4), observer=observer).start()
            provider.add("m-%d" % i, minion)
        await asyncio.sleep(4)
        job = {"spec": str(MS), "jobSteps": [{"count": TASKS, "cpu": 32000, "memMb": 1024, "estRuntimeMs": MS}]}
        path = "/work/00000000000000b1"
        status, _ = await world.caller("POST", path, job)
        record("the caller's job gets", status)
        await asyncio.sleep(2)
        # Which machine crashes is drawn by lot, and doesn't depend on what runs there.
        lot = random.Random(int(os.environ.get("LOT", "5")))
        order = [lot.randrange(1, MINIONS + 1) for _ in range(CRASHES)]
        record("machines that crash, in order:", order if trouble else "none")
        state = None
        for i in order if trouble else []:
            machine = provider.machines["m-%d" % i]
            asyncio.ensure_future(crash(world, record, machine))
            await asyncio.sleep(EVERY)
            state = await show(world, record, path)
            if state in ("failed", "completed"):
                break
        end = record.now() + 60
        while state not in ("failed", "completed") and record.now() < end:
            await asyncio.sleep(1)
            state = await show(world, record, path)
        record("runs that ended failed:", ends.get("failed", []), "; lost with their minions:", ends.get("lost", []))
        if state == "failed" and not ends.get("failed"):
            record("LOST: the job is shown as failed, and no run has ended failed")
        return state == "completed"
    finally:
        world.close()


async def crash(world, record, machine):
    minion = machine["minion"]
    if not minion.up:
        return
    await minion.crash()
    await asyncio.sleep(DOWN)
    next = stand.Minion(world, minion.id + "x", minion.service, minion.rack, minion.cpu, minion.mem, minion.observer)
    await next.start()
    machine["minion"] = next


async def show(world, record, path):
    status, body = await world.caller("GET", path)
    state = json.loads(body)["state"] if status == 200 else None
    record("the job's state:", status, state)
    return state


stand.main(case, HERE)
