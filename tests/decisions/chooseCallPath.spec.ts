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
                capacity: 1,
                failedAtMs: failures.get(name),
                isCurrent: name === current,
            }));
            const name = chooseNeighbour({ nowMs, neighbours, tried, random: random.unit(), hasManyCalls: false });
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

    const members = [0.1, 0.3, 0.3, 1.3].map((capacity, index): CallNeighbour => ({
        name: `vm-${index}`,
        isSameZone: index < 3,
        capacity,
        failedAtMs: undefined,
        isCurrent: index === 0,
    }));
    const choose = (overrides: Partial<Parameters<typeof chooseNeighbour>[0]>) =>
        chooseNeighbour({ nowMs: 0, neighbours: members, tried: new Set(), random: 0.5, hasManyCalls: false, ...overrides });

    it("should be the strongest of all for a process with many calls, also while another one serves it", () => {
        assert.equal(choose({ hasManyCalls: true }), "vm-3");
        assert.equal(choose({}), "vm-0");
        const withoutStrongest = members.map(each => ({ ...each, failedAtMs: each.name === "vm-3" ? 0 : undefined }));
        assert.match(choose({ hasManyCalls: true, neighbours: withoutStrongest })!, /vm-[12]/);
    });

    it("should get calls in proportion to its capacity", () => {
        const random = createSeededRandom(1);
        const neighbours = members.map(each => ({ ...each, isCurrent: false }));
        const chosen = Array.from({ length: 700 }, () => choose({ neighbours, random: random.unit() }));
        const shareOf = (name: string): number => chosen.filter(each => each === name).length / chosen.length;
        assert.ok(Math.abs(shareOf("vm-0") - 1 / 7) < 0.05, "0.1 of 0.7 in the own zone");
        assert.ok(Math.abs(shareOf("vm-1") - 3 / 7) < 0.07);
    });
});
