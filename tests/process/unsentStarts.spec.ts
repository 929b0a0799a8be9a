/** Guards against starts that waited for a connection and are sent although nothing needs them any more. */
import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { createSessionFixture, emptyListing, type SessionFixture } from "./sessionFixture.js";

async function createFixtureWithWaitingStart(context: TestContext): Promise<SessionFixture> {
    const fixture = createSessionFixture();
    const session = fixture.open(context);
    await fixture.respondToList({ clockMs: 1_000, listing: emptyListing });
    await fixture.start(session);
    assert.equal(fixture.starts[0]!.mayStillSend(), true);
    return fixture;
}

describe("a start that waits for a connection", () => {
    it("should not be sent once its job is cancelled", async context => {
        const { harness, starts } = await createFixtureWithWaitingStart(context);
        harness.scheduler.cancelJob("job", 0);
        assert.equal(starts[0]!.mayStillSend(), false);
    });

    it("should not be sent once an earlier run of its task is known to have ended as done", async context => {
        const { harness, starts } = await createFixtureWithWaitingStart(context);
        harness.list("w1", { ended: [{ taskName: "job.0.0.0", runId: 7, end: "done" }] });
        assert.equal(starts[0]!.mayStillSend(), false);
    });
});
