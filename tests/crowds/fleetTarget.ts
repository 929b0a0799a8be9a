/** A gateway, or a steward, of a small fleet as the target of a crowd of hostile clients. */
import { request } from "undici";
import type { Child } from "../../harness/childProcess.js";
import { type Fleet, startFleet } from "../../harness/fleet.js";
import { makeSmallFleet, openService } from "../../harness/smallFleet.js";
import { environmentName, gatewaySettings } from "../../src/process/settings.js";
import type { FleetDocument } from "../../src/version/fleetDocument.js";
import type { CrowdTarget } from "./checkCrowd.js";

export interface FleetCrowdTarget {
    gateway: CrowdTarget;
    steward: CrowdTarget;
    addresses: { callers: string; operators: string; peers: string; steward: string };
    fleet: Fleet;
    isOperatorAnswered(): Promise<boolean>;
    stop(): Promise<void>;
}

export interface FleetCrowdOptions {
    addressPrefix: string;
    limits: { memoryMb: number; maxFds: number };
    heapMb: number;
    /** Changes the document of the small fleet before it is applied. */
    changeDocument?: (document: FleetDocument) => FleetDocument;
    /** Further settings, by environment variable. */
    environment?: Record<string, string>;
}

export const zone = "az-1";
const answerTimeoutMs = 20_000;
const okStatus = 200;

const isAnswered = (url: string, method: string): Promise<boolean> =>
    request(url, {
        method: method as "GET",
        headers: { "x-token": "ordinary", "x-run-time-ms": "1", "x-answer-bytes": "10" },
        body: method === "POST" ? "small" : undefined,
        headersTimeout: answerTimeoutMs,
        reset: true,
    }).then(async response => {
        await response.body.dump();
        return response.statusCode === okStatus;
    }, () => false);

function makeTarget(child: Child, limits: CrowdTarget["limits"], isOrdinaryRequestAnswered: () => Promise<boolean>): CrowdTarget {
    const failures: string[] = [];
    void child.exited.then(code => failures.push(`ended with ${code}: ${child.stderrText().slice(-500)}`));
    return { limits, pid: () => child.pid, failures: () => failures, isOrdinaryRequestAnswered };
}

/** Starts a fleet with one gateway, one steward and one backend server. */
export async function startFleetCrowdTarget(options: FleetCrowdOptions): Promise<FleetCrowdTarget> {
    const { addressPrefix, limits, heapMb, changeDocument = unchanged => unchanged } = options;
    const settings = { memoryLimitMb: limits.memoryMb, maxDescriptors: limits.maxFds };
    // A product without these settings refuses to start with them; it is held to the same bounds.
    const known = Object.entries(settings).filter(([name]) => name in gatewaySettings);
    const document = makeSmallFleet({ addressPrefix, zones: [zone], serversPerZone: 1, slotsPerServer: 8, limits: { vik: 8 } });
    const fleet = await startFleet({
        document: changeDocument(document),
        serverDocument: document,
        addressPrefix,
        gatewaysPerZone: 1,
        environment: {
            NODE_OPTIONS: `--max-old-space-size=${heapMb} --max-semi-space-size=4`,
            ...Object.fromEntries(known.map(([name, value]) => [environmentName(name), String(value)])),
            ...options.environment,
        },
    });
    const { child, callerAddress, adminAddress } = fleet.gateways[0]!;
    const [ip] = adminAddress.split(":");
    const stewardAddress = `${ip}:7004`;
    return {
        gateway: makeTarget(child, limits, () => isAnswered(`http://${callerAddress}/v1/services/${openService}/a`, "POST")),
        steward: makeTarget(fleet.stewards[0]!, limits, () => isAnswered(`http://${stewardAddress}/healthz`, "GET")),
        addresses: { callers: callerAddress, operators: adminAddress, peers: `${ip}:7003`, steward: stewardAddress },
        fleet,
        isOperatorAnswered: () => isAnswered(`http://${adminAddress}/healthz`, "GET"),
        stop: fleet.stop,
    };
}
