"""A front machine is cut off from the core for 1.5 s while clients hand jobs in there, in a cell with little room."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support"))
import cell as support
import link

ENTRIES = 6
CUT_S = 1.5
VICTIMS = 8
# Tasks that run or wait, for each task that the workers have room for.
PRESSURE = 1.4
RUN_MS = 1000
STEPS = [{"count": 2, "cpu": 2800, "memMb": 4000, "estimateMs": RUN_MS}]


async def scenario(cell, trouble):
    last = ENTRIES - 1
    # The last entry reaches the controllers over links that can be cut. It is started once the leader is known, so that
    # the first of its seeds is the leader.
    front_ips, cell.front_ips = cell.front_ips, cell.front_ips[:last]
    await cell.start([cell.route("launch-check", 400, 0, 2.0)])
    leader = await cell.find_leader()
    if leader is None:
        raise support.CannotRun("there is no leader")
    order = [leader] + [n for n in range(len(cell.core_ips)) if n != leader]
    links = []
    for n in order:
        ip = f"{cell.net}.{60 + n}"
        links.append(link.Link(cell.record, f"{ip}:{support.PORT_RANGE[0]}",
                               f"{cell.core_ips[n]}:{support.PORT_RANGE[0]}"))
        await links[-1].start()
    cell.front_ips = front_ips
    cell.start_entry(last, seeds=[f"{cell.net}.{60 + n}:{support.CONTROL_PORT}" for n in order])

    room = len(cell.workers) * (32000 // 2800)
    submitted = 0
    stopping = False

    load_jobs = set()

    def open_tasks():
        return 2 * submitted - sum(task.split(".")[0] in load_jobs for task in cell.done)

    async def submit_load():
        nonlocal submitted
        job_id = support.new_id()
        submitted += 1
        load_jobs.add(job_id)
        cell.front_ips = front_ips[:last]
        status = await cell.submit("launch-check", job_id, STEPS, {"run_ms": RUN_MS}, retries=0)
        if status != 200:
            submitted -= 1

    tasks = set()

    async def keep_load():
        while not stopping:
            while not stopping and open_tasks() < PRESSURE * room:
                tasks.add(asyncio.create_task(submit_load()))
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.01)

    load = asyncio.create_task(keep_load())
    await asyncio.sleep(6)

    victims = {}

    async def submit_victim(job_id):
        answer = await support.http_call(
            f"{front_ips[last]}:{support.FRONT_PORT}", "POST", f"/launch-check/{job_id}",
            {"spec": '{"run_ms": 1000}', "steps": STEPS}, {"Host": support.HOST, "X-Deadline-Ms": 3000}, timeout=3.0,
            source=cell.client_source)
        victims[job_id] = answer[0] if answer else None
        cell.record.write("call", method="POST", path=f"/launch-check/{job_id}", entry=last, status=victims[job_id],
                          body=answer[2].decode("latin-1")[:120] if answer else "")

    # Opens connections between the entry and the leader, as earlier requests would have.
    await asyncio.gather(*(submit_victim(support.new_id()) for _ in range(VICTIMS)))
    await asyncio.gather(*(submit_victim(support.new_id()) for _ in range(VICTIMS)))
    await asyncio.sleep(1)
    victims.clear()
    if trouble:
        for it in links:
            it.cut(CUT_S)
    await asyncio.gather(*(submit_victim(support.new_id()) for _ in range(VICTIMS)))
    rejected = [job_id for job_id, status in victims.items() if status in (429, 503)]
    await asyncio.sleep(4)
    stopping = True
    await load
    await asyncio.wait(tasks)
    await asyncio.sleep(6)
    began = {task.split(".")[0] for task in cell.running}
    for job_id in rejected:
        if job_id in began:
            cell.violate(f"REFUSED: {job_id} was answered {victims[job_id]} and handed in no more, and its tasks ran")
    cell.record.write("summary", victims=len(victims), rejected=len(rejected), statuses=sorted(
        str(it) for it in victims.values()))
    print("answers:", victims)
    if trouble and not rejected:
        raise support.CannotRun("no job was rejected")


def make_cell(folder):
    return support.Cell(folder, entries=ENTRIES, workers=4)


if __name__ == "__main__":
    here = os.path.dirname(os.path.abspath(__file__))
    sys.exit(support.play(here, make_cell, scenario, os.environ.get("TROUBLE", "1") != "0"))
