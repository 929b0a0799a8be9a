/** Forwards a request to the gateway that owns its idempotency key, and relays the response. */
import { outcomes } from "../common/outcomes.js";
import type { TimerService } from "../common/timerService.js";
import { copyForwardedHeaders, headerNames } from "../connection/httpHeaders.js";
import type { MemberRecord } from "../connection/members.js";
import { createServerConnections, type ServerConnections } from "../connection/serverConnections.js";
import { logEvents } from "../process/logEvents.js";
import type { Logger } from "../process/logger.js";
import { sendAttempt } from "./attempt.js";
import { problems } from "./problems.js";
import type { ResponseSink } from "./responseSink.js";
import type { RunnableRequest, RunResult } from "./runRequest.js";

export interface OwnerForwarderOptions {
    ownMemberId: string;
    timers: TimerService;
    logger: Logger;
    signal: AbortSignal;
    members(): readonly MemberRecord[];
}

const connectTimeoutMs = 1_000;
const bodyIdleTimeoutMs = 5_000;
/** Added to the timeout so that the owner's own timeout response arrives first. */
const responseGraceMs = 200;

/** Creates the forwarder; it keeps connections to owners open for later requests. */
export function createOwnerForwarder(
    options: OwnerForwarderOptions,
): (ownerId: string, request: RunnableRequest, sink: ResponseSink) => Promise<RunResult> {
    const { timers } = options;
    const connections = new Map<string, ServerConnections>();
    options.signal.addEventListener("abort", () => connections.forEach(each => each.close()), { once: true });

    const getConnections = (owner: MemberRecord): ServerConnections => {
        const known = connections.get(owner.memberId);
        if (known) {
            return known;
        }
        const currentMemberIds = new Set(options.members().map(member => member.memberId));
        [...connections.keys()].filter(id => !currentMemberIds.has(id)).forEach(id => {
            connections.get(id)!.close();
            connections.delete(id);
        });
        const opened = createServerConnections({ address: owner.callerAddress, timers, connectTimeoutMs, onRetired: () => undefined });
        connections.set(owner.memberId, opened);
        return opened;
    };

    const toUnreachableResult = (request: RunnableRequest, detail: string, isResponseStarted: boolean): RunResult => ({
        isDelivered: false,
        isResponseStarted,
        problem: { type: problems.ownerUnreachable, outcome: outcomes.unknown, detail, requestId: request.requestId },
    });

    return async (ownerId, request, sink) => {
        const owner = options.members().find(member => member.memberId === ownerId);
        if (!owner) {
            return toUnreachableResult(request, `gateway ${ownerId} is gone; check the result before sending it with a new key`, false);
        }
        options.logger.log(logEvents.requestForwarded, {
            requestId: request.requestId,
            team: request.team,
            service: request.call.serviceId,
            ownerId,
        });
        const remainingMs = Math.max(1, Math.round(request.deadlineMs - timers.nowMs()));
        const ownHeaders = [headerNames.forwardedBy, options.ownMemberId, headerNames.requestTimeoutMs, String(remainingMs)];
        const attempt = {
            requestId: request.requestId,
            method: request.call.method,
            path: `/v1/services${request.call.serverPath}`,
            headers: copyForwardedHeaders(request.rawHeaders, ownHeaders),
            body: request.body,
            headersTimeoutMs: remainingMs + responseGraceMs,
            bodyIdleTimeoutMs,
            mustEchoRequestId: false,
            isPeer: true,
        };
        const result = await sendAttempt(getConnections(owner).acquire(), timers, attempt, sink);
        return result.isDelivered ?
            result :
            toUnreachableResult(request, `gateway ${ownerId}: ${result.detail}; send it again with the same key`, result.isResponseStarted);
    };
}
