/** A small deployment on loopback addresses: the store, workers, and the project's processes as the deploy file starts them. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, openSync, rmSync } from "node:fs";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { createChildren, readLines } from "./children.js";
import { type Answer, findFreeHost, send, startJsonServer, waitFor } from "./http.js";
import type { CaseRecord } from "./record.js";
import { bounds, heartbeatMs, ports, writeSettings } from "./settings.js";
import { startStore, type StoreStandIn } from "./store.js";
import type { WorkerArguments, WorkerEvent } from "./worker.js";

export interface RunRecord {
    task: string;
    runId: number;
    workerId: string;
    startedAtMs: number;
    endedAtMs?: number;
    how?: string;
    isAcknowledged: boolean;
}

/** Zone of a worker, its kind and its rack. */
interface Place {
    zone: string;
    labels: string[];
}

export interface Worker {
    id: string;
    machineId: string;
    service: string;
    place: Place;
    isUp(): boolean;
    start(): void;
    /** Ends the process at once. */
    kill(): void;
}

export interface EntryProcess {
    name: string;
    front: string;
    start(): void;
    signal(name: NodeJS.Signals): void;
    isReady(): Promise<boolean>;
}

export interface FleetOptions {
    record: CaseRecord;
    firstRevision?: number;
    zones: readonly string[];
    /** Number of workers by service. */
    services: Record<string, number>;
    entryCount: number;
    configuration: object;
    cpuPerWorker: number;
    /** Answers the calls of the platform's API of machines that order something. */
    orderMachine?: (path: string, headers: Record<string, string>, body: Record<string, unknown>) => Promise<[number, object] | undefined>;
    /** A label that one worker has besides its kind and its rack. */
    extraLabel?: { workerId: string; label: string };
    /** Returns the address at which a worker is called, if something stands before it. */
    placeBefore?: (workerId: string, address: string) => Promise<string>;
    /** State of a machine in the list; by default it is up while its worker runs. */
    machineState?: (machineId: string) => string | undefined;
}

export interface CallOptions {
    headers?: Record<string, string>;
    body?: object;
    timeoutMs?: number;
}

export interface Fleet {
    store: StoreStandIn;
    workers: Worker[];
    entries: EntryProcess[];
    /** How often each process has ended without a signal of the case, by its name. */
    ownEnds: ReadonlyMap<string, number>;
    /** All runs on all workers, in the order of their starts. */
    runs: RunRecord[];
    call(entry: EntryProcess, method: string, path: string, options: CallOptions): Promise<Answer>;
    end(): Promise<void>;
}

/** The platform starts a process that has ended again after a short delay. */
const restartDelayMs = 500;
const missedHeartbeats = 3;
const memMb = 65_536;
const workersPerRack = 4;
const rootFolder = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../../../..");
/** State of a machine in the platform's list while its worker does not run. */
const downState = "down";
const workerProgram = path.join(path.dirname(fileURLToPath(import.meta.url)), "worker.js");
/** As the deploy file has it. */
const entryArguments = ["--max-old-space-size=160", "--max-semi-space-size=4", "target/nutmegjunction.cjs"];

/** Places the workers of a service in the zones by turns, with racks of four. */
function placeOf(zones: readonly string[], index: number): Place {
    const zoneIndex = index % zones.length;
    const rackIndex = Math.floor(index / zones.length / workersPerRack);
    return { zone: zones[zoneIndex]!, labels: ["a", `r${zoneIndex + 1}-${rackIndex + 1}`] };
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const { record, zones } = options;
    const folder = mkdtempSync(path.join(os.tmpdir(), "review-case-"));
    const store = await startStore(options.firstRevision ?? 1_000);
    const children = createChildren();
    const runs: RunRecord[] = [];
    const ownEnds = new Map<string, number>();
    let isEnding = false;
    const environment = { PATH: process.env["PATH"] ?? "", HOME: process.env["HOME"] ?? "" };
    const capacity = { cpu: options.cpuPerWorker, memMb, gpu: 0 };
    const createWorker = async (service: string, index: number, host: string): Promise<Worker> => {
        const id = `i-${service}-${index}`;
        const { zone, labels } = placeOf(zones, index);
        const place = { zone, labels: options.extraLabel?.workerId === id ? [...labels, options.extraLabel.label] : labels };
        const address = `${host}:${ports.worker}`;
        const own: WorkerArguments = { address, workerId: id, maxHoldMs: bounds.maxHoldMs, stopMs: bounds.stopMs - 100, heartbeatMs };
        const calledAddress = await options.placeBefore?.(id, address) ?? address;
        const key = `servers/${id}`;
        let child: ChildProcess | undefined;
        let removal: NodeJS.Timeout | undefined;
        const handleEvent = ({ what, born, clockMs, seq, task = "", runId = 0, how }: WorkerEvent): void => {
            const known = runs.findLast(run => run.workerId === id && run.task === task && run.runId === runId);
            if (what === "beat") {
                clearTimeout(removal);
                removal = setTimeout(() => store.remove(key), missedHeartbeats * heartbeatMs);
                const entry = {
                    service,
                    address: calledAddress,
                    ...place,
                    version: "v1",
                    slots: 8,
                    state: "ready",
                    coldRemainingMs: 0,
                    capacity,
                };
                store.put(key, { ...entry, clockMs, born, seq });
                return;
            }
            record.add(`worker ${id}: ${what}`, { task, runId, how });
            if (what === "started") {
                runs.push({ task, runId, workerId: id, startedAtMs: record.nowMs(), isAcknowledged: false });
            }
            else if (known && what === "ended") {
                known.endedAtMs = record.nowMs();
                known.how = how;
            }
            else if (known) {
                known.isAcknowledged = true;
            }
        };
        return {
            id,
            machineId: `m-${service}-${index}`,
            service,
            place,
            isUp: () => child !== undefined,
            start: () => {
                child = children.keep(spawn(process.execPath, [workerProgram, JSON.stringify(own)], {
                    stdio: ["ignore", "pipe", "inherit"],
                    env: environment,
                }));
                readLines(child, line => handleEvent(JSON.parse(line) as WorkerEvent));
                record.add(`worker ${id}: starts`, { pid: child.pid });
            },
            kill: () => {
                child?.kill("SIGKILL");
                child = undefined;
                record.add(`worker ${id}: killed`);
                runs.filter(run => run.workerId === id && run.how === undefined).forEach(run => {
                    run.how = "crashed";
                    run.endedAtMs = record.nowMs();
                });
            },
        };
    };
    const workers: Worker[] = [];
    for (const [service, count] of Object.entries(options.services)) {
        for (let index = 0; index < count; index++) {
            workers.push(await createWorker(service, index, await findFreeHost(ports.worker)));
        }
    }

    const cloud = await startJsonServer(async (request, url, text) => {
        if (url.pathname === "/api/machines") {
            const machines = workers.map(({ id, machineId, service, place, isUp }) => {
                const state = options.machineState?.(machineId) ?? (isUp() ? "up" : downState);
                return { machineId, pool: service, state, ...place, capacity, ...(state === "up" ? { id } : {}) };
            });
            return [200, { machines }];
        }
        const body = JSON.parse(text) as Record<string, unknown>;
        return options.orderMachine ?
            options.orderMachine(url.pathname, request.headers as Record<string, string>, body) :
            [409, { reason: "busy" }];
    });

    const createEntry = async (index: number): Promise<EntryProcess> => {
        const name = `edge-${zones[index % zones.length]}-${Math.floor(index / zones.length) + 1}`;
        const ip = await findFreeHost(ports.front);
        const settingsFile = path.join(folder, `${name}.json`);
        const logFile = path.join(folder, `${name}.log`);
        writeSettings(settingsFile, {
            name,
            ip,
            zone: zones[index % zones.length]!,
            zones,
            storeAddress: store.address,
            cloudAddress: cloud.address,
        });
        let child: ChildProcess | undefined;
        const entry: EntryProcess = {
            name,
            front: `${ip}:${ports.front}`,
            start: () => {
                const log = openSync(logFile, "a");
                child = children.keep(spawn(process.execPath, entryArguments, {
                    cwd: rootFolder,
                    stdio: ["ignore", log, log],
                    env: {
                        ...environment,
                        NUTMEGJUNCTION_SCHEDULING_FEATURES: "adaptive-pools",
                        NUTMEGJUNCTION_SETTINGS: settingsFile,
                    },
                }));
                child.on("exit", (code, signal) => {
                    if (!isEnding) {
                        record.add(`process ${name}: ended`, { code, signal });
                        if (signal !== "SIGKILL") {
                            ownEnds.set(name, (ownEnds.get(name) ?? 0) + 1);
                        }
                        setTimeout(() => isEnding || entry.start(), restartDelayMs);
                    }
                });
                record.add(`process ${name}: starts`, { pid: child.pid });
            },
            signal: signalName => {
                record.add(`process ${name}: ${signalName}`);
                child?.kill(signalName);
            },
            isReady: async () => (await send(`${ip}:${ports.readiness}`, "GET", "/api/ready")).status === 200,
        };
        return entry;
    };
    const entries: EntryProcess[] = [];
    for (let index = 0; index < options.entryCount; index++) {
        entries.push(await createEntry(index));
    }
    store.put("op/config", options.configuration);
    workers.forEach(worker => worker.start());
    entries.forEach(entry => entry.start());
    const areReady = await waitFor(async () => (await Promise.all(entries.map(entry => entry.isReady()))).every(Boolean), 20_000);
    record.add("all processes are ready", { areReady });

    return {
        store,
        workers,
        entries,
        ownEnds,
        runs,
        call: async (entry, method, target, callOptions) => {
            const sentAtMs = record.nowMs();
            const answer = await send(entry.front, method, target, callOptions);
            record.add(`caller at ${entry.name}: ${method} ${target}`, { sentAtMs, sent: callOptions.body, answer });
            return answer;
        },
        end: async () => {
            isEnding = true;
            await children.end();
            store.close();
            cloud.close();
            if (process.env["KEEP_LOGS"] === undefined) {
                rmSync(folder, { recursive: true, force: true });
            }
            else {
                process.stderr.write(`logs in ${folder}\n`);
            }
        },
    };
}
