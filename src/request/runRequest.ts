/** Runs a request: admission, attempts and retries, until there is a response or a problem. */
import type { Readable } from "node:stream";
import { type Outcome, outcomes } from "../common/outcomes.js";
import type { TimerService } from "../common/timerService.js";
import { copyRequestHeaders, headerNames } from "../connection/httpHeaders.js";
import { attemptStages, isRepeatable, shouldRetry } from "../decisions/retryPolicy.js";
import type { AdmissionController } from "../process/admissionController.js";
import { type AdmissionGrant, type AdmissionRequest, type RejectionReason, rejectionReasons } from "../process/admissionTypes.js";
import { logEvents } from "../process/logEvents.js";
import type { Logger } from "../process/logger.js";
import type { Metrics } from "../process/metrics.js";
import type { RetryBudget } from "../process/retryBudget.js";
import type { ServerTable } from "../process/serverTable.js";
import type { RequestKindConfiguration } from "../version/fleetDocument.js";
import { type AttemptResult, sendAttempt } from "./attempt.js";
import type { CallerRequest } from "./callerRequest.js";
import { type Problem, problems, type ProblemType } from "./problems.js";
import type { ResponseSink } from "./responseSink.js";

/** A request that is authenticated, validated and ready to run. */
export interface RunnableRequest {
    /** What the caller asked for. */
    call: CallerRequest;
    requestId: string;
    team: string;
    shareWeight: number;
    /** Whether the team has an upper limit. */
    isLimited: boolean;
    rawHeaders: readonly string[];
    body: Buffer | Readable | undefined;
    /** Monotonic time by which the response must have started. */
    deadlineMs: number;
    isCallerDisconnected(): boolean;
}

export interface RequestRunnerOptions {
    timers: TimerService;
    logger: Logger;
    metrics: Metrics;
    admission: AdmissionController;
    servers: ServerTable;
    retries: RetryBudget;
}

/** Result of a run: the response was written to the sink, or there is a problem to report. */
export type RunResult = { isDelivered: true; statusCode: number; outcome: Outcome } | {
    isDelivered: false;
    problem: Problem;
    isResponseStarted: boolean;
};

/** Longest time without data within a response body. */
const bodyIdleTimeoutMs = 5_000;

const rejectionProblems: Record<RejectionReason, ProblemType> = {
    [rejectionReasons.queueFull]: problems.queueFull,
    [rejectionReasons.displaced]: problems.displaced,
    [rejectionReasons.deadlinePassed]: problems.deadlinePassed,
    [rejectionReasons.stopping]: problems.stopping,
    [rejectionReasons.callerDisconnected]: problems.deadlinePassed,
};

type FailedAttempt = Extract<AttemptResult, { isDelivered: false }>;

function toAdmissionRequest(request: RunnableRequest, excludedServerIds: ReadonlySet<string>): AdmissionRequest {
    const kind: RequestKindConfiguration = request.call.kind;
    return {
        requestId: request.requestId,
        service: request.call.serviceId,
        pool: request.call.service.pool,
        queueCapacityCount: request.call.service.queueCapacityCount,
        team: request.team,
        isLimited: request.isLimited,
        shareWeight: request.shareWeight,
        priority: kind.priority,
        worth: kind.worth,
        expectedRunMs: kind.expectedRunMs,
        deadlineMs: request.deadlineMs,
        excludedServerIds,
        isRetry: excludedServerIds.size > 0,
        isCallerDisconnected: request.isCallerDisconnected,
    };
}

/** Creates the function that runs requests without an idempotency key, and those with one at the key's owner. */
export function createRequestRunner(options: RequestRunnerOptions): (request: RunnableRequest, sink: ResponseSink) => Promise<RunResult> {
    const { timers, logger, servers, retries } = options;

    const logRouted = (request: RunnableRequest, grant: AdmissionGrant): void =>
        logger.log(logEvents.requestRouted, {
            requestId: request.requestId,
            team: request.team,
            service: request.call.serviceId,
            serverId: grant.server.serverId,
            reason: grant.choice.reason,
            candidatesCount: grant.choice.candidatesCount,
            waitedMs: Math.round(grant.waitedMs),
        });

    const sendOnce = (request: RunnableRequest, grant: AdmissionGrant, sink: ResponseSink): Promise<AttemptResult> => {
        const ownHeaders = [headerNames.requestId, request.requestId, headerNames.team, request.team];
        const attempt = {
            requestId: request.requestId,
            method: request.call.method,
            path: request.call.serverPath,
            headers: copyRequestHeaders(request.rawHeaders, ownHeaders),
            body: request.body,
            headersTimeoutMs: Math.max(1, request.deadlineMs - timers.nowMs()),
            bodyIdleTimeoutMs,
            mustEchoRequestId: request.call.service.echoesRequestId,
            isPeer: false,
        };
        return sendAttempt(grant.server.connections.acquire(), timers, attempt, sink);
    };

    /** Releases the slots of a request. If it may still be running, they are held until its longest run time has passed. */
    const releaseSlots = (request: RunnableRequest, grant: AdmissionGrant, startedMs: number, result: AttemptResult): void => {
        const ranMs = timers.nowMs() - startedMs;
        if (result.isDelivered || result.stage === attemptStages.refusedByServer) {
            grant.release(ranMs);
            return;
        }
        if (result.stage === attemptStages.notSent) {
            grant.release(0);
            return;
        }
        const holdMs = Math.max(0, request.call.service.longestRunMs - ranMs);
        logger.log(logEvents.requestOutcomeUnknown, {
            requestId: request.requestId,
            serverId: grant.server.serverId,
            reason: result.detail,
            holdMs: Math.round(holdMs),
        });
        timers.after(holdMs, () => grant.release(ranMs));
    };

    const canRetry = (request: RunnableRequest, failed: FailedAttempt, attemptsCount: number): boolean =>
        !failed.isResponseStarted && shouldRetry({
            stage: failed.stage,
            isRepeatable: isRepeatable(request.call.method, request.call.kind.isRepeatable),
            canResend: request.body === undefined || Buffer.isBuffer(request.body),
            attemptsCount,
            hasBudget: retries.canRetry(request.call.serviceId),
            remainingMs: request.deadlineMs - timers.nowMs(),
        });

    const toProblem = (request: RunnableRequest, type: ProblemType, detail: string, mayHaveRun: boolean): Problem => ({
        type,
        detail,
        requestId: request.requestId,
        outcome: mayHaveRun ? outcomes.unknown : outcomes.notRun,
    });

    return async (request, sink) => {
        const excludedServerIds = new Set<string>();
        let mayHaveRun = false;
        retries.recordRequest(request.call.serviceId);
        for (let attemptsCount = 1;; attemptsCount++) {
            const grant = await options.admission.submit(toAdmissionRequest(request, excludedServerIds));
            if (!grant.isGranted) {
                return {
                    isDelivered: false,
                    problem: toProblem(request, rejectionProblems[grant.reason], grant.detail, mayHaveRun),
                    isResponseStarted: false,
                };
            }
            options.metrics.queueDurationSeconds.observe({ service: request.call.serviceId }, grant.waitedMs / 1000);
            logRouted(request, grant);
            const startedMs = timers.nowMs();
            const result = await sendOnce(request, grant, sink);
            releaseSlots(request, grant, startedMs, result);
            if (result.isDelivered) {
                servers.recordOutcome(grant.server, result.statusCode < 500, startedMs);
                return result;
            }
            if (result.stage !== attemptStages.refusedByServer) {
                servers.recordOutcome(grant.server, false, startedMs);
            }
            mayHaveRun ||= result.stage === attemptStages.maybeRun;
            if (!canRetry(request, result, attemptsCount)) {
                return {
                    isDelivered: false,
                    problem: toProblem(request, result.problem, result.detail, mayHaveRun),
                    isResponseStarted: result.isResponseStarted,
                };
            }
            excludedServerIds.add(grant.server.serverId);
            retries.consumeRetry(request.call.serviceId);
            options.metrics.retriesTotal.inc({ service: request.call.serviceId });
            logger.log(logEvents.requestRetried, {
                requestId: request.requestId,
                afterServerId: grant.server.serverId,
                reason: result.detail,
            });
        }
    };
}
