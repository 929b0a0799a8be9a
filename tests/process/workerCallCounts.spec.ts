/** Guards against listings that show nothing new and that the owner's log does not tell from others. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ListOrder, ListResponse, WorkerClient } from "../../src/connection/workerClient.js";
import { countWorkerCalls } from "../../src/process/workerCallCounts.js";
import { commandOutcomes } from "../../src/scheduling/commandOutcomes.js";
import type { WorkerEntry } from "../../src/scheduling/workerRecord.js";
import { emptyListing, listedEnd, noResponse } from "./sessionFixture.js";

const accepted = { outcome: commandOutcomes.accepted, reason: "", isFenced: false, clockMs: 0 };
const order: ListOrder = { token: 1, acknowledgedEndNumber: 0, leaseUntilClockMs: undefined, waitMs: 0 };

describe("the counts of calls to workers", () => {
    it("should tell listings that were refused or returned only known ends from others", async () => {
        const listed = (endNumbers: readonly number[]): ListResponse => ({
            ...accepted,
            listing: { ...emptyListing, ended: endNumbers.map(endNumber => ({ ...listedEnd, endNumber })) },
        });
        const refused = { ...accepted, outcome: commandOutcomes.refused, isDisconnected: true, listing: undefined };
        const unanswered = { ...noResponse, listing: undefined };
        const responses: ListResponse[] = [listed([1]), listed([1]), listed([1, 2]), listed([]), listed([1, 2]), refused, unanswered];
        const expected = { startsCount: 0, stopsCount: 0, listingsCount: responses.length, unansweredCount: 1 };
        const calls = countWorkerCalls(() => ({ list: () => Promise.resolve(responses.shift()!) }) as unknown as WorkerClient);
        const client = calls.connectWorker({} as WorkerEntry);
        while (responses.length > 0) {
            await client.list(order);
        }
        assert.deepEqual(calls.take(), { ...expected, disconnectedListingsCount: 1, repeatedListingsCount: 2 });
        assert.equal(calls.take().repeatedListingsCount, 0);
    });
});
