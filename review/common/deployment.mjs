/** Sets up a small deployment of stand-ins and processes for a case, and turns the case's result into an exit code. */
import path from "node:path";
import { startCloud } from "./cloud.mjs";
import { startStore } from "./store.mjs";
import { call, createRecord, sleep, startSystem, waitFor } from "./system.mjs";
import { startWorker } from "./worker.mjs";

export const queueHost = "pule25.example";
export const teamKey = "sjnbanfqasnmgkcuyj8p";
/** A script may run for 120 s. */
const maxCaseMs = 110_000;
const workerCapacity = { cpu: 16_000, memMb: 65_536, gpu: 0 };

/** A queue of the configuration; its path prefix is its name. */
export function queue(name, service, fields = {}) {
    return {
        name,
        host: queueHost,
        prefix: `/${name}/`,
        kind: "non_idempotent",
        timeoutMs: 3000,
        sloMs: 600,
        priority: 0,
        service,
        maxAttempts: 4,
        stretch: 1.6,
        public: false,
        ...fields,
    };
}

export function configuration(version, queues, { maxCount = { cpu: 0, memMb: 0, gpu: 0 } } = {}) {
    const services = [...new Set(queues.map(each => each.service))];
    return {
        version,
        routes: queues,
        services: services.map(name => ({
            name,
            healthPath: "/health",
            maxConns: 64,
            protocol: "h1",
            tls: false,
            enforcesCapacity: false,
            standby: false,
        })),
        limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
        tenants: [{ name: "cugo130", apiKeys: [teamKey], priority: 1, weight: 50, maxCount }],
    };
}

/**
 * Starts the deployment, runs `play` with it and ends everything. `play` returns the broken rule's description, or `undefined`
 * if the rule held. Exits with 1, 0, or 2 if the case could not run.
 */
export async function runCase({ folder, zones = ["keflavik", "hafnarfjordur"], firstConfiguration, workers, cloud, play }) {
    const record = createRecord(path.resolve(folder));
    const hasTrouble = process.env.TROUBLE !== "0";
    record("case begins", { trouble: hasTrouble });
    const events = [];
    const onEvent = (what, fields) => {
        events.push({ what, atMs: performance.now(), ...fields });
        record(what, fields);
    };
    const store = await startStore();
    const started = { workers: [], cloud: undefined, system: undefined };
    let exitCode = 2;
    // A case that is ended from outside, or takes too long, leaves no process behind.
    const giveUp = reason => {
        record(`the case was ended: ${reason}`);
        started.system?.kill();
        process.exit(2);
    };
    ["SIGTERM", "SIGINT", "SIGHUP"].forEach(name => process.on(name, () => giveUp(name)));
    setTimeout(() => giveUp(`it took over ${maxCaseMs} ms`), maxCaseMs).unref();
    try {
        store.put("op/config", firstConfiguration);
        for (const each of workers) {
            started.workers.push(await startWorker({ labels: ["a", "r1-1"], capacity: workerCapacity, ...each, store, onEvent }));
        }
        const machines = workers.map(({ id, service, zone, labels = ["a", "r1-1"], capacity = workerCapacity }) => ({
            machineId: `m-${id}`,
            pool: service,
            zone,
            labels,
            capacity,
            id,
        }));
        started.cloud = cloud && await startCloud({ machines, onEvent, ...cloud(started.workers) });
        started.system = await startSystem({ zones, storeAddress: store.address, cloudAddress: started.cloud?.address, record });
        const { system } = started;
        const areAllReady = async () => (await Promise.all(system.nodes.map(system.isReady))).every(Boolean);
        if (!await waitFor(areAllReady, 20_000) || !await waitFor(system.findOwner, 10_000)) {
            throw new Error("the system did not become ready");
        }
        record("the system is ready", { owner: system.findOwner().name });
        /** Calls the job API as a client does: at one process, and again at the next after no answer. */
        const callApi = async (method, queueName, jobId, body, nodes = system.nodes) => {
            for (const node of nodes) {
                try {
                    const answer = await call({
                        port: node.front,
                        method,
                        path: `/${queueName}/${jobId}`,
                        host: queueHost,
                        key: teamKey,
                        body,
                    });
                    record(`${method} /${queueName}/${jobId}`, { node: node.name, status: answer.status, body: answer.body });
                    return answer;
                }
                catch (error) {
                    record(`${method} /${queueName}/${jobId}`, { node: node.name, error: String(error) });
                }
            }
            return undefined;
        };
        const finding = await play({ ...started, store, record, events, hasTrouble, callApi, sleep, waitFor });
        record(finding === undefined ? "the rule held" : `the rule was broken: ${finding}`);
        exitCode = finding === undefined ? 0 : 1;
    }
    catch (error) {
        record(`the case could not run: ${error.stack}`);
    }
    finally {
        await started.system?.stop();
        await Promise.all(started.workers.map(each => each.stop()));
        await started.cloud?.stop();
        await store.stop();
        record("case ends", { exitCode });
    }
    // A stand-in may still have something due, such as an order that it holds up.
    process.exit(exitCode);
}
