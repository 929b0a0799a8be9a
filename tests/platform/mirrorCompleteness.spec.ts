/**
 * Guards against an owner that begins with less than its mirror says: whatever reads and watches miss, cut short or get through a neighbour,
 * the mirror holds every change up to its revision. Real sockets, on a store whose history is discarded again and again.
 */
import assert from "node:assert/strict";
import { once, setMaxListeners } from "node:events";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { createSeededRandom, type SeededRandom } from "../../harness/random.js";
import { createStoreClient } from "../../platform/storeClient.js";
import { createTimerService, delay } from "../../src/common/timerService.js";
import { openCallRelayLink, startCallRelayServer } from "../../src/connection/callRelay.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";
import { type CallService, type JsonRequestResult, neverSent, responseLost } from "../../src/connection/serviceCalls.js";
import { createSilentLogger } from "../../src/process/logger.js";
import { createRelayedCalls } from "../../src/process/relayedCalls.js";
import { createStoreMirror, type StoreMirror } from "../../src/process/storeMirror.js";
import { waitUntil } from "./mirrorFixture.js";
import { openStoreCalls, startStoreStandIn, type StoreStandIn } from "./storeStandIn.js";

const timers = createTimerService();
const prefix = "k/";
const keysCount = 25;
const changesCount = 800;

interface Written {
    key: string;
    value: string | undefined;
    revision: number;
}

/** What the mirror lacks of the changes up to its revision. */
function findMissing(mirror: StoreMirror, written: readonly Written[]): string[] {
    const last = new Map<string, Written>();
    written.filter(({ revision }) => revision <= mirror.revision()).forEach(each => last.set(each.key, each));
    return [...last.values()].flatMap(({ key, value, revision }) => {
        const present = mirror.revisionOf(key);
        const isDeletedLater = written.some(each => each.key === key && each.value === undefined && each.revision > revision);
        const isMissing = present < revision && !(present === 0 && (value === undefined || isDeletedLater));
        const isStale = present !== 0 && present < revision;
        return isMissing || isStale ? [`${key} at ${present} instead of ${revision}, mirror at ${mirror.revision()}`] : [];
    });
}

describe("the mirror, beside faults of the store and of the way to it", () => {
    const lifetime = new AbortController();
    let standIn: StoreStandIn;
    let relayAddress: string;

    before(async () => {
        standIn = await startStoreStandIn();
        const direct = openStoreCalls(standIn.address, lifetime.signal);
        const server = http.createServer();
        startCallRelayServer({
            host: "127.0.0.1",
            port: 0,
            callDirectly: direct,
            isServed: () => true,
            timers,
            signal: lifetime.signal,
            createServer: onUpgrade => server.on("upgrade", onUpgrade),
            maxPartialBytes: 10_000_000,
            onPartialBytesExceeded: () => assert.fail("messages are too large"),
            onInvalidMessage: () => undefined,
            onListenFailed: reason => assert.fail(reason),
        });
        await once(server, "listening");
        relayAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    });
    after(() => {
        lifetime.abort();
        standIn.close();
    });

    /** Calls that are refused, or whose responses are lost, at random; many go through a neighbour then. */
    const openCalls = (random: SeededRandom, signal: AbortSignal, counts: { relayed: number }): CallService => {
        const direct = openStoreCalls(standIn.address, signal);
        const calls = createRelayedCalls({
            callDirectly: async (request): Promise<JsonRequestResult> => {
                const fault = random.between(0, 7);
                if (fault === 0) {
                    return neverSent("refused");
                }
                const result = await direct(request);
                return fault === 1 ? responseLost("lost") : result;
            },
            probe: { method: "GET", path: "/api/kv-range?prefix=~", timeoutMs: 500 },
            ownZone: "zone",
            hasManyCalls: () => false,
            members: () => [{ name: "neighbour", address: relayAddress, zone: "zone", capacity: 1 }],
            openLink: (address, onClosed) => openCallRelayLink({ address, timers, onClosed }),
            timers,
            logger: createSilentLogger(),
            signal,
            random: random.unit,
        });
        return async request => {
            const result = await calls.call(request);
            counts.relayed += result.hasResponse && result.response.neighbour !== undefined ? 1 : 0;
            return result;
        };
    };
    const changeFaults = (random: SeededRandom): void => {
        const { faults } = standIn;
        faults.itemsPerPage = random.pick([1, 3, 500]);
        faults.revisionsPerWatch = random.pick([1, 3, Number.POSITIVE_INFINITY]);
        faults.responseDelayMs = random.pick([0, 0, 5, 40]);
        const fault = random.between(0, 5);
        if (fault === 0) {
            standIn.compact();
        }
        else if (fault === 1) {
            standIn.dropConnections();
        }
        else if (fault === 2) {
            faults.errorStatus = 503;
            timers.after(20, () => delete faults.errorStatus);
        }
    };

    let revision = 1;
    for (const seed of [1, 2, 3]) {
        it(`should hold every change up to its revision, seed ${seed}`, async () => {
            const random = createSeededRandom(seed);
            const following = new AbortController();
            setMaxListeners(0, following.signal);
            const written: Written[] = [];
            const missing: string[] = [];
            const counts = { relayed: 0, restarts: 0, checks: 0, learned: 0 };
            const store: ChangeFeedStore = createStoreClient({
                callService: openCalls(random, following.signal, counts),
                timers,
                signal: following.signal,
                onAvailabilityChange: () => undefined,
                onWatchRestart: () => counts.restarts += 1,
                onWatchResponse: () => undefined,
                onWatchFailure: () => undefined,
            });
            const check = (): void => {
                counts.checks += 1;
                missing.push(...findMissing(mirror, written));
            };
            const mirror = createStoreMirror({
                ...{ store, prefix, timers, signal: following.signal },
                pauseMs: () => random.pick([0, 5, 20]),
                onChange: () => undefined,
                onChangeFailed: (_, reason) => assert.fail(reason),
                onBatchApplied: check,
                onConfirmed: () => mirror.revision() > 0 && check(),
            });
            const learn = async (key: string): Promise<void> => {
                const read = await store.read(key);
                if (read.ok && read.val) {
                    counts.learned += 1;
                    mirror.learn(read.val);
                    check();
                }
            };
            for (let count = 0; count < changesCount; count++) {
                const key = `${prefix}${random.between(1, keysCount)}`;
                const value = random.between(0, 3) === 0 ? undefined : String(count);
                revision += 1;
                written.push({ key, value, revision });
                if (value === undefined) {
                    standIn.removeItem(key);
                }
                else {
                    standIn.putItem({ key, value: btoa(value) });
                }
                if (random.between(0, 3) === 0) {
                    void learn(`${prefix}${random.between(1, keysCount)}`);
                }
                if (random.between(0, 9) === 0) {
                    changeFaults(random);
                }
                await delay(timers, random.between(0, 6));
            }
            standIn.faults.responseDelayMs = 0;
            await waitUntil("the mirror holds all changes", () => mirror.revision() >= revision);
            following.abort();
            assert.deepEqual(missing, []);
            assert.ok(Object.values(counts).every(count => count > 0), JSON.stringify(counts));
        });
    }
});
