/** A session with a worker whose calls the test answers, for the specs of workers that have restarted. */
import type { TestContext } from "node:test";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ListOrder, ListResponse, OrderResponse, StartOrder, WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession, type WorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { ListedEnd } from "../../src/scheduling/reconcileListing.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import type { Run } from "../../src/scheduling/workerRecord.js";
import { createSchedulerHarness, type SchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";

export interface SessionFixture {
    harness: SchedulerHarness;
    timers: ReturnType<typeof createManualTimerService>;
    client: WorkerClient;
    lists: ListOrder[];
    starts: StartOrder[];
    open(context: TestContext): WorkerSession;
    /** How often the session took a refusal for that of a newer owner's token. */
    fencedCount(): number;
    /** Submits a job of one task, whose start is sent in the session. */
    start(session: WorkerSession): Promise<Run>;
    /** These answer the call that has waited longest. */
    respondToList(response: Partial<ListResponse>): Promise<void>;
    respondToStart(response: Partial<OrderResponse>): Promise<void>;
    respondToStop(response: Partial<OrderResponse>): Promise<void>;
}

const accepted = { outcome: commandOutcomes.accepted, reason: "", isFenced: false };
export const noResponse = { outcome: commandOutcomes.unknown, reason: "no response", isFenced: false };
export const emptyListing = { bornWallMs: 0, running: [], ended: [] };
export const listedEnd: ListedEnd = { endNumber: 1, taskName: "other.0.0.0", runId: 1, end: "done", checkpoint: "" };

export function createSessionFixture(): SessionFixture {
    const harness = createSchedulerHarness({ workers: 1, token: 10, maxWorkerLeaseMs: 10_000 });
    const timers = createManualTimerService();
    const lists: ListOrder[] = [];
    const starts: StartOrder[] = [];
    const listResponses: ((response: ListResponse) => void)[] = [];
    const startResponses: ((response: OrderResponse) => void)[] = [];
    const stopResponses: ((response: OrderResponse) => void)[] = [];
    let fencedCount = 0;
    const client = {
        list: (order: ListOrder) => {
            lists.push(order);
            return new Promise(resolve => listResponses.push(resolve));
        },
        start: (order: StartOrder) => {
            starts.push(order);
            return new Promise(resolve => startResponses.push(resolve));
        },
        stop: () => new Promise(resolve => stopResponses.push(resolve)),
        setPace: () => Promise.resolve(noResponse),
        close: () => undefined,
    } as unknown as WorkerClient;
    return {
        harness,
        timers,
        client,
        lists,
        starts,
        fencedCount: () => fencedCount,
        open: context => {
            const onFenced = (): void => void (fencedCount += 1);
            const session = createWorkerSession({ client, scheduler: harness.scheduler, timers, ...sessionDefaults, onFenced });
            context.after(() => session.close());
            return session;
        },
        start: async session => {
            harness.submit("job", { taskCount: 1 });
            const [run] = harness.commands(commandKinds.start);
            session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
            await settle();
            return run!;
        },
        respondToList: response => {
            listResponses.shift()!({ ...accepted, clockMs: undefined, listing: undefined, ...response });
            return settle();
        },
        respondToStart: response => {
            startResponses.shift()!({ ...accepted, ...response });
            return settle();
        },
        respondToStop: response => {
            stopResponses.shift()!({ ...accepted, ...response });
            return settle();
        },
    };
}
