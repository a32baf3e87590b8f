#!/usr/bin/env python3
"""A stand-in worker that leaves.

On SIGUSR1 it reports `draining`; on SIGUSR2 it sends its deregistration on the connection of its heartbeats. With an
acknowledgement it ends at once; without one it works on and ends 3 s later, as PROTOCOL.md allows.
"""
import http.client
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import worker as w  # noqa: E402

ENDS_ANYWAY_S = 3.0


class LeavingWorker(w.Worker):
    connection = None
    deregister = threading.Event()
    beat_now = threading.Event()

    def send(self, path, body):
        """Posts on the kept connection and returns the status; 0 without an answer within a second."""
        ip, port = self.args.controllers.split(",")[0].rsplit(":", 1)
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(ip, int(port), timeout=1)
            self.connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json"})
            response = self.connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            self.connection = None
            return 0

    def beat(self):
        while not self.deregister.is_set():
            with self.cond:
                body = self.heartbeat_body()
            status = self.send("/Instances.Heartbeat/" + self.args.id, body)
            if status == 200 and body["state"] == "draining":
                self.log("draining_acked")
            self.beat_now.wait(self.args.heartbeat_ms / 1000 if status == 200 else 0.1)
            self.beat_now.clear()
        begin = time.monotonic()
        self.log("deregisters")
        status = self.send("/Instances.Deregister/" + self.args.id, {"born": self.born})
        self.log("deregistration_answered" if status == 200 else "deregistration_not_answered", status=status)
        if status != 200:
            time.sleep(max(0.0, ENDS_ANYWAY_S - (time.monotonic() - begin)))
        with self.cond:
            for task, run in list(self.runs):
                self.log("end", task=task, run=run, how="ended with the worker")
            self.log("left")
            os._exit(0)


def main():
    def drain(worker):
        worker.draining = True
        worker.log("draining")
        worker.beat_now.set()

    def leave(worker):
        worker.deregister.set()
        worker.beat_now.set()

    w.run(LeavingWorker, {signal.SIGUSR1: drain, signal.SIGUSR2: leave})


if __name__ == "__main__":
    main()
