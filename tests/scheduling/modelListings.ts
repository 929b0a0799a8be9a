/**
 * Listings in the model. Each carries a token, an acknowledgement and, while leases may be extended, a deadline, all as the owner knows
 * the worker; an incarnation of which the owner does not know yet takes them for its own.
 */
import type { Moment } from "../../src/scheduling/reconcileListing.js";
import { runEnds } from "../../src/scheduling/schedulerState.js";
import type { FaultInjection } from "./faultInjection.js";
import { grantedUntilMs } from "./modelLeases.js";
import type { ModelLimits } from "./modelLimits.js";
import { type ModelOwner, recordOf, sentWith } from "./modelOwner.js";
import type { ModelWorker } from "./modelWorker.js";
import { isTooLate } from "./settledStarts.js";

export interface PendingListing extends ReturnType<typeof sentWith> {
    workerId: string;
    acknowledgedEndNumber: number;
    /** `undefined` if the listing extends no leases. */
    untilMs: number | undefined;
}

export interface ListingsContext {
    owners: readonly ModelOwner[];
    left: ModelLimits;
    faults: FaultInjection;
    workerLeaseMs: number;
    /** Tasks whose end as done was acknowledged to their worker. */
    acknowledgedDone: Set<string>;
    moment(): Moment;
    workerOf(id: string): ModelWorker;
    stepOwner(index: number): void;
}

export interface ModelListings {
    /** Listings without an answer, which may still be carried out. */
    pending: PendingListing[];
    mayCarryOut(listing: PendingListing): boolean;
    handlers: {
        /** A listing that is answered at once. */
        list(index: string, workerId: string): void;
        /** Sends a listing that gets no answer. */
        listUnanswered(index: string, workerId: string): void;
        lateListing(index: string): void;
    };
}

export function createModelListings(context: ListingsContext): ModelListings {
    const { owners, faults, workerLeaseMs, acknowledgedDone, workerOf } = context;

    const send = (owner: ModelOwner, worker: ModelWorker): PendingListing => {
        const { scheduler } = owner;
        const { nowMs } = context.moment();
        const hasFailed = owner.unansweredListings.get(worker.id) === "failed";
        const mayExtend = scheduler.mayExtendLeases(worker.id) && !hasFailed;
        if (mayExtend) {
            scheduler.leaseExtensionSent(worker.id, workerLeaseMs, nowMs);
        }
        return {
            workerId: worker.id,
            ...sentWith(owner, worker, nowMs, faults),
            acknowledgedEndNumber: faults.acknowledgesBeforeSaving ?
                recordOf(owner, worker.id)?.lastEndNumber ?? 0 :
                hasFailed ?
                0 :
                scheduler.takeAcknowledgement(worker.id, nowMs),
            untilMs: mayExtend ? nowMs + workerLeaseMs : undefined,
        };
    };

    const carryOut = ({ workerId, token, acknowledgedEndNumber, untilMs, bornWallMs }: PendingListing): boolean => {
        const worker = workerOf(workerId);
        if (token < worker.highestToken) {
            return false;
        }
        worker.highestToken = token;
        for (const end of worker.ends.filter(each => each.endNumber <= acknowledgedEndNumber && each.end === runEnds.done)) {
            acknowledgedDone.add(end.taskName);
        }
        worker.ends = worker.ends.filter(end => end.endNumber > acknowledgedEndNumber);
        if (untilMs !== undefined) {
            const grantedMs = grantedUntilMs(worker, { untilMs, bornWallMs }, context.moment().nowMs);
            worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, grantedMs);
        }
        return true;
    };

    const pending: PendingListing[] = [];
    return {
        pending,
        mayCarryOut: listing => {
            const worker = workerOf(listing.workerId);
            return worker.leftAtMs === undefined && !isTooLate(listing, owners.at(-1)!, worker, context.moment().nowMs);
        },
        handlers: {
            list: (index, workerId) => {
                const owner = owners[Number(index)]!;
                const worker = workerOf(workerId);
                const sent = send(owner, worker);
                if (!carryOut(sent)) {
                    return;
                }
                if (sent.bornWallMs === worker.bornWallMs) {
                    owner.reachedIncarnations.set(workerId, worker.bornWallMs);
                }
                owner.unansweredListings.delete(workerId);
                const { nowMs } = context.moment();
                const running = [...worker.running].map(([taskName, runId]) => ({
                    ...{ taskName, runId, checkpoint: "", percent: 100, measured: 0 },
                }));
                // The listing was requested after all responses so far.
                owner.scheduler.listingReceived(
                    workerId,
                    { bornWallMs: worker.bornWallMs, running, ended: [...worker.ends] },
                    nowMs + 0.5,
                    context.moment(),
                );
                context.stepOwner(Number(index));
            },
            listUnanswered: (index, workerId) => {
                context.left.unansweredListings -= 1;
                const owner = owners[Number(index)]!;
                pending.push(send(owner, workerOf(workerId)));
                owner.unansweredListings.set(workerId, owner.unansweredListings.get(workerId) ?? "open");
            },
            lateListing: index => void carryOut(pending.splice(Number(index), 1)[0]!),
        },
    };
}
