/**
 * Guards against documents that stop what reads them: whatever another writer puts into the store, it is reported or used, nothing is
 * thrown past the decoders, and the documents beside it are applied.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeConfiguration } from "../../platform/configurationDocument.js";
import { decodeJobBody } from "../../platform/jobBody.js";
import { parseSettings } from "../../platform/settingsFile.js";
import { decodeEvent, decodeItem, encodeWrite, readItems } from "../../platform/storeMessages.js";
import { decodeWave } from "../../platform/vmServiceClient.js";
import { createWorkerEntries } from "../../platform/workerEntries.js";
import { connectWorker } from "../../platform/workerHttpClient.js";
import { createManualTimerService } from "../../src/common/timerService.js";
import type { ChangeFeedObserver, ChangeFeedStore, StoreChange } from "../../src/connection/platformStore.js";
import { createRelayMembers } from "../../src/process/relayMembers.js";
import { createStoreMirror } from "../../src/process/storeMirror.js";
import { encodeProgress, encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import { createScheduler } from "../../src/scheduling/scheduler.js";
import { modelPolicy, modelSubmission } from "../scheduling/modelJob.js";
import { createTermFixture } from "./schedulingTermFixture.js";

const nowWallMs = 1_800_000_000_000;
const workerEntry = {
    service: "pool",
    address: "10.0.0.1:80",
    zone: "zone",
    version: "v1",
    slots: 8,
    state: "ready",
    capacity: { cpu: 16_000, memMb: 64_000 },
    labels: ["kind", "rack"],
    seq: 1,
    born: nowWallMs - 1_000,
};
const submission = { ...modelSubmission, repeat: { firstDueWallMs: 0, intervalMs: 1_000, count: 2 } };
const progress = { state: "running" as const, occurrences: { 0: [{ done: [] }, { done: "all" as const }] }, workerIds: ["w1"] };
const member = { address: "10.0.0.1:80", zone: "zone", capacity: 1 };

const oddNumbers = fc.constantFrom(-1, 0, 0.5, 1e9, 9e15, Number.MAX_SAFE_INTEGER, 1e300, 1.7e308, -1e308);
const oddTexts = fc.constantFrom("", "\ud800", "999.1.1.1:80", "10.0.0.1:99999", "10.0.0.1:0", "__proto__", "x".repeat(100_000));
const oddValue = fc.oneof(oddNumbers, oddTexts, fc.jsonValue(), fc.object({ key: fc.constantFrom("__proto__", "length", "toString") }));

/** Replaces or removes one of the document's fields, at any depth. */
function mutate(document: unknown, choose: (count: number) => number, value: unknown): unknown {
    if (typeof document !== "object" || !document || choose(4) === 0) {
        return value;
    }
    const entries = Object.entries(document);
    const chosen = choose(entries.length);
    const changed = entries.map(([key, each], index) => [key, index === chosen ? mutate(each, choose, value) : each] as const);
    return Array.isArray(document) ? changed.map(([, each]) => each) : Object.fromEntries(changed);
}

const nested = fc.constantFrom(2_000, 200_000).map(depth => "[".repeat(depth) + "]".repeat(depth));

/** Texts near a valid document, arbitrary JSON, deep nesting, and arbitrary bytes. */
function textsNear(document: object): fc.Arbitrary<string> {
    const mutated = fc.tuple(fc.infiniteStream(fc.nat()), oddValue).map(([numbers, value]) =>
        JSON.stringify(mutate(document, count => Number(numbers.next().value) % count, value)) ?? ""
    );
    const bytes = fc.uint8Array({ maxLength: 200 }).map(each => Buffer.from(each).toString("utf8"));
    return fc.oneof(
        { weight: 8, arbitrary: mutated },
        { weight: 2, arbitrary: fc.json() },
        { weight: 2, arbitrary: bytes },
        { weight: 1, arbitrary: nested },
        { weight: 1, arbitrary: nested.map(text => JSON.stringify({ ...document, extra: 0 }).replace('"extra":0', `"extra":${text}`)) },
    );
}

/** Passes the documents to a mirror, as values of a snapshot or as changes. */
function mirrorDocuments(documents: Record<string, string>, onChange: (change: StoreChange) => void): void {
    let observer: ChangeFeedObserver | undefined;
    createStoreMirror({
        store: {
            followChanges: (_prefix: string, _signal: AbortSignal, feed: ChangeFeedObserver) => observer = feed,
        } as unknown as ChangeFeedStore,
        prefix: "",
        timers: createManualTimerService(),
        signal: new AbortController().signal,
        pauseMs: () => 0,
        onChange,
        onChangeFailed: (key, reason) => assert.fail(`${key}: ${reason}`),
        onBatchApplied: () => undefined,
        onConfirmed: () => undefined,
    });
    const items = Object.entries(documents).map(([key, value], index) =>
        decodeItem({ ...encodeWrite({ key, value }), key, revision: index + 1 })
    );
    observer!.onSnapshot(items, items.length);
    observer!.onChanges(items.map((item, index) => ({ ...item, revision: items.length + index + 1 })), 2 * items.length);
}

describe("odd documents", () => {
    it("should leave the workers beside them usable, and name no worker that cannot be connected", () => {
        fc.assert(
            fc.property(textsNear(workerEntry), odd => {
                const unreadable = new Set<string>();
                const scheduler = createScheduler({
                    policy: modelPolicy,
                    term: { token: 1, unknownWorkersUntilMs: 0 },
                    workerLeaseMs: 1,
                    maxWorkerLeaseMs: 1,
                    taskStopMs: 1,
                    onDecision: () => undefined,
                });
                const apply = createWorkerEntries({
                    scheduling: {
                        onWorkerChanged: (_, entry) => {
                            scheduler.registerWorker(entry!, { nowMs: 0, wallMs: nowWallMs });
                            connectWorker(entry!).close();
                        },
                        onWorkerUnreadable: workerId => unreadable.add(workerId),
                    },
                    wallClockMs: () => nowWallMs,
                    onUnreadable: (key, reason) => assert.ok(key === "servers/odd" && reason !== ""),
                });
                mirrorDocuments({
                    "servers/first": JSON.stringify(workerEntry),
                    "servers/odd": odd,
                    "servers/last": JSON.stringify(workerEntry),
                }, apply);
                const { workers } = scheduler.state;
                assert.ok(workers.has("first") && workers.has("last") && workers.has("odd") !== unreadable.has("odd"));
                scheduler.step({ nowMs: 10, wallMs: nowWallMs });
            }),
            { numRuns: 300 },
        );
    });

    it("should leave the members beside them usable", () => {
        fc.assert(
            fc.property(textsNear(member), odd => {
                const members = createRelayMembers({
                    store: () => assert.fail("not needed"),
                    mirror: () => assert.fail("not needed"),
                    own: { ...member, name: "own" },
                    timers: createManualTimerService(),
                    signal: new AbortController().signal,
                    onUnreadable: key => assert.equal(key, `${jobKeys.prefix}member/odd`),
                });
                const keyOf = (name: string): string => `${jobKeys.prefix}member/${name}`;
                mirrorDocuments(
                    { [keyOf("a")]: JSON.stringify(member), [keyOf("odd")]: odd, [keyOf("b")]: JSON.stringify(member) },
                    members.onChange,
                );
                assert.deepEqual(members.others().map(({ name }) => name).filter(name => name !== "odd"), ["a", "b"]);
                members.others().forEach(({ address, capacity }) => assert.ok(new URL(`ws://${address}`) && capacity < 1e7));
            }),
            { numRuns: 200 },
        );
    });

    it("should leave the jobs beside them loaded, and the scheduler's passes running", async () => {
        const jobText = textsNear(submission);
        await fc.assert(
            fc.asyncProperty(jobText, textsNear(progress), async (oddSubmission, oddProgress) => {
                const { service, lists, applyChange, acquire, pass } = createTermFixture({ hasUnreadableDocuments: true });
                const documents = {
                    [`${jobKeys.progressPrefix}odd2`]: oddProgress,
                    [`${jobKeys.submissionPrefix}odd2`]: encodeSubmission({ ...submission, jobId: "odd2" }),
                    [`${jobKeys.submissionPrefix}odd1`]: oddSubmission,
                    [`${jobKeys.progressPrefix}odd1`]: encodeProgress(progress),
                    [`${jobKeys.cancellationPrefix}odd3`]: oddProgress,
                    [`${jobKeys.submissionPrefix}good`]: encodeSubmission({ ...modelSubmission, jobId: "good" }),
                };
                const apply = ({ key, value }: StoreChange): void => applyChange(key, value!);
                mirrorDocuments(documents, apply);
                await acquire(10);
                assert.ok(service.scheduler()!.state.jobs.has("good"));
                mirrorDocuments(documents, apply);
                await lists.shift()!.answer({});
                await pass();
                service.onOwnershipLost();
            }),
            { numRuns: 60 },
        );
    });

    const throwing: [string, object, (text: string) => unknown][] = [
        ["configuration", { version: 1, routes: [], services: [{ name: "pool" }], limits: {}, tenants: [] }, decodeConfiguration],
        ["wave", { wave: 1, machines: ["m"], withinS: 1, maxCount: 1 }, decodeWave],
    ];
    throwing.forEach(([name, document, decode]) => {
        it(`should be decoded or rejected with an error: ${name}`, () => {
            fc.assert(
                fc.property(textsNear(document), text => {
                    try {
                        decode(text);
                    }
                    catch (error) {
                        assert.ok(error instanceof Error && String(error) !== "");
                    }
                }),
                { numRuns: 200 },
            );
        });
    });

    it("should be decoded or rejected with findings: a job's body and the settings", () => {
        const body = {
            spec: "",
            steps: [{ count: 1, cpu: 1, after: [], estDurationMs: 1 }, { count: 2, after: [0] }],
            repeatCount: 2,
            startAtMs: 1,
        };
        fc.assert(
            fc.property(textsNear(body), text => {
                const decoded = decodeJobBody(text);
                assert.ok(decoded.isValid || decoded.findings.length > 0);
                const settings = parseSettings(text);
                assert.ok(settings.isValid || settings.findings.length > 0);
            }),
            { numRuns: 300 },
        );
    });

    it("should not keep the items beside them from being read", () => {
        fc.assert(fc.property(fc.array(fc.oneof(fc.jsonValue(), fc.object())), odd => {
            const good = { key: "a", value: Buffer.from("text").toString("base64"), revision: 1 };
            const items = readItems({ items: [...odd, good] }, "items").map(decodeEvent);
            assert.deepEqual(items.at(-1), { key: "a", value: "text", revision: 1 });
        }));
    });
});
