"""Stand-ins for the platform: a small deployment on loopback addresses.

Starts the project's own programs with the commands and templates of
deploy/system.toml, and emulates the clients, the operator and the runners as
PROTOCOL.md describes them. Uses the Python standard library only.
"""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of bgt-yard.
BOUNDS = {"maxHoldMs": 10000, "drainMs": 2000, "contactMs": 3000, "finish_s": 14,
          "terminationMs": 200}
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Returns (status, JSON or None); status is None without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        sent = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, data, sent)
        answer = connection.getresponse()
        text = answer.read()
        try:
            return answer.status, json.loads(text)
        except ValueError:
            return answer.status, None
    except (OSError, http.client.HTTPException):
        return None, None
    finally:
        connection.close()


class Cell:
    """The system's processes: 3 core machines and 3 entry machines."""

    def __init__(self, record, cores=3, fronts=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="jujube-review-")
        self.net = self._free_net(cores, fronts)
        self.ports = {"internal": 7420, "control": 8180, "front": 8183, "ready": 8184}
        self.processes = {}
        self.cores = [f"core-{i + 1}" for i in range(cores)]
        self.fronts = [f"front-{i + 1}" for i in range(fronts)]
        self.files = {}

    @staticmethod
    def _free_net(cores, fronts):
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}"
            try:
                for i in [*range(1, cores + 1), *range(11, 11 + fronts)]:
                    for port in (7420, 8180, 8183, 8184, 9464):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{i}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self, name):
        role, number = name.split("-")
        return f"{self.net}.{int(number) + (0 if role == 'core' else 10)}"

    def control(self, name):
        return (self.ip(name), self.ports["control"])

    def controls(self):
        return [self.control(name) for name in self.cores]

    def front(self, name):
        return (self.ip(name), self.ports["front"])

    def start(self, name):
        role = name.split("-")[0]
        seeds = ",".join(f"{self.ip(c)}:{self.ports['control']}" for c in self.cores[:3])
        first = not os.path.exists(os.path.join(self.folder, name))
        data = os.path.join(self.folder, name)
        os.makedirs(data, exist_ok=True)
        values = {
            "nodeName": name, "zone": f"z{name.split('-')[1]}", "ip": self.ip(name),
            "internalPortRange.0": self.ports["internal"],
            "listen.control": f"{self.ip(name)}:{self.ports['control']}",
            "listen.frontend": f"{self.ip(name)}:{self.ports['front']}",
            "listen.readiness": f"{self.ip(name)}:{self.ports['ready']}",
            "seedNodes": seeds, "dataDir": data, "bootstrap": str(first).lower(),
            "faultTolerance.machines": 1, "bounds.maxHoldMs": BOUNDS["maxHoldMs"],
            "limits.fileDescriptors": 4096,
            # Nobody listens there: the queues of these cases ask for no advice.
            "advisor": f"{self.net}.200:8182"}
        with open(os.path.join(ROOT, "deploy", f"{role}.flags"), encoding="utf-8") as file:
            text = re.sub(r"\{\{([^}]*)\}\}", lambda m: str(values[m[1]]), file.read())
        path = os.path.join(self.folder, f"{name}.flags")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        program = os.path.join("target", "bin", f"jujube-{role}")
        if not os.access(os.path.join(ROOT, program), os.X_OK):
            raise CannotRun(f"{program} is not built")
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(
            [program], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                 "JUJUBEDYKE_CONFIG": path})
        self.record(f"start {name}")

    def start_all(self):
        for name in self.cores + self.fronts:
            self.start(name)

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def leader(self):
        """The core process that leads, from its metrics; None if none does."""
        for name in self.cores:
            if self.processes[name].poll() is not None:
                continue
            connection = http.client.HTTPConnection(self.ip(name), 9464, timeout=1)
            try:
                connection.request("GET", "/metrics")
                text = connection.getresponse().read().decode()
                if re.search(r"^is_leader\S* 1(\.0*)?$", text, re.M):
                    return name
            except OSError:
                pass
            finally:
                connection.close()
        return None

    def configure(self, document, within=15):
        """Sends a configuration as the operator does, until it is acknowledged."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            for at in self.controls():
                status, _ = call(at, "PUT", "/config", document, timeout=1.0)
                self.record(f"PUT /config version {document['version']} -> {status}")
                if status == 200:
                    return
                time.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes=None, maximum=None):
    return {
        "version": version,
        "routes": routes if routes is not None else [route("r-one", "/one/")],
        "services": [{"name": "yard", "healthPath": "/health", "maxConnections": 64,
                      "protocol": "h1", "tlsEnabled": False, "enforceCapacity": False,
                      "standby": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant", "apiKeys": ["key-of-tenant"], "priority": 1,
                     "weight": 30,
                     "maximum": maximum or {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def route(name, prefix):
    return {"name": name, "host": "desk.example", "pathPrefix": prefix,
            "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000,
            "priority": 1, "service": "yard", "maxAttempts": 4, "slackFactor": 2.2,
            "anonymous": False}


LASTS = "lasts"


def span_of(spec):
    """How long a task runs, in seconds; None if it runs until it is stopped."""
    return None if spec == LASTS else float(spec)


class Client:
    """Hands jobs in and asks for them, at any entry machine."""

    def __init__(self, cell, record, prefix="/one/"):
        self.cell, self.record, self.prefix = cell, record, prefix

    def ask(self, method, job, body=None):
        names = [n for n in self.cell.fronts if self.cell.processes[n].poll() is None]
        if not names:
            raise CannotRun("no entry machine runs")
        at = self.cell.front(random.choice(names))
        status, answer = call(at, method, self.prefix + job, body,
                              {"Host": "desk.example",
                               "Authorization": "Bearer key-of-tenant",
                               "Jujubedyke-Deadline-Ms": "3000"})
        self.record(f"client {method} {job} -> {status} {answer}")
        return status, answer

    def submit(self, steps, within=6, spec="1.0", **more):
        job = f"{random.getrandbits(64):016x}"
        until = time.monotonic() + within
        while time.monotonic() < until:
            status, _ = self.ask("POST", job, {"spec": spec, "phases": steps, **more})
            if status == 200:
                return job
            time.sleep(0.2)
        raise CannotRun("a job was not accepted")

    def pending(self):
        """The number that the queue gives; None without an answer."""
        status, answer = self.ask("GET", "")
        return answer["pending"] if status == 200 else None

    def state(self, job):
        status, answer = self.ask("GET", job)
        return answer["state"] if status == 200 else str(status)


class Runner:
    """One life of a runner, as PROTOCOL.md describes it."""

    def __init__(self, cell, record, name, number, durations=None, cpu=16000, port=None,
                 labels=None):
        self.cell, self.record, self.name = cell, record, name
        self.born = int(time.time() * 1000)
        self.capacity = {"cpu": cpu, "memMb": 65536, "gpu": 0}
        self.labels = labels or ["a", f"r{number}"]
        # By default the payload of a job says how long its tasks run.
        self.durations = durations
        self.began = time.monotonic() - 100
        self.sequence = 0
        # Heartbeats that were acknowledged.
        self.beats = 0
        self.state = "ready"
        self.drain_acked = None
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.ends = 0
        self.acked = 0
        self.lock = threading.Condition()
        self.is_dead = False
        # Leaves every call without an answer and does nothing, but sends its
        # heartbeats.
        self.is_hung = False
        self.starts = []
        self.sockets = set()
        self.server = self._serve(f"{cell.net}.{100 + number}", port or 0)
        self.address = self.server.server_address
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    # ---- Orders ----

    def _serve(self, ip, port):
        runner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                super().setup()
                runner.sockets.add(self.request)

            def finish(self):
                runner.sockets.discard(self.request)
                try:
                    super().finish()
                except OSError:
                    pass

            def log_message(self, *_):
                pass

            def do_GET(self):
                self.reply(200, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                while runner.is_hung and not runner.is_dead:
                    time.sleep(0.02)
                    if not self.is_open():
                        self.close_connection = True
                        return
                if runner.is_dead:
                    self.close_connection = True
                    return
                if self.headers["Jujubedyke-Expected-Instance"] != runner.name:
                    self.reply(421, {})
                    return
                status, answer = runner.handle(self.path, body)
                if runner.is_dead:
                    self.close_connection = True
                    return
                self.reply(status, {"clockMs": runner.clock(), "born": runner.born, **answer})

            def is_open(self):
                # False once the caller has closed the connection.
                try:
                    self.request.setblocking(False)
                    return self.request.recv(1, socket.MSG_PEEK) != b""
                except BlockingIOError:
                    return True
                except OSError:
                    return False
                finally:
                    self.request.setblocking(True)

            def reply(self, status, answer):
                text = json.dumps(answer).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(text)))
                    self.end_headers()
                    self.wfile.write(text)
                except OSError:
                    self.close_connection = True

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        until = time.monotonic() + 5
        while True:
            try:
                server = Server((ip, port), Handler)
                break
            except OSError as error:
                if time.monotonic() > until:
                    raise CannotRun(f"{ip} can't be bound") from error
                time.sleep(0.05)
        threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05},
                         daemon=True).start()
        return server

    def handle(self, path, body):
        with self.lock:
            if body.get("fencingToken", 0) < self.fence:
                return 409, {"reason": "fence"}
            self.fence = max(self.fence, body.get("fencingToken", 0))
            if path == "/run-start":
                return self._start(body)
            if path == "/run-stop":
                return self._stop(body)
            if path == "/hold":
                return self._hold(body)
            return 200, {}

    def _extend(self, until):
        self.lease_end = max(self.lease_end,
                             min(until, self.clock() + BOUNDS["maxHoldMs"]))

    def _start(self, body):
        task, attempt = body["task"], body["attempt"]
        status, reason = 200, None
        if body["expiresMs"] <= self.clock():
            status, reason = 409, "late"
        elif attempt <= self.highest.get(task, 0):
            self._extend(body["expiresMs"])
            status, reason = 409, "old"
        elif task not in self.running:
            self._extend(body["expiresMs"])
            span = self.durations(task) if self.durations else span_of(body["spec"])
            self.running[task] = [attempt, None if span is None else time.monotonic() + span]
            self.starts.append((self.record.now(), task, attempt))
        self.record(f"{self.name} run-start {task} attempt {attempt} -> {reason or status}")
        return status, {"reason": reason} if reason else {}

    def _stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if task in self.running and self.running[task][0] <= attempt:
            self._end(task, "stopped")
        self.record(f"{self.name} run-stop {task} attempt {attempt} -> 200")
        return 200, {}

    def _hold(self, body):
        if body["ackCursor"] > self.acked:
            self.acked = body["ackCursor"]
            self.record(f"{self.name} ackCursor {self.acked}")
        self.ended = [row for row in self.ended if row[0] > body["ackCursor"]]
        if "expiresMs" in body:
            self._extend(body["expiresMs"])
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ended and not self.is_dead and time.monotonic() < until:
            self.lock.wait(max(until - time.monotonic(), 0.001))
        rows = [[task, run[0], "", 100] for task, run in self.running.items()]
        return 200, {"running": rows, "finished": self.ended[:500]}

    def _end(self, task, how):
        attempt = self.running.pop(task)[0]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.ends += 1
        self.ended.append([self.ends, task, attempt, how, ""])
        self.record(f"{self.name} end {self.ends} {task} attempt {attempt} {how}")
        self.lock.notify_all()

    def _tick(self):
        while not self.is_dead:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for task, (_, due) in list(self.running.items()):
                    if self.clock() > self.lease_end:
                        self._end(task, "lapsed")
                    elif due is not None and now >= due:
                        self._end(task, "done")

    def is_running(self, task):
        with self.lock:
            return not self.is_dead and task in self.running

    # ---- Heartbeats ----

    def beat(self):
        """Sends one heartbeat, to the next node after a failure."""
        self.sequence += 1
        state = self.state
        body = {"service": "yard", "address": f"{self.address[0]}:{self.address[1]}",
                "zone": "z1", "version": "v1", "slots": 8, "state": state,
                "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels,
                "clockMs": self.clock(), "born": self.born, "sequence": self.sequence}
        if state == "draining":
            body["remainingMs"] = BOUNDS["drainMs"]
        for at in random.sample(self.cell.controls(), len(self.cell.cores)):
            status, _ = call(at, "PUT", f"/instances/{self.name}", body, timeout=1.0)
            if self.is_dead:
                return False
            if status == 200:
                self.beats += 1
                if state == "draining" and self.drain_acked is None:
                    self.drain_acked = self.record.now()
                    self.record(f"{self.name} draining acknowledged")
                return True
        return False

    def _beat(self):
        while not self.is_dead:
            self.beat()
            time.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends the runner and all that it runs; it does not come back."""
        with self.lock:
            self.is_dead = True
            self.record(f"{self.name} crashes, with {len(self.running)} tasks")
            self.running.clear()
            self.lock.notify_all()
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def wait_until_known(runners, within=15):
    """Waits until two heartbeats of each runner were acknowledged."""
    until = time.monotonic() + within
    while any(runner.beats < 2 for runner in runners):
        if time.monotonic() > until:
            raise CannotRun("the runners are not known")
        time.sleep(0.05)


# Exit codes of a case. run.sh translates them; any other one, such as that of an
# error in a script, means that the case could not run.
HELD, BROKEN, COULD_NOT_RUN = 10, 11, 12
# run.sh may take 120 s, with the time for ending the processes.
LIMIT_S = 115


def give_up(number, _):
    raise CannotRun(f"ended by {signal.Signals(number).name}")


def run_case(folder, case):
    """Runs a case and exits with one of the codes above."""
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, give_up)
    signal.alarm(LIMIT_S)
    record = Record(os.path.join(folder, "record.txt"))
    record(f"TROUBLE={int(TROUBLE)}")
    cell = None
    code = COULD_NOT_RUN
    try:
        cell = Cell(record)
        cell.start_all()
        code = BROKEN if case(cell, record) else HELD
    except Exception as error:  # An error of the script says nothing of the rule.
        record(f"could not run: {error!r}")
    finally:
        signal.alarm(0)
        if cell is not None:
            cell.close()
    record({HELD: "the rule held", BROKEN: "the rule was broken",
            COULD_NOT_RUN: "the case could not run"}[code])
    raise SystemExit(code)
