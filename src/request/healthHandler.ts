/** Serves health, readiness and metrics without authentication. */
import type http from "node:http";
import { type Metrics, renderMetrics } from "../process/metrics.js";
import { sendJson } from "./jsonResponses.js";

export interface HealthHandlerOptions {
    metrics: Metrics;
    storeCalls(): Readonly<Record<string, number>>;
    /** Returns why the process is not ready, or `undefined` if it is. */
    notReadyReason(): string | undefined;
}

const unavailableStatus = 503;

/** Creates the handler; it returns whether it handles the request's path. */
export function createHealthHandler(
    options: HealthHandlerOptions,
): (request: http.IncomingMessage, response: http.ServerResponse) => boolean {
    const sendMetrics = async (response: http.ServerResponse): Promise<void> => {
        const text = await renderMetrics(options.metrics, options.storeCalls());
        response.writeHead(200, { "content-type": options.metrics.registry.contentType });
        response.end(text);
    };
    return (request, response) => {
        switch (request.url) {
            case "/healthz":
                sendJson(response, 200, { status: "ok" });
                return true;
            case "/readyz": {
                const reason = options.notReadyReason();
                sendJson(response, reason === undefined ? 200 : unavailableStatus, { isReady: reason === undefined, reason });
                return true;
            }
            case "/metrics":
                void sendMetrics(response);
                return true;
            default:
                return false;
        }
    };
}
