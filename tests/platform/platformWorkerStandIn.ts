/** Stand-in for a worker of the platform: it accepts every start, and reports each run as done after a short time. */
import http from "node:http";
import type { AddressInfo } from "node:net";

export interface PlatformWorkerStandIn {
    address: string;
    bornWallMs: number;
    /** Names of the started tasks, in order; a task that was started twice is listed twice. */
    startedTasks: string[];
    /** Whether runs go on until their lease ends instead of being done. */
    keepsRunning: boolean;
    /** Tasks that run now. */
    runningTasks(): string[];
    /** Time of the last lease extension on this worker's clock. */
    leaseUntilMs(): number;
    close(): void;
}

const runDurationMs = 30;
/** Shorter than the longest wait that a listing may ask for. */
const maxListingWaitMs = 100;

export async function startPlatformWorkerStandIn(): Promise<PlatformWorkerStandIn> {
    const bornWallMs = Date.now() - 1_000;
    const running = new Map<string, number>();
    const ends: [number, string, number, string, string][] = [];
    let leaseUntilMs = 0;
    const clockMs = (): number => Math.round(performance.now());

    const start = ({ task, runId }: { task: string; runId: number }): void => {
        if (running.get(task) === runId) {
            return;
        }
        worker.startedTasks.push(task);
        running.set(task, runId);
        if (!worker.keepsRunning) {
            setTimeout(() => {
                running.delete(task);
                ends.push([ends.length + 1, task, runId, "done", ""]);
            }, runDurationMs);
        }
    };
    const list = async (order: { lastSeen: number; waitMs?: number; deadlineMs?: number }): Promise<object> => {
        leaseUntilMs = Math.max(leaseUntilMs, order.deadlineMs ?? 0);
        await new Promise(resolve => setTimeout(resolve, Math.min(order.waitMs ?? 0, maxListingWaitMs)));
        return {
            running: [...running].map(([task, runId]) => [task, runId, "", 100, 0]),
            endedRuns: ends.filter(([endNumber]) => endNumber > order.lastSeen),
        };
    };
    const server = http.createServer((request, response) => {
        let text = "";
        request.on("data", (chunk: Buffer) => text += chunk.toString());
        request.on("end", () => {
            const body = JSON.parse(text) as Record<string, unknown>;
            const respond = (fields: object): void =>
                void response.writeHead(200, { "content-type": "application/json" })
                    .end(JSON.stringify({ clockMs: clockMs(), born: bornWallMs, ...fields }));
            if (request.url === "/api/hold") {
                void list(body as unknown as Parameters<typeof list>[0]).then(respond);
                return;
            }
            if (request.url === "/api/run-start") {
                start(body as unknown as Parameters<typeof start>[0]);
            }
            respond({});
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const worker: PlatformWorkerStandIn = {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        bornWallMs,
        startedTasks: [],
        keepsRunning: false,
        runningTasks: () => [...running.keys()],
        leaseUntilMs: () => leaseUntilMs,
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
    return worker;
}
