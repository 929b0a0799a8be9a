/** Decoding and validation of the platform's documents, request bodies and settings. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { decodeConfiguration, findRoute } from "../../platform/configurationDocument.js";
import { decodeJobBody } from "../../platform/jobBody.js";
import { parseSettings } from "../../platform/settingsFile.js";
import { decodeWave, encodeWaveStatus } from "../../platform/vmServiceClient.js";
import { decodeWorkerEntry } from "../../platform/workerEntry.js";

const route = (name: string, host: string, prefix: string): object => ({
    name,
    host,
    prefix,
    service: "pool",
    priority: 0,
    maxAttempts: 2,
    stretch: 1.5,
    sloMs: 600,
});
const configurationText = JSON.stringify({
    version: 7,
    routes: [route("short", "a.example", "/q/"), route("long", "a.example", "/q/deep/"), {
        ...route("open", "b.example", "/o/"),
        public: true,
    }],
    services: [{ name: "pool" }, { name: "spare", standby: true }],
    limits: {},
    tenants: [{ name: "team", apiKeys: ["k1", "k2"], weight: 3, maxCount: { cpu: 1_000, memMb: 0, gpu: 0 } }],
    somethingNew: true,
});

describe("the operator's configuration", () => {
    const configuration = decodeConfiguration(configurationText);

    it("should route by host and longest prefix", () => {
        assert.equal(findRoute(configuration, "A.example:80", "/q/deep/x")?.queueName, "long");
        assert.equal(findRoute(configuration, "a.example", "/q/x")?.queueName, "short");
        assert.equal(findRoute(configuration, "b.example", "/q/x"), undefined);
    });

    it("should decode keys, limits, standby pools and queues", () => {
        assert.equal(configuration.teamByKey.get("k2"), "team");
        assert.equal(configuration.policy.teams.get("team")?.limit.cpuMillicores, 1_000);
        assert.equal(configuration.policy.pools.get("spare")?.isStandby, true);
        assert.equal(configuration.policy.queues.get("short")?.criticalPathFactor, 1.5);
    });

    it("should reject a document without routes", () => {
        assert.throws(() => decodeConfiguration('{"version":1}'));
    });
});

describe("the body of a job", () => {
    it("should treat missing fields, 0, false and empty strings as absent", () => {
        const decoded = decodeJobBody(JSON.stringify({ spec: "s", steps: [{ count: 2, cpu: 500, dataRack: "", antiAffinity: 0 }] }));
        assert.ok(decoded.isValid);
        const [step] = decoded.job.steps;
        assert.deepEqual([step?.preferredRack, step?.maxTasksPerWorker, step?.isGang, step?.dependsOn], [undefined, undefined, false, []]);
        assert.equal(decoded.job.repeat, undefined);
    });

    const invalid = [
        { title: "invalid JSON", text: "{" },
        { title: "no steps", text: '{"steps":[]}' },
        { title: "a step that depends on itself", text: '{"steps":[{"count":1,"after":[0]}]}' },
        { title: "a negative count", text: '{"steps":[{"count":-1}]}' },
    ];
    invalid.forEach(({ title, text }) => {
        it(`should reject ${title} with findings`, () => {
            const decoded = decodeJobBody(text);
            assert.ok(!decoded.isValid && decoded.findings.length > 0);
        });
    });
});

describe("a worker's entry", () => {
    const nowWallMs = 1_000_000;
    const entry = {
        service: "pool",
        address: "10.0.0.1:80",
        zone: "z",
        version: "v1",
        slots: 8,
        state: "ready",
        coldRemainingMs: 900,
        capacity: { cpu: 16_000, memMb: 1 },
        labels: ["a", "r1"],
        born: 5,
        seq: 4,
    };

    it("should decode pool, rack, start time and state", () => {
        const decoded = decodeWorkerEntry("w", JSON.stringify({ ...entry, state: "draining" }), nowWallMs);
        assert.ok("entry" in decoded);
        assert.deepEqual([decoded.entry.poolName, decoded.entry.rack, decoded.entry.bornWallMs, decoded.entry.isDraining], [
            "pool",
            "r1",
            5,
            true,
        ]);
    });

    it("should decode an entry whose counts are 0 and left out", () => {
        const text = JSON.stringify({ ...entry, coldRemainingMs: undefined, seq: undefined });
        assert.ok("entry" in decodeWorkerEntry("w", text, nowWallMs));
    });

    const foreign = [
        ...["service", "address", "zone", "version", "slots", "state", "capacity", "labels", "born"].map(field => ({
            title: `no ${field}`,
            text: JSON.stringify({ ...entry, [field]: undefined }),
        })),
        ...["version", "slots", "coldRemainingMs", "labels", "seq"].map(field => ({
            title: `${field} of another type`,
            text: JSON.stringify({ ...entry, [field]: { value: 1 } }),
        })),
        { title: "invalid JSON", text: "\u0000" },
        { title: "an unknown state", text: JSON.stringify({ ...entry, state: "resting" }) },
        { title: "a field of another type", text: JSON.stringify({ ...entry, capacity: "large" }) },
        { title: "no start time", text: JSON.stringify({ ...entry, born: undefined }) },
        { title: "a port that is too large", text: JSON.stringify({ ...entry, address: "10.0.0.1:99999" }) },
        { title: "port 0", text: JSON.stringify({ ...entry, address: "10.0.0.1:0" }) },
        { title: "an octet that is too large", text: JSON.stringify({ ...entry, address: "999.1.1.1:80" }) },
        { title: "a path behind the port", text: JSON.stringify({ ...entry, address: "10.0.0.1:80/x" }) },
        { title: "a negative capacity", text: JSON.stringify({ ...entry, capacity: { cpu: -1, memMb: 1 } }) },
        { title: "a capacity that is too large", text: JSON.stringify({ ...entry, capacity: { cpu: 1, memMb: 1e300 } }) },
        { title: "an infinite capacity", text: JSON.stringify({ ...entry, capacity: 7 }).replace("7", '{"cpu":1e400,"memMb":1}') },
        { title: "a start in the future", text: JSON.stringify({ ...entry, born: 9e15 }) },
        { title: "a negative start time", text: JSON.stringify({ ...entry, born: -1 }) },
        {
            title: "a capacity that it inherits",
            text: JSON.stringify({ ...entry, capacity: undefined }).replace("{", '{"__proto__":{"capacity":{"cpu":1,"memMb":1}},'),
        },
        { title: "200,000 nested lists", text: `[${"[".repeat(200_000)}${"]".repeat(200_000)}]` },
        { title: "5 million opening brackets", text: "[".repeat(5_000_000) },
        { title: "1 MB of labels", text: JSON.stringify({ ...entry, labels: Array.from({ length: 100_000 }, () => "lone \ud800") }) },
        { title: "an empty text", text: "" },
    ];
    foreign.forEach(({ title, text }) => {
        it(`should reject an entry with ${title}`, () => assert.ok("reason" in decodeWorkerEntry("w", text, nowWallMs)));
    });
});

describe("a maintenance wave", () => {
    it("should be decoded, and its status encoded, in the operator's format", () => {
        const wave = decodeWave('{"wave":3,"machines":["m1"],"withinS":20,"maxCount":2}');
        assert.deepEqual(wave, { waveNumber: 3, vmIds: ["m1"], withinMs: 20_000, maximumDown: 2 });
        assert.deepEqual(JSON.parse(encodeWaveStatus(3, true)), { wave: 3, state: "completed" });
    });
});

describe("the settings file", () => {
    it("should report all findings together", () => {
        const parsed = parseSettings('{"nodeName":"n","listenAddrs":{"front":"nowhere"}}');
        assert.ok(!parsed.isValid);
        ["zone", "listenAddrs.front", "limits", "platform"].forEach(place =>
            assert.ok(parsed.findings.some(finding => finding.startsWith(place)), `no finding for ${place}`)
        );
    });
});
