/** The operator of a soak: replaces the configuration, and tells which answers the versions in force allow. */
import type { SeededRandom } from "../../harness/random.js";
import type { StoreStandIn } from "./storeStandIn.js";

export const soakHost = "soak.example";
export const lastingQueueName = "lasting";
/** Queues that every version has. */
export const queueNames = ["plans", lastingQueueName] as const;
export const maxAttempts = 4;
/** A key that every version has. */
export const constantKey = "key-constant";

const poolName = "pool";
const tenantName = "team";
const changingQueuesCount = 3;

export interface SoakVersion {
    number: number;
    queueNames: readonly string[];
    keys: readonly string[];
    acknowledgedAtMs: number;
}

export interface SoakOperator {
    pools: readonly string[];
    /** Stores a new version, with other routes and keys. */
    change(): void;
    /** A route, and a key, that the present version, an earlier one or none has. */
    drawCredentials(): { queueName: string; key: string };
    /** Versions by which a process that applies them within `applyMs` may handle a request sent at `sentAtMs` and answered now. */
    versionsInForce(sentAtMs: number, applyMs: number): SoakVersion[];
}

export function createSoakOperator(
    store: StoreStandIn,
    random: SeededRandom,
    record: (what: string, fields: object) => void,
): SoakOperator {
    const versions: SoakVersion[] = [];
    const change = (): void => {
        const number = (versions.at(-1)?.number ?? 0) + random.between(1, 4);
        const changing = Array.from({ length: changingQueuesCount }, (_, index) => `changing-${index}`).filter(() => random.unit() < 0.5);
        const names = [...queueNames, ...changing];
        const keys = [constantKey, `key-${number}`, ...versions.length > 0 && random.unit() < 0.5 ? [versions.at(-1)!.keys[1]!] : []];
        const text = JSON.stringify({
            version: number,
            routes: names.map(name => ({
                name,
                host: soakHost,
                prefix: `/${name}/`,
                service: poolName,
                public: false,
                priority: 0,
                maxAttempts,
                stretch: 1.6,
                sloMs: 600,
            })),
            services: [{ name: poolName, enforcesCapacity: false, standby: false }],
            limits: {},
            tenants: [{ name: tenantName, apiKeys: keys, weight: 50, maxCount: { cpu: 0, memMb: 0, gpu: 0 } }],
        });
        store.putItem({ key: "op/config", value: Buffer.from(text).toString("base64") });
        versions.push({ number, queueNames: names, keys, acknowledgedAtMs: performance.now() });
        record("configuration", { version: number, queueNames: names, keys });
    };
    change();
    return {
        pools: [poolName],
        change,
        drawCredentials: () => {
            const anyVersion = random.pick(versions.slice(-3));
            return {
                queueName: random.pick([...anyVersion.queueNames, "never"]),
                key: random.pick([constantKey, ...anyVersion.keys, "key-never"]),
            };
        },
        versionsInForce: (sentAtMs, applyMs) =>
            versions.filter((_, index) => {
                const next = versions[index + 1];
                return next === undefined || next.acknowledgedAtMs + applyMs > sentAtMs;
            }),
    };
}
