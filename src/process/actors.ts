/** The process's actor system: actors own state that outlives a request and take one message at a time. */
import { type ActorSystemRef, dispatch, type Ref, spawn, start, stop } from "nact";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export type { ActorSystemRef } from "nact";

/** Starts the actor system; it stops when the signal aborts. */
export function startActorSystem(signal: AbortSignal): ActorSystemRef {
    const system = start();
    signal.addEventListener("abort", () => stop(system), { once: true });
    return system;
}

export interface ActorOptions<State, Message> {
    system: ActorSystemRef;
    name: string;
    initialState: State;
    logger: Logger;
    /** Handles one message and returns the next state. An error is logged, and the state stays. */
    receive(state: State, message: Message): State | Promise<State>;
    /**
     * Whether a message is like any other of its kind, so that one in the mailbox is enough. Without it a timer would fill
     * the mailbox of an actor that waits for a store which does not answer.
     */
    isCoalesced?(message: Message): boolean;
}

/** Spawns an actor and returns the function that sends to it. */
export function spawnActor<State, Message>(options: ActorOptions<State, Message>): (message: Message) => void {
    let isCoalescedWaiting = false;
    const receive = async (state: State, message: Message): Promise<State> => {
        if (options.isCoalesced?.(message)) {
            isCoalescedWaiting = false;
        }
        try {
            return await options.receive(state, message);
        }
        catch (error) {
            options.logger.log(logEvents.unexpectedError, {
                where: options.name,
                error: error instanceof Error ? error.stack : String(error),
            });
            return state;
        }
    };
    const reference: Ref<Message> = spawn(options.system, receive, options.name, { initialState: options.initialState });
    return message => {
        const isCoalesced = options.isCoalesced?.(message) ?? false;
        if (isCoalesced && isCoalescedWaiting) {
            return;
        }
        isCoalescedWaiting ||= isCoalesced;
        dispatch(reference, message);
    };
}
