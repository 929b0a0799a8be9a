/** The client of the platform's key-value service, and the group commit and scheduling ownership on top of it. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createStoreClient } from "../../platform/storeClient.js";
import type { WatchFailure, WatchObserver, WatchResponse } from "../../platform/storeFollower.js";
import { createTimerService, delay } from "../../src/common/timerService.js";
import type { ChangeFeedStore, ReadAnswer } from "../../src/connection/platformStore.js";
import { commitOutcomes, createGroupCommit } from "../../src/process/groupCommit.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createSchedulingOwnership, type OwnershipTerm, type SchedulingOwnership } from "../../src/process/schedulingOwnership.js";
import { createStoreMirror, type StoreMirror } from "../../src/process/storeMirror.js";
import { openStoreCalls, startStoreStandIn, type StoreStandIn } from "./storeStandIn.js";

const timers = createTimerService();

async function waitUntil(what: string, condition: () => boolean): Promise<void> {
    const deadlineMs = timers.nowMs() + 8_000;
    while (!condition()) {
        assert.ok(timers.nowMs() < deadlineMs, `still waiting until ${what}`);
        await delay(timers, 5);
    }
}

describe("the platform's key-value service", () => {
    const lifetime = new AbortController();
    let standIn: StoreStandIn;
    let store: ChangeFeedStore;

    const openStore = (observer: Partial<WatchObserver> = {}): ChangeFeedStore =>
        createStoreClient({
            callService: openStoreCalls(standIn.address, lifetime.signal),
            timers,
            signal: lifetime.signal,
            onAvailabilityChange: () => undefined,
            onWatchRestart: () => undefined,
            onWatchResponse: () => undefined,
            onWatchFailure: () => undefined,
            ...observer,
        });
    const put = async (key: string, value: string): Promise<void> => {
        const present = (await store.read(key)).unwrap();
        const swapped = await store.swap([{ key, expectedRevision: present?.revision ?? 0 }], [{ key, value }]);
        assert.ok(swapped.unwrap().isSwapped);
    };
    const mirrorOf = (prefix: string, signal: AbortSignal): StoreMirror =>
        createStoreMirror({
            store,
            prefix,
            timers,
            signal,
            pauseMs: () => 5,
            onChange: () => undefined,
            onChangeFailed: (_, reason) => assert.fail(reason),
            onBatchApplied: () => undefined,
            onConfirmed: () => undefined,
        });

    before(async () => {
        standIn = await startStoreStandIn();
        store = openStore();
    });
    after(() => {
        lifetime.abort();
        standIn.close();
    });

    it("should read a written key, and nothing for a missing key", async () => {
        await put("a/text", "þjónusta ñandú");
        assert.equal((await store.read("a/text")).unwrap()?.value, "þjónusta ñandú");
        assert.equal((await store.read("a/none")).unwrap(), undefined);
    });

    it("should tell how a read was answered", async () => {
        const answers: ReadAnswer[] = [];
        await put("a/answered", "x");
        const stored = (await store.read("a/answered", answer => answers.push(answer))).unwrap()!;
        await store.read("a/none", answer => answers.push(answer));
        assert.deepEqual(answers.map(({ storeRevision, neighbour }) => [storeRevision, neighbour]), [
            [stored.revision, undefined],
            [undefined, undefined],
        ]);
        standIn.faults.errorStatus = 503;
        await store.read("a/answered", answer => answers.push(answer));
        standIn.faults.errorStatus = undefined;
        assert.equal(answers.length, 2, "a read without a usable response has no answer");
    });

    it("should report each failed call of a watch, and the first response after them", async () => {
        const following = new AbortController();
        const failures: WatchFailure[] = [];
        const responses: WatchResponse[] = [];
        const observed = openStore({ onWatchFailure: each => failures.push(each), onWatchResponse: each => responses.push(each) });
        let revision = 0;
        observed.followChanges("w/", following.signal, {
            onSnapshot: (_, atRevision) => revision = atRevision,
            onChanges: () => undefined,
            onUpToDate: () => undefined,
        }, { pauseMs: () => 5 });
        await waitUntil("the prefix is followed", () => revision > 0);
        standIn.faults.errorStatus = 503;
        await waitUntil("the watch has failed three times", () => failures.length >= 3);
        standIn.faults.errorStatus = undefined;
        await waitUntil("the watch responds", () => responses.at(-1)?.failuresInARow === failures.length);
        await waitUntil("it responds again", () => responses.at(-1)?.failuresInARow === 0);
        following.abort();
        assert.deepEqual(failures.map(each => each.failuresInARow), failures.map((_, index) => index + 1));
        for (const { prefix, fromRevision, newestKnownRevision, reason, ageMs } of failures) {
            assert.deepEqual([prefix, fromRevision], ["w/", responses[0]!.fromRevision]);
            assert.ok(newestKnownRevision >= fromRevision);
            assert.match(reason, /status 503/);
            assert.ok(ageMs !== undefined && ageMs >= 0);
        }
        assert.ok(failures[2]!.ageMs! > failures[0]!.ageMs!, "the age grows while the watch fails");
    });

    it("should read all pages of a prefix", async () => {
        standIn.faults.itemsPerPage = 2;
        for (const key of ["b/1", "b/2", "b/3", "b/4", "b/5"]) {
            await put(key, key);
        }
        assert.equal((await store.readPrefix("b/")).unwrap().length, 5);
        standIn.faults.itemsPerPage = 500;
    });

    it("should return the current value if a guard does not match", async () => {
        await put("c/key", "first");
        const swapped = (await store.swap([{ key: "c/key", expectedRevision: 0 }], [{ key: "c/key", value: "second" }])).unwrap();
        assert.deepEqual([swapped.isSwapped, swapped.current[0]?.value], [false, "first"]);
    });

    [429, 503].forEach(status => {
        it(`should report that a write with response status ${status} certainly did not run`, async () => {
            standIn.faults.errorStatus = status;
            const swapped = await store.swap([], [{ key: "d/key", value: "x" }]);
            standIn.faults.errorStatus = undefined;
            assert.equal(swapped.err && swapped.val.isKnownNotApplied, true);
        });
    });

    it("should not report this for a write whose response was lost", async () => {
        standIn.faults.droppedResponsesCount = 1;
        const swapped = await store.swap([], [{ key: "d/lost", value: "x" }]);
        assert.equal(swapped.err && swapped.val.isKnownNotApplied, false);
        assert.equal((await store.read("d/lost")).unwrap()?.value, "x");
    });

    it("should time out a call without a response and continue on a new connection", async () => {
        standIn.faults.isSilent = true;
        assert.equal((await store.read("a/text")).err, true);
        standIn.faults.isSilent = false;
        assert.equal((await store.read("a/text")).ok, true);
    });

    it("should store concurrent keys in one transaction, each once", async () => {
        const commit = createGroupCommit({
            store,
            timers,
            sharedGuard: () => undefined,
            onGuardChanged: () => undefined,
            isStoreReachable: () => true,
        });
        const callsBefore = standIn.callCount("/api/kv-txn");
        const outcomes = await Promise.all(["f/1", "f/2", "f/2", "f/3"].map(key => commit.create(key, key)));
        const { revision } = (await store.read("f/1")).unwrap()!;
        const stored = { outcome: commitOutcomes.stored, revision, wasPresent: false };
        assert.deepEqual(outcomes, ["f/1", "f/2", "f/2", "f/3"].map(value => ({ ...stored, value })));
        assert.equal(standIn.callCount("/api/kv-txn") - callsBefore, 1);
        assert.deepEqual(await commit.create("f/1", "again"), { ...stored, wasPresent: true, value: "f/1" });
        assert.equal((await store.read("f/1")).unwrap()?.value, "f/1");
    });

    it("should determine the outcome of a commit without a response by a read", async () => {
        const commit = createGroupCommit({
            store,
            timers,
            sharedGuard: () => undefined,
            onGuardChanged: () => undefined,
            isStoreReachable: () => true,
        });
        standIn.faults.droppedResponsesCount = 1;
        const { outcome, revision, wasPresent } = await commit.create("g/1", "x");
        assert.deepEqual([outcome, wasPresent], [commitOutcomes.stored, true]);
        assert.equal(revision, (await store.read("g/1")).unwrap()?.revision);
    });

    it("should not commit a write that was checked against an older configuration, and return the newer one", async () => {
        await put("h/configuration", "1");
        const outdated = (await store.read("h/configuration")).unwrap()!;
        const returned: string[] = [];
        await put("h/configuration", "2");
        const commit = createGroupCommit({
            store,
            timers,
            sharedGuard: () => ({ key: "h/configuration", expectedRevision: outdated.revision }),
            onGuardChanged: current => returned.push(current.value),
            isStoreReachable: () => true,
        });
        assert.deepEqual(await commit.create("h/job", "x"), { outcome: commitOutcomes.outdated });
        assert.deepEqual(returned, ["2"]);
        assert.equal((await store.read("h/job")).unwrap(), undefined);
    });

    describe("scheduling ownership", () => {
        const startContenders = (names: readonly string[], signal: AbortSignal) => {
            const mirror = mirrorOf("nutmegjunction/", signal);
            return names.map(name => {
                const terms: OwnershipTerm[] = [];
                const ownership: SchedulingOwnership = createSchedulingOwnership({
                    memberId: name,
                    nodeName: name.replace(/\d$/, ""),
                    store,
                    mirror: () => mirror,
                    timers,
                    logger: createSilentLogger(),
                    signal,
                    leaseMs: 1_500,
                    gracePeriodMs: 1_000,
                    acquireDelayMs: 0,
                    random: () => 0,
                    onAcquired: term => terms.push(term),
                    onLost: () => undefined,
                });
                return { terms, ownership };
            });
        };

        it("should have one owner and, as soon as it releases, a successor with a higher token", async () => {
            const signal = new AbortController();
            const [first, second] = startContenders(["p1", "q1"], signal.signal);
            await waitUntil("there is an owner", () => [first!, second!].some(each => each.ownership.isLeaseValid()));
            const [owner, other] = first!.ownership.isLeaseValid() ? [first!, second!] : [second!, first!];
            assert.equal(other.ownership.maySendOrders(), false);
            await owner.ownership.release();
            await waitUntil("the other process took over", () => other.ownership.isLeaseValid());
            assert.ok(other.terms[0]!.token > owner.terms[0]!.token);
            await other.ownership.release();
            signal.abort();
        });

        it("should let a restarted process take over at once from its previous incarnation", async () => {
            const [former, latter] = [new AbortController(), new AbortController()];
            const [old] = startContenders(["r1"], former.signal);
            await waitUntil("there is an owner", () => old!.ownership.isLeaseValid());
            former.abort();
            const startedAtMs = timers.nowMs();
            const [restarted] = startContenders(["r2"], latter.signal);
            await waitUntil("the restarted process is the owner", () => restarted!.ownership.isLeaseValid());
            assert.ok(timers.nowMs() - startedAtMs < 1_500, "it waited until the lease ended");
            await restarted!.ownership.release();
            latter.abort();
        });

        it("should continue its term if only its own lease ended", async () => {
            const signal = new AbortController();
            const [owner] = startContenders(["s1"], signal.signal);
            await waitUntil("there is an owner", () => owner!.ownership.isLeaseValid());
            for (let leaseId = 100; leaseId < 140; leaseId++) {
                standIn.endLease(leaseId);
            }
            await waitUntil("it is the owner again", () => owner!.terms.length === 2);
            assert.equal(owner!.terms[1]!.isContinued, true);
            await owner!.ownership.release();
            signal.abort();
        });

        it("should lose the ownership when a worker rejects its token", async () => {
            const signal = new AbortController();
            const [owner] = startContenders(["t1"], signal.signal);
            await waitUntil("there is an owner", () => owner!.ownership.isLeaseValid());
            owner!.ownership.onFenced();
            assert.equal(owner!.ownership.maySendOrders(), false);
            signal.abort();
        });
    });
});
