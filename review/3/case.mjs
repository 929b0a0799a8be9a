/** The configuration drops the route of a queue while an accepted job of that queue is half done; see claim.txt. */
import { configuration, queue, runCase } from "../common/deployment.mjs";

const jobId = "00000000000000b2";
const service = "huvo11a";
const workers = [1, 2, 3].map(number => ({ id: `i-000000000${number}`, service, zone: "keflavik", labels: ["a", `r1-${number}`] }));
const stepMs = 2_000;
const finishMs = 14_000;
const idleMs = 3_000;

await runCase({
    folder: import.meta.dirname,
    firstConfiguration: configuration(1, [queue("plans", service), queue("quotes", service)]),
    workers,
    play: async ({ workers, store, record, events, hasTrouble, callApi, waitFor, sleep }) => {
        const step = { count: 2, cpu: 1000, memMb: 256, estDurationMs: stepMs };
        const steps = [step, { ...step, after: [0] }];
        const accepted = await callApi("POST", "plans", jobId, { spec: JSON.stringify({ ms: stepMs }), steps });
        const isRunning = () => workers.some(worker => worker.runningTasks().length > 0);
        if (accepted?.status !== 200 || !await waitFor(isRunning, 5_000)) {
            throw new Error("the job did not start");
        }
        await sleep(500);
        const queues = [queue("quotes", service), ...(hasTrouble ? [] : [queue("plans", service)])];
        store.put("op/config", configuration(2, queues));
        record("configuration 2 is acknowledged", { queues: queues.map(each => each.name) });
        await sleep(finishMs);
        const doneTasks = () => new Set(events.filter(each => each.what === "end" && each.how === "done").map(each => each.task));
        record("tasks done at the end of finish_s", { done: [...doneTasks()], running: isRunning() });
        let idleSinceMs = performance.now();
        const wasIdle = await waitFor(() => {
            idleSinceMs = isRunning() || doneTasks().size === 4 ? performance.now() : idleSinceMs;
            return performance.now() - idleSinceMs >= idleMs;
        }, idleMs + 2_000);
        if (!hasTrouble) {
            await callApi("GET", "plans", jobId);
        }
        return wasIdle &&
            `LOST: ${doneTasks().size} of 4 tasks are done, the second step's turn has come, and nothing ran for ${idleMs} ms`;
    },
});
