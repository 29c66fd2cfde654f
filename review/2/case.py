"""More than 500 ends at one minion while the core is down. See claim.txt."""
import asyncio, os, random, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand

TASKS = 1200
DOWN_S = 4.5               # herd_kill on core, share 1.0, how off: 4.5 s in the site file's days


async def case(world, record, trouble):
    minions = await stand.deployment(world, record)
    path = "/puxa400/" + "%016x" % random.getrandbits(64)
    job = {"spec": '{"ms": 4000, "spread": 0.25}',
           "jobSteps": [{"count": TASKS, "cpu": 25, "memMb": 64, "estRuntimeMs": 4000}]}
    if not await world.submit(path, job):
        raise stand.CannotRun("the job wasn't accepted")
    begun = time.monotonic()
    while sum(len(m.starts) for m in minions) < TASKS:
        await asyncio.sleep(0.01)
        if time.monotonic() > begun + 10:
            raise stand.CannotRun("the subtasks weren't all started in 10 s")
    record.say(f"all {TASKS} subtasks are started, by minion:", [len(m.starts) for m in minions])
    if trouble:
        for node in world.cores:
            world.kill(node)
        await asyncio.sleep(DOWN_S)
        for node in world.cores:
            world.launch(node)
    end = time.monotonic() + 30
    while time.monotonic() < end:
        status, text = await world.requester("GET", path)
        if status == 200 and "completed" in text:
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(5)
    record.say("starts by minion:", [len(m.starts) for m in minions], "most ends not taken note of:",
               [m.most_ended for m in minions], "leases that ran out:", sum(len(m.lapses) for m in minions))
    done = {}
    for minion in minions:
        for when, task, run, how, number in minion.ends:
            if how == "done" and number <= minion.acked and not minion.lapses:
                done.setdefault(task, (when, run, minion.id))
    breaks = []
    for minion in minions:
        for when, task, run in minion.starts:
            if task in done and when > done[task][0]:
                ended, first, there = done[task]
                breaks.append(f"TWICE: {task}: run {run} began on {minion.id} {when - ended:.3f} s after run {first} "
                              f"had ended `done` on {there}, an end that was taken note of")
    return breaks


stand.run(case, os.path.dirname(os.path.abspath(__file__)))
