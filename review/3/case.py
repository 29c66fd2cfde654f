"""Jobs whose subtasks take longer than estimated. See claim.txt."""
import asyncio, json, os, random, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand

MINIONS = 8
WORK_MS = 8000
ESTIMATES_MS = [0, 300, 600, 900, 1200, 1500]      # 0: none is given, the field is omitted
FINISH_S, IDLE_S, WATCH_S = 14, 3.0, 25


async def case(world, record, trouble):
    minions = await stand.deployment(world, record, minions=MINIONS)

    async def submit(step, ms):
        i = "%016x" % random.getrandbits(64)
        if not await world.submit("/puxa400/" + i, {"spec": json.dumps({"ms": ms}), "jobSteps": [step]}):
            raise stand.CannotRun("a job wasn't accepted")
        return i
    # Ordinary jobs, whose estimates are right.
    for _ in range(40):
        await submit({"count": 2, "cpu": 500, "memMb": 64, "estRuntimeMs": 500}, 500)
    jobs = {}
    for estimate in ESTIMATES_MS:
        step = {"count": MINIONS, "cpu": 500, "memMb": 64, "maxPerServer": 1}
        known = estimate if trouble else WORK_MS
        if known:
            step["estRuntimeMs"] = known
        jobs[await submit(step, WORK_MS)] = estimate
    record("the end of the traffic")
    await asyncio.sleep(FINISH_S)
    finish = time.monotonic()
    await asyncio.sleep(WATCH_S)
    now = time.monotonic()
    breaks = []
    for i, estimate in jobs.items():
        _, text = await world.requester("GET", "/puxa400/" + i)
        state = json.loads(text or "{}").get("state")
        runs = []
        for minion in minions:
            ends = {(task, run): when for when, task, run, _, _ in minion.ends}
            runs += [(when, ends.get((task, run), now)) for when, task, run in minion.starts if task.startswith(i)]
        done = {task for m in minions for _, task, _, how, _ in m.ends if task.startswith(i) and how == "done"}
        # The longest time after finish_s in which none of the job's subtasks ran.
        idle, at = 0.0, finish
        for begun, ended in sorted(runs):
            if ended > finish:
                idle = max(idle, begun - at)
                at = max(at, ended)
        idle = max(idle, now - at)
        record.say(f"{i}: estimate {estimate if trouble else WORK_MS} ms, {state}, {len(runs)} starts, {len(done)} of "
                   f"{MINIONS} subtasks done, nothing running for {0 if len(done) == MINIONS else idle:.2f} s at most")
        if len(done) < MINIONS and idle > IDLE_S:
            breaks.append(f"LOST: {i} has nothing running for {idle:.2f} s, later than finish_s; its subtasks may all "
                          f"run, and {len(jobs) * MINIONS * 500} of {MINIONS * 32000} thousandths of a core at most are in use")
    return breaks


stand.run(case, os.path.dirname(os.path.abspath(__file__)))
