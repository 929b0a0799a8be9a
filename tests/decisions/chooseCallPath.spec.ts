/** Replays a service that refuses a third of the processes, a zone that loses it as a whole, and an outage of all of it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createSeededRandom } from "../../harness/random.js";
import { type CallNeighbour, chooseNeighbour } from "../../src/decisions/chooseCallPath.js";

const zones = ["zone-1", "zone-2", "zone-3"];
const processesCount = 34;
const ownZone = zones[0]!;
const stepMs = 20;
const maxAttempts = 2;

interface Process {
    name: string;
    zone: string;
    isServed: boolean;
    callsCount: number;
}

/** Calls of one process that the service refuses, which tries at most two neighbours a call. */
function replay(options: { isServed(index: number, zone: string): boolean; calls: number; seed: number }) {
    const random = createSeededRandom(options.seed);
    const processes = Array.from({ length: processesCount }, (_, index): Process => {
        const zone = zones[index % zones.length]!;
        return { name: `process-${index}`, zone, isServed: options.isServed(index, zone), callsCount: 0 };
    });
    const failures = new Map<string, number>();
    let current: string | undefined;
    let served = 0;
    let attemptsCount = 0;
    for (let call = 0; call < options.calls; call++) {
        const nowMs = call * stepMs;
        const tried = new Set<string>();
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            const neighbours = processes.map(({ name, zone }): CallNeighbour => ({
                name,
                isSameZone: zone === ownZone,
                failedAtMs: failures.get(name),
                isCurrent: name === current,
            }));
            const name = chooseNeighbour({ nowMs, neighbours, tried, random: random.unit() });
            const neighbour = processes.find(each => each.name === name);
            if (!neighbour) {
                break;
            }
            tried.add(neighbour.name);
            neighbour.callsCount += 1;
            attemptsCount += 1;
            if (neighbour.isServed) {
                failures.delete(neighbour.name);
                current = neighbour.name;
                served += 1;
                break;
            }
            failures.set(neighbour.name, nowMs);
            current = current === neighbour.name ? undefined : current;
        }
    }
    return { served, attemptsCount, processes };
}

describe("the neighbour that passes on a call", () => {
    for (const seed of [1, 2, 3, 4, 5]) {
        it(`should be one that is served, found within a few calls, while a third is refused: seed ${seed}`, () => {
            const { served, processes } = replay({ isServed: index => index % 3 !== 1 || index > 30, calls: 400, seed });
            assert.ok(served >= 398, `${served} of 400 calls were served`);
            assert.ok(processes.filter(each => each.callsCount > 1).length <= 2, "one neighbour is kept");
        });

        it(`should be in another zone when the own one is cut off: seed ${seed}`, () => {
            const { served, processes } = replay({ isServed: (_, zone) => zone !== ownZone, calls: 400, seed });
            assert.ok(served >= 399, `${served} of 400 calls were served`);
            assert.ok(processes.filter(each => each.zone === ownZone && each.callsCount > 0).length <= 1);
        });
    }

    it("should not multiply the calls while the whole service is away", () => {
        const { attemptsCount } = replay({ isServed: () => false, calls: 500, seed: 1 });
        // Ten seconds: each neighbour is tried again after its rest only.
        assert.ok(attemptsCount <= processesCount * Math.ceil(500 * stepMs / 1_500), `${attemptsCount} attempts`);
    });
});
