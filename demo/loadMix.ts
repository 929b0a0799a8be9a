/** The mixed load of the demo: every team keeps more requests open than the fleet has slots for. */
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
    /** Requests that each team keeps open at a time. */
    openPerTeam: number;
    durationMs: number;
    seed: number;
}

export interface TeamResult extends CallResult {
    team: string;
}

interface CallShape {
    service: string;
    kind: string;
    isOpen: boolean;
    expectedRunMs: number;
}

/** Declared run times are off by this factor at most, both ways. */
const runTimeSpread = 2;
const smallestAnswerBytes = 16;
const largestAnswerBytes = 4096;

function listShapes(site: SiteConfiguration): CallShape[] {
    return Object.entries(site.services).flatMap(([service, configured]) =>
        Object.entries(configured.requestKinds).map(([kind, shape]) => ({
            service,
            kind,
            isOpen: configured.isOpen,
            expectedRunMs: shape.expectedRunMs,
        }))
    );
}

/** Whether the demo's call with this token may run more than once. */
export function mayRepeatToken(site: SiteConfiguration, token: string): boolean {
    const [service = "", kind = ""] = token.split(":");
    return site.services[service]?.requestKinds[kind]?.isRepeatable ?? false;
}

/** Runs the load and resolves with all results. */
export async function runLoadMix(options: LoadOptions): Promise<TeamResult[]> {
    const random = createSeededRandom(options.seed);
    const shapes = listShapes(options.site);
    const results: TeamResult[] = [];
    const untilMs = performance.now() + options.durationMs;
    let nextToken = 0;

    const callOnce = async (team: TeamCaller): Promise<void> => {
        const shape = random.pick(shapes);
        const factor = runTimeSpread ** (2 * random.unit() - 1);
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

    const keepOpen = async (team: TeamCaller): Promise<void> => {
        while (performance.now() < untilMs) {
            await callOnce(team);
        }
    };

    await Promise.all(options.teams.flatMap(team => Array.from({ length: options.openPerTeam }, () => keepOpen(team))));
    return results;
}
