/** Bounds the memory of WebSocket messages that have not arrived whole, over all links of a listener. */
import type net from "node:net";
import type { WebSocket } from "ws";

export interface PartialMessages {
    /** Counts the bytes of a link until it closes. */
    watch(socket: net.Socket, link: WebSocket): void;
}

export interface PartialMessagesOptions {
    maxBytes: number;
    /** Size of the largest message. */
    maxMessageBytes: number;
    /** Bytes of `maxBytes` that messages which have arrived whole take. */
    usedBytes(): number;
    onExceeded(): void;
    nowMs(): number;
}

/** A message of more bytes is large. */
const smallBytes = 65_536;
/** A large message that has not arrived whole after this time gives way to another one. */
const largeMessageMs = 5_000;

interface PartialMessage {
    bytes: number;
    /** When the message became large. */
    largeSinceMs: number | undefined;
}

/**
 * As many large messages are received at a time as have room. The link of a further one is closed before it has sent much: what was
 * received for a link that is closed stays in memory until the next garbage collection. Of the small ones, the largest gives way.
 */
export function limitPartialMessages(options: PartialMessagesOptions): PartialMessages {
    const { maxBytes, maxMessageBytes, usedBytes, onExceeded, nowMs } = options;
    const partials = new Map<WebSocket, PartialMessage>();
    let smallTotalBytes = 0;
    let largeCount = 0;

    const reset = (link: WebSocket): void => {
        const partial = partials.get(link);
        if (!partial) {
            return;
        }
        if (partial.largeSinceMs === undefined) {
            smallTotalBytes -= partial.bytes;
        }
        else {
            largeCount -= 1;
        }
        partials.set(link, { bytes: 0, largeSinceMs: undefined });
    };
    const close = (link: WebSocket): void => {
        reset(link);
        onExceeded();
        link.terminate();
    };
    const largest = (valueOf: (partial: PartialMessage) => number | undefined): WebSocket | undefined =>
        [...partials].reduce<[WebSocket | undefined, number]>((found, [link, partial]) => {
            const value = valueOf(partial) ?? 0;
            return value > found[1] ? [link, value] : found;
        }, [undefined, 0])[0];

    const hasRoomForLarge = (): boolean => largeCount === 0 || usedBytes() + (largeCount + 1) * maxMessageBytes <= maxBytes;
    const makeLarge = (link: WebSocket, partial: PartialMessage): void => {
        const now = nowMs();
        if (!hasRoomForLarge()) {
            const oldest = largest(({ largeSinceMs }) => largeSinceMs === undefined ? undefined : now - largeSinceMs);
            const isOverdue = oldest !== undefined && now - partials.get(oldest)!.largeSinceMs! > largeMessageMs;
            close(isOverdue ? oldest : link);
            if (!isOverdue) {
                return;
            }
        }
        smallTotalBytes -= partial.bytes;
        largeCount += 1;
        partial.largeSinceMs = now;
    };
    const take = (link: WebSocket, bytes: number): void => {
        const partial = partials.get(link)!;
        partial.bytes += bytes;
        if (partial.largeSinceMs !== undefined) {
            return;
        }
        smallTotalBytes += bytes;
        if (partial.bytes > smallBytes) {
            makeLarge(link, partial);
        }
        while (smallTotalBytes > maxBytes) {
            close(largest(each => each.largeSinceMs === undefined ? each.bytes : undefined)!);
        }
    };

    return {
        watch: (socket, link) => {
            partials.set(link, { bytes: 0, largeSinceMs: undefined });
            // Before the link reads the data, which may complete a message.
            socket.prependListener("data", (data: Buffer) => {
                if (link.readyState === link.OPEN) {
                    take(link, data.length);
                }
            });
            link.on("message", () => reset(link));
            link.on("close", () => {
                reset(link);
                partials.delete(link);
            });
        },
    };
}
