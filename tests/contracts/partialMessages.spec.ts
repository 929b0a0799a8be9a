/** Messages that have not arrived whole: which links are closed, and that those of ordinary processes are not. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type net from "node:net";
import { beforeEach, describe, it } from "node:test";
import type { WebSocket } from "ws";
import { limitPartialMessages, type PartialMessages } from "../../src/connection/partialMessages.js";

const maxMessageBytes = 2_000_000;
const maxBytes = 2 * maxMessageBytes;
const largeBytes = 100_000;
const smallBytes = 60_000;
const overdueMs = 5_001;

interface LinkStandIn {
    receive(bytes: number): void;
    complete(): void;
    isClosed(): boolean;
}

describe("the bound of messages that have not arrived whole", () => {
    let limit: PartialMessages;
    let usedBytes: number;
    let nowMs: number;
    let exceededCount: number;

    const openLink = (): LinkStandIn => {
        const socket = new EventEmitter();
        const link = Object.assign(new EventEmitter(), {
            OPEN: 1,
            readyState: 1,
            terminate: () => {
                link.readyState = 3;
                link.emit("close");
            },
        });
        limit.watch(socket as net.Socket, link as unknown as WebSocket);
        return {
            receive: bytes => void socket.emit("data", Buffer.alloc(bytes)),
            complete: () => void link.emit("message"),
            isClosed: () => link.readyState !== link.OPEN,
        };
    };
    const openLinks = (count: number): LinkStandIn[] => Array.from({ length: count }, openLink);
    const closedCount = (links: readonly LinkStandIn[]): number => links.filter(link => link.isClosed()).length;

    beforeEach(() => {
        usedBytes = 0;
        nowMs = 0;
        exceededCount = 0;
        limit = limitPartialMessages({
            maxBytes,
            maxMessageBytes,
            usedBytes: () => usedBytes,
            onExceeded: () => exceededCount += 1,
            nowMs: () => nowMs,
        });
    });

    it("should receive any number of the largest messages one after another", () => {
        openLinks(50).forEach(link => {
            link.receive(maxMessageBytes);
            link.complete();
            assert.equal(link.isClosed(), false);
        });
        assert.equal(exceededCount, 0);
    });

    it("should receive large messages together as far as there is room, and close the link of a further one", () => {
        const [first, second, third] = openLinks(3) as [LinkStandIn, LinkStandIn, LinkStandIn];
        [first, second, third].forEach(link => link.receive(largeBytes));
        assert.deepEqual([first, second, third].map(link => link.isClosed()), [false, false, true]);
        first.complete();
        const fourth = openLink();
        fourth.receive(largeBytes);
        assert.equal(fourth.isClosed(), false);
    });

    it("should close a large message that is overdue in favour of another one", () => {
        const stalled = openLinks(2);
        stalled.forEach(link => link.receive(largeBytes));
        nowMs = overdueMs;
        const other = openLink();
        other.receive(largeBytes);
        assert.equal(other.isClosed(), false);
        assert.equal(closedCount(stalled), 1);
    });

    it("should count the calls in progress, and still receive one large message", () => {
        usedBytes = maxBytes;
        const [first, second] = openLinks(2) as [LinkStandIn, LinkStandIn];
        [first, second].forEach(link => link.receive(largeBytes));
        assert.deepEqual([first.isClosed(), second.isClosed()], [false, true]);
    });

    it("should receive small messages beside large ones, and bound all of them together", () => {
        openLinks(2).forEach(link => link.receive(maxMessageBytes));
        const fitting = openLinks(Math.floor(maxBytes / smallBytes));
        fitting.forEach(link => link.receive(smallBytes));
        assert.equal(closedCount(fitting), 0);
        const [further] = openLinks(1);
        further!.receive(smallBytes);
        assert.equal(closedCount([...fitting, further!]), 1);
    });
});
