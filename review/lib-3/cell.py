"""Starts a small deployment on loopback: core members, entry hosts, runners.

The project's programs are started as deploy/system.toml says, with the settings
templates of deploy/. Each machine has an address of its own in 127.0.0.0/8.
"""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
from record import Record  # noqa: E402
import wire  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(HERE))
INTERNAL, HTTP, READINESS, CONTROL, RUNNER = 7420, 8183, 8184, 8180, 9000
METRICS = 9464
ZONES = ["san-fernando", "point-fortin", "princes-town"]


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def deploy_roles():
    """Returns the program and the template of each role."""
    roles = {}
    name = None
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        for line in file:
            section = re.match(r"\[roles\.([a-z-]+)\]", line)
            entry = re.match(r'(run|template) = "([^"]*)"', line)
            if section:
                name = section.group(1)
                roles[name] = {}
            elif entry and name:
                roles[name][entry.group(1)] = entry.group(2)
    return roles


def render(template, fields):
    def value(match):
        at = fields
        for part in match.group(1).split("."):
            at = at[int(part)] if isinstance(at, list) else at[part]
        if isinstance(at, bool):
            return "true" if at else "false"
        return ",".join(map(str, at)) if isinstance(at, list) else str(at)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


class Cell:
    def __init__(self, record_path, cores=3, fronts=1, max_hold_ms=10000):
        self.folder = tempfile.mkdtemp(prefix="jujube-case-")
        self.record_path = record_path
        open(record_path, "w", encoding="utf-8").close()
        self.record = Record(record_path)
        self.max_hold_ms = max_hold_ms
        self.net = self._free_network()
        self.roles = deploy_roles()
        self.processes = {}
        self.settings = {}
        self.cores = [f"core-{i}" for i in range(cores)]
        self.fronts = [f"front-{i}" for i in range(fronts)]
        self.controls = [f"{self._ip(1 + i)}:{CONTROL}" for i in range(cores)]
        self._runners = 0

    @staticmethod
    def _free_network():
        for _ in range(50):
            net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
            try:
                for host in (1, 2, 3, 11, 12, 21):
                    for port in (INTERNAL, HTTP, CONTROL, RUNNER, METRICS):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def _ip(self, host):
        return f"{self.net}.{host}"

    def note(self, what, **fields):
        self.record.write("case", what, **fields)

    def _fields(self, name, role, ip, zone, bootstrap):
        return {
            "nodeName": name, "role": role, "ip": ip, "zone": zone,
            "internalPortRange": [INTERNAL, INTERNAL + 15],
            "seedNodes": self.controls[:3], "bootstrap": bootstrap,
            "dataDir": os.path.join(self.folder, name),
            "advisor": f"{self._ip(250)}:8182",
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"maxHoldMs": self.max_hold_ms},
            "limits": {"fileDescriptors": 4096},
            "listen": {"frontend": f"{ip}:{HTTP}",
                       "readiness": f"{ip}:{READINESS}",
                       "control": f"{ip}:{CONTROL}"},
        }

    def start_own(self, name, bootstrap=True):
        """Starts a core member or an entry host."""
        role = "core" if name in self.cores else "front"
        index = int(name.split("-")[1])
        ip = self._ip((1 if role == "core" else 11) + index)
        zone = ZONES[index % len(ZONES)]
        fields = self._fields(name, role, ip, zone, bootstrap)
        os.makedirs(fields["dataDir"], exist_ok=True)
        with open(os.path.join(ROOT, self.roles[role]["template"]),
                  encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(self.folder, name + ".flags")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        program = os.path.join(ROOT, self.roles[role]["run"].split()[0])
        if not os.path.exists(program):
            raise CannotRun(f"{program} is not built")
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [program] + self.roles[role]["run"].split()[1:], cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "JUJUBEDYKE_CONFIG": path},
            stdout=log, stderr=log)
        log.close()

    def start(self):
        for name in self.cores + self.fronts:
            self.start_own(name)

    def log_of(self, name):
        with open(os.path.join(self.folder, name + ".log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    def runner(self, name, labels=("a", "r1-0"), capacity=None, address=None,
               service="desk", **extra):
        """Starts a stand-in runner; returns its address."""
        if address is None:
            address = f"{self._ip(21 + self._runners)}:{RUNNER}"
            self._runners += 1
        options = {
            "id": name, "address": address, "service": service,
            "zone": ZONES[0], "labels": list(labels),
            "capacity": capacity or {"cpu": 16000, "memMb": 65536, "gpu": 0},
            "controls": self.controls, "record": self.record_path,
            "max_hold_ms": self.max_hold_ms, **extra}
        self.processes[name] = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "runner.py"),
             json.dumps(options)], cwd=self.folder)
        return address

    def kill(self, name, number=signal.SIGKILL):
        self.note("signal", to=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def configure(self, config, for_s=15.0):
        """Sends a configuration until it is acknowledged."""
        end = time.time() + for_s
        while time.time() < end:
            for control in self.controls:
                status, text = wire.call(control, "PUT", "/config", config,
                                         timeout=1.0)
                self.note("config", sent=config, to=control, status=status)
                if status == 200:
                    return
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"the configuration is refused: {text}")
            time.sleep(0.3)
        raise CannotRun("the configuration is not acknowledged")

    def frontend(self, front):
        """The address at which an entry host takes calls of clients."""
        return f"{self._ip(11 + front)}:{HTTP}"

    def client(self, method, path, body=None, key=None, host="a.example",
               front=0, timeout=3.0):
        """One call of a client to an entry host."""
        headers = {"Host": host,
                   "Jujubedyke-Deadline-Ms": str(int(timeout * 1000))}
        if key:
            headers["Authorization"] = "Bearer " + key
        status, text = wire.call(self.frontend(front), method, path, body,
                                 headers, timeout)
        self.note("call", method=method, path=path, key=key, sent=body,
                  status=status, answer=text[:200])
        return status, text

    def submit(self, path, body, key=None, for_s=10.0):
        """Hands a job in until it is accepted, as clients do."""
        end = time.time() + for_s
        while time.time() < end:
            status, _ = self.client("POST", path, body, key)
            if status == 200:
                return
            time.sleep(0.3)
        raise CannotRun("the job is not accepted")

    def await_runners(self, names, for_s=20.0):
        """Waits until the heartbeats of the runners are acknowledged."""
        from record import read
        end = time.time() + for_s
        while time.time() < end:
            seen = {line["who"] for line in read(self.record_path)
                    if line["what"] == "heartbeat acknowledged"}
            if set(names) <= seen:
                return
            time.sleep(0.1)
        raise CannotRun("the runners' heartbeats are not acknowledged")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") == "1":
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def simple_config(version=1, routes=None, services=("desk",), tenants=None):
    """A configuration with one queue at a.example/p/ and one tenant."""
    queue = {"name": "r-p", "host": "a.example", "pathPrefix": "/p/",
             "kind": "non_idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 1000, "priority": 0, "service": "desk",
             "maxAttempts": 3, "slackFactor": 4.0, "anonymous": False}
    tenant = {"name": "ta", "apiKeys": ["key-of-ta"], "priority": 1,
              "weight": 1000, "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}
    return {
        "version": version, "routes": routes or [queue],
        "services": [{"name": name, "healthPath": "/health",
                      "maxConnections": 64, "protocol": "h1",
                      "tlsEnabled": False, "enforceCapacity": False,
                      "standby": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants or [tenant]}


# Python itself exits with 1 after an error, so that a breach has its own code;
# run.sh translates it.
BROKEN, HELD, CANNOT_RUN = 3, 0, 2


def main(play, fronts=1):
    """Runs play(cell, trouble) and exits with one of the codes above.

    `play` returns the breach, or None. The first argument is the folder of the
    case.
    """
    folder = os.path.abspath(sys.argv[1])
    # So that a case that is ended early ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cell = None
    try:
        cell = Cell(os.path.join(folder, "record.txt"), fronts=fronts)
        breach = play(cell, trouble)
        cell.note("verdict", broken=bool(breach), why=breach or "")
        print("broken: " + breach if breach else "held")
        code = BROKEN if breach else HELD
    except CannotRun as error:
        print("cannot run:", error)
        code = CANNOT_RUN
    finally:
        if cell is not None:
            cell.close()
    sys.exit(code)
