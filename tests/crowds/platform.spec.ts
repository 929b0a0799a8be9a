/**
 * Crowds of hostile clients against a process of the platform build. They guard against a process that exhausts its heap, its memory
 * or its descriptors, or that answers no ordinary caller any more. Nothing here depends on how fast the machine is.
 */
import { afterEach, beforeEach, describe, it } from "node:test";
import { type PlatformCrowdTarget, startPlatformCrowdTarget } from "../platform/crowdTarget.js";
import { checkCrowd } from "./checkCrowd.js";
import { type Crowd, openCrowd, pipelinedRequests, unfinishedBody } from "./crowd.js";
import { openTricklingCrowd } from "./tricklingCrowd.js";

/** An idle process has some 100 MB. */
const limits = { memoryMb: 180, maxFds: 4_100 };
const heapMb = 80;
const requestWithoutHeaders = "GET / HTTP/1.1\r\n\r\n";
/** Almost as many bytes as a request may have. */
const longHeaders = Array.from({ length: 150 }, (_, index) => `x-${index}: ${"y".repeat(90)}\r\n`).join("");

/** Each kind of hostile client at the same time. */
function openAllCrowds(target: PlatformCrowdTarget): Crowd[] {
    const kinds = [
        unfinishedBody(target.submissionHead, 250_000, 16_384),
        unfinishedBody(target.submissionHead, 60_000, 1),
        pipelinedRequests(target.requestWithoutKey, 1_000),
        [Buffer.from(requestWithoutHeaders.repeat(10_000))],
    ];
    return kinds.map(pieces => openCrowd({ address: target.addresses.callers, connectionsCount: 300, pieces }));
}

describe("a process of the platform build under hostile clients", () => {
    let target: PlatformCrowdTarget;
    beforeEach(async () => {
        target = await startPlatformCrowdTarget({ addressPrefix: "127.93.1", limits, heapMb });
    });
    afterEach(() => target.stop());

    it("should outlive many unfinished bodies in large chunks", () =>
        checkCrowd(target, () => [openCrowd({
            address: target.addresses.callers,
            connectionsCount: 600,
            pieces: unfinishedBody(target.submissionHead, 250_000, 16_384),
        })]));

    it("should outlive many unfinished bodies in chunks of one byte", () =>
        checkCrowd(target, () => [openCrowd({
            address: target.addresses.callers,
            connectionsCount: 60,
            pieces: unfinishedBody(target.submissionHead, 60_000, 1),
        })]));

    it("should outlive many pipelined requests without a key whose responses are not read", () =>
        checkCrowd(target, () => [openCrowd({
            address: target.addresses.callers,
            connectionsCount: 500,
            pieces: pipelinedRequests(target.requestWithoutKey, 1_000),
        })]));

    it("should outlive many pipelined requests for metrics that are not read", () =>
        checkCrowd(target, () => [openCrowd({
            address: target.addresses.readiness,
            connectionsCount: 100,
            pieces: pipelinedRequests("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n", 500),
        })]));
});

describe("a process of the platform build that holds many jobs", () => {
    let target: PlatformCrowdTarget;
    beforeEach(async () => {
        target = await startPlatformCrowdTarget({
            addressPrefix: "127.93.1",
            limits: { memoryMb: 250, maxFds: 4_100 },
            heapMb,
            scheduledJobsCount: 4_000,
        });
    });
    afterEach(() => target.stop());

    it("should outlive many pipelined requests without any headers", () =>
        checkCrowd(target, () => [openCrowd({
            address: target.addresses.callers,
            connectionsCount: 400,
            pieces: pipelinedRequests(requestWithoutHeaders, 20_000),
        })]));

    it("should outlive many unfinished bodies whose requests have long headers", () =>
        checkCrowd(target, () => [openCrowd({
            address: target.addresses.callers,
            connectionsCount: 1_000,
            pieces: unfinishedBody(`${target.submissionHead}${longHeaders}`, 1, 1),
        })]));

    it("should outlive each kind of hostile client at the same time", () => checkCrowd(target, () => openAllCrowds(target)));
});

describe("a process of the platform build that holds many jobs, with more memory than heap", () => {
    let target: PlatformCrowdTarget;
    beforeEach(async () => {
        target = await startPlatformCrowdTarget({
            addressPrefix: "127.93.1",
            limits: { memoryMb: 350, maxFds: 4_100 },
            heapMb,
            scheduledJobsCount: 3_000,
        });
    });
    afterEach(() => target.stop());

    it("should outlive each kind of hostile client at the same time, beside a small heap", () =>
        checkCrowd(target, () => openAllCrowds(target)));
});

describe("a process of the platform build on a VM with little memory", () => {
    let target: PlatformCrowdTarget;
    beforeEach(async () => {
        target = await startPlatformCrowdTarget({
            addressPrefix: "127.93.1",
            limits: { memoryMb: 160, maxFds: 4_100 },
            heapMb: 160,
            scheduledJobsCount: 500,
        });
    });
    afterEach(() => target.stop());

    it("should stay within its memory under each kind of hostile client at the same time", () =>
        checkCrowd(target, () => openAllCrowds(target)));
});

describe("a process of the platform build with few descriptors", () => {
    let target: PlatformCrowdTarget;
    beforeEach(async () => {
        target = await startPlatformCrowdTarget({ addressPrefix: "127.93.1", limits: { ...limits, maxFds: 500 }, heapMb });
    });
    afterEach(() => target.stop());

    it("should outlive more connections than its descriptors allow, on each of its listeners", () =>
        checkCrowd(
            target,
            () =>
                Object.values(target.addresses).map(address =>
                    openCrowd({ address, connectionsCount: 400, pieces: [Buffer.from("GET / HTTP/1.1\r\n")] })
                ),
        ));

    it("should answer a caller beside many bodies that arrive byte by byte", () =>
        checkCrowd(target, () => [openTricklingCrowd({
            address: target.addresses.callers,
            connectionsCount: 300,
            start: `${target.submissionHead}transfer-encoding: chunked\r\n\r\n`,
            piece: "1\r\nx\r\n",
            pauseMs: 40,
        })]));

    it("should answer for its readiness beside many bodies that arrive byte by byte", () =>
        checkCrowd({ ...target, isOrdinaryRequestAnswered: target.isReadinessAnswered }, () => [openTricklingCrowd({
            address: target.addresses.readiness,
            connectionsCount: 100,
            start: "GET /api/ready HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
            piece: "1\r\nx\r\n",
            pauseMs: 40,
        })]));
});
