"""Starts the system's programs and stand-ins on loopback addresses, and records what they do."""
import atexit
import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = os.path.join(ROOT, "target", "bin", "cranberryshunt")
HOST = "jobs.example"
SERVICE = "windreport"
CONTROL, FRONT, READY, PEER = 8166, 8161, 8167, 7720
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115


def now_ms():
    return time.monotonic_ns() // 1_000_000


class CannotRun(Exception):
    pass


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def die_with_parent():
    """Runs in a new process: it is killed when the script ends in any way."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Advice(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 1 << 16

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")
        text = json.dumps({"allowed": [[it, "t"] for it in body.get("workers", [])]}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def log_message(self, *_):
        pass


class Rig:
    def __init__(self, case, controllers=5, entries=2):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the deploy build is missing: " + PROGRAM)
        self.case = case
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.workers = {}
        self.record_lines = []
        self.lock = threading.Lock()
        self.begin = now_ms()
        self.stop_events = threading.Event()
        atexit.register(self.close)
        for it in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(it, lambda *_: sys.exit(2))
        signal.signal(signal.SIGALRM, self.time_out)
        signal.alarm(LIMIT_S)
        self.net = self.find_net()
        self.advice = ThreadingHTTPServer((self.ip(200), 8169), Advice)
        threading.Thread(target=self.advice.serve_forever, daemon=True).start()
        self.controllers = [f"core-{n}" for n in range(controllers)]
        self.entries = [f"front-{n}" for n in range(entries)]
        self.peers = {}
        for n, it in enumerate(self.controllers):
            self.peers[it] = self.ip(1 + n)
        for n, it in enumerate(self.entries):
            self.peers[it] = self.ip(21 + n)

    def time_out(self, *_):
        self.note("the case took too long")
        sys.exit(2)

    def find_net(self):
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(0, 250)}"
            try:
                for n in (1, 200):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{n}", CONTROL))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self, n):
        return f"{self.net}.{n}"

    def note(self, text):
        line = f"{now_ms() - self.begin:7d} ms  {text}"
        with self.lock:
            self.record_lines.append((now_ms(), line))
        print(line, flush=True)

    # Settings as DEPLOY.md describes them, with the bounds of ssk-wind.
    def write_settings(self, name, bootstrap):
        ip = self.peers[name]
        core = name.startswith("core")
        seeds = ",".join(f'"{self.peers[it]}:{CONTROL}"' for it in self.controllers[:3])
        text = f'nodeName = "{name}"\nrole = "{"controller" if core else "entry"}"\n'
        text += f'machineClass = "{"core" if core else "front"}"\nip = "{ip}"\nzone = "mooloolaba"\nregion = "sunshine"\n'
        text += f'portRange = [{PEER},{PEER + 15}]\nseeds = [{seeds}]\nbootstrap = {"true" if bootstrap else "false"}\n'
        text += f'heartbeatMs = 1500\norders = "rpc"\nadvice = "{self.ip(200)}:8169"\n'
        if core:
            text += f'dataDir = "{self.folder}/data-{name}"\n'
        text += "[listen]\n"
        text += f'control = "{ip}:{CONTROL}"\n' if core else f'front = "{ip}:{FRONT}"\nreadyAddr = "{ip}:{READY}"\n'
        text += f"[tolerate]\nmachines = {(len(self.controllers) - 1) // 2}\nzones = 0\nregions = 0\n"
        text += "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 2500\n"
        text += "graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2500\nmaxHoldMs = 10000\nstopMs = 400\n"
        text += "gangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\nfarX = 3\n"
        path = f"{self.folder}/{name}.toml"
        with open(path + ".new", "w") as out:
            out.write(text)
        os.replace(path + ".new", path)
        return path

    def start(self, name, bootstrap=False):
        if name.startswith("core"):
            os.makedirs(f"{self.folder}/data-{name}", exist_ok=True)
        path = self.write_settings(name, bootstrap)
        command = "platform-controller" if name.startswith("core") else "platform-entry"
        log = open(f"{self.folder}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [PROGRAM, command], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL, preexec_fn=die_with_parent,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C",
                 "CRANBERRYSHUNT_SETTINGS": path})

    def signal(self, name, number):
        self.note(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def start_worker(self, n, labels=None, quiet=False, program="worker.py", **options):
        known = self.workers.setdefault(n, {"labels": labels or f"a,r-{n // 8}", "options": options})
        name = f"worker-{n}"
        args = {"id": f"i-{n:04}", "ip": self.ip(100 + n), "port": 8080, "service": SERVICE, "zone": "mooloolaba",
                "labels": known["labels"], "controllers": ",".join(f"{self.peers[it]}:{CONTROL}" for it in self.controllers),
                "log": f"{self.folder}/{name}.events"}
        args.update(known["options"])
        command = [sys.executable, os.path.join(HERE, program)]
        for key, value in args.items():
            command += ["--" + key.replace("_", "-"), str(value)]
        log = open(f"{self.folder}/{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                                preexec_fn=die_with_parent)
        if not quiet:
            self.note(f"{name} starts")

    def events(self):
        """Returns what the workers logged, by time."""
        out = []
        for name in sorted(os.listdir(self.folder)):
            if name.endswith(".events"):
                with open(f"{self.folder}/{name}") as lines:
                    for line in lines:
                        if line.endswith("\n"):
                            out.append(json.loads(line))
        out.sort(key=lambda it: it["at_ms"])
        return out

    def call(self, address, method, path, body=None, timeout=3.5, headers=None):
        ip, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
        text = None if body is None else json.dumps(body)
        sent = {"Host": HOST, "Content-Type": "application/json"}
        sent.update(headers or {})
        try:
            connection.request(method, path, text, sent)
            response = connection.getresponse()
            data = response.read()
            return response.status, json.loads(data or b"{}"), dict(response.getheaders())
        except (OSError, ValueError, http.client.HTTPException):
            return 0, {}, {}
        finally:
            connection.close()

    def client(self, method, path, body=None, entry=None, quiet=False):
        """A client's call; without an entry, each in turn until one answers otherwise than with 502, 503 or 504."""
        names = [entry] if entry else self.entries
        status, answer = 0, {}
        for name in names:
            status, answer, _ = self.call(f"{self.peers[name]}:{FRONT}", method, path, body,
                                          headers={"X-Deadline-Ms": "3000"})
            if not quiet:
                self.note(f"client: {method} {path} to {name} -> {status} {json.dumps(answer)}")
            if status not in (0, 502, 503, 504):
                break
        return status, answer

    def submit(self, path, body, limit_s=20):
        """Sends a job until it is accepted, as clients do."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _ = self.client("POST", path, body)
            if 200 <= status < 300:
                return True
            time.sleep(0.5)
        return False

    def state(self, path, quiet=True):
        status, answer = self.client("GET", path, quiet=quiet)
        return answer.get("state", "") if status == 200 else f"status {status}"

    def put_config(self, routes, version=1, services=(SERVICE,), limit_s=25, **extra):
        table = {"version": version, "routes": [], "services": [
            {"name": it, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
             "enforcesCapacity": False, "standby": False} for it in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        for it in routes:
            route = {"name": it["name"], "host": HOST, "pathPrefix": f"/{it['name']}/", "kind": "unsafe",
                     "timeoutMs": 3000, "targetLatencyMs": 3000, "priority": 1, "service": SERVICE,
                     "maxAttempts": 4, "stretch": 4.0}
            route.update(it)
            table["routes"].append(route)
        table.update(extra)
        until = time.monotonic() + limit_s
        n = 0
        while time.monotonic() < until:
            address = f"{self.peers[self.controllers[n % len(self.controllers)]]}:{CONTROL}"
            status, _, headers = self.call(address, "POST", "/Config.Put", table)
            for _ in range(2):
                if status == 307:
                    location = headers["Location"].split("://", 1)[1]
                    address, path = location.split("/", 1)
                    status, _, headers = self.call(address, "POST", "/" + path, table)
            if status == 200:
                self.note(f"operator: configuration {version} is acknowledged")
                return
            n += 1
            time.sleep(0.3)
        raise CannotRun("no configuration was acknowledged")

    def leader(self):
        """Returns the controller that answers a read of the configuration itself."""
        for name in self.controllers:
            process = self.processes.get(name)
            if process is None or process.poll() is not None:
                continue
            if self.call(f"{self.peers[name]}:{CONTROL}", "GET", "/Config.Get", timeout=1)[0] == 200:
                return name
        return None

    def bring_up(self, routes):
        for it in self.controllers:
            self.start(it, bootstrap=True)
        for it in self.entries:
            self.start(it, bootstrap=True)
        self.put_config(routes)
        until = time.monotonic() + 15
        while time.monotonic() < until:
            ready = [self.call(f"{self.peers[it]}:{READY}", "GET", "/readiness", timeout=1)[0] == 200
                     for it in self.entries]
            if all(ready):
                break
            time.sleep(0.2)
        else:
            raise CannotRun("the entries did not become ready")
        self.note("the system is up")

    def wait(self, condition, limit_s, pause=0.05):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(pause)
        return False

    def crash_worker(self, n):
        self.signal(f"worker-{n}", signal.SIGKILL)

    def finish(self, broken, text):
        self.note(("RULE BROKEN: " if broken else "held: ") + text)
        self.write_record()
        sys.exit(1 if broken else 0)

    def write_record(self):
        lines = list(self.record_lines)
        for it in self.events():
            if it["event"] in ("start", "stop", "end", "listed", "noted", "up", "draining", "draining_acked", "deregisters",
                               "deregistration_answered", "deregistration_not_answered", "left"):
                rest = " ".join(f"{k}={v}" for k, v in it.items() if k not in ("at_ms", "event", "worker"))
                lines.append((it["at_ms"], f"{it['at_ms'] - self.begin:7d} ms  {it['worker']}: {it['event']} {rest}"))
        lines.sort(key=lambda it: it[0])
        name = "record.txt"
        folder = os.environ.get("RECORD_FOLDER", os.path.join(ROOT, "review", self.case))
        with open(os.path.join(folder, name), "w") as out:
            out.write("\n".join(it[1] for it in lines) + "\n")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGKILL)
                except OSError:
                    pass
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case, body, **options):
    try:
        rig = Rig(case, **options)
        body(rig)
    except CannotRun as error:
        print("cannot run:", error, flush=True)
        sys.exit(2)
