/** Stands before a worker, and holds calls to it: they get no answer, and are carried out later or not at all. */
import { findFreeHost, type JsonServer, send, startJsonServer } from "./http.js";
import type { CaseRecord } from "./record.js";
import { ports } from "./settings.js";

export interface HeldCalls extends JsonServer {
    /** Whether no call gets through. */
    isCut: boolean;
    /** Returns after how long a call is carried out that gets no answer; `undefined` if it is answered at once. */
    holdFor: (path: string, body: Record<string, unknown>) => number | undefined;
}

const callTimeoutMs = 5_000;

export async function startHeldCalls(workerAddress: string, record: CaseRecord): Promise<HeldCalls> {
    const host = await findFreeHost(ports.worker);
    const forward = (path: string, headers: Record<string, string>, body: Record<string, unknown>) =>
        send(workerAddress, "POST", path, { headers, body, timeoutMs: callTimeoutMs });
    const server = await startJsonServer(async (request, url, text) => {
        const body = text === "" ? {} : JSON.parse(text) as Record<string, unknown>;
        const headers = { "expect-instance": String(request.headers["expect-instance"] ?? "") };
        if (calls.isCut) {
            return undefined;
        }
        const heldMs = calls.holdFor(url.pathname, body);
        if (heldMs !== undefined) {
            record.add("a call is held", { path: url.pathname, ...body, heldMs });
            setTimeout(() => {
                void forward(url.pathname, headers, body).then(answer =>
                    record.add("a held call is carried out", { path: url.pathname, ...body, answer })
                );
            }, heldMs);
            return undefined;
        }
        const { status, body: answer } = await forward(url.pathname, headers, body);
        return status === 0 || calls.isCut ? undefined : [status, answer];
    }, `${host}:${ports.worker}`);
    const calls: HeldCalls = { ...server, isCut: false, holdFor: () => undefined };
    return calls;
}
