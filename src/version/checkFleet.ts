/** Validation across several fields of a fleet: references, shares against limits, availability budgets against pools. */
import { type Finding, quoteValue } from "../common/findings.js";
import { baseSource, type SiteConfiguration } from "./fleetDocument.js";
import type { ResolvedFleet } from "./resolveFleet.js";

/** Returns the number of slots of all backend servers outside spare pools. */
function countSlots(fleet: ResolvedFleet, pools: SiteConfiguration["pools"]): number {
    return Object.values(fleet.backendServers)
        .filter(server => !pools[server.pool]?.isSpare)
        .reduce((sum, server) => sum + server.slotsCount, 0);
}

function checkPoolReferences(zone: string, site: SiteConfiguration): Finding[] {
    const known = Object.keys(site.pools).join(", ");
    const users = [
        ...Object.entries(site.services).map(([id, service]) => ({ source: baseSource, path: `services.${id}.pool`, pool: service.pool })),
        ...Object.entries(site.backendServers).map(([id, server]) => ({
            source: zone,
            path: `backendServers.${id}.pool`,
            pool: server.pool,
        })),
    ];
    return users
        .filter(user => !site.pools[user.pool])
        .map(user => ({ source: user.source, path: user.path, found: quoteValue(user.pool), allowed: `a pool of 'pools': ${known}` }));
}

function checkServices(site: SiteConfiguration): Finding[] {
    return Object.entries(site.services).filter(([, service]) => service.longestRunMs < service.requestTimeoutMs).map(([id, service]) => ({
        source: baseSource,
        path: `services.${id}.longestRunMs`,
        found: quoteValue(service.longestRunMs),
        allowed: `at least requestTimeoutMs, ${service.requestTimeoutMs}`,
    }));
}

/** Finds teams whose limit is below their share of the whole fleet, which they could then never reach. */
function checkShares(fleet: ResolvedFleet, site: SiteConfiguration): Finding[] {
    const slots = countSlots(fleet, site.pools);
    const teams = Object.entries(site.teams);
    const weights = teams.reduce((sum, [, team]) => sum + team.shareWeight, 0);
    return teams.flatMap(([id, team]) => {
        const entitledSlots = Math.floor(slots * team.shareWeight / weights);
        if (team.limitSlots >= entitledSlots) {
            return [];
        }
        const allowed = `at least its share of the fleet, ${entitledSlots} of ${slots} slots`;
        return [{ source: baseSource, path: `teams.${id}.limitSlots`, found: quoteValue(team.limitSlots), allowed }];
    });
}

function countServersByPool(fleet: ResolvedFleet): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    Object.values(fleet.backendServers).forEach(server => counts.set(server.pool, (counts.get(server.pool) ?? 0) + 1));
    return counts;
}

function checkBudgets(fleet: ResolvedFleet, site: SiteConfiguration): Finding[] {
    const counts = countServersByPool(fleet);
    return Object.entries(site.pools).filter(([, pool]) => !pool.isSpare).flatMap(([id, pool]) => {
        const servers = counts.get(id) ?? 0;
        if (servers > pool.availabilityBudget.minimumAvailableCount) {
            return [];
        }
        return [{
            source: baseSource,
            path: `pools.${id}.availabilityBudget.minimumAvailableCount`,
            found: quoteValue(pool.availabilityBudget.minimumAvailableCount),
            allowed: `fewer than the pool's ${servers} backend servers; otherwise none of its VMs could ever be taken down for maintenance`,
        }];
    });
}

/** Finds values that more than one server uses. */
function checkUnique(fleet: ResolvedFleet, field: "address" | "vmId"): Finding[] {
    const owners = new Map<string, string>();
    return Object.entries(fleet.backendServers).flatMap(([id, server]) => {
        const owner = owners.get(server[field]);
        owners.set(server[field], owner ?? id);
        if (owner === undefined) {
            return [];
        }
        const path = `backendServers.${id}.${field}`;
        return [{
            source: server.availabilityZone,
            path,
            found: quoteValue(server[field]),
            allowed: `a unique value; '${owner}' already uses it`,
        }];
    });
}

function checkServerIds(fleet: ResolvedFleet): Finding[] {
    return Object.entries(fleet.sites).flatMap(([zone, site]) =>
        Object.keys(site.backendServers).filter(id => fleet.backendServers[id]?.availabilityZone !== zone).map(id => ({
            source: zone,
            path: `backendServers.${id}`,
            found: quoteValue(id),
            allowed: `a unique id; zone '${fleet.backendServers[id]?.availabilityZone}' already uses it`,
        }))
    );
}

/** Returns the findings of all checks that span several fields. */
export function checkFleet(fleet: ResolvedFleet): Finding[] {
    const sites = Object.entries(fleet.sites);
    const perSite = sites.flatMap(([zone, site]) => [...checkPoolReferences(zone, site), ...checkServices(site)]);
    const firstSite = sites[0]?.[1];
    const fleetWide = firstSite ? [...checkShares(fleet, firstSite), ...checkBudgets(fleet, firstSite)] : [];
    return [...perSite, ...fleetWide, ...checkUnique(fleet, "address"), ...checkUnique(fleet, "vmId"), ...checkServerIds(fleet)];
}
