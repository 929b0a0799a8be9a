/** A store stand-in, a client of it, and mirrors of its keys. */
import assert from "node:assert/strict";
import { createStoreClient } from "../../platform/storeClient.js";
import { createTimerService, delay } from "../../src/common/timerService.js";
import type { ChangeFeedStore } from "../../src/connection/platformStore.js";
import { createStoreMirror, type StoreMirror, type StoreMirrorOptions } from "../../src/process/storeMirror.js";
import { openStoreCalls, startStoreStandIn, type StoreStandIn } from "./storeStandIn.js";

const timers = createTimerService();

export async function waitUntil(what: string, condition: () => boolean): Promise<void> {
    const deadlineMs = timers.nowMs() + 8_000;
    while (!condition()) {
        assert.ok(timers.nowMs() < deadlineMs, `still waiting until ${what}`);
        await delay(timers, 5);
    }
}

export interface MirrorFixture {
    standIn: StoreStandIn;
    store: ChangeFeedStore;
    put(key: string, value: string): Promise<void>;
    openMirror(prefix: string, signal: AbortSignal, options?: Partial<StoreMirrorOptions>): StoreMirror;
    close(): void;
}

export async function openMirrorFixture(): Promise<MirrorFixture> {
    const lifetime = new AbortController();
    const standIn = await startStoreStandIn();
    const store = createStoreClient({
        callService: openStoreCalls(standIn.address, lifetime.signal),
        timers,
        signal: lifetime.signal,
        onAvailabilityChange: () => undefined,
        onWatchRestart: () => undefined,
        onWatchResponse: () => undefined,
        onWatchFailure: () => undefined,
    });
    return {
        standIn,
        store,
        put: async (key, value) => {
            const present = (await store.read(key)).unwrap();
            const swapped = await store.swap([{ key, expectedRevision: present?.revision ?? 0 }], [{ key, value }]);
            assert.ok(swapped.unwrap().isSwapped);
        },
        openMirror: (prefix, signal, options) =>
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
                ...options,
            }),
        close: () => {
            lifetime.abort();
            standIn.close();
        },
    };
}
