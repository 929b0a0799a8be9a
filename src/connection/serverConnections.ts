/**
 * Connections to one backend server or peer. Each carries one request at a time and is closed after a short idle time. If a
 * connection is unresponsive while a new one works, all connections that are at least as old are retired with it.
 */
import { Client, type Dispatcher } from "undici";
import type { TimerService } from "../common/timerService.js";

/** A connection while a request uses it. */
export interface ServerConnection {
    dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void;
    /** Returns the connection after a complete response, so that it can be reused. */
    release(): void;
    /** Closes the connection after an incomplete or missing response. */
    discard(): void;
    /**
     * Closes an unresponsive connection; if a new connection works, all connections that are at least as old are retired.
     */
    discardUnresponsive(): void;
}

export interface ServerConnections {
    /** Returns an idle connection, or opens a new one. */
    acquire(): ServerConnection;
    /** Closes all connections; requests in progress fail. */
    close(): void;
}

export interface ServerConnectionsOptions {
    /** Address of the server, `ip:port`. */
    address: string;
    timers: TimerService;
    connectTimeoutMs: number;
    /** Called after connections were retired because a newer connection works. */
    onRetired(retiredCount: number): void;
}

/** Idle time after which a connection is closed. A silently broken connection is not detected while it is idle. */
const maximumIdleMs = 1_000;
const probeTimeoutMs = 1_000;

interface OpenConnection {
    client: Client;
    openedAtMs: number;
    isRetired: boolean;
}

/** Creates the connections of one server; none is opened before the first request. */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const idle: OpenConnection[] = [];
    const open = new Set<OpenConnection>();

    const openClient = (): Client =>
        new Client(`http://${options.address}`, {
            pipelining: 1,
            connect: { timeout: options.connectTimeoutMs },
            keepAliveTimeout: maximumIdleMs,
            keepAliveMaxTimeout: maximumIdleMs,
            // The request itself enforces its deadline and progress timeout.
            headersTimeout: 0,
            bodyTimeout: 0,
        });

    const openEntry = (): OpenConnection => {
        const entry: OpenConnection = { client: openClient(), openedAtMs: options.timers.nowMs(), isRetired: false };
        entry.client.on("connect", () => entry.openedAtMs = options.timers.nowMs());
        open.add(entry);
        return entry;
    };

    const destroyEntry = (entry: OpenConnection): void => {
        open.delete(entry);
        const index = idle.indexOf(entry);
        if (index >= 0) {
            idle.splice(index, 1);
        }
        entry.client.destroy().catch(() => undefined);
    };

    const retireOpenedBy = (openedAtMs: number): void => {
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

    const toConnection = (entry: OpenConnection): ServerConnection => ({
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
            void probe().then(works => works ? retireOpenedBy(entry.openedAtMs) : undefined);
        },
    });

    return {
        acquire: () => toConnection(idle.pop() ?? openEntry()),
        close: () => [...open].forEach(destroyEntry),
    };
}
