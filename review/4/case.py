"""Queues are removed from the configuration while their jobs run. See claim.txt."""
import asyncio, json, os, random, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand


async def case(world, record, trouble):
    services = [stand.service("huvo11a"), stand.service("lohu93e", True)]
    four = stand.route("r-anu6wsj", "/puxa400/", attempts=4)
    two = stand.route("r-k9m68k7", "/wuhu344/", attempts=2)
    other = stand.route("r-nbanfqa", "/cufi501/", attempts=3)
    minions = await stand.deployment(world, record, [four, two, other])

    def job(fail):
        return {"spec": json.dumps({"ms": 1200, "fail": fail}),
                "jobSteps": [{"count": 1, "cpu": 500, "memMb": 64, "estRuntimeMs": 1200}]}
    # Its first three runs fail and its fourth would be done: within maxAttempts 4.
    saved = "%016x" % random.getrandbits(64)
    # All its runs fail: it may have two.
    hopeless = "%016x" % random.getrandbits(64)
    jobs = {saved: ("/puxa400/", 3), hopeless: ("/wuhu344/", 9)}
    for i, (prefix, fail) in jobs.items():
        if not await world.submit(prefix + i, job(fail)):
            raise stand.CannotRun("a job wasn't accepted")

    def starts(i):
        return sorted((when, run) for m in minions for when, task, run in m.starts if task.startswith(i))

    def failed(i):
        return sorted(when for m in minions for when, task, _, how, number in m.ends
                      if task.startswith(i) and how == "failed" and number <= m.acked)
    begun = time.monotonic()
    while not all(map(starts, jobs)):
        await asyncio.sleep(0.01)
        if time.monotonic() > begun + 10:
            raise stand.CannotRun("the jobs weren't started")
    if trouble:
        await world.put_config(stand.config(4, [other], services))
    await asyncio.sleep(14)
    if trouble:
        # The queues are added again, so that their jobs can be asked for.
        await world.put_config(stand.config(9, [four, two, other], services))
        await asyncio.sleep(4)
    states = {}
    for i, (prefix, _) in jobs.items():
        for _ in range(5):
            status, text = await world.requester("GET", prefix + i)
            if status == 200:
                states[i] = json.loads(text)["state"]
                break
            await asyncio.sleep(0.4)
    for i, most in ((saved, 4), (hopeless, 2)):
        record.say(f"{i}: maxAttempts {most}, runs {[run for _, run in starts(i)]}, "
                   f"{len(failed(i))} ended `failed`, shown as {states.get(i)}")
    breaks = []
    if states.get(saved) == "failed" and len(failed(saved)) < 4:
        breaks.append(f"LOST: {saved} is shown as `failed` after {len(failed(saved))} ends `failed`; "
                      "its queue's maxAttempts is 4 in each configuration that has it")
    ends = failed(hopeless)
    late = [run for when, run in starts(hopeless) if len(ends) >= 2 and when > ends[1]]
    if late:
        breaks.append(f"BUDGET: {hopeless} was started again (run {late}) after two runs had ended `failed`; "
                      "its queue's maxAttempts is 2 in each configuration that has it")
    return breaks


stand.run(case, os.path.dirname(os.path.abspath(__file__)))
