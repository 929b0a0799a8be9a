/** Mixed load of the demo. Each team keeps more requests open than the fleet has slots for. */
import type { Pool } from "undici";
import { type CallResult, callService } from "../harness/callService.js";
import { createSeededRandom } from "../harness/random.js";
import type { SiteConfiguration } from "../src/version/fleetDocument.js";

export interface TeamCaller {
    team: string;
    key: string;
}

export interface LoadOptions {
    site: SiteConfiguration;
    teams: TeamCaller[];
    callers: Pool[];
    /** Number of concurrent requests per team. */
    concurrencyPerTeam: number;
    durationMs: number;
    seed: number;
}

export interface TeamResult extends CallResult {
    team: string;
}

interface RequestProfile {
    service: string;
    kind: string;
    isOpen: boolean;
    expectedRunMs: number;
}

/** Actual run times differ from the declared ones by at most this factor, in either direction. */
const maxRunTimeFactor = 2;
const smallestAnswerBytes = 16;
const largestAnswerBytes = 4096;

function listRequestProfiles(site: SiteConfiguration): RequestProfile[] {
    return Object.entries(site.services).flatMap(([service, configured]) =>
        Object.entries(configured.requestKinds).map(([kind, shape]) => ({
            service,
            kind,
            isOpen: configured.isOpen,
            expectedRunMs: shape.expectedRunMs,
        }))
    );
}

/** Whether the request with this token is repeatable, i.e. may run more than once. */
export function isRepeatableToken(site: SiteConfiguration, token: string): boolean {
    const [service = "", kind = ""] = token.split(":");
    return site.services[service]?.requestKinds[kind]?.isRepeatable ?? false;
}

/** Sends requests for `durationMs` and resolves with the results of all requests. */
export async function runMixedLoad(options: LoadOptions): Promise<TeamResult[]> {
    const random = createSeededRandom(options.seed);
    const shapes = listRequestProfiles(options.site);
    const results: TeamResult[] = [];
    const loadEndsAtMs = performance.now() + options.durationMs;
    let nextToken = 0;

    const callOnce = async (team: TeamCaller): Promise<void> => {
        const shape = random.pick(shapes);
        const factor = maxRunTimeFactor ** (2 * random.unit() - 1);
        const result = await callService(random.pick(options.callers), {
            service: shape.service,
            kind: shape.kind,
            token: `${shape.service}:${shape.kind}:${nextToken++}`,
            key: team.key,
            runMs: Math.max(1, Math.round(shape.expectedRunMs * factor)),
            answerBytes: random.between(smallestAnswerBytes, largestAnswerBytes),
        });
        results.push({ ...result, team: team.team });
    };

    const sendUntilEnd = async (team: TeamCaller): Promise<void> => {
        while (performance.now() < loadEndsAtMs) {
            await callOnce(team);
        }
    };

    await Promise.all(options.teams.flatMap(team => Array.from({ length: options.concurrencyPerTeam }, () => sendUntilEnd(team))));
    return results;
}
