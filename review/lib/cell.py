"""A small deployment on loopback: the programs of deploy/system.toml as separate
processes, with stand-ins for the platform, the operator and the clients."""
import asyncio
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
import tomllib

from ledger import Ledger
from record import Record
from runner import Runner
from wire import call

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ["zone-a", "zone-b", "zone-c"]
KEY = "key-of-tenant-1"
HOST = "desk.example"
PREFIX = "/plans/"
SERVICE = "desk"
CAPACITY = {"cpu": 16000, "memMb": 65536, "gpu": 0}
# Bounds of the small sites' pages.
FINISH_S = 14
DRAIN_MS = 2000
VISIBLE_MS = 3000
HELD = 0
BROKEN = 1
CANNOT_RUN = 2
# A case takes less than 120 s.
LIMIT_S = 115


class CannotRun(Exception):
    """The case could not be set up."""


def is_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def _lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part, "")
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(item) for item in value)
    return str(value)


def render(template, fields):
    """Fills in the placeholders {{a}}, {{a.b}} and {{a.0}}."""
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: _lookup(fields, match.group(1)), template)


class Process:
    def __init__(self, cell, name, words, settings):
        self.cell = cell
        self.name = name
        self._words = words
        self._settings = settings
        self.popen = None

    def start(self):
        if self.cell.has_ended:
            return
        log = open(os.path.join(self.cell.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["JUJUBEDYKE_CONFIG"] = self._settings
        self.popen = subprocess.Popen(self._words, cwd=ROOT, env=environment,
                                      stdout=log, stderr=log)
        log.close()
        self.cell.record.note(f"process {self.name} starts")

    def signal(self, number):
        self.cell.record.note(f"process {self.name} gets "
                              f"{signal.Signals(number).name}")
        self.popen.send_signal(number)

    def end(self):
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


class Cell:
    def __init__(self, folder_of_case):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.ledger = Ledger(self.record)
        self.folder = tempfile.mkdtemp(prefix="jujube-review-")
        self.cores = {}
        self.fronts = {}
        self.controls = []
        self.front_addresses = []
        self.runners = []
        self.version = 0
        self._shown = {}
        self.has_ended = False
        # A network of its own, so that addresses are free.
        self.network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self._ports = self._free_ports(5)

    def _free_ports(self, count):
        """Ports that are free on the loopback addresses of the processes."""
        sockets = []
        ports = []
        for _ in range(count):
            first = socket.socket()
            first.bind((f"{self.network}.1", 0))
            ports.append(first.getsockname()[1])
            sockets.append(first)
            for number in (2, 3, 11):
                it = socket.socket()
                it.bind((f"{self.network}.{number}", ports[-1]))
                sockets.append(it)
        for it in sockets:
            it.close()
        return ports

    # ---- processes ----

    def _fields(self, kind, number, zone):
        internal, control, client, readiness, _ = self._ports
        ip = f"{self.network}.{number}"
        return {
            "nodeName": f"{kind}-{zone}", "zone": zone, "ip": ip,
            "internalPortRange": [internal, internal],
            "listen": {"control": f"{ip}:{control}",
                       "frontend": f"{ip}:{client}",
                       "readiness": f"{ip}:{readiness}"},
            "seedNodes": self.controls, "advisor": "",
            "dataDir": os.path.join(self.folder, f"data-{zone}"),
            "bootstrap": True, "faultTolerance": {"machines": 1},
            "bounds": {"maxHoldMs": 10000},
            "limits": {"fileDescriptors": 4096}}

    def _process(self, kind, number, zone):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"][kind]
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            text = render(file.read(), self._fields(kind, number, zone))
        # Another port for the metrics, which other cells may use as well.
        text = text.replace("=9464", f"={self._ports[4]}")
        settings = os.path.join(self.folder, f"{kind}-{zone}.flags")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = role["run"].split()
        words[0] = os.path.join(ROOT, words[0])
        if not os.access(words[0], os.X_OK):
            raise CannotRun(f"{words[0]} is not built")
        return Process(self, f"{kind}-{zone}", words, settings)

    async def start(self, fronts=1):
        self.controls = [f"{self.network}.{k + 1}:{self._ports[1]}"
                         for k in range(len(ZONES))]
        for k, zone in enumerate(ZONES):
            os.mkdir(os.path.join(self.folder, f"data-{zone}"))
            self.cores[self.controls[k]] = self._process("core", k + 1, zone)
        for k, zone in enumerate(ZONES[:fronts]):
            self.fronts[zone] = self._process("front", k + 11, zone)
            self.front_addresses.append(
                f"{self.network}.{k + 11}:{self._ports[2]}")
        for process in [*self.cores.values(), *self.fronts.values()]:
            process.start()

    def end(self):
        self.has_ended = True
        for process in [*self.cores.values(), *self.fronts.values()]:
            process.end()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    async def leader(self):
        """The control address of the leader, as heartbeats name it."""
        for runner in self.runners:
            if runner.beat_address:
                return runner.beat_address
        raise CannotRun("no leader is known")

    # ---- runners ----

    async def add_runners(self, count, capacity=None, kinds=("a",)):
        for k in range(count):
            runner = Runner(
                self, f"i-{k:04x}{random.getrandbits(16):04x}",
                f"{self.network}.{k + 31}", SERVICE, ZONES[k % len(ZONES)],
                [kinds[k % len(kinds)], f"r1-{k // 8}"], capacity or CAPACITY)
            await runner.start()
            self.runners.append(runner)

    # ---- operator ----

    def configuration(self, routes=None, max_attempts=4):
        self.version += 1
        route = {"name": "r-plans", "host": HOST, "pathPrefix": PREFIX,
                 "kind": "non_idempotent", "timeoutMs": 3000,
                 "targetLatencyMs": 1000, "priority": 1, "service": SERVICE,
                 "maxAttempts": max_attempts, "slackFactor": 2.0,
                 "anonymous": False}
        spare = dict(route, name="r-spare", pathPrefix="/spare/")
        return {
            "version": self.version,
            "routes": [route, spare] if routes is None else
                      [it for it in (route, spare) if it["name"] in routes],
            "services": [{"name": SERVICE, "healthPath": "/health",
                          "maxConnections": 64, "protocol": "h1",
                          "tlsEnabled": False, "enforceCapacity": False,
                          "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t1", "apiKeys": [KEY], "priority": 1,
                         "weight": 50,
                         "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}]}

    async def put_configuration(self, config, within_s=15):
        """Sends the configuration until a node acknowledges it."""
        deadline = self.record.now() + within_s
        k = 0
        while self.record.now() < deadline:
            node = self.controls[k % len(self.controls)]
            k += 1
            self.record.note(f"operator: PUT /config to {node}: "
                             f"{json.dumps(config)}")
            answer = await call(node, "PUT", "/config", config)
            if answer and answer.status == 200:
                names = [it["name"] for it in config["routes"]]
                self.record.note(f"operator: version {config['version']} with "
                                 f"routes {names} is acknowledged")
                return
            if answer and 400 <= answer.status < 500:
                raise CannotRun(f"configuration refused: {answer.body}")
            await asyncio.sleep(0.2)
        raise CannotRun("no node acknowledges the configuration")

    # ---- clients ----

    async def client_call(self, method, path, body=None):
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}",
                   "Jujubedyke-Deadline-Ms": "3000"}
        return await call(self.front_addresses[0], method, path, body, headers,
                          timeout=3.2)

    async def submit(self, spec, steps, prefix=PREFIX):
        """Hands in a job; returns its id once it is accepted."""
        job = f"{random.getrandbits(64):016x}"
        body = {"spec": json.dumps(spec), "phases": steps}
        for _ in range(5):
            self.record.note(f"client: POST {prefix}{job}: {json.dumps(body)}")
            answer = await self.client_call("POST", prefix + job, body)
            status = answer.status if answer else None
            self.record.note(f"client: POST {job} answered {status}")
            if status == 200:
                return job
            await asyncio.sleep(0.3)
        raise CannotRun("the job is not accepted")

    async def state(self, job, prefix=PREFIX):
        """The state of a job, or the status if it is not 200."""
        answer = await self.client_call("GET", prefix + job)
        if answer is None:
            return None
        found = answer.json().get("state") if answer.status == 200 \
            else answer.status
        if self._shown.get(job) != found:
            self.record.note(f"client: GET {job} answered {found}")
        self._shown[job] = found
        return found

    async def pending(self, prefix=PREFIX):
        answer = await self.client_call("GET", prefix)
        found = answer.json().get("pending") if answer and \
            answer.status == 200 else None
        self.record.note(f"client: GET {prefix} answered pending {found}")
        return found

    async def wait_state(self, job, wanted, within_s, prefix=PREFIX):
        deadline = self.record.now() + within_s
        while self.record.now() < deadline:
            if await self.state(job, prefix) == wanted:
                return True
            await asyncio.sleep(0.25)
        return False

    # ---- readiness ----

    async def settle(self, runners, **options):
        """Starts all, stores the first configuration and waits until a job of
        each runner's size is served."""
        await self.start()
        await self.put_configuration(self.configuration())
        await self.add_runners(runners, **options)
        await asyncio.sleep(2.5)
        job = await self.submit({"ms": 100}, [step(1)])
        if not await self.wait_state(job, "completed", 10):
            raise CannotRun("a first job is not completed")


def step(count, **fields):
    return {"count": count, "cpu": 1000, "memMb": 256, "estimatedMs": 500,
            **fields}


def main(folder_of_case, case):
    """Runs a case, a coroutine function of the cell that returns True if the
    rule was broken, and exits with the code that the script promises."""
    cell = Cell(folder_of_case)

    lock = threading.Lock()

    def finish(code, verdict):
        lock.acquire()
        cell.record.note(verdict)
        print(verdict, flush=True)
        cell.end()
        # Ends at once: nothing waits for the tasks of the stand-ins.
        os._exit(code)

    async def run():
        try:
            is_broken = await asyncio.wait_for(case(cell), LIMIT_S)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            finish(CANNOT_RUN, f"the case cannot run: {error!r}")
        except BaseException as error:
            finish(CANNOT_RUN, f"the script has failed: {error!r}")
        if is_broken:
            finish(BROKEN, "the rule is broken")
        finish(HELD, "the rule held")

    # So that the processes are ended if the script is.
    signal.signal(signal.SIGTERM,
                  lambda *_: finish(CANNOT_RUN, "the script was ended"))
    watchdog = threading.Timer(LIMIT_S + 2, finish,
                               (CANNOT_RUN, "the script took too long"))
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(run())
