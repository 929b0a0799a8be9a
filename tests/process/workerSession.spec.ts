/**
 * Checks that a process which lost the ownership between a decision and its call sends no start, that a command of an earlier
 * term does not end the ownership, and when a worker is listed again, also after a listing that cannot be read.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualTimerService, createTimerService, delay } from "../../src/common/timerService.js";
import type { OrderResponse, WorkerClient } from "../../src/connection/workerClient.js";
import { createWorkerSession } from "../../src/process/workerSession.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import { commandKinds } from "../../src/scheduling/schedulerState.js";
import { runPhases } from "../../src/scheduling/workerRecord.js";
import { createSchedulerHarness } from "../scheduling/schedulerHarness.js";
import { sessionDefaults, settle } from "./sessionDefaults.js";

describe("worker session", () => {
    it("should not send a start that was decided before the ownership was lost", async () => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        const timers = createTimerService();
        let maySendOrders = true;
        const sent: string[] = [];
        const client = {
            list: async () => {
                await delay(timers, 20);
                return {
                    outcome: commandOutcomes.accepted,
                    reason: "",
                    isFenced: false,
                    clockMs: 1_000,
                    listing: { bornWallMs: 0, running: [], ended: [] },
                };
            },
            start: (order: { taskName: string }) => {
                sent.push(order.taskName);
                return Promise.resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false });
            },
            close: () => undefined,
        } as unknown as WorkerClient;
        let signalListed: () => void = () => undefined;
        const listed = new Promise<void>(resolve => signalListed = resolve);
        const session = createWorkerSession({
            client,
            scheduler,
            timers,
            ...sessionDefaults,
            maySendOrders: () => maySendOrders,
            onSchedulerChanged: () => signalListed(),
        });
        await listed;
        harness.submit("job", { taskCount: 1 });
        const [run] = harness.commands(commandKinds.start);
        maySendOrders = false;
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        await Promise.resolve();
        assert.deepEqual(sent, []);
        assert.equal(scheduler.state.workers.get("w1")?.runs.size, 0, "the run was removed from the worker");
        session.close();
    });

    it("should repeat a command that was refused for the token of a term which this process has continued", async context => {
        const harness = createSchedulerHarness({ workers: 1, token: 10 });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        const timers = createTimerService();
        const fenced: string[] = [];
        const answers: ((isFenced: boolean) => void)[] = [];
        const answerLater = (): Promise<OrderResponse> =>
            new Promise(resolve =>
                answers.push(isFenced =>
                    resolve({ outcome: isFenced ? commandOutcomes.refused : commandOutcomes.accepted, reason: "", isFenced })
                )
            );
        const listing = { bornWallMs: 0, running: [], ended: [] };
        const client = {
            list: async () => {
                await delay(timers, 20);
                return { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs: 1_000, listing };
            },
            start: answerLater,
            stop: answerLater,
            close: () => undefined,
        } as unknown as WorkerClient;
        let signalListed: () => void = () => undefined;
        const listed = new Promise<void>(resolve => signalListed = resolve);
        const session = createWorkerSession({
            client,
            scheduler,
            timers,
            ...sessionDefaults,
            onFenced: () => fenced.push("fenced"),
            onSchedulerChanged: () => signalListed(),
        });
        context.after(() => session.close());
        await listed;
        harness.submit("job", { taskCount: 1 });
        const [run] = harness.commands(commandKinds.start);
        session.execute({ kind: commandKinds.start, run: run!, payload: "", checkpoint: "" });
        await Promise.resolve();
        scheduler.renewTerm(20);
        answers.shift()!(true);
        await delay(timers, 0);
        assert.deepEqual(fenced, []);
        // The session has told the scheduler times of the real clock.
        harness.advance(timers.nowMs() + 1_000);
        harness.list("w1", {});
        const nextRun = harness.commands(commandKinds.start).at(-1)!;
        assert.equal(nextRun.runId, 20_000_001);
        session.execute({ kind: commandKinds.start, run: nextRun, payload: "", checkpoint: "" });
        await Promise.resolve();
        answers.shift()!(true);
        await delay(timers, 0);
        assert.deepEqual(fenced, ["fenced"], "the worker knows a token above the current one");
    });

    it("should list a worker again when its own ends are stored, not when those of other jobs are", async () => {
        const harness = createSchedulerHarness({ workers: 1, isSavedManually: true });
        const { scheduler } = harness;
        harness.list("w1", { sentAtMs: 0 });
        ["first", "second"].forEach(jobId => harness.submit(jobId, { taskCount: 1 }));
        harness.saveAll();
        harness.answerStarts(commandOutcomes.accepted);
        const ended = harness.commands(commandKinds.start).map(({ taskName, runId }, index) => ({
            endNumber: index + 1,
            taskName,
            runId,
            end: "done" as const,
            checkpoint: "",
        }));
        const acknowledged: number[] = [];
        let signalPoll: () => void = () => undefined;
        const nextPoll = (): Promise<void> => new Promise(resolve => signalPoll = resolve);
        const client = {
            list: (order: { acknowledgedEndNumber: number }) => {
                acknowledged.push(order.acknowledgedEndNumber);
                signalPoll();
                const response = {
                    outcome: commandOutcomes.accepted,
                    reason: "",
                    isFenced: false,
                    clockMs: 1_000,
                    listing: { bornWallMs: 0, running: [], ended },
                };
                return acknowledged.length === 1 ? Promise.resolve(response) : new Promise(() => undefined);
            },
            close: () => undefined,
        } as unknown as WorkerClient;
        let signalListed: () => void = () => undefined;
        const listed = new Promise<void>(resolve => signalListed = resolve);
        const timers = createManualTimerService();
        const session = createWorkerSession({
            client,
            scheduler,
            timers,
            ...sessionDefaults,
            onSchedulerChanged: () => signalListed(),
        });
        await listed;
        await settle();
        const polledAgain = nextPoll();
        const unsaved = new Map(scheduler.takeUnsavedJobs(2).map(job => [job.jobId, job.version]));
        scheduler.progressSaved("first", unsaved.get("first")!, 0);
        session.onProgressSaved();
        await settle();
        assert.deepEqual(acknowledged, [0], "an end of the worker is not stored yet");
        scheduler.progressSaved("second", unsaved.get("second")!, 0);
        session.onProgressSaved();
        await polledAgain;
        assert.deepEqual(acknowledged, [0, 2]);
        session.close();
    });

    it("should poll again without waiting for a poll that has no response, once another listing shows ends", async context => {
        const harness = createSchedulerHarness({ workers: 1 });
        const { scheduler } = harness;
        harness.submit("job", { taskCount: 2 });
        const accepted = { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs: 1_000 };
        const emptyListing = { bornWallMs: 0, running: [], ended: [] };
        const waitsMs: number[] = [];
        const respond: ((response: object) => void)[] = [];
        const client = {
            list: ({ waitMs }: { waitMs: number }) => {
                waitsMs.push(waitMs);
                return new Promise(resolve => respond.push(resolve));
            },
            close: () => undefined,
        } as unknown as WorkerClient;
        const timers = createManualTimerService();
        const session = createWorkerSession({ client, scheduler, timers, ...sessionDefaults });
        context.after(() => session.close());
        respond[0]!({ ...accepted, listing: emptyListing });
        await settle();
        assert.equal(waitsMs.length, 2, "the poll that gets no response");
        timers.advance(900);
        session.execute({ kind: commandKinds.list, workerId: "w1" });
        const ended = [{ endNumber: 1, taskName: "other.0.0.0", runId: 1, end: "done", checkpoint: "" }];
        respond[2]!({ ...accepted, listing: { ...emptyListing, ended } });
        await settle();
        assert.deepEqual(waitsMs.map(waitMs => waitMs > 0), [false, true, false, true]);
        respond[1]!({ outcome: commandOutcomes.unknown, reason: "no response within 1500 ms", isFenced: false });
        await settle();
        assert.equal(scheduler.state.workers.get("w1")!.unresponsiveSinceMs, undefined, "the later listing got a response");
        respond[3]!({ outcome: commandOutcomes.unknown, reason: "no response within 1500 ms", isFenced: false });
        await settle();
        assert.notEqual(scheduler.state.workers.get("w1")!.unresponsiveSinceMs, undefined);
    });

    it("should list a worker again whose listing cannot be read, without extending its leases", async context => {
        const { scheduler } = createSchedulerHarness({ workers: 1 });
        const timers = createManualTimerService();
        const accepted = { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs: 1_000 };
        const emptyListing = { bornWallMs: 0, running: [], ended: [] };
        const unreadable = { ...accepted, listing: { ...emptyListing, running: [undefined] } };
        const responses = [
            () => Promise.resolve({ ...accepted, listing: emptyListing }),
            () => Promise.resolve(unreadable),
            () => Promise.reject(new Error("malformed response")),
            () => Promise.resolve({ ...accepted, listing: emptyListing }),
            () => new Promise(() => undefined),
        ];
        const extensions: boolean[] = [];
        const failures: string[] = [];
        const client = {
            list: (order: { leaseUntilClockMs: number | undefined }) => {
                extensions.push(order.leaseUntilClockMs !== undefined);
                return responses[extensions.length - 1]!();
            },
            close: () => undefined,
        } as unknown as WorkerClient;
        const session = createWorkerSession({
            client,
            scheduler,
            timers,
            ...sessionDefaults,
            onListFailed: reason => failures.push(reason),
        });
        context.after(() => session.close());
        const isUnresponsive = (): boolean => scheduler.state.workers.get("w1")!.unresponsiveSinceMs !== undefined;
        await settle();
        assert.equal(isUnresponsive(), true);
        for (let round = 0; round < 3; round++) {
            timers.advance(100);
            await settle();
        }
        assert.deepEqual(extensions, [false, true, false, false, true]);
        assert.equal(failures.length, 1, "repeated failures are reported once");
        assert.equal(isUnresponsive(), false);
    });

    for (const outcome of [commandOutcomes.accepted, commandOutcomes.otherWorker]) {
        it(`should settle no run by a response "${outcome}" that arrives after the session was closed`, async () => {
            const harness = createSchedulerHarness({ workers: 1 });
            const { scheduler } = harness;
            harness.list("w1", { sentAtMs: 0 });
            const timers = createManualTimerService();
            const answers: (() => void)[] = [];
            const answerLater = (): Promise<OrderResponse> =>
                new Promise(resolve => answers.push(() => resolve({ outcome, reason: "", isFenced: false })));
            const listing = { bornWallMs: 0, running: [], ended: [] };
            const responses = [
                Promise.resolve({ outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs: 1_000, listing }),
            ];
            const client = {
                list: () => responses.shift() ?? new Promise(() => undefined),
                start: answerLater,
                stop: answerLater,
                close: () => undefined,
            } as unknown as WorkerClient;
            const session = createWorkerSession({
                client,
                scheduler,
                timers,
                ...sessionDefaults,
            });
            await settle();
            harness.submit("job", { taskCount: 2 });
            const [started, stopped] = harness.commands(commandKinds.start);
            harness.answerStarts(commandOutcomes.accepted);
            started!.phase = runPhases.starting;
            stopped!.phase = runPhases.stopping;
            session.execute({ kind: commandKinds.start, run: started!, payload: "", checkpoint: "" });
            session.execute({ kind: commandKinds.stop, run: stopped!, reason: "" });
            session.close();
            scheduler.takeCommands();
            answers.forEach(answer => answer());
            await settle();
            assert.deepEqual([...scheduler.state.workers.get("w1")!.runs.values()], [started, stopped], "both runs may still be active");
            assert.deepEqual(
                scheduler.takeCommands().map(command => command.kind === commandKinds.stop ? command.run : command.kind),
                [started, stopped],
                "both are stopped at the new address",
            );
        });
    }
});
