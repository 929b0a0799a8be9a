/** Calls a service directly while it serves this process, and through a neighbour while it does not. */
import { delay, type TimerService } from "../common/timerService.js";
import type { CallRelayLink } from "../connection/callRelay.js";
import { type CallService, type JsonRequest, type JsonRequestResult, neverSent } from "../connection/serviceCalls.js";
import { type CallNeighbour, chooseNeighbour } from "../decisions/chooseCallPath.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

/** Another process, as it has registered itself. */
export interface RelayMember {
    name: string;
    address: string;
    zone: string;
    /** Processor and link of its VM, in an arbitrary unit that is the same for all. */
    capacity: number;
}

export interface RelayedCalls {
    call: CallService;
    /** Whether the last direct calls were served. */
    isServedDirectly(): boolean;
}

export interface RelayedCallsOptions {
    callDirectly: CallService;
    /** A cheap call that shows whether the service serves this process. */
    probe: JsonRequest;
    ownZone: string;
    /** Whether this process makes more calls than a weak VM can pass on. */
    hasManyCalls(): boolean;
    /** The other processes. */
    members(): readonly RelayMember[];
    openLink(address: string, onClosed: () => void): CallRelayLink;
    timers: TimerService;
    logger: Logger;
    signal: AbortSignal;
    /** Random number from 0 to 1. */
    random(): number;
}

/** A call tries this many neighbours at most. */
const maxNeighboursPerCall = 2;
const probeIntervalMs = 400;
/** Calls through neighbours that are under way when the service serves this process again end within this time. */
const idleLinkMs = 5_000;
/** Rejections for too many calls in a row after which they count as a refusal of this process. */
const maxRateRejections = 3;
const rateRejectedStatus = 429;
const refusedStatus = 503;

interface NeighbourState {
    address: string;
    link: CallRelayLink;
    failedAtMs: number | undefined;
}

export function createRelayedCalls(options: RelayedCallsOptions): RelayedCalls {
    const { timers, logger } = options;
    const states = new Map<string, NeighbourState>();
    let isServed = true;
    let rateRejectionsCount = 0;
    let currentNeighbour: string | undefined;

    const describe = (result: JsonRequestResult): string => result.hasResponse ? `status ${result.response.status}` : result.failure.reason;
    /** Whether the service, or the way to it, turned the call away or lost it. */
    const isUnserved = (result: JsonRequestResult): boolean => !result.hasResponse || result.response.status === refusedStatus;
    /** Whether the same call may be made another way: it had no effect, or may have it twice. */
    const mayRepeat = (request: JsonRequest, result: JsonRequestResult): boolean =>
        request.isRepeatable === true || result.hasResponse || result.failure.wasNeverSent;

    /** Whether the call must not be made another way: it was served, or may have had an effect that another call would repeat. */
    const isSettled = (request: JsonRequest, result: JsonRequestResult): boolean => !isUnserved(result) || !mayRepeat(request, result);

    const probeUntilServed = async (): Promise<void> => {
        while (!options.signal.aborted && !isServed) {
            await delay(timers, probeIntervalMs, options.signal);
            recordDirect(await options.callDirectly(options.probe));
        }
    };
    const closeIdleLinks = (): void => {
        if (isServed) {
            const idle = [...states.values()];
            states.clear();
            idle.forEach(({ link }) => link.close());
        }
    };
    /** Learns from the result of a direct call whether the service serves this process; returns whether it did not serve the call. */
    const recordDirect = (result: JsonRequestResult): boolean => {
        rateRejectionsCount = result.hasResponse && result.response.status === rateRejectedStatus ? rateRejectionsCount + 1 : 0;
        const isRefused = isUnserved(result) || rateRejectionsCount >= maxRateRejections;
        if (isRefused && isServed) {
            isServed = false;
            logger.log(logEvents.serviceRefusesProcess, { reason: describe(result) });
            void probeUntilServed();
        }
        else if (!isRefused && !isServed) {
            isServed = true;
            currentNeighbour = undefined;
            logger.log(logEvents.serviceServesProcess);
            timers.after(idleLinkMs, closeIdleLinks);
        }
        return isRefused;
    };

    /** A neighbour whose address cannot be used must not fail the calls of this process. */
    const openLink = (member: RelayMember, onClosed: () => void): CallRelayLink => {
        try {
            return options.openLink(member.address, onClosed);
        }
        catch (error) {
            const reason = `no link to ${member.address} can be opened: ${String(error)}`;
            logger.log(logEvents.unexpectedError, { where: "link to a neighbour", neighbour: member.name, error: reason });
            return { call: () => Promise.resolve(neverSent(reason)), close: () => undefined };
        }
    };

    const stateOf = (member: RelayMember): NeighbourState => {
        const known = states.get(member.name);
        if (known?.address === member.address) {
            return known;
        }
        known?.link.close();
        const state: NeighbourState = {
            address: member.address,
            link: openLink(member, () => {
                if (states.get(member.name) === state) {
                    // The next call opens a new link; the time of the failure stays.
                    state.address = "";
                    state.failedAtMs = timers.nowMs();
                }
            }),
            failedAtMs: known?.failedAtMs,
        };
        states.set(member.name, state);
        return state;
    };

    const callThrough = async (member: RelayMember, request: JsonRequest): Promise<JsonRequestResult> => {
        const state = stateOf(member);
        const result = await state.link.call(request);
        if (isUnserved(result)) {
            state.failedAtMs = timers.nowMs();
            if (currentNeighbour === member.name) {
                currentNeighbour = undefined;
            }
        }
        else {
            state.failedAtMs = undefined;
            const isBetter = options.hasManyCalls() && currentNeighbour !== member.name;
            if (currentNeighbour === undefined || isBetter) {
                currentNeighbour = member.name;
                logger.log(logEvents.callsPassedOn, { neighbour: member.name, address: member.address });
            }
        }
        return result.hasResponse ? { hasResponse: true, response: { ...result.response, neighbour: member.name } } : result;
    };

    /** Makes the call through neighbours; `undefined` if none of them was tried. */
    const callThroughNeighbours = async (request: JsonRequest): Promise<JsonRequestResult | undefined> => {
        const members = options.members();
        const tried = new Set<string>();
        let result: JsonRequestResult | undefined;
        while (tried.size < maxNeighboursPerCall) {
            const neighbours = members.map((member): CallNeighbour => {
                return {
                    name: member.name,
                    isSameZone: member.zone === options.ownZone,
                    capacity: member.capacity,
                    failedAtMs: states.get(member.name)?.failedAtMs,
                    isCurrent: member.name === currentNeighbour,
                };
            });
            const hasManyCalls = options.hasManyCalls();
            const name = chooseNeighbour({ nowMs: timers.nowMs(), neighbours, tried, random: options.random(), hasManyCalls });
            const member = members.find(each => each.name === name);
            if (!member) {
                break;
            }
            tried.add(member.name);
            result = await callThrough(member, request);
            if (isSettled(request, result)) {
                break;
            }
        }
        return result;
    };

    return {
        isServedDirectly: () => isServed,
        call: async request => {
            if (isServed) {
                const result = await options.callDirectly(request);
                if (!recordDirect(result) || !mayRepeat(request, result)) {
                    return result;
                }
                return await callThroughNeighbours(request) ?? result;
            }
            const relayed = await callThroughNeighbours(request);
            if (relayed && isSettled(request, relayed)) {
                return relayed;
            }
            const result = await options.callDirectly(request);
            recordDirect(result);
            return result;
        },
    };
}
