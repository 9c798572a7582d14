#!/usr/bin/env python3
"""Measures what control costs per worker, running task, start and edit.

Starts cells on loopback (scripts/cell.sh), samples processor time and resident
memory of each role from /proc and the counters of messages from /v1/metrics, and
prints each series with its slope by least squares. Nothing is extrapolated here;
docs/CAPACITY.md does that.

usage: bench/capacity.py [--json FILE] [--seconds N] [workers|tasks|starts|edits|zones ...]
"""
import argparse
import http.client
import json
import os
import shutil
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ["san-fernando", "point-fortin", "princes-town", "zone-4", "zone-5", "zone-6"]
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024
FLEET = {"milli_cpu": 10**9, "memory_mb": 10**9}


class Cell:
    """A running cell with one team, a key and three entries."""

    def __init__(self, zones, workers):
        self.dir = tempfile.mkdtemp(prefix="jujube-capacity-")
        self.zones = ZONES[:zones]
        self.shell("scripts/cell.sh", "start", self.dir, ",".join(self.zones), "3")
        self.entries = {}
        self.standins = []
        for zone in self.zones:
            with open(f"{self.dir}/entries-{zone}", encoding="ascii") as file:
                self.entries[zone] = file.read().strip().split(",")
            if workers:
                self.start_workers(zone, workers)
        with open(f"{self.dir}/operator.token", encoding="ascii") as file:
            self.operator = file.read().strip()
        self.key = ""
        self.prepare(workers)

    def shell(self, *command):
        subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL)

    def start_workers(self, zone, count):
        log = open(f"{self.dir}/log/workers-{zone}.log", "w", encoding="utf-8")
        self.standins.append(subprocess.Popen(
            ["build/bin/standin-worker", "--entries", ",".join(self.entries[zone]),
             "--fleet-token-file", f"{self.dir}/fleet.token", "--count", str(count),
             "--name", f"w-{zone}", "--milli-cpu", "64000", "--memory-mb", "131072"],
            cwd=ROOT, stdout=log, stderr=log))

    def http(self, method, path, token="", body=None, zone=None, host=0):
        address = self.entries[zone or self.zones[0]][host]
        connection = http.client.HTTPConnection(address, timeout=30)
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        connection.request(method, path, json.dumps(body) if body else None, headers)
        reply = connection.getresponse()
        text = reply.read()
        connection.close()
        if reply.status != 200:
            raise RuntimeError(f"{path}: {reply.status} {text[:200]}")
        return json.loads(text)

    def until(self, check):
        end = time.time() + 60
        while time.time() < end:
            try:
                if check():
                    return
            except (OSError, RuntimeError):
                pass
            time.sleep(0.2)
        raise RuntimeError("the cell does not get ready; see " + self.dir)

    def ctl(self, *arguments):
        environment = dict(os.environ, JUJUBE_SERVER=self.entries[self.zones[0]][0],
                           JUJUBE_OPERATOR_TOKEN_FILE=f"{self.dir}/operator.token")
        return subprocess.run(["build/bin/jujubectl", *arguments], cwd=ROOT, check=True,
                              capture_output=True, text=True, env=environment).stdout

    def prepare(self, workers):
        self.until(lambda: self.ctl("team", "put", "t0", "--share", "1", "--milli-cpu",
                                    "900000000", "--memory-mb", "900000000"))
        self.key = self.ctl("key", "issue", "t0").strip().split("\n")[-1]
        file = {"teams": [{"id": "t0", "share": 1, "ceiling": FLEET}],
                "entries": [{"id": "job", "owner": "t0", "class": "batch", "tasks": 1,
                             "ask": {"milli_cpu": 100, "memory_mb": 64}}]}
        path = f"{self.dir}/catalogue.json"
        with open(path, "w", encoding="ascii") as out:
            json.dump(file, out)
        self.ctl("catalogue", "apply", path)
        self.until(lambda: all(zone["workers"] == workers for zone in self.status()))

    def status(self):
        return self.http("GET", "/v1/status")["zones"]

    def submit(self, name, tasks, payload, zone=None):
        zone = zone or self.zones[0]
        self.http("POST", "/v1/requests", self.key,
                  {"request": f"{zone}.{name}", "entry": "job", "tasks": tasks,
                   "payload": payload}, zone)

    def counters(self):
        reply = self.http("GET", "/v1/metrics")
        return {(c["name"], c["for"].get("class", "")): c["value"]
                for c in reply["counters"] if c["name"].endswith(("_messages", "_bytes"))}

    def roles(self):
        """Process ids of the leaders, one follower and one entry host."""
        def pid(name):
            with open(f"{self.dir}/pid/{name}", encoding="ascii") as file:
                return int(file.read())
        zone = self.zones[0]
        leader = [z["leader"] for z in self.status() if z["zone"] == zone][0]
        hosts = [f"{zone}-{i}" for i in (1, 2, 3)]
        keepers = {f"keeper-{i}": pid(f"keeper-{i}") for i in (1, 2, 3)}
        busiest = max(keepers, key=lambda name: cpu_ms(keepers[name]))
        return {"keeper_leader": keepers.pop(busiest),
                "keeper_follower": next(iter(keepers.values())),
                "zone_leader": pid(f"zone-{leader}"),
                "zone_follower": pid("zone-" + next(h for h in hosts if h != leader)),
                "entry": pid(f"entry-{zone}-1")}

    def close(self):
        # An orderly end would wait for the pending sync of one worker after another.
        for standin in self.standins:
            standin.kill()
        for standin in self.standins:
            standin.wait()
        self.shell("scripts/cell.sh", "stop", self.dir)
        shutil.rmtree(self.dir)


def cpu_ms(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / TICKS


def rss_kib(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_KIB


def sample(cell, seconds, load=None):
    """Rates over a window: processor ms/s and MiB by role, messages by kind."""
    roles = cell.roles()
    stop = threading.Event()
    thread = threading.Thread(target=load, args=(stop,)) if load else None
    if thread:
        thread.start()
    time.sleep(2)
    before, sent, began = {r: cpu_ms(p) for r, p in roles.items()}, cell.counters(), time.time()
    time.sleep(seconds)
    span = time.time() - began
    after, sent_after = {r: cpu_ms(p) for r, p in roles.items()}, cell.counters()
    stop.set()
    if thread:
        thread.join()
    row = {f"{r} cpu ms/s": (after[r] - before[r]) / span for r in roles}
    row.update({f"{r} MiB": rss_kib(p) / 1024 for r, p in roles.items()})
    for (name, kind), value in sent_after.items():
        rate = (value - sent.get((name, kind), 0)) / span
        if rate >= 0.05:
            row[f"{name}/s {kind}"] = rate
    return row


def with_cell(zones, workers, work):
    cell = Cell(zones, workers)
    try:
        return work(cell)
    finally:
        cell.close()


def by_workers(seconds):
    return [(n, with_cell(1, n, lambda c: sample(c, seconds))) for n in (25, 50, 100, 200)]


def by_tasks(seconds):
    def work(cell):
        rows, running = [], 0
        for target in (0, 1000, 2000, 4000):
            if target > running:
                cell.submit(f"r{target}", target - running, "run_ms=forever")
            running = target
            cell.until(lambda: cell.status()[0]["running_tasks"] == target)
            time.sleep(3)
            rows.append((target, sample(cell, seconds)))
        return rows
    return with_cell(1, 100, work)


def paced(rate, action):
    def run(stop):
        n, due = 0, time.time()
        while not stop.is_set():
            action(n)
            n += 1
            due += 1 / rate
            time.sleep(max(0, due - time.time()))
    return run


def by_starts(seconds):
    def work(cell):
        rows = []
        for rate in (0, 20, 40, 80):
            def one(n, rate=rate):
                cell.submit(f"s{rate}-{n}", 10, "run_ms=1000")
            rows.append((rate, sample(cell, seconds, paced(rate / 10, one) if rate else None)))
        return rows
    return with_cell(1, 50, work)


def by_edits(seconds):
    def work(cell):
        rows = []
        for rate in (0, 2, 5, 10):
            def one(n, rate=rate):
                cell.http("POST", "/v1/catalogue/edits", cell.operator,
                          {"id": f"e{rate}-{n}", "base": 0, "author": "bench", "what":
                           {"kind": "put_team", "value":
                            {"id": f"x{rate}-{n}", "share": 1,
                             "ceiling": {"milli_cpu": 1000}}}})
            rows.append((rate, sample(cell, seconds, paced(rate, one) if rate else None)))
        return rows
    return with_cell(3, 0, work)


def by_zones(seconds):
    return [(n, with_cell(n, 5, lambda c: sample(c, seconds))) for n in (1, 3, 6)]


SERIES = {"workers": by_workers, "tasks": by_tasks, "starts": by_starts,
          "edits": by_edits, "zones": by_zones}


def slope(points):
    n = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def show(name, rows):
    keys = sorted({key for _, row in rows for key in row})
    load = ", ".join(f"{x:.0f}" for x in os.getloadavg())
    print(f"== per {name}: " + ", ".join(str(x) for x, _ in rows) +
          f"  (load of the machine over 1, 5, 15 min: {load})")
    for key in keys:
        points = [(x, row.get(key, 0.0)) for x, row in rows]
        values = " ".join(f"{y:10.3f}" for _, y in points)
        print(f"{key:48} {values}  slope {slope(points):.6f}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json")
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("series", nargs="*", choices=[[], *SERIES], default=[])
    options = parser.parse_args()
    results = {}
    for name in options.series or SERIES:
        results[name] = SERIES[name](options.seconds)
        show(name, results[name])
    if options.json:
        with open(options.json, "w", encoding="ascii") as out:
            json.dump(results, out, indent=1)


if __name__ == "__main__":
    main()
