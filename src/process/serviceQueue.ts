/** The queue of one service: which request goes next, and which one makes room. */
import { chooseTeam, isPatientTurn, worthPerSlotMs } from "../decisions/chooseTeam.js";
import { priorities } from "../version/fleetDocument.js";
import type { AdmissionRequest, AdmissionResult } from "./admissionTypes.js";
import { createWaitingLane, type WaitingLane } from "./perTeamQueue.js";

/** A request that waits. */
export interface Waiter {
    request: AdmissionRequest;
    /** Monotonic time of its arrival. */
    sinceMs: number;
    settle(result: AdmissionResult): void;
    cancelDeadline(): void;
}

export interface ServiceQueue {
    /** Pool that serves the queue now. */
    pool(): string;
    setPool(pool: string): void;
    add(waiter: Waiter): void;
    /** Takes a waiter out; tells whether it was there. */
    remove(waiter: Waiter): boolean;
    /** The waiter that goes next among those that `canStart`. */
    next(canStart: (request: AdmissionRequest) => boolean, usageMs: (team: string) => number): Waiter | undefined;
    /** The waiter of least worth for the slot time that it needs. */
    leastWorth(): Waiter | undefined;
    noteStart(): void;
    waiters(): Waiter[];
    waitingCount(): number;
}

/** Patient work gets at least this part of the starts while urgent work waits too. */
const patientFloorPart = 0.05;

/** Next waiter of a lane whose team may start, the team furthest below its share first. */
function nextOf(
    lane: WaitingLane<Waiter>,
    canStart: (request: AdmissionRequest) => boolean,
    usageMs: (team: string) => number,
): Waiter | undefined {
    const startable = lane.teams().map(team => ({ team, first: lane.first(team)! })).filter(({ first }) => canStart(first.request));
    const backlogs = startable.map(({ team, first }) => ({ team, shareWeight: first.request.shareWeight, recentUsageMs: usageMs(team) }));
    const chosen = chooseTeam(backlogs);
    return startable.find(({ team }) => team === chosen)?.first;
}

/** Creates an empty queue. */
export function createServiceQueue(): ServiceQueue {
    const urgent = createWaitingLane<Waiter>();
    const patient = createWaitingLane<Waiter>();
    let servingPool = "";
    let startsCount = 0;

    const laneOf = (request: AdmissionRequest): WaitingLane<Waiter> => request.priority === priorities.urgent ? urgent : patient;
    const waiters = (): Waiter[] => [...patient.items(), ...urgent.items()];

    return {
        pool: () => servingPool,
        setPool: pool => {
            servingPool = pool;
        },
        add: waiter => {
            const lane = laneOf(waiter.request);
            if (waiter.request.isRetry) {
                lane.unshift(waiter.request.team, waiter);
                return;
            }
            lane.push(waiter.request.team, waiter);
        },
        remove: waiter => laneOf(waiter.request).remove(waiter.request.team, waiter),
        next: (canStart, usageMs) => {
            const isPatientFirst = urgent.size() > 0 && patient.size() > 0 && isPatientTurn(startsCount, patientFloorPart);
            const [first, second] = isPatientFirst ? [patient, urgent] : [urgent, patient];
            return nextOf(first!, canStart, usageMs) ?? nextOf(second!, canStart, usageMs);
        },
        leastWorth: () => {
            let least: Waiter | undefined;
            waiters().forEach(waiter => {
                if (!least || worthPerSlotMs(waiter.request) < worthPerSlotMs(least.request)) {
                    least = waiter;
                }
            });
            return least;
        },
        noteStart: () => {
            startsCount++;
        },
        waiters,
        waitingCount: () => urgent.size() + patient.size(),
    };
}
