/** Property test of the grant tracker: several holders share one document, and responses are lost or late. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    type AllotmentDocument,
    emptyAllotments,
    planHolderStep,
    setAllotment,
    setLimits,
    sumGranted,
} from "../../src/decisions/allotments.js";
import { createGrantTracker, type GrantTracker } from "../../src/process/grantTracker.js";

const seed = 20261204;
const runsCount = 20_000;
const holdersCount = 3;
const limitSlots = 5;
const team = "vik";

/** A random event at one holder. */
const holderEvent = fc.record({
    holder: fc.nat(holdersCount - 1),
    what: fc.constantFrom("start", "start", "end", "read", "write", "writeLost", "writeDelayed", "arrive", "demandHigh", "demandLow"),
});

interface DelayedWrite {
    document: AllotmentDocument;
    expectedRevision: number;
}

interface HolderUnderTest {
    holderId: string;
    tracker: GrantTracker;
    usedSlots: number;
    wantedSlots: number;
    delayed: DelayedWrite[];
}

function createSimulation() {
    const store = { document: setLimits(emptyAllotments, new Map([[team, limitSlots]]), 1), revision: 1 };
    const holders: HolderUnderTest[] = Array.from({ length: holdersCount }, (_, index) => {
        const holderId = `h${index}`;
        const tracker = createGrantTracker({
            holderId,
            nowMs: () => 0,
            longestRunMs: () => 1,
            onCapChange: () => undefined,
            onCapIncrease: () => undefined,
        });
        return { holderId, tracker, usedSlots: 0, wantedSlots: 0, delayed: [] };
    });
    let changesCount = 0;

    const swap = (write: DelayedWrite): boolean => {
        if (store.revision !== write.expectedRevision) {
            return false;
        }
        store.document = write.document;
        store.revision++;
        return true;
    };
    const read = (holder: HolderUnderTest): void =>
        void holder.tracker.observe(store.document, store.revision, holder.tracker.known().revision);

    const plan = (holder: HolderUnderTest): DelayedWrite | undefined => {
        const known = holder.tracker.known();
        if (!holder.tracker.hasObserved()) {
            return undefined;
        }
        const step = planHolderStep(known.document.teams[team]!, holder.holderId, holder);
        const changeId = `c${changesCount++}`;
        return step.write &&
            {
                document: { ...setAllotment(known.document, team, holder.holderId, step.write), changeId },
                expectedRevision: known.revision,
            };
    };

    const write = (holder: HolderUnderTest, outcome: "answered" | "lost" | "delayed"): void => {
        const planned = plan(holder);
        if (!planned) {
            return;
        }
        holder.tracker.beginWrite(planned.document, planned.expectedRevision);
        if (outcome === "delayed") {
            holder.delayed.push(planned);
            return;
        }
        const isSwapped = swap(planned);
        if (outcome === "lost") {
            return;
        }
        if (isSwapped) {
            holder.tracker.confirmWrite(planned.document, store.revision);
            return;
        }
        holder.tracker.discardLastWrite();
        read(holder);
    };

    const handlers: Record<string, (holder: HolderUnderTest) => void> = {
        start: holder => {
            // The planned ceiling is not applied: the caps alone must guarantee the limit.
            holder.usedSlots += holder.usedSlots < holder.tracker.capSlots(team) ? 1 : 0;
        },
        end: holder => {
            holder.usedSlots = Math.max(0, holder.usedSlots - 1);
        },
        read,
        write: holder => write(holder, "answered"),
        writeLost: holder => write(holder, "lost"),
        writeDelayed: holder => write(holder, "delayed"),
        arrive: holder => {
            const delayed = holder.delayed.shift();
            if (delayed) {
                swap(delayed);
            }
        },
        demandHigh: holder => {
            holder.wantedSlots = 20;
        },
        demandLow: holder => {
            holder.wantedSlots = holder.usedSlots;
        },
    };
    return { store, holders, handlers };
}

describe("holders of allotments", () => {
    it("should never use or be granted more slots than the limit in total", () => {
        fc.assert(
            fc.property(fc.array(holderEvent, { minLength: 20, maxLength: 150 }), history => {
                const simulation = createSimulation();
                history.forEach(({ holder, what }) => {
                    simulation.handlers[what]!(simulation.holders[holder]!);
                    const used = simulation.holders.reduce((total, each) => total + each.usedSlots, 0);
                    assert.ok(used <= limitSlots, `${used} of ${limitSlots} used`);
                    assert.ok(sumGranted(simulation.store.document.teams[team]!) <= limitSlots);
                });
            }),
            { seed, numRuns: runsCount },
        );
    });
});
