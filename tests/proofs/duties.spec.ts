/**
 * Duties fail over when their holder is killed or paused beyond its lease, and a resumed holder does not act on the lost
 * duty. Uses real processes.
 */
import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import type { Child } from "../../harness/childProcess.js";
import { type Fleet, startFleet, waitForStatus } from "../../harness/fleet.js";
import { makeSmallFleet } from "../../harness/smallFleet.js";
import { setVms } from "../../harness/standIns.js";
import { waitUntil } from "../../harness/waitUntil.js";

const addressPrefix = "127.50";
const limits = { vik: 16, selfoss: 16 };
const dutyTakenEvent = 6004;
const dutyLostEvent = 6005;

describe("duties", () => {
    let fleet: Fleet;
    before(async () => {
        const document = makeSmallFleet({
            addressPrefix,
            zones: ["az-1", "az-2"],
            serversPerZone: 1,
            slotsPerServer: 16,
            limits,
            requestTimeoutMs: 500,
            longestRunMs: 500,
        });
        fleet = await startFleet({
            document,
            addressPrefix,
            gatewaysPerZone: 2,
            keepsLogLines: true,
            environment: { NUTMEGJUNCTION_DUTY_LEASE_S: "1" },
        });
    });
    after(() => fleet.stop());

    const count = (steward: Child, event: number): number => steward.lines.filter(line => line.includes(`"event":${event},`)).length;
    const timesTaken = (): number => fleet.stewards.reduce((sum, steward) => sum + count(steward, dutyTakenEvent), 0);
    const currentHolder = (): Child | undefined =>
        fleet.stewards.find(steward => count(steward, dutyTakenEvent) > count(steward, dutyLostEvent));
    const countMembersAt = async (callerAddress: string): Promise<number> => {
        const { body } = await fleet.callAdmin("GET", "/admin/v1/status");
        return (body.members as { callerAddress: string }[]).filter(member => member.callerAddress === callerAddress).length;
    };

    it("should fail over to another steward when the holder is paused beyond its lease", async () => {
        await waitUntil("a steward holds the duty", () => currentHolder() !== undefined);
        const paused = currentHolder()!;
        paused.kill("SIGSTOP");
        await waitUntil("the other steward has taken the duty", () => timesTaken() === 2);
        const replaced = fleet.gateways[1]!;
        replaced.child.kill("SIGKILL");
        await replaced.child.exited;
        fleet.gateways[1] = await fleet.startGateway("az-1", 1);
        await waitForStatus(`http://${replaced.callerAddress}/readyz`, 200);
        await waitUntil(
            "the replaced gateway's member record is reclaimed",
            async () => await countMembersAt(replaced.callerAddress) === 1,
        );
        paused.kill("SIGCONT");
        await waitUntil("the resumed steward has noticed the loss", () => count(paused, dutyLostEvent) === 1);
        assert.equal(timesTaken(), 2);
    });

    it("should fail over when the holder is killed, and reclaim a gateway whose VM the VM list reports as gone", async () => {
        const killed = currentHolder()!;
        const takenBefore = timesTaken();
        killed.kill("SIGKILL");
        await waitUntil("the other steward has taken the duty", () => timesTaken() === takenBefore + 1);
        const lost = fleet.gateways[3]!;
        lost.child.kill("SIGKILL");
        await lost.child.exited;
        await setVms(fleet.vmList, [{ vmId: lost.vmId, availabilityZone: lost.availabilityZone, state: "gone" }]);
        await waitUntil("the lost gateway's member record is reclaimed", async () => await countMembersAt(lost.callerAddress) === 0);
    });
});
