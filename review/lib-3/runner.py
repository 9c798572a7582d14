"""A stand-in runner: one process, which runs tasks as timers.

It speaks the calls of PROTOCOL.md, "Running tasks" and "Service discovery". A
task's spec is a JSON object: `ms` is its run time, absent for tasks that last.

Options are one JSON object in the first argument:
  id, address, service, zone, labels, capacity, controls, record, max_hold_ms
"""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from record import Record  # noqa: E402
import wire  # noqa: E402

HEARTBEAT_S = 1.5
TICK_S = 0.01


STARTED = time.monotonic()


def clock_ms():
    """The runner's clock, which starts anew with each life."""
    return int((time.monotonic() - STARTED) * 1000)


class Runner:
    def __init__(self, options):
        self.id = options["id"]
        self.options = options
        self.record = Record(options["record"])
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.ends = []
        self.next_end = 1
        # The highest run of a task that was stopped or has ended here.
        self.closed = {}
        self.ended = asyncio.Event()

    def note(self, what, **fields):
        self.record.write(self.id, what, born=self.born, **fields)

    # Announcements.

    def announcement(self):
        self.sequence += 1
        return {
            "service": self.options["service"],
            "address": self.options["address"],
            "zone": self.options["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": self.options["capacity"],
            "labels": self.options["labels"],
            "clockMs": clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def announce(self):
        controls = list(self.options["controls"])
        loop = asyncio.get_running_loop()
        while True:
            body = self.announcement()
            for control in list(controls):
                status, text = await loop.run_in_executor(
                    None, wire.call, control, "PUT", "/instances/" + self.id,
                    body, None, 1.0)
                if status is not None and 200 <= status < 300:
                    self.note("heartbeat acknowledged", by=control,
                              state=body["state"], labels=body["labels"])
                    controls = [c for c in controls if c != control]
                    controls.insert(0, control)
                    try:
                        named = json.loads(text).get("heartbeatAddress")
                    except ValueError:
                        named = None
                    if named:
                        controls = [c for c in controls if c != named]
                        controls.insert(0, named)
                    break
            await asyncio.sleep(HEARTBEAT_S)

    # Tasks.

    def end(self, task, how):
        run = self.running.pop(task)
        self.ends.append([self.next_end, task, run["attempt"], how, ""])
        self.next_end += 1
        self.closed[task] = max(self.closed.get(task, 0), run["attempt"])
        self.note("end", task=task, attempt=run["attempt"], how=how)
        self.ended.set()

    async def tick(self):
        while True:
            now = clock_ms()
            for task, run in list(self.running.items()):
                if now >= self.lease_end:
                    self.end(task, "lapsed")
                elif run["until"] is not None and now >= run["until"]:
                    self.end(task, "done")
            await asyncio.sleep(TICK_S)

    def extend(self, expires):
        if expires is not None:
            now = clock_ms()
            limit = now + self.options["max_hold_ms"]
            self.lease_end = max(self.lease_end, min(expires, limit))

    def start(self, body):
        task, attempt = body["task"], body["attempt"]
        held = self.running.get(task)
        if held is not None and held["attempt"] == attempt:
            self.extend(body.get("expiresMs"))
            return 200, {}
        if attempt <= max(self.closed.get(task, 0),
                          held["attempt"] if held else 0):
            self.extend(body.get("expiresMs"))
            return 409, {"reason": "old"}
        if body["expiresMs"] <= clock_ms():
            return 409, {"reason": "late"}
        self.extend(body["expiresMs"])
        spec = json.loads(body["spec"])
        until = clock_ms() + spec["ms"] if "ms" in spec else None
        self.running[task] = {"attempt": attempt, "until": until}
        self.note("begin", task=task, attempt=attempt, spec=body["spec"],
                  labels=self.options["labels"],
                  service=self.options["service"])
        return 200, {}

    def stop(self, body):
        task, attempt = body["task"], body["attempt"]
        held = self.running.get(task)
        if held is not None and held["attempt"] <= attempt:
            self.end(task, "stopped")
        self.closed[task] = max(self.closed.get(task, 0), attempt)
        return 200, {}

    async def hold(self, body):
        self.extend(body.get("expiresMs"))
        cursor = body.get("ackCursor", 0)
        self.ends = [row for row in self.ends if row[0] > cursor]
        wait = body.get("waitMs", 0)
        if wait and not self.ends:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), wait / 1000)
            except asyncio.TimeoutError:
                pass
        rows = [[task, run["attempt"], "", 100, 0]
                for task, run in self.running.items()]
        return 200, {"running": rows, "finished": self.ends[:500],
                     "born": self.born}

    async def answer(self, path, headers, body):
        if headers.get("jujubedyke-expected-instance", self.id) != self.id:
            return 421, {}
        if path == "/health":
            return 200, {}
        fence = body.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            return self.stop(body)
        if path == "/hold":
            return await self.hold(body)
        if path == "/pace":
            return 200, {}
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                path = lines[0].split(" ")[1]
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                text = await reader.readexactly(size) if size else b"{}"
                body = json.loads(text)
                status, out = await self.answer(path, headers, body)
                if path in ("/run-start", "/run-stop"):
                    self.note("order", path=path, sent=body, status=status,
                              reason=out.get("reason"))
                out["clockMs"] = clock_ms()
                out["born"] = self.born
                data = json.dumps(out).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: "
                              f"application/json\r\nContent-Length: "
                              f"{len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def main(self):
        host, port = self.options["address"].rsplit(":", 1)
        server = await asyncio.start_server(self.serve, host, int(port),
                                            reuse_address=True)
        self.note("up", labels=self.options["labels"])
        async with server:
            await asyncio.gather(self.announce(), self.tick())


if __name__ == "__main__":
    asyncio.run(Runner(json.loads(sys.argv[1])).main())
