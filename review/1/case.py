"""A recurring job with many occurrences. See claim.txt."""
import asyncio, os, random, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand

# Each minute for ten years; without the disruption each minute for ten minutes.
COUNT, USUAL = 5_256_000, 10
FINISH_S = 14              # bounds.finish_s


async def case(world, record, trouble):
    await stand.deployment(world, record)
    limit = stand.MemoryLimit(world)
    step = {"count": 4, "cpu": 500, "memMb": 64, "estRuntimeMs": 500}
    ordinary = {"spec": '{"ms": 500}', "jobSteps": [step]}
    accepted = []

    async def submit(job, tries):
        path = "/puxa400/" + "%016x" % random.getrandbits(64)
        if await world.submit(path, job, tries):
            accepted.append(path)
    for _ in range(5):
        await submit(ordinary, 3)
    before = len(accepted)
    recurring = {**ordinary, "repeatCount": COUNT if trouble else USUAL, "intervalMs": 60000,
                 "startAtMs": int(time.time() * 1000) + 5000}
    record(f"the recurring job: {recurring}")
    await submit(recurring, 4)
    # The traffic goes on for 15 s.
    tasks = []
    for _ in range(15):
        tasks.append(asyncio.create_task(submit(ordinary, 2)))
        await asyncio.sleep(1)
    record("the end of the traffic")
    await asyncio.gather(*tasks)
    await asyncio.sleep(FINISH_S)
    breaks = await stand.ask_for(world, accepted, FINISH_S)
    record.say(f"accepted: {before} jobs before the recurring one, {len(accepted) - before} with it and later")
    return breaks + limit.stop(record)


stand.run(case, os.path.dirname(os.path.abspath(__file__)))
