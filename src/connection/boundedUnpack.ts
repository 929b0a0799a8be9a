/**
 * Decodes MessagePack from other processes in memory that is bounded by the message. The library allocates an array for as many elements
 * as its head announces, before it reads them, and an empty map of one byte becomes an object.
 */
import { unpack } from "msgpackr";

/** How a code announces what follows it. */
interface Layout {
    /** Bytes after the code that hold the length, if it is not within the code. */
    lengthBytes: number;
    /** Bytes that follow for each unit of the length, or values for a container. */
    bytesPerUnit: number;
    valuesPerUnit: number;
    fixedLength: number;
}

const bytesOf = (fixedLength: number, lengthBytes = 0): Layout => ({ lengthBytes, bytesPerUnit: 1, valuesPerUnit: 0, fixedLength });
const valuesOf = (valuesPerUnit: number, fixedLength: number, lengthBytes = 0): Layout => ({
    lengthBytes,
    bytesPerUnit: 0,
    valuesPerUnit,
    fixedLength,
});

/** Codes from 0xc0 on that messages may have; extensions are not among them. */
const layoutByCode: ReadonlyMap<number, Layout> = new Map([
    [0xc0, bytesOf(0)],
    [0xc2, bytesOf(0)],
    [0xc3, bytesOf(0)],
    ...[0xc4, 0xd9].map(code => [code, bytesOf(0, 1)] as const),
    ...[0xc5, 0xda].map(code => [code, bytesOf(0, 2)] as const),
    ...[0xc6, 0xdb].map(code => [code, bytesOf(0, 4)] as const),
    [0xca, bytesOf(4)],
    [0xcb, bytesOf(8)],
    ...[0xcc, 0xd0].map(code => [code, bytesOf(1)] as const),
    ...[0xcd, 0xd1].map(code => [code, bytesOf(2)] as const),
    ...[0xce, 0xd2].map(code => [code, bytesOf(4)] as const),
    ...[0xcf, 0xd3].map(code => [code, bytesOf(8)] as const),
    [0xdc, valuesOf(1, 0, 2)],
    [0xdd, valuesOf(1, 0, 4)],
    [0xde, valuesOf(2, 0, 2)],
    [0xdf, valuesOf(2, 0, 4)],
]);
/** The library encodes `undefined` as an extension of type 0 with the byte 0. */
const undefinedCode = 0xd4;
const undefinedBytes = 3;

function layoutOf(code: number): Layout | undefined {
    if (code < 0x80 || code >= 0xe0) {
        return bytesOf(0);
    }
    if (code < 0x90) {
        return valuesOf(2, code & 0x0f);
    }
    if (code < 0xa0) {
        return valuesOf(1, code & 0x0f);
    }
    return code < 0xc0 ? bytesOf(code & 0x1f) : layoutByCode.get(code);
}

/** Throws if the frame announces more than it has, has more than `maxValues` values, or uses an extension. */
function checkFrame(frame: Buffer, maxValues: number): void {
    let position = 0;
    let valuesCount = 1;
    for (let readCount = 0; readCount < valuesCount; readCount++) {
        if (frame[position] === undefinedCode && frame[position + 1] === 0 && frame[position + 2] === 0) {
            position += undefinedBytes;
            continue;
        }
        const layout = position < frame.length ? layoutOf(frame[position]!) : undefined;
        const endOfLength = position + 1 + (layout?.lengthBytes ?? 0);
        if (!layout || endOfLength > frame.length) {
            throw new Error(`no valid value at byte ${position}`);
        }
        const length = layout.lengthBytes > 0 ? frame.readUIntBE(position + 1, layout.lengthBytes) : layout.fixedLength;
        position = endOfLength + length * layout.bytesPerUnit;
        valuesCount += length * layout.valuesPerUnit;
        if (position + valuesCount - readCount - 1 > frame.length) {
            throw new Error("more is announced than the message has");
        }
        if (valuesCount > maxValues) {
            throw new Error(`there are more than ${maxValues} values`);
        }
    }
}

/** Decodes one message; throws if it is not valid or has more than `maxValues` values. */
export function unpackBounded(frame: Buffer, maxValues: number): unknown {
    checkFrame(frame, maxValues);
    return unpack(frame) as unknown;
}
