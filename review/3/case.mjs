/** A version removes the route of a queue with a half-done job, and adds one with the same prefix; see claim.txt. */
import { configuration, queue, runCase } from "../common/deployment.mjs";

const jobId = "00000000000000b2";
const laterJobId = "00000000000000b3";
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
        const queues = [queue("quotes", service), hasTrouble ? queue("plans-2", service, { prefix: "/plans/" }) : queue("plans", service)];
        store.put("op/config", configuration(2, queues));
        record("configuration 2 is acknowledged", { routes: queues.map(({ name, prefix }) => `${name} at ${prefix}`) });
        await sleep(finishMs);
        const doneTasks = () =>
            new Set(
                events.filter(each => each.what === "end" && each.how === "done" && each.task.startsWith(jobId)).map(each => each.task),
            );
        record("tasks done at the end of finish_s", { done: [...doneTasks()], running: isRunning() });
        let idleSinceMs = performance.now();
        const wasIdle = await waitFor(() => {
            idleSinceMs = isRunning() || doneTasks().size === 4 ? performance.now() : idleSinceMs;
            return performance.now() - idleSinceMs >= idleMs;
        }, idleMs + 2_000);
        const answer = await callApi("GET", "plans", jobId);
        await callApi("POST", "plans", laterJobId, { spec: JSON.stringify({ ms: 100 }), steps: [step] });
        await sleep(1_000);
        const later = await callApi("GET", "plans", laterJobId);
        record("a later job at the same path", { state: later?.body.state });
        const what = `${doneTasks().size} of 4 tasks are done, the turn of the second step has come, and nothing ran for ${idleMs} ms`;
        return wasIdle && `LOST: ${what}; GET is answered ${answer?.status}`;
    },
});
