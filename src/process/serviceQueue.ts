/** Queue of one service: selects the request to start next, and the one to evict when the queue is full. */
import { chooseTeam, isPatientTurn, worthPerSlotMs } from "../decisions/chooseTeam.js";
import { priorities } from "../version/fleetDocument.js";
import type { AdmissionRequest, AdmissionResult } from "./admissionTypes.js";
import { createPerTeamQueue, type PerTeamQueue } from "./perTeamQueue.js";

/** A request that waits in the queue. */
export interface Waiter {
    request: AdmissionRequest;
    /** Monotonic time at which the request arrived. */
    sinceMs: number;
    resolve(result: AdmissionResult): void;
    cancelDeadline(): void;
}

export interface ServiceQueue {
    /** Pool whose servers run the requests of the queue. */
    pool(): string;
    setPool(pool: string): void;
    add(waiter: Waiter): void;
    /** Removes a request; returns whether it was queued. */
    remove(waiter: Waiter): boolean;
    /** Returns the request to start next among those that `canStart` accepts. */
    selectNext(canStart: (request: AdmissionRequest) => boolean, usageMs: (team: string) => number): Waiter | undefined;
    /** Returns the request with the lowest worth per slot time. */
    lowestWorth(): Waiter | undefined;
    recordStart(): void;
    waiters(): Waiter[];
    waitingCount(): number;
}

/** Minimum fraction of the starts that go to patient requests while urgent ones are queued too. */
const minimumPatientFraction = 0.05;

/** Selects the first request of the team that is furthest below its share, among the teams that may start one. */
function selectNextInClass(
    queue: PerTeamQueue<Waiter>,
    canStart: (request: AdmissionRequest) => boolean,
    usageMs: (team: string) => number,
): Waiter | undefined {
    const startable = queue.teams().map(team => ({ team, first: queue.peek(team)! })).filter(({ first }) => canStart(first.request));
    const backlogs = startable.map(({ team, first }) => ({ team, shareWeight: first.request.shareWeight, recentUsageMs: usageMs(team) }));
    const chosen = chooseTeam(backlogs);
    return startable.find(({ team }) => team === chosen)?.first;
}

/** Creates an empty queue. */
export function createServiceQueue(): ServiceQueue {
    const urgent = createPerTeamQueue<Waiter>();
    const patient = createPerTeamQueue<Waiter>();
    let currentPool = "";
    let startsCount = 0;

    const queueFor = (request: AdmissionRequest): PerTeamQueue<Waiter> => request.priority === priorities.urgent ? urgent : patient;
    const waiters = (): Waiter[] => [...patient.items(), ...urgent.items()];

    return {
        pool: () => currentPool,
        setPool: pool => {
            currentPool = pool;
        },
        add: waiter => {
            const queue = queueFor(waiter.request);
            if (waiter.request.isRetry) {
                queue.enqueueFirst(waiter.request.team, waiter);
                return;
            }
            queue.enqueue(waiter.request.team, waiter);
        },
        remove: waiter => queueFor(waiter.request).remove(waiter.request.team, waiter),
        selectNext: (canStart, usageMs) => {
            const isPatientFirst = urgent.size() > 0 && patient.size() > 0 && isPatientTurn(startsCount, minimumPatientFraction);
            const [first, second] = isPatientFirst ? [patient, urgent] : [urgent, patient];
            return selectNextInClass(first!, canStart, usageMs) ?? selectNextInClass(second!, canStart, usageMs);
        },
        lowestWorth: () => {
            let lowest: Waiter | undefined;
            waiters().forEach(waiter => {
                if (!lowest || worthPerSlotMs(waiter.request) < worthPerSlotMs(lowest.request)) {
                    lowest = waiter;
                }
            });
            return lowest;
        },
        recordStart: () => {
            startsCount++;
        },
        waiters,
        waitingCount: () => urgent.size() + patient.size(),
    };
}
