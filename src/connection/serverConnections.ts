/**
 * Connections to one backend server or peer: one request at a time on each, none kept idle for long, and silent ones
 * retired together with all that are as old.
 */
import { Client, type Dispatcher } from "undici";
import type { TimerService } from "../common/timerService.js";

/** One connection as its request sees it. */
export interface ServerConnection {
    dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void;
    /** Gives the connection back after a whole answer. */
    release(): void;
    /** Closes the connection after an answer that was not whole, or none. */
    discard(): void;
    /** Closes the connection, which went silent; if a new one works, all idle ones that are as old are retired. */
    discardUnresponsive(): void;
}

export interface ServerConnections {
    /** Takes an idle connection or opens a new one. */
    acquire(): ServerConnection;
    /** Closes all connections; running requests fail. */
    close(): void;
}

export interface ServerConnectionsOptions {
    /** Address of the server, `ip:port`. */
    address: string;
    timers: TimerService;
    connectTimeoutMs: number;
    /** Called after connections were retired because a newer one works. */
    onRetired(retiredCount: number): void;
}

/** An idle connection is closed after this time: a cut that nobody was told of is found by no one while it is idle. */
const longestIdleMs = 1_000;
const probeTimeoutMs = 1_000;

interface Entry {
    client: Client;
    openedAtMs: number;
    isRetired: boolean;
}

/** Creates the connections of one server; none is open before the first request. */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const idle: Entry[] = [];
    const open = new Set<Entry>();

    const openClient = (): Client =>
        new Client(`http://${options.address}`, {
            pipelining: 1,
            connect: { timeout: options.connectTimeoutMs },
            keepAliveTimeout: longestIdleMs,
            keepAliveMaxTimeout: longestIdleMs,
            // Deadlines and progress are watched by the request itself.
            headersTimeout: 0,
            bodyTimeout: 0,
        });

    const openEntry = (): Entry => {
        const entry: Entry = { client: openClient(), openedAtMs: options.timers.nowMs(), isRetired: false };
        entry.client.on("connect", () => entry.openedAtMs = options.timers.nowMs());
        open.add(entry);
        return entry;
    };

    const destroyEntry = (entry: Entry): void => {
        open.delete(entry);
        const index = idle.indexOf(entry);
        if (index >= 0) {
            idle.splice(index, 1);
        }
        entry.client.destroy().catch(() => undefined);
    };

    const retireUpTo = (openedAtMs: number): void => {
        const old = [...open].filter(entry => entry.openedAtMs <= openedAtMs);
        old.forEach(entry => entry.isRetired = true);
        const retired = old.filter(entry => idle.includes(entry));
        retired.forEach(destroyEntry);
        if (old.length > 0) {
            options.onRetired(old.length);
        }
    };

    const probe = async (): Promise<boolean> => {
        const client = openClient();
        try {
            const answer = await client.request({ method: "GET", path: "/healthz", signal: AbortSignal.timeout(probeTimeoutMs) });
            await answer.body.dump();
            return true;
        }
        catch {
            return false;
        }
        finally {
            client.destroy().catch(() => undefined);
        }
    };

    const toConnection = (entry: Entry): ServerConnection => ({
        dispatch: (dispatchOptions, handler) => void entry.client.dispatch(dispatchOptions, handler),
        release: () => {
            if (entry.isRetired || !open.has(entry)) {
                destroyEntry(entry);
                return;
            }
            idle.push(entry);
        },
        discard: () => destroyEntry(entry),
        discardUnresponsive: () => {
            destroyEntry(entry);
            void probe().then(works => works ? retireUpTo(entry.openedAtMs) : undefined);
        },
    });

    return {
        acquire: () => toConnection(idle.pop() ?? openEntry()),
        close: () => [...open].forEach(destroyEntry),
    };
}
