/**
 * Commands that a worker carries out long after they were sent, at times in another life than the one they were meant for. Tells apart
 * those whose effects no owner can prevent: a life that no owner has reached yet knows neither the stops of former lives nor a fencing
 * token, so it obeys whatever was sent to a former one.
 */
import type { ModelWorker } from "../scheduling/modelWorker.js";

export const callKinds = { start: "start", stop: "stop", list: "list" } as const;
export type CallKind = (typeof callKinds)[keyof typeof callKinds];

/** A call of a process to a worker. */
export interface WorkerCall {
    kind: CallKind;
    worker: ModelWorker;
    /** The process that makes the call. */
    ownerName: string;
    token: number;
    sentAtMs: number;
    /** The life of the worker when the call was sent. */
    bornWallMs: number;
    /** Only for starts and stops. */
    run?: { taskName: string; runId: number };
}

export interface LateCommands {
    /** A command was carried out. */
    recordCarriedOut(call: WorkerCall): void;
    /** The process that made the call has received the response to a listing. */
    recordListed(call: WorkerCall, nowMs: number): void;
    /** Whether an owner can prevent the effect if the worker, which is in touch or cut off, carries out the call now. */
    isPreventable(call: WorkerCall, isInTouch: boolean): boolean;
}

/** What owners know of one life of a worker. */
interface Life {
    bornWallMs: number;
    /** When processes first received a listing of it. */
    knownAtMs: Map<string, number>;
    /** Highest token of a listing that it carried out for a process that knew of it. */
    reachedToken: number;
}

export function createLateCommands(): LateCommands {
    const lives = new WeakMap<ModelWorker, Life>();
    const highestStarted = new Map<string, number>();
    const highestStopped = new Map<string, number>();

    const lifeOf = (worker: ModelWorker): Life => {
        let life = lives.get(worker);
        if (life?.bornWallMs !== worker.bornWallMs) {
            life = { bornWallMs: worker.bornWallMs, knownAtMs: new Map(), reachedToken: Number.NEGATIVE_INFINITY };
            lives.set(worker, life);
        }
        return life;
    };
    const raise = (runIds: Map<string, number>, { taskName, runId }: { taskName: string; runId: number }): void => {
        runIds.set(taskName, Math.max(runId, runIds.get(taskName) ?? 0));
    };
    return {
        recordCarriedOut: ({ kind, worker, ownerName, token, sentAtMs, run }) => {
            if (run) {
                raise(kind === callKinds.start ? highestStarted : highestStopped, run);
            }
            const life = lifeOf(worker);
            if (kind === callKinds.list && sentAtMs >= (life.knownAtMs.get(ownerName) ?? Number.POSITIVE_INFINITY)) {
                life.reachedToken = Math.max(life.reachedToken, token);
            }
        },
        recordListed: ({ worker, ownerName, bornWallMs }, nowMs) => {
            const life = lifeOf(worker);
            if (life.bornWallMs === bornWallMs && !life.knownAtMs.has(ownerName)) {
                life.knownAtMs.set(ownerName, nowMs);
            }
        },
        isPreventable: ({ kind, worker, ownerName, token, sentAtMs, run }, isInTouch) => {
            const { knownAtMs, reachedToken } = lifeOf(worker);
            if (sentAtMs >= (knownAtMs.get(ownerName) ?? Number.POSITIVE_INFINITY) || reachedToken >= token) {
                return true;
            }
            if (kind === callKinds.start && run) {
                const { taskName, runId } = run;
                return isInTouch && (highestStopped.get(taskName) ?? 0) < runId && (highestStarted.get(taskName) ?? 0) <= runId;
            }
            return kind === callKinds.stop;
        },
    };
}
