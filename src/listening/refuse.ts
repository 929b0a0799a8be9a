/** Refuses a request for a limit: the answer says that nothing ran, and the connection is closed. */
import type http from "node:http";

/** The client may be sending its body still; a connection that is closed at once could lose the answer. */
const lingerMs = 1_000;

/** Ends a response whose whole body was written: at once if the request was received whole, otherwise when that ends or after a second. */
export function endAfterRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.complete) {
        response.end();
        return;
    }
    const end = (): void => {
        clearTimeout(timer);
        response.end();
    };
    const timer = setTimeout(end, lingerMs);
    request.once("end", end);
    request.once("close", end);
    request.resume();
}

export interface Refusal {
    headers: Record<string, string>;
    body: string;
}
/** Describes why a request is refused, in the format of the listener. */
export type DescribeRefusal = (request: http.IncomingMessage, status: number, reason: string) => Refusal;

const describeAsJson: DescribeRefusal = (_request, _status, reason) => ({
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ error: `${reason}; nothing was run` }),
});

/** Answers that nothing ran and the caller may try again. */
export function refuseRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    status: number,
    reason: string,
    describe = describeAsJson,
): void {
    const { headers, body } = describe(request, status, reason);
    response.writeHead(status, {
        ...headers,
        "content-length": Buffer.byteLength(body),
        "retry-after": "1",
        "connection": "close",
    });
    response.write(body);
    endAfterRequest(request, response);
}
