"""Stand-ins for the platform, the minions, callers and the operator, for the scripts of the review.

Standard library only. Everything is on loopback addresses: the nodes' on a network of their own
(127.A.B.n), the stand-ins' on 127.0.0.1 with ports that the system picks. Processes that are started
here are ended by their ids.
"""

import asyncio, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "egretpin-platform")
HOST = "jobs.example"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *what):
        line = "%8.3f  %s" % (self.now(), " ".join(str(w) for w in what))
        self.file.write(line + "\n")
        self.file.flush()


async def read_message(reader):
    """One HTTP message: first line, headers, body. None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += part[:-2]
    return lines[0], headers, body


class Server:
    """Serves `handle(method, path, headers, body)`, which returns (status, value) or None for silence."""

    def __init__(self, handle):
        self.handle = handle
        self.address = None
        self.server = None
        self.writers = set()

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.connection, ip, port)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def stop(self, reset=True):
        self.server.close()
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    # The peer gives up by itself; its connection stays open until it does.
                    await asyncio.sleep(20)
                    return
                status, value = answer
                data = json.dumps(value).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data))
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, value=None, headers=None, limit=1.0):
    """One request on a connection of its own: (status, body, headers); status 0 without an answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            body = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
            lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(body)]
            own = {"Host": "%s:%d" % address, "Content-Type": "application/json", "Connection": "close"}
            own.update(headers or {})
            lines += ["%s: %s" % item for item in own.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, found, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer, found
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, b"", {}


class World:
    """The nodes: control 1 to 3, entry 11 to 10 + entries."""

    def __init__(self, record, entries=1, provider=None, extra=()):
        self.record, self.entries, self.provider, self.extra = record, entries, provider, list(extra)
        # In memory where that can be, so that a busy disk elects no leaders.
        memory = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
        self.folder = tempfile.mkdtemp(prefix="egretpin-review-", dir=memory)
        self.net = None
        for _ in range(50):
            a, b = random.randrange(64, 250), random.randrange(1, 250)
            probe = socket.socket()
            try:
                probe.bind(("127.%d.%d.1" % (a, b), 8623))
                self.net = (a, b)
                break
            except OSError:
                continue
            finally:
                probe.close()
        if self.net is None:
            raise RuntimeError("no free loopback network")
        self.processes = {}
        self.launched = []

    def ip(self, node):
        return "127.%d.%d.%d" % (*self.net, node)

    def control(self, node):
        return (self.ip(node), 8623)

    def front(self, node):
        return (self.ip(node), 8624)

    def settings(self, node, bootstrap):
        entry = node > 10
        lines = [
            "nodeName=%s-%d" % ("front" if entry else "core", node),
            "role=%s" % ("entry" if entry else "control"),
            "machineClass=%s" % ("front" if entry else "core"),
            "ip=" + self.ip(node), "zone=ikeja", "region=lagos", "zones.ikeja=lagos",
            "portRange=7060,7075",
            "seeds=" + ",".join("%s:8623" % self.ip(n) for n in (1, 2, 3)),
            "bootstrap=%s" % str(bootstrap).lower(), "lossCounts=%s" % str(not entry).lower(),
            "limits.cpuShare=0.39", "limits.cores=1", "limits.memoryMb=256", "limits.maxFds=4096",
            "discovery=registry", "entry=vip", "heartbeatMs=1500",
            "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            "faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
            "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.stableWindowMs=3000", "bounds.ackMs=4000",
            "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossSlackMs=200",
            "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.outerMs=5000",
            "bounds.recoveryS=12", "bounds.maxHoldMs=10000", "bounds.stopMs=900",
            "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
            "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.slowdownFactor=3",
            "bounds.checkpointIntervalS=1", "bounds.restoreMs=600", "bounds.noticeMs=4500",
            "bounds.migrateS=1.5", "bounds.maintenanceS=2", "bounds.enforceFencing=true",
            "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.paceMs=100", "bounds.interferenceMs=4000",
            "config_mode=highest", "controlMode=rpc", "cloudApi.ratePerS=64.0", "cloudApi.duties=",
            "cloudApi.dutyPerS=64.0",
        ]
        if entry:
            lines += ["serves=front", "listen.front=%s:8624" % self.ip(node), "listen.ready=%s:8622" % self.ip(node)]
        else:
            lines += ["serves=control", "listen.control=%s:8623" % self.ip(node), "limits.diskMb=128",
                      "dataDir=" + os.path.join(self.folder, "data-%d" % node)]
        if self.provider:
            lines.append("cloudApi.address=%s:%d" % self.provider)
        path = os.path.join(self.folder, "node-%d.conf" % node)
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def launch(self, node, bootstrap=False):
        env = {"EGRETPIN_BOOT": self.settings(node, bootstrap), "PATH": os.environ.get("PATH", "")}
        log = open(os.path.join(self.folder, "node-%d.log" % node), "a")
        role = "entry" if node > 10 else "control"
        process = subprocess.Popen([PROGRAM, role], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[node] = process
        self.launched.append(process)
        self.record("node", node, "is started as process", process.pid)

    def signal(self, node, name):
        self.record("node", node, "gets", name)
        self.processes[node].send_signal(getattr(signal, name))
        if name == "SIGKILL":
            self.processes[node].wait()

    async def start(self):
        for node in (1, 2, 3):
            self.launch(node, True)
        for node in range(11, 11 + self.entries):
            self.launch(node, True)
        await self.until("a control node leads", self.leader)
        return self

    async def leader(self):
        """The control node that answers an unknown wave with 404; the others redirect or refuse."""
        for node in (1, 2, 3):
            process = self.processes.get(node)
            if process is None or process.poll() is not None:
                continue
            status, _, _ = await call(self.control(node), "GET", "/wave-get/0", limit=0.25)
            if status == 404:
                return node
        return None

    async def until(self, what, check, limit=30.0, pause=0.02):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            found = check()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(pause)
        raise TimeoutError("waited in vain until " + what)

    async def operator(self, method, path, value=None, limit=15.0):
        """An order of the operator: to any node, again until one answers; follows redirects."""
        end = time.monotonic() + limit
        node = 0
        while time.monotonic() < end:
            address = self.control(1 + node % 3)
            for _ in range(3):
                status, body, headers = await call(address, method, path, value)
                if status != 307:
                    break
                where = headers["location"].split("//")[1].split("/")[0]
                address = (where.split(":")[0], int(where.split(":")[1]))
            if status in (200, 400, 404, 409):
                return status, body
            node += 1
            await asyncio.sleep(0.1)
        return 0, b""

    async def caller(self, method, path, value=None, entry=11, limit=3.0):
        headers = {"Host": HOST, "Egretpin-Deadline-Ms": str(int(limit * 1000))}
        status, body, _ = await call(self.front(entry), method, path, value, headers, limit)
        return status, body

    def close(self):
        for process in self.launched:
            if process.poll() is None:
                process.kill()
        for process in self.launched:
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version, services=("soilsvc",), attempts=3, timeout=3000):
    return {
        "version": version,
        "routes": [{"name": "r-" + s, "host": HOST, "pathPrefix": "/%s/" % s, "kind": "unsafe", "timeoutMs": timeout,
                    "targetDurationMs": 600, "priority": 0, "service": s, "maxAttempts": attempts, "stretch": 1.6}
                   for s in services],
        "services": [{"name": s, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                      "admissionControl": False, "standby": False} for s in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


class Minion:
    """One life of a machine. Tasks run for the milliseconds that `spec` names; `last` ones until stopped."""

    def __init__(self, world, id, service, rack="r1-1", cpu=32000, mem=131072, observer=None):
        self.world, self.record, self.id, self.service, self.rack = world, world.record, id, service, rack
        self.cpu, self.mem, self.observer = cpu, mem, observer
        self.born = time.monotonic()
        self.token, self.until, self.sequence, self.number = 0, 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.up, self.state, self.acked = True, "ready", 0
        self.changed = asyncio.Event()
        self.beat_ms = 1500
        self.hook = None

    def clock(self):
        return int((time.monotonic() - self.born) * 1000)

    async def start(self, address=None):
        self.server = await Server(self.handle).start(*(address or ("127.0.0.1", 0)))
        self.address = self.server.address
        self.record("minion", self.id, "of", self.service, "starts at %s:%d" % self.address)
        self.tasks = [asyncio.ensure_future(self.beats()), asyncio.ensure_future(self.leases())]
        return self

    async def crash(self, why="crashes"):
        """Ends at once, and all that runs here with it."""
        self.record("minion", self.id, why, "with", sorted(self.running))
        self.up = False
        for task in self.tasks:
            task.cancel()
        for name in list(self.running):
            self.note("lost", name, self.running[name]["run"])
        self.running.clear()
        await self.server.stop()

    def note(self, what, task, run):
        self.record("minion", self.id, what, task, "run", run)
        if self.observer:
            self.observer(what, self, task, run)

    async def beats(self):
        node = 0
        while True:
            self.sequence += 1
            value = {"service": self.service, "address": "%s:%d" % self.address, "zone": "ikeja", "version": "v1",
                     "slots": 8, "state": self.state, "coldLeftMs": 0,
                     "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0}, "labels": ["a", self.rack],
                     "clockMs": self.clock(), "sequence": self.sequence}
            for _ in range(3):
                address = self.world.control(1 + node % 3)
                for _ in range(3):
                    status, _, headers = await call(address, "PUT", "/instances/" + self.id, value)
                    if status != 307:
                        break
                    where = headers["location"].split("//")[1].split("/")[0]
                    address = (where.split(":")[0], int(where.split(":")[1]))
                if 200 <= status < 300:
                    break
                node += 1
            await asyncio.sleep(self.beat_ms / 1000)

    async def leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.until:
                for name in list(self.running):
                    self.end(name, "lapsed")

    def end(self, name, how):
        entry = self.running.pop(name, None)
        if entry is None:
            return
        self.number += 1
        self.highest[name] = max(self.highest.get(name, 0), entry["run"])
        self.ended.append([self.number, name, entry["run"], how, ""])
        self.note(how, name, entry["run"])
        self.changed.set()

    async def run(self, name, run, ms):
        await asyncio.sleep(ms / 1000)
        entry = self.running.get(name)
        if entry and entry["run"] == run:
            self.end(name, "done")

    async def handle(self, method, path, headers, body):
        value = json.loads(body or b"{}")
        if headers.get("egretpin-expect-instance", self.id) != self.id:
            return 421, {}
        if self.hook:
            answer = await self.hook(self, path, value)
            if answer is not False:
                return answer
        return await self.act(path, value)

    async def act(self, path, value):
        if not self.up:
            return None  # it has crashed meanwhile
        token = value.get("fencingToken", 0)
        if token < self.token:
            self.record("minion", self.id, "refuses", path, "of the lower fence", token)
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        if path == "/run-start":
            name, run = value["task"], value["run"]
            self.until = max(self.until, min(value["untilMs"], self.clock() + 10000))
            if self.running.get(name, {}).get("run") == run:
                return 200, {"clockMs": self.clock()}
            if run <= self.highest.get(name, 0) or run < self.running.get(name, {}).get("run", 0):
                return 409, {"clockMs": self.clock(), "reason": "old"}
            if value["untilMs"] <= self.clock():
                return 409, {"clockMs": self.clock(), "reason": "late"}
            self.running[name] = {"run": run, "since": time.monotonic()}
            self.note("starts", name, run)
            if value["spec"] != "last":
                asyncio.ensure_future(self.run(name, run, int(value["spec"])))
        elif path == "/run-stop":
            name, run = value["task"], value["run"]
            self.record("minion", self.id, "is told to stop", name, "run", run)
            if name in self.running and self.running[name]["run"] <= run:
                self.end(name, "stopped")
            self.highest[name] = max(self.highest.get(name, 0), run)
        elif path == "/hold":
            acked = value.get("ackedThrough", 0)
            self.ended = [end for end in self.ended if end[0] > acked]
            self.acked = max(self.acked, acked)
            if "untilMs" in value:
                self.until = max(self.until, min(value["untilMs"], self.clock() + 10000))
            if value.get("waitMs") and not self.ended:
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), value["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            rows = [[name, e["run"], "", 100, 0.0] for name, e in sorted(self.running.items())]
            return 200, {"clockMs": self.clock(), "running": rows, "ended": self.ended[:500]}
        return 200, {"clockMs": self.clock()}


class Provider:
    """The platform's machines. `held` decides, for a call, whether it is held up and for how long."""

    def __init__(self, record):
        self.record, self.machines, self.tokens = record, {}, {}
        self.done, self.held, self.observer = set(), lambda path, value: None, None

    async def start(self):
        self.server = await Server(self.handle).start()
        self.address = self.server.address
        return self

    def add(self, machine, minion):
        self.machines[machine] = {"minion": minion, "state": "up", "pool": minion.service}

    async def handle(self, method, path, headers, body):
        if path.startswith("/machines"):
            rows = []
            for name, m in sorted(self.machines.items()):
                minion = m["minion"]
                state = m["state"] if m["state"] != "up" or minion.up else "down"
                rows.append({"machine": name, "pool": m["pool"], "state": state, "zone": "ikeja",
                             "labels": ["a", minion.rack], "capacity": {"cpu": minion.cpu, "memMb": minion.mem, "gpu": 0},
                             "id": minion.id if state == "up" else ""})
            return 200, {"machines": rows, "nextToken": ""}
        value = json.loads(body)
        token = int(headers.get("egretpin-fencing-token", 0))
        holder = headers.get("egretpin-lease-holder", "")
        self.record("provider gets", path, json.dumps(value), "from", holder, "fence", token)
        delay = self.held(path, value)
        if delay is not None:
            self.record("provider holds that call up for %.1f s and doesn't answer" % delay)
            asyncio.get_running_loop().call_later(delay, lambda: self.carry_out(path, value, holder, token, True))
            return None
        return self.carry_out(path, value, holder, token, False)

    def carry_out(self, path, value, holder, token, late):
        name = value["machine"]
        if name not in self.machines:
            return 400, {}
        machine = self.machines[name]
        if token < self.tokens.get(name, 0):
            self.record("provider refuses", path, name, "for its fence", token)
            return 409, {"reason": "fence"}
        self.tokens[name] = token
        key = (name, value.get("wave"), value.get("pool"))
        if path == "/machine-upkeep" and key in self.done:
            self.record("provider:", name, "has had that upkeep", "(the held-up call)" if late else "")
            return 200, {}
        if machine["state"] != "up" or not machine["minion"].up:
            return 409, {"reason": "busy"}
        self.done.add(key)
        self.record("provider: the upkeep of", name, "begins", "(the held-up call)" if late else "")
        if self.observer:
            self.observer(name, value)
        machine["state"] = "upkeep"
        asyncio.ensure_future(self.upkeep(name, machine))
        return 200, {}

    async def upkeep(self, name, machine):
        minion = machine["minion"]
        await minion.crash("ends for the upkeep")
        await asyncio.sleep(2.0)
        next = Minion(minion.world, minion.id + "x", minion.service, minion.rack, minion.cpu, minion.mem, minion.observer)
        next.beat_ms = minion.beat_ms
        await next.start()
        machine["minion"], machine["state"] = next, "up"
        self.record("provider: the upkeep of", name, "is over")


def main(case, folder):
    """Runs `case(record, trouble)`, which returns whether the rule held, and exits as the issue says."""
    if not os.access(PROGRAM, os.X_OK):
        print("not built:", PROGRAM)
        sys.exit(2)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        try:
            held = await asyncio.wait_for(case(record, trouble), 105)
        except (TimeoutError, asyncio.TimeoutError, RuntimeError, OSError) as error:
            record("the case couldn't run:", repr(error))
            print("the case couldn't run:", repr(error), flush=True)
            # The stand-ins' open connections don't hold the end up.
            os._exit(2)
        word = "held" if held else "broken"
        record("the rule was", word)
        print("the rule was", word, flush=True)
        os._exit(0 if held else 1)

    asyncio.run(run())
