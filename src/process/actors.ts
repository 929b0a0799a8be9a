/** Actor system of the process. Actors own state that outlives a request and process one message at a time. */
import { type ActorSystemRef, dispatch, type Ref, spawn, start, stop } from "nact";
import { describeError } from "../common/describeError.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";

export type { ActorSystemRef } from "nact";

/** Starts the actor system and stops it when the signal aborts. */
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
    /** Handles one message and returns the next state. If it throws, the error is logged and the state is kept. */
    receive(state: State, message: Message): State | Promise<State>;
    /**
     * Whether a message can be dropped while another such message is queued. Without coalescing, a timer would fill the
     * mailbox of an actor that waits for an unresponsive store.
     */
    isCoalescable?(message: Message): boolean;
}

/** Spawns an actor and returns a function that sends it messages. */
export function spawnActor<State, Message>(options: ActorOptions<State, Message>): (message: Message) => void {
    let isCoalescableQueued = false;
    const receive = async (state: State, message: Message): Promise<State> => {
        if (options.isCoalescable?.(message)) {
            isCoalescableQueued = false;
        }
        try {
            return await options.receive(state, message);
        }
        catch (error) {
            options.logger.log(logEvents.unexpectedError, {
                where: options.name,
                error: describeError(error),
            });
            return state;
        }
    };
    const reference: Ref<Message> = spawn(options.system, receive, options.name, { initialState: options.initialState });
    return message => {
        const isCoalescable = options.isCoalescable?.(message) ?? false;
        if (isCoalescable && isCoalescableQueued) {
            return;
        }
        isCoalescableQueued ||= isCoalescable;
        dispatch(reference, message);
    };
}
