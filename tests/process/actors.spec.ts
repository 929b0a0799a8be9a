/** Actors: one message at a time, and no mailbox that a timer can fill. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { spawnActor, startActorSystem } from "../../src/process/actors.js";
import { createSilentLogger } from "../../src/process/logger.js";

describe("actor", () => {
    it("should keep one coalesced message waiting, and every other one", async () => {
        const lifetime = new AbortController();
        const received: string[] = [];
        let letGo: () => void = () => undefined;
        const blocked = new Promise<void>(resolve => letGo = resolve);
        const ended = new Promise<void>(resolve => {
            const send = spawnActor<undefined, string>({
                system: startActorSystem(lifetime.signal),
                name: "test",
                initialState: undefined,
                logger: createSilentLogger(),
                isCoalesced: message => message === "tick",
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
        letGo();
        await ended;
        lifetime.abort();
        assert.deepEqual(received, ["first", "tick", "other", "other", "last"]);
    });
});
