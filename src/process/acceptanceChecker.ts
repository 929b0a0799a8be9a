/** Checks whether a configuration version has been applied by every live process, and lists what is still missing. */
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
    /** Zones with a live process that has not applied the version yet. */
    zonesMissing: string[];
    /** Teams whose new limit is not recorded in the allotments yet, or is still exceeded by the slots granted. */
    teamsOverLimit: string[];
}

export interface AcceptanceChecker {
    /** Returns what is known now, without waiting. */
    getAcceptance(version: number): Acceptance;
    /** Polls until the version is accepted or `timeoutMs` have passed; resolves with the last result. */
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

export function createAcceptanceChecker(options: AcceptanceCheckerOptions): AcceptanceChecker {
    const { membership, allotments, configuration, timers } = options;

    const findTeamsOverLimit = (): string[] => {
        const sites = Object.values(configuration.current()?.fleet.sites ?? {});
        const allotmentsByTeam = allotments.document().teams;
        return Object.entries(sites[0]?.teams ?? {}).flatMap(([team, configured]) => {
            const allotted = allotmentsByTeam[team];
            const isInForce = !allotted || (allotted.limitSlots === configured.limitSlots && isWithinLimit(allotted));
            return isInForce ? [] : [team];
        });
    };

    const getAcceptance = (version: number): Acceptance => {
        const members = membership.members();
        const gone = new Set(findGoneMembers(members, options.vmList.goneVmIds()).map(member => member.memberId));
        const missing = zonesMissing(version, members.filter(member => !gone.has(member.memberId)));
        const teamsOverLimit = configuration.version() === version ? findTeamsOverLimit() : [];
        return { version, zonesMissing: missing, teamsOverLimit, isAccepted: missing.length === 0 && teamsOverLimit.length === 0 };
    };

    return {
        getAcceptance,
        waitForAcceptance: async (version, timeoutMs) => {
            const deadlineMs = timers.nowMs() + timeoutMs;
            let acceptance = getAcceptance(version);
            while (!acceptance.isAccepted && timers.nowMs() < deadlineMs) {
                await delay(timers, pollIntervalMs);
                acceptance = getAcceptance(version);
            }
            return acceptance;
        },
    };
}
