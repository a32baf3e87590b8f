"""A worker is cut off, with reset connections, right after it began a task and before its answer has arrived."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support"))
import cell as support

CUT_S = 5.5
CUTS = 3
PAUSE_S = 8


async def scenario(cell, trouble):
    await cell.start([cell.route("gust-refresh", 3000, 2, 4.0)])
    jobs = []

    async def submit():
        job_id = support.new_id()
        status = await cell.submit("gust-refresh", job_id, [{"count": 10, "cpu": 2000, "memMb": 3600,
                                                             "estimateMs": 2200}], {"run_ms": 2200})
        jobs.append((job_id, status))

    due = [False]
    cuts = []

    def cut_at_next_start(worker):
        def on_order(path, body):
            if not due[0] or path != "/run-start":
                return "pass"
            due[0] = False
            cuts.append(asyncio.create_task(worker.cut(CUT_S)))
            return "cut"
        return on_order

    for worker in cell.workers:
        worker.on_order = cut_at_next_start(worker)
    pending = set()
    for n in range(CUTS):
        for step in range(int(PAUSE_S * 3)):
            if trouble and step == 3:
                due[0] = True
            pending.add(asyncio.create_task(submit()))
            await asyncio.sleep(1 / 3)
    await asyncio.wait(pending)
    await asyncio.sleep(8)
    accepted = [job_id for job_id, status in jobs if status == 200]
    cell.record.write("summary", jobs=len(jobs), accepted=len(accepted), cuts=len(cuts))
    if len(accepted) < len(jobs) / 2 or (trouble and len(cuts) < CUTS):
        raise support.CannotRun("too few jobs were accepted, or workers cut off")


if __name__ == "__main__":
    here = os.path.dirname(os.path.abspath(__file__))
    sys.exit(support.play(here, support.Cell, scenario, os.environ.get("TROUBLE", "1") != "0"))
