"""Many large jobs. See claim.txt."""
import asyncio, os, random, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand

JOBS = 30
COUNT, USUAL = 100_000, 100
FINISH_S = 14              # bounds.finish_s


async def case(world, record, trouble):
    await stand.deployment(world, record)
    limit = stand.MemoryLimit(world)
    step = {"count": COUNT if trouble else USUAL, "cpu": 2000, "memMb": 512, "estRuntimeMs": 300}
    job = {"spec": '{"ms": 300}', "jobSteps": [step]}
    accepted = []

    async def submit():
        path = "/puxa400/" + "%016x" % random.getrandbits(64)
        if await world.submit(path, job, 2):
            accepted.append(path)
    tasks = []
    for _ in range(JOBS):
        tasks.append(asyncio.create_task(submit()))
        await asyncio.sleep(0.8)
    record("the end of the traffic")
    await asyncio.gather(*tasks)
    await asyncio.sleep(FINISH_S)
    breaks = await stand.ask_for(world, accepted, FINISH_S)
    record.say(f"accepted: {len(accepted)} of {JOBS} jobs")
    return breaks + limit.stop(record)


stand.run(case, os.path.dirname(os.path.abspath(__file__)))
