/** Guards against an accepted job whose size or numbers stop each process that loads it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeJobBody } from "../../platform/jobBody.js";
import { createJobRecord } from "../../src/scheduling/jobRecord.js";

describe("a job", () => {
    const rejected = [
        { title: "too many occurrences", text: '{"steps":[{"count":1}],"repeatCount":9007199254740991}' },
        {
            title: "too many tasks in all steps",
            text: JSON.stringify({ steps: Array.from({ length: 1_000 }, () => ({ count: 100_000 })) }),
        },
        { title: "too many tasks in all occurrences", text: '{"steps":[{"count":100000}],"repeatCount":1000}' },
        { title: "too many tasks in a gang", text: '{"steps":[{"count":5001,"gang":true}]}' },
        { title: "an estimate that is too large", text: '{"steps":[{"count":1,"estDurationMs":1e308}]}' },
        { title: "an amount that is too large", text: '{"steps":[{"count":1,"cpu":9007199254740991}]}' },
        { title: "a start that is no time", text: '{"steps":[{"count":1}],"repeatCount":2,"startAtMs":1e308}' },
        { title: "a start before 1970", text: '{"steps":[{"count":1}],"repeatCount":2,"startAtMs":-1}' },
        { title: "a negative interval", text: '{"steps":[{"count":1}],"repeatCount":2,"intervalMs":-1}' },
        { title: "nested lists in place of a step", text: `{"steps":[${"[".repeat(200_000)}${"]".repeat(200_000)}]}` },
        {
            title: "an object in place of the steps whose length cannot be compared",
            text: '{"steps":{"length":{"toString":1,"valueOf":1}}}',
        },
        { title: "5 million opening brackets", text: "[".repeat(5_000_000) },
    ];
    rejected.forEach(({ title, text }) => {
        it(`should be rejected with findings: ${title}`, () => {
            const decoded = decodeJobBody(text);
            assert.ok(!decoded.isValid && decoded.findings.length > 0);
        });
    });

    const accepted = [
        { title: "the most tasks of a step", body: { steps: [{ count: 100_000 }] } },
        { title: "the most tasks of a gang", body: { steps: [{ count: 5_000, gang: true }] } },
        { title: "many occurrences", body: { steps: [{ count: 10 }], repeatCount: 5_000, startAtMs: 1.8e12, intervalMs: 60_000 } },
        { title: "many steps", body: { steps: Array.from({ length: 1_000 }, () => ({ count: 100, estDurationMs: 1e9, cpu: 1e6 })) } },
    ];
    accepted.forEach(({ title, body }) => {
        it(`should be accepted, with finite estimates: ${title}`, () => {
            const decoded = decodeJobBody(JSON.stringify(body));
            assert.ok(decoded.isValid);
            const submission = { jobId: "job", queueName: "queue", teamName: undefined, submittedWallMs: 0, ...decoded.job };
            const { workMillicoreS, criticalPathMs } = createJobRecord(submission, undefined);
            assert.ok(Number.isFinite(workMillicoreS) && Number.isFinite(criticalPathMs));
        });
    });
});
