/**
 * The parts of the teams' limits that this process holds. A request starts only against its team's part; no store call
 * is made per request.
 */
import { newChangeId } from "../common/ids.js";
import { delay, type TimerService } from "../common/timerService.js";
import { storeKeys } from "../connection/members.js";
import type { PlatformStore, StoredValue } from "../connection/platformStore.js";
import { type AllotmentDocument, emptyAllotments, planHolderStep, removeHolder, setAllotment, setLimits } from "../decisions/allotments.js";
import type { RandomBelow } from "../decisions/chooseServer.js";
import type { TeamLimits } from "../version/fleetVersion.js";
import { type ActorSystemRef, spawnActor } from "./actors.js";
import { createGrantTracker } from "./grantTracker.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import { createTeamDemand } from "./teamDemand.js";

export interface AllotmentManager {
    /** Whether a request of the team could start now. */
    canAcquire(team: string): boolean;
    /** Takes a slot of the team's part, if one is free. */
    tryAcquire(team: string): boolean;
    release(team: string): void;
    /** Counts requests that wait for a slot of the team. */
    changeWaitingCount(team: string, change: number): void;
    /** Calls back when parts may have grown. */
    onCapIncrease(callback: () => void): void;
    /** The newest document seen. */
    document(): AllotmentDocument;
    /** Parts and use by team, for status. */
    usage(): Record<string, { capSlots: number; usedSlots: number }>;
    /** Gives everything back; tells whether the store took it. */
    handBack(): Promise<boolean>;
}

export interface AllotmentManagerOptions {
    holderId: string;
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    system: ActorSystemRef;
    signal: AbortSignal;
    /** The limits in force, or `undefined` before there are any. */
    limits(): TeamLimits | undefined;
    /** Whether the process is registered, so that its end can be noticed. */
    isRegistered(): boolean;
    /** Longest time that a request may run, in milliseconds. */
    longestRunMs(): number;
    onCapChange(team: string, capSlots: number): void;
    randomBelow: RandomBelow;
}

const stepIntervalMs = 200;
/** A request that finds no slot asks for a step at once, but not more often than this. */
const shortestStepGapMs = 50;
const swapAttempts = 10;
/** Holders that were overtaken try again after a random part of this time, which grows with each attempt. */
const retrySpreadMs = 10;

type Message = { type: "step" } | { type: "readAgain" } | { type: "handBack"; done: (isDone: boolean) => void };

/** Creates the holder; it starts with nothing and asks for parts in steps. */
export function createAllotmentManager(options: AllotmentManagerOptions): AllotmentManager {
    const { holderId, store, timers, logger } = options;
    const grownCallbacks: (() => void)[] = [];
    const demand = createTeamDemand(timers, options.signal);
    /** Slots by team above which nothing starts, while others are due a part of this one's. */
    const ceilings = new Map<string, number>();
    let isHandedBack = false;
    let lastStepMs = -Infinity;

    const tracker = createGrantTracker({
        holderId,
        nowMs: timers.nowMs,
        longestRunMs: options.longestRunMs,
        onCapChange: (team, beforeSlots, capSlots) => {
            logger.log(logEvents.allotmentChanged, { team, beforeSlots, capSlots });
            options.onCapChange(team, capSlots);
        },
        onCapIncrease: () => grownCallbacks.forEach(callback => callback()),
    });

    const plan = (document: AllotmentDocument, limits: TeamLimits): AllotmentDocument => {
        let next = setLimits(document, limits.limitSlots, limits.version);
        Object.keys(next.teams).forEach(team => {
            if (!limits.limitSlots.has(team) && next.teams[team]!.holders[holderId] === undefined) {
                return;
            }
            const step = planHolderStep(next.teams[team]!, holderId, demand.demandOf(team));
            ceilings.set(team, step.ceilingSlots);
            if (step.write) {
                next = setAllotment(next, team, holderId, tracker.clampGrant(team, step.write));
            }
        });
        return next;
    };

    /** One compare-and-swap; `retry` if another holder was faster. */
    const swapOnce = async (change: (document: AllotmentDocument) => AllotmentDocument): Promise<"done" | "retry" | "failed"> => {
        const known = tracker.known();
        const next = change(known.document);
        if (next === known.document) {
            return "done";
        }
        const written = { ...next, changeId: newChangeId() };
        const guard = { key: storeKeys.allotments, expectedRevision: known.revision };
        tracker.beginWrite(written, known.revision);
        const swapped = await store.swap([guard], [{ key: storeKeys.allotments, value: JSON.stringify(written) }]);
        if (swapped.err) {
            logger.log(logEvents.allotmentFailed, { reason: swapped.val.reason });
            return "failed";
        }
        if (swapped.val.isSwapped) {
            tracker.confirmWrite(written, swapped.val.revision);
            return "done";
        }
        tracker.discardLastWrite();
        takeStored(swapped.val.current[0], known.revision);
        return "retry";
    };

    const swapUntilDone = async (change: (document: AllotmentDocument) => AllotmentDocument): Promise<boolean> => {
        for (let attempt = 0; attempt < swapAttempts; attempt++) {
            const result = await swapOnce(change);
            if (result !== "retry") {
                return result === "done";
            }
            await delay(timers, options.randomBelow(retrySpreadMs * (attempt + 1)), options.signal);
        }
        return false;
    };

    const takeStored = (stored: StoredValue | undefined, revisionBefore?: number): boolean => {
        const document = stored ? JSON.parse(stored.value) as AllotmentDocument : emptyAllotments;
        return tracker.observe(document, stored?.revision ?? 0, revisionBefore);
    };

    const readAgain = async (): Promise<void> => {
        const revisionBefore = tracker.known().revision;
        const read = await store.read(storeKeys.allotments);
        if (read.ok) {
            takeStored(read.val, revisionBefore);
        }
    };

    const receive = async (_state: undefined, message: Message): Promise<undefined> => {
        if (message.type === "handBack") {
            isHandedBack = true;
            message.done(await swapUntilDone(document => removeHolder(document, holderId)));
            return undefined;
        }
        if (message.type === "readAgain") {
            await readAgain();
            return undefined;
        }
        tracker.refresh();
        const limits = options.limits();
        if (!isHandedBack && limits && options.isRegistered() && tracker.hasObserved()) {
            await swapUntilDone(document => plan(document, limits));
        }
        return undefined;
    };
    const send = spawnActor<undefined, Message>({
        system: options.system,
        name: "allotments",
        initialState: undefined,
        logger,
        receive,
        isCoalesced: message => message.type === "step",
    });

    const step = (): void => {
        lastStepMs = timers.nowMs();
        send({ type: "step" });
    };
    const stepSoon = (): void => {
        if (timers.nowMs() - lastStepMs > shortestStepGapMs) {
            step();
        }
    };
    timers.every(stepIntervalMs, options.signal, step);
    store.watchPrefix(storeKeys.allotmentsPrefix, options.signal, values => {
        if (!takeStored(values.find(value => value.key === storeKeys.allotments))) {
            send({ type: "readAgain" });
        }
        stepSoon();
    });

    const usableSlots = (team: string): number => Math.min(tracker.capSlots(team), ceilings.get(team) ?? Number.POSITIVE_INFINITY);
    const canAcquire = (team: string): boolean => demand.usedSlots(team) < usableSlots(team);
    return {
        canAcquire,
        tryAcquire: team => {
            if (!canAcquire(team)) {
                stepSoon();
                return false;
            }
            demand.changeUsed(team, 1);
            return true;
        },
        release: team => demand.changeUsed(team, -1),
        changeWaitingCount: (team, change) => {
            demand.changeWaiting(team, change);
            if (change > 0) {
                stepSoon();
            }
        },
        onCapIncrease: callback => void grownCallbacks.push(callback),
        document: () => tracker.known().document,
        usage: () =>
            Object.fromEntries(
                tracker.teams().map(team => [team, { capSlots: tracker.capSlots(team), usedSlots: demand.usedSlots(team) }]),
            ),
        handBack: () => new Promise(done => send({ type: "handBack", done })),
    };
}
