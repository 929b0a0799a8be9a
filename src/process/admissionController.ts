/**
 * Admission control. A request starts when its team has a free slot within its limit and a backend server has a free
 * slot. Otherwise it waits in the queue of its service until its deadline, or is rejected.
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
    /** Rejects all queued requests and every later one. */
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

export function createAdmissionController(options: AdmissionControllerOptions): AdmissionController {
    const { timers, servers, allotments, usage, logger } = options;
    const queues = new Map<string, ServiceQueue>();
    let isStopping = false;
    let isDispatching = false;
    let roundRobinOffset = 0;

    const getQueue = (request: AdmissionRequest): ServiceQueue => {
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
        const release = (ranMs: number): void => {
            usage.add(request.team, ranMs - request.expectedRunMs);
            if (request.isLimited) {
                allotments.release(request.team);
            }
            servers.recordEnd(server);
        };
        waiter.resolve({ isGranted: true, server, choice, waitedMs: timers.nowMs() - waiter.sinceMs, release });
    };

    /** Removes a request from its queue; returns whether it was still queued. */
    const leave = (queue: ServiceQueue, waiter: Waiter): boolean => {
        const wasWaiting = queue.remove(waiter);
        if (wasWaiting) {
            waiter.cancelDeadline();
            allotments.changeWaitingCount(waiter.request.team, -1);
        }
        return wasWaiting;
    };

    const reject = (queue: ServiceQueue, waiter: Waiter, reason: RejectionReason, detail: string): void => {
        if (leave(queue, waiter)) {
            waiter.resolve({ isGranted: false, reason, detail });
        }
    };

    /** Starts the next queued request, or drops it if its caller disconnected; returns whether a request left the queue. */
    const startNext = (queue: ServiceQueue): boolean => {
        const pool = servers.serversInPool(queue.pool());
        if (!pool.some(server => server.isRoutable && server.outstandingCount < server.slotsCount)) {
            return false;
        }
        const waiter = queue.selectNext(canStart, usage.zoneUsageMs);
        if (!waiter) {
            return false;
        }
        if (waiter.request.isCallerDisconnected()) {
            reject(queue, waiter, rejectionReasons.callerDisconnected, "the caller disconnected");
            return true;
        }
        const choice = chooseServer(pool, options.availabilityZone, waiter.request.excludedServerIds, options.randomBelow);
        if (typeof choice === "string") {
            return false;
        }
        leave(queue, waiter);
        queue.recordStart();
        start(waiter, choice);
        return true;
    };

    /** Starts queued requests until none can start, one per queue in turn; each call begins with another queue. */
    const dispatch = (): void => {
        if (isDispatching) {
            return;
        }
        isDispatching = true;
        let activeQueues = [...queues.values()].filter(queue => queue.waitingCount() > 0);
        roundRobinOffset++;
        activeQueues = activeQueues.map((_, index) => activeQueues[(index + roundRobinOffset) % activeQueues.length]!);
        while (activeQueues.length > 0) {
            activeQueues = activeQueues.filter(queue => queue.waitingCount() > 0 && startNext(queue));
        }
        isDispatching = false;
    };

    /** Evicts the request of the lowest worth from a full queue if `request` is worth more; returns whether there is room. */
    const evictLowestWorth = (queue: ServiceQueue, request: AdmissionRequest): boolean => {
        if (queue.waitingCount() < request.queueCapacityCount) {
            return true;
        }
        const lowest = queue.lowestWorth();
        if (!lowest || worthPerSlotMs(lowest.request) >= worthPerSlotMs(request)) {
            return false;
        }
        const detail = `requests of higher worth fill the queue of ${request.queueCapacityCount}; retry later`;
        reject(queue, lowest, rejectionReasons.displaced, detail);
        return true;
    };

    const enqueue = (queue: ServiceQueue, waiter: Waiter): void => {
        const { request } = waiter;
        // A request that starts too late to respond before its deadline would end with an unknown outcome, so it is rejected.
        const remainingMs = Math.max(0, request.deadlineMs - request.expectedRunMs - timers.nowMs());
        const detail = `no slot became free within ${
            Math.round(remainingMs)
        } ms, and the request needs ${request.expectedRunMs} ms to run; retry later`;
        waiter.cancelDeadline = timers.after(remainingMs, () => reject(queue, waiter, rejectionReasons.deadlinePassed, detail));
        queue.add(waiter);
        allotments.changeWaitingCount(request.team, 1);
        logger.log(logEvents.requestQueued, {
            requestId: request.requestId,
            service: request.service,
            team: request.team,
            waitingCount: queue.waitingCount(),
        });
    };

    /** Starts a request immediately if its queue is empty and slots are free; returns whether it started. */
    const tryStart = (queue: ServiceQueue, waiter: Waiter): boolean => {
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
        queue.recordStart();
        start(waiter, choice);
        return true;
    };

    servers.onSlotFreed(dispatch);
    allotments.onCapIncrease(dispatch);

    return {
        submit: request =>
            new Promise(resolve => {
                if (isStopping) {
                    resolve({ isGranted: false, reason: rejectionReasons.stopping, detail: "retry with another gateway" });
                    return;
                }
                const queue = getQueue(request);
                const waiter: Waiter = { request, sinceMs: timers.nowMs(), resolve, cancelDeadline: () => undefined };
                if (tryStart(queue, waiter)) {
                    return;
                }
                if (!evictLowestWorth(queue, request)) {
                    resolve({
                        isGranted: false,
                        reason: rejectionReasons.queueFull,
                        detail: `${request.queueCapacityCount} requests are already queued; retry later`,
                    });
                    return;
                }
                enqueue(queue, waiter);
                dispatch();
            }),
        stop: () => {
            isStopping = true;
            queues.forEach(queue => {
                queue.waiters().forEach(waiter => {
                    reject(queue, waiter, rejectionReasons.stopping, "retry with another gateway");
                });
            });
        },
        waitingCount: () => [...queues.values()].reduce((sum, queue) => sum + queue.waitingCount(), 0),
    };
}
