"""A small deployment on loopback addresses for the scripts of this review.

Starts the project's own programs with the commands of the deploy file, and
provides stand-ins for workers, the operator and clients that follow the pages
of the platform. Everything that is sent, answered and run goes to record.txt.
"""
import asyncio
import ctypes
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL_PORT = 8166
FRONT_PORT = 8161
READY_PORT = 8167
PORT_RANGE = (7720, 7735)
WORKER_PORT = 8300
HOST = "jobs.example"

# Values of the site ssk-wind (SYSTEM.md).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 2500, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "maxStretchMs": 6000, "recoveryS": 12,
    "maxHoldMs": 10000, "stopMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "farX": 3, "checkpointS": 1, "restoreMs": 600, "noticeMs": 5500, "moveS": 1.5,
    "maintenanceS": 2, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
}
HEARTBEAT_S = 1.5


def deploy_command(role):
    """Returns the words of `run` of a role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        match = re.search(rf'^\[roles\.{role}\]\s+run = "([^"]+)"', file.read(), re.MULTILINE)
    if match is None:
        raise CannotRun(f"the deploy file has no role {role}")
    return match.group(1).split()


PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Lets the kernel end this process when the script ends, however that happens."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def choose_network():
    """Returns the first three numbers of loopback addresses on which the ports of a cell are free."""
    ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, WORKER_PORT, *range(PORT_RANGE[0], PORT_RANGE[1] + 1)]
    for _ in range(20):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free ports")


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns (first line, headers, body) of an HTTP message, or None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("message cut short") from error
        return None
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


async def http_call(address, method, path, body=None, headers=None, timeout=1.0, source=None):
    """Returns (status, headers, body), or None if there was no complete response."""
    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port), local_addr=(source, 0) if source else None)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Content-Type: application/json",
                     "Connection: close"]
            lines += [f"{name}: {value}" for name, value in ({"Host": address} | (headers or {})).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            return int(message[0].split()[1]), message[1], message[2]
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def reset(writer):
    """Closes a connection with a reset instead of an orderly end."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Worker:
    """A worker that follows PROTOCOL.md, "Running tasks" and "Service discovery"."""

    def __init__(self, cell, n, ip, kind="a"):
        self.cell = cell
        self.n = n
        self.id = f"i-{n:04d}"
        self.address = f"{ip}:{WORKER_PORT + n}"
        self.labels = [kind, f"r-{n // 8}"]
        self.cpu = 32000
        self.memory = 65536
        self.server = None
        self.heartbeats = None
        self.url = None
        # Called with (path, body) of each order; returns "pass", a status to refuse the order with, or "reset" to carry
        # it out and reset the connection, or "cut" to carry it out and cut the worker off before it answers.
        self.on_order = lambda path, body: "pass"
        self.cut_off = False
        self.connections = set()

    async def start(self):
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.sequence = 0
        self.runs = {}
        self.closed_runs = {}
        self.ends = []
        self.next_end = 1
        self.acked = 0
        self.up = True
        self.ended = asyncio.Event()
        await self.listen()
        self.heartbeats = asyncio.create_task(self.send_heartbeats())
        self.clock_task = asyncio.create_task(self.run_clock())
        self.cell.record.write("worker-up", worker=self.id, address=self.address, born=self.born)

    async def listen(self):
        ip, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def close_server(self):
        self.server.close()
        for writer in list(self.connections):
            reset(writer)
        self.connections.clear()

    async def cut(self, seconds):
        """Cuts the worker off from all machines: open connections are reset, new ones refused. Its runs go on."""
        self.cell.record.write("cut", worker=self.id, for_s=seconds)
        self.cut_off = True
        await self.close_server()
        await asyncio.sleep(seconds)
        if self.up:
            await self.listen()
            self.cut_off = False
            self.cell.record.write("cut-ends", worker=self.id)

    async def crash(self):
        """Ends the worker at once; it holds and knows nothing afterwards."""
        self.up = False
        self.heartbeats.cancel()
        self.clock_task.cancel()
        await self.close_server()
        for key in list(self.runs):
            self.cell.on_run_end(self, key, "crashed")
        self.runs.clear()
        self.cell.record.write("worker-down", worker=self.id)

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    async def run_clock(self):
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            lapsed = now > self.lease_until
            for key, run in list(self.runs.items()):
                if lapsed:
                    self.end(key, "lapsed")
                elif run["end"] <= now:
                    self.end(key, run["how"])

    def end(self, key, how):
        del self.runs[key]
        self.closed_runs[key[0]] = max(self.closed_runs.get(key[0], 0), key[1])
        self.ends.append([self.next_end, key[0], key[1], how, ""])
        self.next_end += 1
        self.cell.on_run_end(self, key, how)
        self.ended.set()

    async def send_heartbeats(self):
        while True:
            if not self.cut_off:
                await self.send_heartbeat("ready")
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self, state):
        self.sequence += 1
        body = {"service": self.cell.service, "address": self.address, "zone": "zone-a", "version": "v1", "slots": 8,
                "state": state, "coldLeftMs": 0, "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0},
                "labels": self.labels, "clockMs": self.clock(), "seq": self.sequence, "born": self.born}
        ip = self.address.rsplit(":", 1)[0]
        targets = ([self.url] if self.url else []) + random.sample(self.cell.controls, len(self.cell.controls))
        self.url = None
        for address in targets:
            for _ in range(3):
                answer = await http_call(address, "POST", f"/Instances.Heartbeat/{self.id}", body, source=ip)
                if answer is None or answer[0] != 307:
                    break
                address = answer[1]["location"].split("/")[2]
            if answer is not None and answer[0] == 200:
                url = json.loads(answer[2]).get("heartbeatUrl", "")
                self.url = url.split("/")[2] if url else None
                return True
        return False

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, data = message
                path = line.split()[1]
                body = json.loads(data) if data else {}
                status, reply = await self.handle(path, headers, body, writer)
                if status is None:
                    return
                text = json.dumps(reply | {"clockMs": self.clock(), "born": self.born}).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, json.JSONDecodeError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, path, headers, body, writer):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        action = self.on_order(path, body)
        if isinstance(action, int):
            self.cell.record.write("answer", worker=self.id, path=path, task=body.get("task"), run=body.get("run"),
                                   status=action)
            return action, {}
        if body.get("fenceToken", 0) < self.fence:
            status, reply = 409, {"reason": "fence"}
        else:
            self.fence = body.get("fenceToken", 0)
            status, reply = await getattr(self, {"/run-start": "run_start", "/run-stop": "run_stop",
                                                 "/hold": "hold"}.get(path, "unknown"))(body)
        if path != "/hold" or action != "pass":
            self.cell.record.write("answer", worker=self.id, path=path, task=body.get("task"), run=body.get("run"),
                                   status=status, reason=reply.get("reason", ""), lost=action in ("reset", "cut"))
        if action in ("reset", "cut"):
            reset(writer)
            return None, None
        return status, reply

    async def unknown(self, body):
        return 404, {}

    def extend_lease(self, until):
        self.lease_until = max(self.lease_until, min(until, self.clock() + BOUNDS["maxHoldMs"]))

    async def run_start(self, body):
        key = (body["task"], body["run"])
        if key in self.runs:
            return 200, {}
        if self.closed_runs.get(key[0], 0) >= key[1]:
            self.extend_lease(body["expiresMs"])
            return 409, {"reason": "old"}
        if body["expiresMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend_lease(body["expiresMs"])
        self.runs[key] = {"end": self.clock() + json.loads(body["spec"])["run_ms"], "how": "done"}
        self.cell.on_run_start(self, key)
        return 200, {}

    async def run_stop(self, body):
        key = (body["task"], body["run"])
        self.closed_runs[key[0]] = max(self.closed_runs.get(key[0], 0), key[1])
        if key in self.runs:
            run = self.runs[key]
            run["end"] = min(run["end"], self.clock() + BOUNDS["stopMs"] // 2)
            run["how"] = "stopped"
        return 200, {}

    async def hold(self, body):
        if "expiresMs" in body:
            self.extend_lease(body["expiresMs"])
        for it in self.ends:
            if self.acked < it[0] <= body["ackSeq"]:
                self.cell.on_end_noted(self, (it[1], it[2]), it[3])
        self.acked = max(self.acked, body["ackSeq"])
        self.ends = [it for it in self.ends if it[0] > self.acked]
        if not self.ends and body.get("waitMs", 0) > 0:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[key[0], key[1], "", 0, 0] for key in self.runs]
        return 200, {"running": running, "ended": self.ends[:500]}


class Cell:
    """The programs, the workers, and what the checks need to know of them."""

    def __init__(self, folder, controllers=3, entries=2, workers=10):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.net = choose_network()
        self.service = "fleet"
        self.core_ips = [f"{self.net}.{1 + n}" for n in range(controllers)]
        self.front_ips = [f"{self.net}.{20 + n}" for n in range(entries)]
        self.controls = [f"{ip}:{CONTROL_PORT}" for ip in self.core_ips]
        self.workers = [Worker(self, n, f"{self.net}.{100 + n}") for n in range(workers)]
        self.processes = {}
        self.version = 0
        self.violations = []
        self.running = {}
        self.done = {}
        self.ends_noted = {}
        self.failed_ends = {}
        self.client_source = f"{self.net}.250"

    # What workers saw.

    def on_run_start(self, worker, key):
        self.record.write("run-begins", task=key[0], run=key[1], worker=worker.id)
        others = self.running.setdefault(key[0], {})
        for (other, run) in others:
            if other.up and run != key[1]:
                self.violate(f"TWICE: {key[0]} run {key[1]} begins on {worker.id} while run {run} runs on {other.id}")
        others[(worker, key[1])] = self.record.now()

    def on_run_end(self, worker, key, how):
        self.record.write("run-ends", task=key[0], run=key[1], worker=worker.id, how=how)
        self.running.get(key[0], {}).pop((worker, key[1]), None)
        if how == "failed":
            self.failed_ends[key[0]] = self.failed_ends.get(key[0], 0) + 1
        if how == "done":
            self.done[key[0]] = key[1]

    def on_end_noted(self, worker, key, how):
        self.record.write("end-noted", task=key[0], run=key[1], worker=worker.id, how=how)

    def violate(self, text):
        self.violations.append(text)
        self.record.write("RULE-BROKEN", what=text)

    # Programs.

    def settings(self, name, ip, role, seeds, bootstrap, tail, port_range=PORT_RANGE):
        text = (f'nodeName = "{name}"\nrole = "{role}"\nip = "{ip}"\nzone = "zone-a"\nregion = "region-a"\n'
                f"portRange = [{port_range[0]},{port_range[1]}]\n"
                f"seeds = {json.dumps(seeds)}\nbootstrap = {json.dumps(bootstrap)}\ninTolerance = "
                f"{json.dumps(role == 'controller')}\n"
                'discovery = "registry"\nentry = "vip"\nheartbeatMs = 1500\n'
                'contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]\n'
                f'config_mode = "highest"\norders = "rpc"\nadvice = "{self.net}.251:8169"\n{tail}'
                '[zones]\nzone-a = "region-a"\n'
                f"[tolerate]\nmachines = {(len(self.core_ips) - 1) // 2}\nzones = 0\nregions = 0\n[bounds]\n"
                + "".join(f"{key} = {value}\n" for key, value in BOUNDS.items()) + "enforceFencing = true\n")
        path = os.path.join(self.temp, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start_process(self, name, role, path):
        log = open(os.path.join(self.temp, name + ".log"), "a", encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CRANBERRYSHUNT_SETTINGS"] = path
        self.processes[name] = subprocess.Popen(deploy_command(role), cwd=ROOT, env=environment, stdout=log,
                                                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
                                                preexec_fn=end_with_parent)
        self.record.write("process-start", name=name, pid=self.processes[name].pid)

    def start_controller(self, n, bootstrap=True):
        name = f"core-{n}"
        data = os.path.join(self.temp, "data-" + name)
        os.makedirs(data, exist_ok=True)
        tail = f'dataDir = "{data}"\n[listen]\ncontrol = "{self.controls[n]}"\n'
        path = self.settings(name, self.core_ips[n], "controller", self.controls[:3], bootstrap, tail)
        self.start_process(name, "controller", path)

    def start_entry(self, n, seeds=None, port_range=PORT_RANGE):
        name = f"front-{n}"
        tail = (f'[listen]\nfront = "{self.front_ips[n]}:{FRONT_PORT}"\n'
                f'readyAddr = "{self.front_ips[n]}:{READY_PORT}"\n')
        path = self.settings(name, self.front_ips[n], "entry", seeds or self.controls[:3], True, tail, port_range)
        self.start_process(name, "entry", path)

    async def start(self, queues, entry_options=None):
        binary = deploy_command("controller")[0]
        if not os.path.exists(os.path.join(ROOT, binary)):
            raise CannotRun(binary + " is not built")
        for n in range(len(self.core_ips)):
            self.start_controller(n)
        for n in range(len(self.front_ips)):
            self.start_entry(n, **(entry_options or {}))
        for worker in self.workers:
            await worker.start()
        await self.publish(queues)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            ready = [await http_call(f"{ip}:{READY_PORT}", "GET", "/readiness") for ip in self.front_ips]
            if all(it is not None and it[0] == 200 for it in ready):
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRun("the entries did not become ready")
        await asyncio.sleep(3)

    async def publish(self, queues, within_s=20):
        self.version += 1
        body = {"version": self.version, "routes": queues,
                "services": [{"name": self.service, "healthPath": "/health", "maxConns": 64, "protocol": "h1",
                              "tls": False, "enforcesCapacity": False, "standby": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000}}
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            for address in self.controls:
                for _ in range(3):
                    answer = await http_call(address, "POST", "/Config.Put", body, timeout=2)
                    if answer is None or answer[0] != 307:
                        break
                    address = answer[1]["location"].split("/")[2]
                if answer is not None and answer[0] == 200:
                    self.record.write("config-acked", version=self.version)
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("no configuration was acknowledged")

    async def find_leader(self):
        for n, address in enumerate(self.controls):
            answer = await http_call(address, "GET", "/Config.Get")
            if answer is not None and answer[0] == 200:
                return n
        return None

    def route(self, name, target_ms, priority, stretch, attempts=4):
        return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": "unsafe", "timeoutMs": 3000,
                "targetLatencyMs": target_ms, "priority": priority, "service": self.service, "maxAttempts": attempts,
                "stretch": stretch}

    # Clients.

    async def call(self, entry, method, path, body=None):
        answer = await http_call(f"{self.front_ips[entry]}:{FRONT_PORT}", method, path, body,
                                 {"Host": HOST, "X-Deadline-Ms": 3000}, timeout=3.0, source=self.client_source)
        self.record.write("call", method=method, path=path, entry=entry,
                          status=answer[0] if answer else "none",
                          body=answer[2].decode("latin-1")[:120] if answer else "")
        return answer

    async def submit(self, queue, job_id, steps, spec, retries=4):
        """Hands a job in. Returns the final status, or None if no attempt got a clear answer."""
        entry = random.randrange(len(self.front_ips))
        for _ in range(1 + retries):
            answer = await self.call(entry, "POST", f"/{queue}/{job_id}", {"spec": json.dumps(spec), "steps": steps})
            if answer is not None and answer[0] not in (502, 504):
                return answer[0]
            entry = (entry + 1) % len(self.front_ips)
            await asyncio.sleep(0.1)
        return None

    async def state(self, queue, job_id):
        for entry in range(len(self.front_ips)):
            answer = await self.call(entry, "GET", f"/{queue}/{job_id}")
            if answer is not None and answer[0] == 200:
                return json.loads(answer[2])["state"]
            if answer is not None and answer[0] == 410:
                return "gone"
        return None

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def new_id():
    return f"{random.getrandbits(64):016x}"


def play(folder, make_cell, scenario, trouble):
    """Runs a scenario within 120 seconds and returns the exit status of the script."""
    # Ends the processes also when the script is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        cell = make_cell(folder)
    except CannotRun as error:
        print("the case could not run:", error)
        return 2

    async def run():
        try:
            await asyncio.wait_for(scenario(cell, trouble), 110)
        finally:
            for worker in cell.workers:
                if worker.server is not None and worker.up:
                    await worker.crash()
    try:
        asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        cell.record.write("cannot-run", why=repr(error))
        print("the case could not run:", repr(error))
        return 2
    finally:
        cell.stop()
    for text in cell.violations[:5]:
        print(text)
    print(f"{len(cell.violations)} breaks")
    return 1 if cell.violations else 0
