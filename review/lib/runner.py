"""A stand-in for a runner that behaves as PROTOCOL.md says.

The `spec` of a job is JSON text: {"ms": RUN_TIME, "spread": MS, "fail": N}.
A task runs for `ms` plus up to `spread` milliseconds; its first `fail` runs end
`failed`. Tasks of jobs that are submitted with `longRunning` get "ms": 0, which
means until they are stopped.
"""
import asyncio
import json
import time
import zlib

from wire import Server, call

MAX_HOLD_MS = 10000
TERMINATION_S = 0.05
LISTED_ENDS = 500
BEAT_S = 1.5
BACKOFF_S = 0.2


class Run:
    def __init__(self, attempt, checkpoint, timer):
        self.attempt = attempt
        self.checkpoint = checkpoint
        self.timer = timer


class Runner:
    """One life of a runner; start() it again with a new instance."""

    def __init__(self, cell, name, ip, service, zone, labels, capacity,
                 port=0):
        self.cell = cell
        self.name = name
        self.ip = ip
        self.service = service
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.port = port
        self.state = "ready"
        self.is_up = False
        # While set, requests get no answer and nothing is done.
        self.is_hanging = False
        # While set, nothing reaches the runner and nothing leaves it.
        self.is_cut = False
        self.born = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        self.fence = 0
        self.expires_ms = 0
        self.sequence = 0
        self.beat_address = None
        self._zero = time.monotonic()
        self._changed = asyncio.Event()
        self._server = Server(self._handle)
        self._tasks = []

    # ---- life ----

    async def start(self):
        self._zero = time.monotonic()
        self.born = int(time.time() * 1000)
        self.port = await self._server.open(self.ip, self.port)
        self.is_up = True
        self._log(f"starts at {self.address} born {self.born}")
        self._tasks = [asyncio.create_task(self._beat_loop()),
                       asyncio.create_task(self._lease_loop())]

    def crash(self):
        """Ends at once, as after a loss of its process; says nothing."""
        self._log("crashes")
        self._end()

    def _end(self):
        self.is_up = False
        for run in self.runs.values():
            if run.timer:
                run.timer.cancel()
        for task in self.runs:
            self.cell.ledger.gone(self.name, task, self.runs[task].attempt)
        self.runs = {}
        for task in self._tasks:
            task.cancel()
        self._server.close()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def clock_ms(self):
        return int((time.monotonic() - self._zero) * 1000)

    def _log(self, text):
        self.cell.record.note(f"runner {self.name}: {text}")

    # ---- announcements ----

    def _beat_body(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "coldRemainingMs": 0,
                "capacity": self.capacity, "labels": self.labels,
                "clockMs": self.clock_ms(), "sequence": self.sequence,
                "born": self.born}

    async def _beat_loop(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def beat(self):
        """Announces itself to one node after the other until one confirms."""
        if self.is_cut:
            return False
        nodes = list(self.cell.controls)
        if self.beat_address:
            nodes.insert(0, self.beat_address)
        for node in nodes:
            answer = await call(node, "PUT", f"/instances/{self.name}",
                                self._beat_body())
            if answer and answer.status == 200:
                self.beat_address = answer.json().get("heartbeatAddress")
                return True
            self.beat_address = None
        return False

    async def drain(self):
        """Says that it leaves; returns once this is acknowledged."""
        self.state = "draining"
        self._log("announces draining")
        acknowledged = await self.beat()
        self._log(f"draining acknowledged: {acknowledged}")
        return acknowledged

    async def leave(self, nodes):
        """Sends its DELETE to the nodes in turn, and ends."""
        for k, node in enumerate(nodes):
            await asyncio.sleep(k * BACKOFF_S)
            self._log(f"sends DELETE to {node}")
            answer = await call(node, "DELETE", f"/instances/{self.name}")
            self._log(f"DELETE answered: {answer.status if answer else None}")
            if answer and answer.status == 200:
                break
        self._end()
        self._log("has ended")

    # ---- leases and runs ----

    async def _lease_loop(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() >= self.expires_ms:
                self._log("lease lapses")
                for task in list(self.runs):
                    self._finish(task, "lapsed")

    def _extend(self, expires_ms):
        longest = self.clock_ms() + MAX_HOLD_MS
        self.expires_ms = max(self.expires_ms, min(expires_ms, longest))

    def _finish(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        if run.timer:
            run.timer.cancel()
        self.last_end += 1
        self.ends.append([self.last_end, task, run.attempt, how,
                          run.checkpoint])
        self.highest[task] = max(self.highest.get(task, 0), run.attempt)
        self.cell.ledger.ended(self.name, self.born, self.last_end, task,
                               run.attempt, how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        if not self.is_up or self.is_hanging or self.is_cut:
            return None
        expected = request.headers.get("jujubedyke-expected-instance")
        if expected and expected != self.name:
            return 421, {"clockMs": self.clock_ms(), "born": self.born}
        if request.path == "/health":
            return 200, {}
        body = request.json()
        if body.get("fencingToken", 0) < self.fence:
            return self._refuse("fence")
        self.fence = body.get("fencingToken", 0)
        if request.path in ("/run-start", "/run-stop"):
            result = self._start_run(body) if request.path == "/run-start" \
                else self._stop_run(body)
            self._log(f"gets {request.path} {json.dumps(body)}, answers "
                      f"{result[0]} {json.dumps(result[1])}")
            return result
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/pace":
            return self._answer({})
        return 400, {"clockMs": self.clock_ms()}

    def _answer(self, fields):
        return 200, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    def _refuse(self, reason):
        return 409, {"clockMs": self.clock_ms(), "born": self.born,
                     "reason": reason}

    def _start_run(self, body):
        task, attempt = body["task"], body["attempt"]
        if body["expiresMs"] <= self.clock_ms() >= self.expires_ms:
            return self._refuse("late")
        self._extend(body["expiresMs"])
        held = self.runs.get(task)
        if held and held.attempt == attempt:
            return self._answer({})
        if held or attempt <= self.highest.get(task, 0):
            return self._refuse("old")
        spec = json.loads(body["spec"])
        run = Run(attempt, body.get("checkpoint", ""), None)
        self.runs[task] = run
        self.cell.ledger.started(self.name, task, attempt)
        if spec["ms"]:
            part = zlib.crc32(task.encode()) % 1000 / 1000
            span = (spec["ms"] + part * spec.get("spread", 0)) / 1000
            how = "failed" if attempt <= spec.get("fail", 0) else "done"
            run.timer = asyncio.get_running_loop().call_later(
                span, self._finish, task, how)
        return self._answer({})

    def _stop_run(self, body):
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        held = self.runs.get(task)
        if held and held.attempt == attempt:
            asyncio.get_running_loop().call_later(
                TERMINATION_S, self._finish, task, "stopped")
        return self._answer({})

    async def _hold(self, body):
        cursor = body.get("ackCursor", 0)
        self.cell.ledger.noted(self.name, self.born, cursor)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if "expiresMs" in body:
            self._extend(body["expiresMs"])
        wait = min(body.get("waitMs", 0), 2000) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self._changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if not self.is_up or self.is_hanging or self.is_cut:
            return None
        running = [[task, run.attempt, run.checkpoint, 100, 0]
                   for task, run in self.runs.items()]
        return self._answer({"running": running,
                             "finished": self.ends[:LISTED_ENDS]})
