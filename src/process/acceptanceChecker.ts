/** Tells whether a configuration version is in force everywhere, and where not yet. */
import type { TimerService } from "../common/timerService.js";
import { delay } from "../common/timerService.js";
import { zonesMissing } from "../decisions/acceptance.js";
import { isWithinLimit } from "../decisions/allotments.js";
import { findGoneMembers } from "../decisions/membership.js";
import type { AllotmentManager } from "./allotmentManager.js";
import type { ConfigurationManager } from "./configurationManager.js";
import type { Membership } from "./membership.js";
import type { VmListPoller } from "./vmListPoller.js";

export interface Acceptance {
    version: number;
    isAccepted: boolean;
    /** Zones where some live process does not hold the version yet. */
    zonesMissing: string[];
    /** Teams that still have more running than their new limit. */
    teamsOverLimit: string[];
}

export interface AcceptanceChecker {
    getAcceptance(version: number): Acceptance;
    /** Waits until the version is accepted, at most `timeoutMs`. */
    waitForAcceptance(version: number, timeoutMs: number): Promise<Acceptance>;
}

export interface AcceptanceCheckerOptions {
    membership: Membership;
    vmList: VmListPoller;
    allotments: AllotmentManager;
    configuration: ConfigurationManager;
    timers: TimerService;
}

const pollIntervalMs = 25;

/** Creates the view. */
export function createAcceptanceChecker(options: AcceptanceCheckerOptions): AcceptanceChecker {
    const { membership, allotments, configuration, timers } = options;

    const findTeamsOverLimit = (): string[] => {
        const sites = Object.values(configuration.current()?.fleet.sites ?? {});
        const documents = allotments.document().teams;
        return Object.entries(sites[0]?.teams ?? {}).flatMap(([team, configured]) => {
            const allotted = documents[team];
            const isInForce = !allotted || (allotted.limitSlots === configured.limitSlots && isWithinLimit(allotted));
            return isInForce ? [] : [team];
        });
    };

    const of = (version: number): Acceptance => {
        const members = membership.members();
        const gone = new Set(findGoneMembers(members, options.vmList.goneVmIds()).map(member => member.memberId));
        const missing = zonesMissing(version, members.filter(member => !gone.has(member.memberId)));
        const teamsOverLimit = configuration.version() === version ? findTeamsOverLimit() : [];
        return { version, zonesMissing: missing, teamsOverLimit, isAccepted: missing.length === 0 && teamsOverLimit.length === 0 };
    };

    return {
        getAcceptance: of,
        waitForAcceptance: async (version, timeoutMs) => {
            const untilMs = timers.nowMs() + timeoutMs;
            let acceptance = of(version);
            while (!acceptance.isAccepted && timers.nowMs() < untilMs) {
                await delay(timers, pollIntervalMs);
                acceptance = of(version);
            }
            return acceptance;
        },
    };
}
