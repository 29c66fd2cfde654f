"""Single minions crash, one after the other. See claim.txt."""
import asyncio, json, os, random, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand

CRASHES = 5
DOWN_S = 3.4               # srv_crash, how dark: 3.4 s in the site file's days; one of eight minions


async def case(world, record, trouble):
    minions = await stand.deployment(world, record)
    lives = world.provider.minions
    path = "/puxa400/" + "%016x" % random.getrandbits(64)
    job = {"spec": '{"ms": 5000}', "jobSteps": [{"count": 1, "cpu": 4000, "memMb": 4096, "estRuntimeMs": 5000}]}
    if not await world.submit(path, job):
        raise stand.CannotRun("the job wasn't accepted")

    async def back(victim, number):
        await asyncio.sleep(DOWN_S)
        successor = victim.successor(number)
        lives[lives.index(victim)] = successor
        minions.append(successor)
        await successor.open()

    crashes = 0
    end = time.monotonic() + 70
    state = None
    while time.monotonic() < end:
        await asyncio.sleep(0.5)
        status, text = await world.requester("GET", path)
        if status == 200:
            state = json.loads(text)["state"]
        if state in ("failed", "completed"):
            break
        if not trouble or crashes == CRASHES or any(m.down for m in lives):
            continue
        # The minion that runs the job crashes, 3.6 s after the start, or as soon as all others are back.
        for minion in lives:
            if minion.running and time.monotonic() > minion.starts[-1][0] + 3.6:
                minion.crash()
                crashes += 1
                asyncio.create_task(back(minion, 100 + crashes))
    failed = sum(how == "failed" for m in minions for _, _, _, how, _ in m.ends)
    record.say(f"crashes of one minion: {crashes}; starts: {sum(len(m.starts) for m in minions)}; "
               f"ends `failed`: {failed}; the job is shown as {state}")
    if state == "failed":
        return [f"LOST: {path} is shown as `failed` with {failed} ends `failed`; its queue has maxAttempts 3"]
    return []


stand.run(case, os.path.dirname(os.path.abspath(__file__)))
