/**
 * Manages this process's allotment of each team's limit. Requests are admitted against the local allotment, so that no
 * store call is needed per request.
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
    /** Whether a request of the team can start now. */
    canAcquire(team: string): boolean;
    /** Takes a slot of the team's allotment, if one is free. */
    tryAcquire(team: string): boolean;
    release(team: string): void;
    /** Adds `change` to the number of requests that wait for a slot of the team. */
    changeWaitingCount(team: string, change: number): void;
    /** Registers a callback for when the cap of any team has increased. */
    onCapIncrease(callback: () => void): void;
    /** The latest allotment document that was read or written. */
    document(): AllotmentDocument;
    /** Cap and slots in use by team, for the status report. */
    usage(): Record<string, { capSlots: number; usedSlots: number }>;
    /** Returns all slots to the teams; resolves with whether the store accepted the write. */
    handBack(): Promise<boolean>;
}

export interface AllotmentManagerOptions {
    holderId: string;
    store: PlatformStore;
    timers: TimerService;
    logger: Logger;
    system: ActorSystemRef;
    signal: AbortSignal;
    /** Limits of the current configuration, or `undefined` before the first one was received. */
    limits(): TeamLimits | undefined;
    /** Whether the process has a member record, without which its allotments could not be reclaimed after a crash. */
    isRegistered(): boolean;
    /** Longest time that a request may run, in milliseconds. */
    longestRunMs(): number;
    onCapChange(team: string, capSlots: number): void;
    randomBelow: RandomBelow;
}

const stepIntervalMs = 200;
/** A request that finds no free slot triggers a step immediately, but steps so triggered are at least this far apart. */
const minimumStepGapMs = 50;
const maximumSwapAttempts = 10;
/** Maximum delay before the first retry of a conflicting write; it grows linearly with each attempt. */
const retryJitterMs = 10;

type Message = { type: "step" } | { type: "readAgain" } | { type: "handBack"; done: (isDone: boolean) => void };

/** Creates the manager. It starts without slots and acquires them in periodic steps. */
export function createAllotmentManager(options: AllotmentManagerOptions): AllotmentManager {
    const { holderId, store, timers, logger } = options;
    const capIncreaseCallbacks: (() => void)[] = [];
    const demand = createTeamDemand(timers, options.signal);
    /** Slots by team above which no request starts, while this process has to return slots to other holders. */
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
        onCapIncrease: () => capIncreaseCallbacks.forEach(callback => callback()),
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

    /** Attempts one compare-and-swap; returns `retry` if another holder wrote first. */
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
        applyStored(swapped.val.current[0], known.revision);
        return "retry";
    };

    const swapWithRetries = async (change: (document: AllotmentDocument) => AllotmentDocument): Promise<boolean> => {
        for (let attempt = 0; attempt < maximumSwapAttempts; attempt++) {
            const result = await swapOnce(change);
            if (result !== "retry") {
                return result === "done";
            }
            await delay(timers, options.randomBelow(retryJitterMs * (attempt + 1)), options.signal);
        }
        return false;
    };

    const applyStored = (stored: StoredValue | undefined, revisionBefore?: number): boolean => {
        const document = stored ? JSON.parse(stored.value) as AllotmentDocument : emptyAllotments;
        return tracker.observe(document, stored?.revision ?? 0, revisionBefore);
    };

    const readAgain = async (): Promise<void> => {
        const revisionBefore = tracker.known().revision;
        const read = await store.read(storeKeys.allotments);
        if (read.ok) {
            applyStored(read.val, revisionBefore);
        }
    };

    const receive = async (_state: undefined, message: Message): Promise<undefined> => {
        if (message.type === "handBack") {
            isHandedBack = true;
            message.done(await swapWithRetries(document => removeHolder(document, holderId)));
            return undefined;
        }
        if (message.type === "readAgain") {
            await readAgain();
            return undefined;
        }
        tracker.refresh();
        const limits = options.limits();
        if (!isHandedBack && limits && options.isRegistered() && tracker.hasObserved()) {
            await swapWithRetries(document => plan(document, limits));
        }
        return undefined;
    };
    const send = spawnActor<undefined, Message>({
        system: options.system,
        name: "allotments",
        initialState: undefined,
        logger,
        receive,
        isCoalescable: message => message.type === "step",
    });

    const step = (): void => {
        lastStepMs = timers.nowMs();
        send({ type: "step" });
    };
    const triggerStep = (): void => {
        if (timers.nowMs() - lastStepMs > minimumStepGapMs) {
            step();
        }
    };
    timers.every(stepIntervalMs, options.signal, step);
    store.watchPrefix(storeKeys.allotmentsPrefix, options.signal, values => {
        if (!applyStored(values.find(value => value.key === storeKeys.allotments))) {
            send({ type: "readAgain" });
        }
        triggerStep();
    });

    const usableSlots = (team: string): number => Math.min(tracker.capSlots(team), ceilings.get(team) ?? Number.POSITIVE_INFINITY);
    const canAcquire = (team: string): boolean => demand.usedSlots(team) < usableSlots(team);
    return {
        canAcquire,
        tryAcquire: team => {
            if (!canAcquire(team)) {
                triggerStep();
                return false;
            }
            demand.changeUsed(team, 1);
            return true;
        },
        release: team => demand.changeUsed(team, -1),
        changeWaitingCount: (team, change) => {
            demand.changeWaiting(team, change);
            if (change > 0) {
                triggerStep();
            }
        },
        onCapIncrease: callback => void capIncreaseCallbacks.push(callback),
        document: () => tracker.known().document,
        usage: () =>
            Object.fromEntries(
                tracker.teams().map(team => [team, { capSlots: tracker.capSlots(team), usedSlots: demand.usedSlots(team) }]),
            ),
        handBack: () => new Promise(done => send({ type: "handBack", done })),
    };
}
