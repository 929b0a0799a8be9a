/** Passes on a body as it arrives, in pieces that do not follow the chunks of the sender: each piece costs a write to the backend server. */
import type http from "node:http";
import { PassThrough, type Readable } from "node:stream";

/** `onReceived` gets the bytes of the body so far. The body is not read before its reader wants it. */
export function coalesceBody(request: http.IncomingMessage, onReceived: (receivedBytes: number) => void): Readable {
    const body = new PassThrough();
    let receivedBytes = 0;
    let isWaiting = false;
    const pass = (): void => {
        while (!isWaiting) {
            const data = request.read() as Buffer | undefined;
            if (!data) {
                return;
            }
            receivedBytes += data.length;
            onReceived(receivedBytes);
            if (!body.write(data)) {
                isWaiting = true;
                body.once("drain", () => {
                    isWaiting = false;
                    pass();
                });
            }
        }
    };
    request.on("readable", pass);
    request.once("end", () => body.end());
    request.once("close", () => {
        if (!request.complete) {
            body.destroy(new Error("the caller disconnected before the whole body was received"));
        }
    });
    // The rest of a body that nobody reads any more must not keep the connection.
    body.once("close", () => {
        request.removeListener("readable", pass);
        request.resume();
    });
    body.on("error", () => undefined);
    return body;
}
