/** Memory that follows the number of received bytes: small chunks of a body would each cost hundreds of bytes as objects. */

const firstBytes = 1_024;

export interface GrowingBuffer {
    /** Size of the memory that an append of so many bytes needs. */
    capacityFor(addedBytes: number): number;
    /** Copies a chunk. */
    append(chunk: Buffer): void;
    length(): number;
    bytes(): Buffer;
}

/** `expectedBytes` is the most that will be appended; it bounds the growth, not the content. */
export function createGrowingBuffer(expectedBytes: number): GrowingBuffer {
    let memory = Buffer.alloc(0);
    let length = 0;
    const capacityFor = (addedBytes: number): number => {
        const neededBytes = length + addedBytes;
        return neededBytes <= memory.length ?
            memory.length :
            Math.max(neededBytes, Math.min(expectedBytes, Math.max(firstBytes, 2 * memory.length)));
    };
    return {
        capacityFor,
        append: chunk => {
            const capacity = capacityFor(chunk.length);
            if (capacity > memory.length) {
                const larger = Buffer.allocUnsafeSlow(capacity);
                memory.copy(larger, 0, 0, length);
                memory = larger;
            }
            length += chunk.copy(memory, length);
        },
        length: () => length,
        bytes: () => memory.subarray(0, length),
    };
}
