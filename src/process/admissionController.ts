/**
 * Admission: a request starts when its team has a free slot of its limit and a backend server has one of its own; else
 * it waits in its service's queue until its deadline, or is refused.
 */
import type { TimerService } from "../common/timerService.js";
import { chooseServer, noServerReasons, type RandomBelow, type ServerChoice } from "../decisions/chooseServer.js";
import { worthPerSlotMs } from "../decisions/chooseTeam.js";
import { type AdmissionRequest, type AdmissionResult, type RejectionReason, rejectionReasons } from "./admissionTypes.js";
import type { AllotmentManager } from "./allotmentManager.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { ServerTable } from "./serverTable.js";
import { createServiceQueue, type ServiceQueue, type Waiter } from "./serviceQueue.js";
import type { UsageTracker } from "./usageTracker.js";

export interface AdmissionController {
    submit(request: AdmissionRequest): Promise<AdmissionResult>;
    /** Refuses what waits and what comes. */
    stop(): void;
    waitingCount(): number;
}

export interface AdmissionControllerOptions {
    availabilityZone: string;
    timers: TimerService;
    logger: Logger;
    servers: ServerTable;
    allotments: AllotmentManager;
    usage: UsageTracker;
    randomBelow: RandomBelow;
}

/** Creates the admission of a gateway. */
export function createAdmissionController(options: AdmissionControllerOptions): AdmissionController {
    const { timers, servers, allotments, usage, logger } = options;
    const queues = new Map<string, ServiceQueue>();
    let isStopping = false;
    let isPumping = false;
    let firstQueue = 0;

    const queueOf = (request: AdmissionRequest): ServiceQueue => {
        const queue = queues.get(request.service) ?? createServiceQueue();
        queues.set(request.service, queue);
        queue.setPool(request.pool);
        return queue;
    };

    const canStart = (request: AdmissionRequest): boolean => !request.isLimited || allotments.canAcquire(request.team);

    const start = (waiter: Waiter, choice: ServerChoice): void => {
        const { request } = waiter;
        const server = servers.get(choice.serverId)!;
        if (request.isLimited) {
            allotments.tryAcquire(request.team);
        }
        servers.recordStart(server);
        usage.add(request.team, request.expectedRunMs);
        const finish = (ranMs: number): void => {
            usage.add(request.team, ranMs - request.expectedRunMs);
            if (request.isLimited) {
                allotments.release(request.team);
            }
            servers.recordEnd(server);
        };
        waiter.settle({ isGranted: true, server, choice, waitedMs: timers.nowMs() - waiter.sinceMs, release: finish });
    };

    /** Takes the waiter out of its queue. */
    const leave = (queue: ServiceQueue, waiter: Waiter): boolean => {
        const wasWaiting = queue.remove(waiter);
        if (wasWaiting) {
            waiter.cancelDeadline();
            allotments.changeWaitingCount(waiter.request.team, -1);
        }
        return wasWaiting;
    };

    const refuse = (queue: ServiceQueue, waiter: Waiter, refusal: RejectionReason, detail: string): void => {
        if (leave(queue, waiter)) {
            waiter.settle({ isGranted: false, reason: refusal, detail });
        }
    };

    /** Starts one waiting request of a queue, if one can start. */
    const startNext = (queue: ServiceQueue): boolean => {
        const pool = servers.serversInPool(queue.pool());
        if (!pool.some(server => server.isRoutable && server.outstandingCount < server.slotsCount)) {
            return false;
        }
        const waiter = queue.next(canStart, usage.zoneUsageMs);
        if (!waiter) {
            return false;
        }
        if (waiter.request.isCallerDisconnected()) {
            refuse(queue, waiter, rejectionReasons.callerDisconnected, "the caller has gone");
            return true;
        }
        const choice = chooseServer(pool, options.availabilityZone, waiter.request.excludedServerIds, options.randomBelow);
        if (typeof choice === "string") {
            return false;
        }
        leave(queue, waiter);
        queue.noteStart();
        start(waiter, choice);
        return true;
    };

    /** Starts what can start, one of each queue in turn. */
    const pump = (): void => {
        if (isPumping) {
            return;
        }
        isPumping = true;
        let open = [...queues.values()].filter(queue => queue.waitingCount() > 0);
        firstQueue++;
        open = open.map((_, index) => open[(index + firstQueue) % open.length]!);
        while (open.length > 0) {
            open = open.filter(queue => queue.waitingCount() > 0 && startNext(queue));
        }
        isPumping = false;
    };

    /** Makes room in a full queue for a request of more worth; tells whether there is room. */
    const makeRoom = (queue: ServiceQueue, request: AdmissionRequest): boolean => {
        if (queue.waitingCount() < request.queueCapacityCount) {
            return true;
        }
        const least = queue.leastWorth();
        if (!least || worthPerSlotMs(least.request) >= worthPerSlotMs(request)) {
            return false;
        }
        const detail = `requests of more worth fill the queue of ${request.queueCapacityCount}; send it again later`;
        refuse(queue, least, rejectionReasons.displaced, detail);
        return true;
    };

    const wait = (queue: ServiceQueue, waiter: Waiter): void => {
        const { request } = waiter;
        // A request that starts too late for its answer would end with an unknown outcome: better it does not run.
        const remainingMs = Math.max(0, request.deadlineMs - request.expectedRunMs - timers.nowMs());
        const detail = `no slot was free within ${
            Math.round(remainingMs)
        } ms, and it needs ${request.expectedRunMs} ms; send it again later`;
        waiter.cancelDeadline = timers.after(remainingMs, () => refuse(queue, waiter, rejectionReasons.deadlinePassed, detail));
        queue.add(waiter);
        allotments.changeWaitingCount(request.team, 1);
        logger.log(logEvents.requestQueued, {
            requestId: request.requestId,
            service: request.service,
            team: request.team,
            waitingCount: queue.waitingCount(),
        });
    };

    /** Starts a request at once if nobody waits before it and slots are free. */
    const startAtOnce = (queue: ServiceQueue, waiter: Waiter): boolean => {
        const { request } = waiter;
        if (queue.waitingCount() > 0 || !canStart(request)) {
            return false;
        }
        const choice = chooseServer(
            servers.serversInPool(request.pool),
            options.availabilityZone,
            request.excludedServerIds,
            options.randomBelow,
        );
        if (choice === noServerReasons.allBusy || choice === noServerReasons.noneRoutable) {
            return false;
        }
        queue.noteStart();
        start(waiter, choice);
        return true;
    };

    servers.onSlotFreed(pump);
    allotments.onCapIncrease(pump);

    return {
        submit: request =>
            new Promise(settle => {
                if (isStopping) {
                    settle({ isGranted: false, reason: rejectionReasons.stopping, detail: "send it again to another gateway" });
                    return;
                }
                const queue = queueOf(request);
                const waiter: Waiter = { request, sinceMs: timers.nowMs(), settle, cancelDeadline: () => undefined };
                if (startAtOnce(queue, waiter)) {
                    return;
                }
                if (!makeRoom(queue, request)) {
                    settle({
                        isGranted: false,
                        reason: rejectionReasons.queueFull,
                        detail: `${request.queueCapacityCount} requests wait already; send it again later`,
                    });
                    return;
                }
                wait(queue, waiter);
                pump();
            }),
        stop: () => {
            isStopping = true;
            queues.forEach(queue => {
                queue.waiters().forEach(waiter => {
                    refuse(queue, waiter, rejectionReasons.stopping, "send it again to another gateway");
                });
            });
        },
        waitingCount: () => [...queues.values()].reduce((sum, queue) => sum + queue.waitingCount(), 0),
    };
}
