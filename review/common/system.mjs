/** Starts the system's processes with the command of the deploy file, and ends them; writes what happens to a record. */
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import os from "node:os";
import path from "node:path";
import { findFreePort, loopbackAddress } from "./httpServer.mjs";

const root = path.resolve(import.meta.dirname, "../..");

/** The bounds of the small deployments. */
const bounds = {
    contactMs: 3000,
    ackMs: 4000,
    drainMs: 2000,
    graceS: 6,
    lossSlackMs: 200,
    configApplyMs: 2000,
    revokeMs: 5000,
    quotaOverrun: 0.1,
    maxHoldMs: 6000,
    stopMs: 900,
    cancel_ms: 3000,
    visible_ms: 3000,
    finish_s: 14,
    status_s: 120,
    noticeMs: 4500,
    migrateS: 1.5,
    maintenanceS: 2,
    requireFencing: true,
    leaseMs: 3000,
};

export const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));

/** Waits until `isTrue` returns a truthy value, which is returned; `undefined` after the time-out. */
export async function waitFor(isTrue, timeoutMs) {
    const untilMs = performance.now() + timeoutMs;
    for (;;) {
        const value = await isTrue();
        if (value || performance.now() > untilMs) {
            return value || undefined;
        }
        await sleep(10);
    }
}

export function createRecord(caseFolder) {
    const file = path.join(caseFolder, "record.txt");
    const startedAtMs = performance.now();
    writeFileSync(file, "");
    return (what, fields = {}) => {
        const values = Object.entries(fields).filter(([, value]) => value !== undefined)
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        appendFileSync(file, `${((performance.now() - startedAtMs) / 1000).toFixed(3)} s  ${[what, ...values].join("  ")}\n`);
    };
}

function readCommand() {
    const deployFile = readFileSync(path.join(root, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
}

/** Starts one process on each of `zones`, with settings like those of a small deployment. */
export async function startSystem({ zones, storeAddress, cloudAddress, record }) {
    const folder = mkdtempSync(path.join(os.tmpdir(), "nutmegjunction-review-"));
    const nodes = [];
    for (const [index, zone] of zones.entries()) {
        const [front, readiness, peer] = [await findFreePort(), await findFreePort(), await findFreePort()];
        const settings = {
            nodeName: `edge-${zone}-${index + 1}`,
            role: "entry",
            machineClass: "edge",
            serves: ["edge"],
            ip: loopbackAddress,
            zone,
            region: "reykjanes",
            listenAddrs: { front: `${loopbackAddress}:${front}`, readiness: `${loopbackAddress}:${readiness}` },
            portRange: [peer, peer],
            bootstrap: true,
            limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
            heartbeatMs: 1500,
            bounds,
            orders: "rpc",
            platform: {
                address: storeAddress,
                form: "kv",
                writesPerS: 400,
                readsPerS: 2000,
                historyS: 20,
                maxValueBytes: 1048576,
                minTtlMs: 1000,
            },
            ...(cloudAddress === undefined ? {} : { cloudApi: { address: cloudAddress, ratePerS: 64, duties: [], dutyPerS: 64 } }),
        };
        const settingsFile = path.join(folder, `${settings.nodeName}.json`);
        writeFileSync(settingsFile, JSON.stringify(settings));
        nodes.push({ name: settings.nodeName, zone, front, readiness, settingsFile, logs: [] });
    }

    const start = node => {
        const [program, ...args] = readCommand();
        const { PATH, HOME } = process.env;
        node.process = spawn(program, args, {
            cwd: root,
            env: { PATH, HOME, NUTMEGJUNCTION_SETTINGS: node.settingsFile },
            stdio: ["ignore", "pipe", "inherit"],
        });
        node.isRunning = true;
        node.hasExited = new Promise(resolve =>
            node.process.once("exit", () => {
                node.isRunning = false;
                resolve();
            })
        );
        let rest = "";
        node.process.stdout.on("data", chunk => {
            const lines = (rest + chunk).split("\n");
            rest = lines.pop();
            node.logs.push(...lines.filter(line => line.startsWith("{")).map(line => JSON.parse(line)));
        });
        record("process started", { node: node.name, pid: node.process.pid });
    };
    /** Sends a signal, and waits until the process has ended where the signal ends it. */
    const signal = async (node, name) => {
        record("signal", { node: node.name, signal: name });
        node.process.kill(name);
        if (name === "SIGTERM" || name === "SIGKILL") {
            await node.hasExited;
        }
    };
    nodes.forEach(start);

    return {
        nodes,
        start,
        signal,
        /** Waits until the process answers its readiness checks. */
        isReady: async node => {
            try {
                return (await call({ port: node.readiness, method: "GET", path: "/api/ready", host: "ready" })).status === 200;
            }
            catch {
                return false;
            }
        },
        /** The process that gives the orders to the workers now, by its own log. */
        findOwner: () => nodes.find(node => node.isRunning && isOwner(node)),
        /** Ends the processes at once. */
        kill: () => {
            nodes.filter(node => node.isRunning).forEach(node => node.process.kill("SIGKILL"));
            rmSync(folder, { recursive: true, force: true });
        },
        stop: async () => {
            for (const node of nodes) {
                if (node.isRunning) {
                    node.process.kill("SIGKILL");
                    await node.hasExited;
                }
            }
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

const ownershipAcquiredEvent = 6101;
const ownershipLostEvent = 6102;

function isOwner(node) {
    const last = node.logs.findLast(each => each.event === ownershipAcquiredEvent || each.event === ownershipLostEvent);
    return last?.event === ownershipAcquiredEvent;
}

/** One HTTP call; throws if it gets no answer. */
export function call({ port, method, path: urlPath, host, key, body, timeoutMs = 3_000 }) {
    return new Promise((resolve, reject) => {
        const payload = body === undefined ? undefined : JSON.stringify(body);
        const headers = {
            host,
            "deadline-ms": String(timeoutMs),
            ...(key === undefined ? {} : { credential: key }),
            ...(payload === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(payload) }),
        };
        const request = http.request({ host: loopbackAddress, port, method, path: urlPath, headers, timeout: timeoutMs }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => {
                const text = Buffer.concat(chunks).toString("utf8");
                resolve({ status: response.statusCode, body: text === "" ? {} : JSON.parse(text) });
            });
            response.on("error", reject);
        });
        request.on("timeout", () => request.destroy(new Error("no answer in time")));
        request.on("error", reject);
        request.end(payload);
    });
}
