/** Message coalescing: a periodic timer must not fill the mailbox of an actor that is blocked. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { spawnActor, startActorSystem } from "../../src/process/actors.js";
import { createSilentLogger } from "../../src/process/logger.js";

describe("actor", () => {
    it("should queue only one coalescable message at a time, and all others", async () => {
        const lifetime = new AbortController();
        const received: string[] = [];
        let unblock: () => void = () => undefined;
        const blocked = new Promise<void>(resolve => unblock = resolve);
        const ended = new Promise<void>(resolve => {
            const send = spawnActor<undefined, string>({
                system: startActorSystem(lifetime.signal),
                name: "test",
                initialState: undefined,
                logger: createSilentLogger(),
                isCoalescable: message => message === "tick",
                receive: async (_state, message) => {
                    await blocked;
                    received.push(message);
                    if (message === "last") {
                        resolve();
                    }
                    return undefined;
                },
            });
            ["first", "tick", "tick", "other", "tick", "other", "last"].forEach(send);
        });
        unblock();
        await ended;
        lifetime.abort();
        assert.deepEqual(received, ["first", "tick", "other", "other", "last"]);
    });
});
