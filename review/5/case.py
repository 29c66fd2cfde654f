"""Job IDs in capitals. See claim.txt."""
import asyncio, json, os, random, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand"))
import stand


async def case(world, record, trouble):
    minions = await stand.deployment(world, record)

    def job(spec):
        return {"spec": json.dumps(spec), "jobSteps": [{"count": 1, "cpu": 500, "memMb": 64, "estRuntimeMs": 600}]}
    # Two requesters choose an ID each: 16 hexadecimal digits, of which some are letters.
    one = "5c0e7a21%08x" % random.getrandbits(32)
    two = "9b1d43fe%08x" % random.getrandbits(32)
    if trouble:
        one, two = one.upper(), one
    sent = {one: json.dumps({"ms": 600, "who": 1}), two: json.dumps({"ms": 600, "who": 2})}
    for i, spec in sent.items():
        if not await world.submit("/puxa400/" + i, job(json.loads(spec))):
            raise stand.CannotRun("a job wasn't accepted")
        # The first job is over before the second one comes.
        await asyncio.sleep(5)
    await asyncio.sleep(14)
    breaks = []
    told = {}
    for minion in minions:
        for _, task, run in minion.starts:
            told.setdefault(task.split(".")[0], []).append((task, run, minion.specs[task, run]))
    for i, starts in told.items():
        for task, run, spec in starts:
            if sent.get(i) != spec:
                breaks.append(f"UNASKED: a minion was told to start {task} (run {run}) with the spec {spec}; "
                              f"the requesters sent {sent}")
    for i in sent:
        status, text = await world.requester("GET", "/puxa400/" + i)
        record.say(f"{i}: {text.strip()}; starts {told.get(i, [])}")
        if i not in told and status == 200 and "completed" in text:
            breaks.append(f"MIXED: {i} is shown as `completed`, and none of its subtasks was ever started")
    return breaks


stand.run(case, os.path.dirname(os.path.abspath(__file__)))
