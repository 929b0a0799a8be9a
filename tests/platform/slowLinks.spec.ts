/** How a mirror of the key-value service catches up over a slow link. */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { createTimerService, delay } from "../../src/common/timerService.js";
import { type MirrorFixture, openMirrorFixture, waitUntil } from "./mirrorFixture.js";

const timers = createTimerService();
const largeValueBytes = 50_000;

describe("a mirror behind a slow link", () => {
    let fixture: MirrorFixture;

    before(async () => {
        fixture = await openMirrorFixture();
    });
    after(() => fixture.close());

    // Guards against a write whose outcome is unknown because its rejection, with the newer configuration, outlasts the timeout.
    it("should receive a large value that rejects a write", async context => {
        const { store, put, standIn: { faults } } = fixture;
        context.after(() => {
            faults.bytesPerS = Number.POSITIVE_INFINITY;
        });
        await put("g/large", "x".repeat(2 * largeValueBytes));
        faults.bytesPerS = 1.5 * largeValueBytes;
        const swapped = await store.swap([{ key: "g/large", expectedRevision: 1 }], [{ key: "g/guarded", value: "" }]);
        assert.equal(swapped.ok && swapped.val.isSwapped, false);
        assert.equal(swapped.unwrap().current[0]?.value.length, 2 * largeValueBytes);
    });

    it("should receive a whole response when its link becomes fast meanwhile", async context => {
        const { store, put, standIn: { faults } } = fixture;
        context.after(() => {
            faults.bytesPerS = Number.POSITIVE_INFINITY;
        });
        await put("w/large", "x".repeat(largeValueBytes));
        faults.bytesPerS = 4 * largeValueBytes;
        const reading = store.read("w/large");
        await delay(timers, 100);
        faults.bytesPerS = Number.POSITIVE_INFINITY;
        assert.equal((await reading).unwrap()?.value.length, largeValueBytes);
    });

    // Guards against a watch whose response takes longer than its timeout, and which is therefore repeated without end.
    it("should catch up over a slow link with a large value that keeps changing", async context => {
        const { store, put, openMirror, standIn: { faults } } = fixture;
        const following = new AbortController();
        context.after(() => {
            following.abort();
            faults.bytesPerS = Number.POSITIVE_INFINITY;
        });
        const mirror = openMirror("v/", following.signal);
        const describeVersion = (version: number): string => `${version} `.padEnd(largeValueBytes, "x");
        await put("v/large", describeVersion(0));
        await waitUntil("the first version is visible", () => mirror.valueOf("v/large") !== undefined);
        faults.bytesPerS = 4 * largeValueBytes;
        let newestVersion = 0;
        const writeNext = async (): Promise<void> => {
            newestVersion += 1;
            (await store.swap([], [{ key: "v/large", value: describeVersion(newestVersion) }])).unwrap();
        };
        for (let count = 0; count < 12; count++) {
            await writeNext();
        }
        let lastWrite = Promise.resolve();
        timers.every(1_000, following.signal, () => lastWrite = writeNext());
        await waitUntil("a version of the last two seconds is visible", () => Number(mirror.valueOf("v/large")!.split(" ")[0]) > 11);
        await waitUntil("the mirror counts as current", () => mirror.ageMs()! < 2_000);
        following.abort();
        await lastWrite;
    });

    it("should read values anew instead of all their versions after a gap", async context => {
        const { store, put, openMirror, standIn: { faults } } = fixture;
        const following = new AbortController();
        context.after(() => {
            following.abort();
            faults.bytesPerS = Number.POSITIVE_INFINITY;
            faults.failedWatchPrefix = undefined;
        });
        const mirror = openMirror("r/", following.signal, { rereadAfterMs: 300 });
        const versionsCount = 20;
        await put("r/large", "0");
        await waitUntil("the first version is visible", () => mirror.valueOf("r/large") === "0");
        faults.failedWatchPrefix = "r/";
        for (let version = 1; version <= versionsCount; version++) {
            (await store.swap([], [{ key: "r/large", value: String(version).padEnd(largeValueBytes) }])).unwrap();
            await delay(timers, 30);
        }
        const readAtMs = timers.nowMs();
        faults.bytesPerS = 4 * largeValueBytes;
        faults.failedWatchPrefix = undefined;
        await waitUntil("the last version is visible", () => Number(mirror.valueOf("r/large")) === versionsCount);
        const allVersionsMs = 1_000 * versionsCount * largeValueBytes / faults.bytesPerS;
        assert.ok(timers.nowMs() - readAtMs < allVersionsMs / 2, `${timers.nowMs() - readAtMs} of ${allVersionsMs} ms`);
    });
});
