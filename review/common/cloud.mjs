/** Stand-in of the platform's machines: lists them, moves them between pools and takes them down for upkeep, with fencing. */
import { noAnswer, startJsonServer } from "./httpServer.mjs";

/**
 * `machines` holds `machineId`, `pool`, `zone`, `labels`, `capacity` and `id`, the worker on it. `decideUpkeep(machine)` returns how long
 * an order without an answer is held up, or `undefined` for one that is carried out and answered at once.
 */
export async function startCloud(
    { machines, upkeepMs = 2_000, onEvent, decideUpkeep = () => undefined, onUpkeep = async () => undefined },
) {
    const states = new Map(machines.map(machine => [machine.machineId, { ...machine, state: "up", waves: new Set(), fencingToken: 0 }]));

    const beginUpkeep = async (machine, wave) => {
        machine.waves.add(wave);
        machine.state = "upkeep";
        const down = [...states.values()].filter(each => each.state === "upkeep").map(each => each.machineId);
        onEvent("upkeep begins", { machine: machine.machineId, wave, down });
        await onUpkeep(machine, upkeepMs);
        machine.state = "up";
        onEvent("upkeep ends", { machine: machine.machineId, wave });
    };
    const upkeep = (machine, wave) => {
        if (machine.waves.has(wave)) {
            return [200, {}];
        }
        if (machine.state !== "up") {
            return [409, { reason: "busy" }];
        }
        void beginUpkeep(machine, wave);
        return [200, {}];
    };
    const server = await startJsonServer(async ({ method, url, headers, body }) => {
        if (method === "GET" && url.pathname === "/api/machines") {
            const listed = [...states.values()].map(({ machineId, pool, state, zone, labels, capacity, id }) => ({
                machineId,
                pool,
                state,
                zone,
                labels,
                capacity,
                ...(state === "up" ? { id } : {}),
            }));
            return [200, { machines: listed }];
        }
        const machine = states.get(body.machineId);
        const token = Number(headers["fencing-token"] ?? 0);
        if (!machine || url.pathname !== "/api/machine-upkeep") {
            return [400, {}];
        }
        const order = { machine: body.machineId, wave: body.wave, holder: headers["duty-holder"], token };
        const obey = () => {
            if (token < machine.fencingToken) {
                return [409, { reason: "fence" }];
            }
            machine.fencingToken = token;
            return upkeep(machine, body.wave);
        };
        const heldUpMs = decideUpkeep(machine);
        if (heldUpMs === undefined) {
            const result = obey();
            onEvent("upkeep ordered", { ...order, status: result[0], reason: result[1].reason });
            return result;
        }
        onEvent("upkeep ordered", { ...order, heldUpMs });
        setTimeout(() => onEvent("held-up order carried out", { ...order, status: obey()[0] }), heldUpMs);
        return noAnswer;
    });
    return {
        address: server.address,
        machine: machineId => states.get(machineId),
        stop: server.stop,
    };
}
