"""A controller is replaced as planned; 1 s after it has ended, two others lose power and disk: all accepted data is gone."""
import os
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-3"))
import rig as r  # noqa: E402

CATCH_UP_S = 4.0
RECOVERY_S = 12.0
DOWN_S = 2.0
WATCHED_S = 30.0
JOBS = [f"5c0e7a21d94b36f{n}" for n in range(4)]


def body(rig):
    rig.bring_up([{"name": "gust-refresh"}])
    for n in range(8):
        rig.start_worker(n, quiet=True)
    time.sleep(3)
    step = {"count": 2, "cpu": 2000, "memMb": 3600, "estimateMs": 2200}
    for it in JOBS[:2]:
        if not rig.submit("/gust-refresh/" + it, {"spec": "ms=2200", "steps": [step]}):
            raise r.CannotRun("a job was not accepted")
    leader = rig.leader()
    others = [it for it in rig.controllers if it != leader]
    replaced, lost = others[0], [leader, others[1]]
    rig.note(f"leader: {leader}")
    rig.peers["core-5"] = rig.ip(6)
    rig.start("core-5")
    rig.note("core-5 starts with an empty disk, as the successor of " + replaced)
    time.sleep(2 * CATCH_UP_S)
    rig.note("core-5 has run for twice catchUpS")
    rig.signal(replaced, signal.SIGTERM)
    rig.processes[replaced].wait(10)
    rig.note(f"{replaced} has ended, and is gone")
    for it in JOBS[2:]:
        if not rig.submit("/gust-refresh/" + it, {"spec": "ms=2200", "steps": [step]}):
            raise r.CannotRun("a job was not accepted")
    time.sleep(1)
    if r.TROUBLE:
        for it in lost:
            rig.signal(it, signal.SIGKILL)
            shutil.rmtree(f"{rig.folder}/data-{it}")
        rig.note(" and ".join(lost) + " have lost power and their disks")
        time.sleep(DOWN_S)
        for it in lost:
            rig.start(it)
        rig.note("both are back at their addresses, with empty disks and bootstrap = false")
    time.sleep(RECOVERY_S)
    rig.note("recoveryS is over")
    rig.controllers = [it for it in rig.controllers if it != replaced] + ["core-5"]
    read = rig.wait(lambda: rig.leader() is not None, WATCHED_S, pause=1)
    states = {it: rig.state("/gust-refresh/" + it) for it in JOBS}
    rig.note(f"operator: the configuration is read back: {'yes' if read else 'no'}")
    for it, state in states.items():
        rig.note(f"client: job {it}, which was accepted: {state}")
    known = all(it == "completed" for it in states.values())
    dead = [it for it in rig.controllers if rig.processes[it].poll() is not None]
    if dead:
        raise r.CannotRun("a controller has ended: " + ", ".join(dead))
    rig.finish(not (read and known),
               "the acknowledged configuration and all accepted jobs are " + ("there" if read and known else
               f"gone {RECOVERY_S + WATCHED_S:.0f} s after the machines are back; all five controllers run"))


r.run("12", body)
