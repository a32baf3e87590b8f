#!/usr/bin/env python3
"""A stand-in worker of the users' platform, one process for one life of it.

It follows PROTOCOL.md: heartbeats, /run-start, /run-stop and /hold, leases on
its own clock, fencing tokens, numbered ends. It writes one JSON line for each
event to its log. The spec of a task is "ms=N", and "fail=1" makes it fail.
"""
import argparse
import http.client
import json
import signal
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

STOP_MS = 50
GANG_TIMEOUT_MS = 3000
MAX_ENDS_LISTED = 500


def now_ms():
    return time.monotonic_ns() // 1_000_000


class Worker:
    def __init__(self, args):
        self.args = args
        self.born = time.time_ns() // 1_000_000
        self.begin = now_ms() - args.clock_ms
        self.cond = threading.Condition()
        self.fence = 0
        self.lease_until = 0
        self.runs = {}  # (task, run) -> dict
        self.closed = {}  # task -> highest run that was stopped or has ended
        self.ends = []
        self.next_end = 1
        self.acked = 0
        self.seq = 0
        self.draining = False
        self.leaving_done = False
        self.log_file = open(args.log, "a", buffering=1)

    def clock(self):
        return now_ms() - self.begin

    def log(self, event, **fields):
        fields.update(at_ms=now_ms(), worker=self.args.id, event=event)
        self.log_file.write(json.dumps(fields) + "\n")

    def extend(self, until):
        limit = self.clock() + self.args.max_hold_ms
        self.lease_until = max(self.lease_until, min(until, limit))

    def refuse(self, headers, body):
        """Returns a response for another instance or an old fence, else None."""
        expected = headers.get("X-Expect-Instance", "")
        if expected and expected != self.args.id:
            return 421, {}
        fence = body.get("fenceToken", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        return None

    def start(self, headers, body):
        refused = self.refuse(headers, body)
        if refused:
            return refused
        key = (body["task"], body["run"])
        expires = body["expiresMs"]
        if key in self.runs:
            self.extend(expires)
            return 200, {}
        if self.closed.get(key[0], 0) >= key[1]:
            self.extend(expires)
            return 409, {"reason": "old"}
        if expires <= self.clock():
            return 409, {"reason": "late"}
        self.extend(expires)
        spec = dict(it.split("=") for it in body["spec"].split(";") if it)
        self.runs[key] = {
            "end": self.clock() + int(spec.get("ms", "1000")),
            "how": "failed" if spec.get("fail") == "1" else "done",
            "begin": self.clock(),
            "spec": body["spec"],
            "long": spec.get("long") == "1",
        }
        self.log("start", task=key[0], run=key[1], fence=body.get("fenceToken", 0))
        return 200, {}

    def stop(self, headers, body):
        refused = self.refuse(headers, body)
        if refused:
            return refused
        key = (body["task"], body["run"])
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        run = self.runs.get(key)
        self.log("stop", task=key[0], run=key[1], known=run is not None)
        if run:
            run["end"] = min(run["end"], self.clock() + STOP_MS)
            run["how"] = "stopped"
            run["long"] = False
        return 200, {}

    def hold(self, headers, body):
        refused = self.refuse(headers, body)
        if refused:
            return refused
        self.extend(body.get("expiresMs", 0))
        self.acked = max(self.acked, body.get("ackSeq", 0))
        self.forget()
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            self.cond.wait(until - time.monotonic())
        self.forget()
        running = []
        for (task, run), it in sorted(self.runs.items()):
            whole = max(1, it["end"] - it["begin"])
            percent = 100 if it["long"] else min(99, 100 * (self.clock() - it["begin"]) // whole)
            running.append([task, run, "", percent, 0])
        ended = [[n, task, run, how, ""] for n, task, run, how in self.ends[:MAX_ENDS_LISTED]]
        for it in self.ends[:MAX_ENDS_LISTED]:
            if it[0] > getattr(self, "listed", 0):
                self.listed = it[0]
                self.log("listed", task=it[1], run=it[2], how=it[3], end=it[0])
        return 200, {"running": running, "ended": ended, "born": self.born}

    def forget(self):
        for n, task, run, how in self.ends:
            if n <= self.acked:
                self.log("noted", task=task, run=run, how=how, end=n)
        self.ends = [it for it in self.ends if it[0] > self.acked]

    def end(self, key, how):
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        del self.runs[key]
        self.ends.append((self.next_end, key[0], key[1], how))
        self.next_end += 1
        self.log("end", task=key[0], run=key[1], how=how)
        self.cond.notify_all()

    def advance(self):
        while True:
            with self.cond:
                now = self.clock()
                lapsed = now > self.lease_until
                for key, it in list(self.runs.items()):
                    if lapsed:
                        self.end(key, "lapsed")
                    elif it["end"] <= now and not it["long"]:
                        self.end(key, it["how"])
            time.sleep(0.005)

    def heartbeat_body(self):
        self.seq += 1
        a = self.args
        body = {
            "service": a.service, "address": a.announced or f"{a.ip}:{a.port}", "zone": a.zone, "version": "v1", "slots": 8,
            "state": "draining" if self.draining else "ready", "coldLeftMs": 0,
            "capacity": {"cpu": a.cpu, "memMb": a.mem, "gpu": 0}, "labels": a.labels.split(","),
            "clockMs": self.clock(), "seq": self.seq, "born": self.born, "machine": "m-" + a.id,
        }
        if self.draining:
            body["remainingMs"] = a.remaining_ms
        return body

    def call(self, address, path, body):
        """Posts to a node of the system and returns (status, body); 0 without an answer."""
        ip, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(ip, int(port), timeout=1)
        try:
            connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except (OSError, ValueError, http.client.HTTPException):
            return 0, {}
        finally:
            connection.close()

    def beat(self):
        controllers = self.args.controllers.split(",")
        n = 0
        preferred = None
        time.sleep(self.args.first_beat_ms / 1000)
        while not self.leaving_done:
            with self.cond:
                body = self.heartbeat_body()
            acked = False
            for _ in range(len(controllers) + 1):
                address = preferred or controllers[n % len(controllers)]
                status, answer = self.call(address, "/Instances.Heartbeat/" + self.args.id, body)
                if 200 <= status < 300:
                    url = answer.get("heartbeatUrl", "")
                    if url:
                        preferred = url.split("://", 1)[-1].rstrip("/")
                    acked = True
                    if body["state"] == "draining":
                        self.log("draining_acked", by=address)
                    break
                preferred = None
                n += 1
            time.sleep(self.args.heartbeat_ms / 1000 if acked else 0.1)


def handler_of(worker):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        wbufsize = 1 << 16

        def do_POST(self):
            body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")
            calls = {"/run-start": worker.start, "/run-stop": worker.stop, "/hold": worker.hold}
            call = calls.get(self.path)
            if call is None:
                status, out = 404, {}
            else:
                with worker.cond:
                    status, out = call(self.headers, body)
                    out["clockMs"] = worker.clock()
            text = json.dumps(out).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)
            self.wfile.flush()

        def setup(self):
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def log_message(self, *_):
            pass

    return Handler


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


def run(kind, signals):
    """Runs a worker of this class. `signals` maps signals to functions of the worker."""
    parser = argparse.ArgumentParser()
    for name in ("id", "ip", "service", "zone", "labels", "controllers", "log"):
        parser.add_argument("--" + name, required=True)
    for name, value in (("port", 0), ("cpu", 32000), ("mem", 65536), ("heartbeat-ms", 1500), ("max-hold-ms", 10000),
                        ("clock-ms", 0), ("first-beat-ms", 0), ("remaining-ms", 4000)):
        parser.add_argument("--" + name, type=int, default=value)
    parser.add_argument("--announced", default="")  # Reported in place of the worker's own address.
    worker = kind(parser.parse_args())
    server = Server((worker.args.ip, worker.args.port), handler_of(worker))
    worker.log("up", born=worker.born)
    for number, action in signals.items():
        signal.signal(number, lambda *_, action=action: action(worker))
    threading.Thread(target=worker.advance, daemon=True).start()
    threading.Thread(target=worker.beat, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    run(Worker, {})
