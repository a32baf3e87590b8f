"""A controller is replaced; while a second one is down, the replaced one keeps its vote, and the loss of a third ends the cell."""
import os
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-3"))
import rig as r  # noqa: E402

# From the loss of the first controller. Its successor has had catchUpS (4 s) at 4.2 s.
SUCCESSOR_S = 0.2
SECOND_S = 0.3
SECOND_DOWN_S = 7.0
THIRD_S = 6.0
THIRD_DOWN_S = 2.0
RECOVERY_S = 12.0
WATCHED_S = 30.0
JOBS = [f"5c0e7a21d94b36f{n}" for n in range(4)]


def submit(rig, jobs):
    step = {"count": 2, "cpu": 2000, "memMb": 3600, "estimateMs": 2200}
    for it in jobs:
        if not rig.submit("/gust-refresh/" + it, {"spec": "ms=2200", "steps": [step]}):
            raise r.CannotRun("a job was not accepted")


def lose(rig, name, text):
    rig.signal(name, signal.SIGKILL)
    shutil.rmtree(f"{rig.folder}/data-{name}")
    rig.note(f"{name} {text}")


def body(rig):
    rig.bring_up([{"name": "gust-refresh"}])
    for n in range(8):
        rig.start_worker(n, quiet=True)
    time.sleep(3)
    submit(rig, JOBS[:2])
    leader = rig.leader()
    first, second, third = [it for it in rig.controllers if it != leader][:3]
    rig.peers["core-5"] = rig.ip(6)
    begin = time.monotonic()

    def sleep_until(s):
        time.sleep(max(0.0, begin + s - time.monotonic()))

    if r.TROUBLE:
        lose(rig, first, "is gone for good")
        sleep_until(SUCCESSOR_S)
        rig.start("core-5")
        rig.note("core-5 starts with an empty disk, as its successor")
        sleep_until(SECOND_S)
        lose(rig, second, "has lost power and its disk")
        sleep_until(THIRD_S - 1)
        rig.note("the successor has run for 4.8 s; catchUpS is 4 s")
        submit(rig, JOBS[2:])
        sleep_until(THIRD_S)
        lose(rig, third, "has lost power and its disk")
        sleep_until(SECOND_S + SECOND_DOWN_S)
        rig.start(second)
        rig.note(f"{second} is back, with an empty disk")
        sleep_until(THIRD_S + THIRD_DOWN_S)
        rig.start(third)
        rig.note(f"{third} is back, with an empty disk")
        rig.controllers = [it for it in rig.controllers if it != first] + ["core-5"]
    else:
        sleep_until(THIRD_S + THIRD_DOWN_S)
        submit(rig, JOBS[2:])
    time.sleep(RECOVERY_S)
    rig.note("recoveryS is over")
    read = rig.wait(lambda: rig.leader() is not None, WATCHED_S, pause=1)
    states = {it: rig.state("/gust-refresh/" + it) for it in JOBS}
    rig.note(f"operator: the configuration is read back: {'yes' if read else 'no'}")
    for it, state in states.items():
        rig.note(f"client: job {it}, which was accepted: {state}")
    dead = [it for it in rig.controllers if rig.processes[it].poll() is not None]
    if dead:
        raise r.CannotRun("a controller has ended: " + ", ".join(dead))
    known = all(it == "completed" for it in states.values())
    rig.finish(not (read and known),
               "the acknowledged configuration and all accepted jobs are " + ("there" if read and known else
               f"gone {RECOVERY_S + WATCHED_S:.0f} s after the machines are back; all five controllers run"))


r.run("11", body)
