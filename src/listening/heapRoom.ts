/** Bounds the heap that the requests of all listeners hold by what the process itself leaves of it. */
import { constants, type PerformanceEntry, PerformanceObserver } from "node:perf_hooks";
import { getHeapStatistics } from "node:v8";
import { maxHeldHeapBytes, surplusShare } from "../decisions/listenerLimits.js";

export interface HeapRoom {
    /** Changes what requests hold by so many bytes. */
    hold(bytes: number): void;
    /** Whether requests may hold so many bytes more. */
    hasRoom(bytes: number): boolean;
    /** Whether a request may hold so many bytes for the time that its refusal takes. */
    hasRoomForRefusal(bytes: number): boolean;
    /** Calls `shed` whenever less is left than requests hold. */
    onExceeded(shed: () => void): void;
}

/** Between collections the used heap is measured again whenever requests hold so much more. */
const measuredGrowthBytes = 524_288;

/** After a full collection the used heap is what the process and its requests hold; later, it is that and garbage. */
export function createHeapRoom(): HeapRoom {
    const heapLimitBytes = getHeapStatistics().heap_size_limit;
    const listeners: (() => void)[] = [];
    let heldBytes = 0;
    let measuredHeldBytes = 0;
    let maxHeldBytes = 0;
    const measure = (): number => {
        measuredHeldBytes = heldBytes;
        return maxHeldHeapBytes({ heapLimitBytes, liveBytes: getHeapStatistics().used_heap_size, heldBytes });
    };
    const measureAfterCollection = (): void => {
        maxHeldBytes = measure();
        if (heldBytes > maxHeldBytes) {
            listeners.forEach(shed => shed());
        }
    };
    maxHeldBytes = measure();
    const observer = new PerformanceObserver(list => {
        const entries = list.getEntries() as (PerformanceEntry & { detail: { kind: number } })[];
        if (entries.some(({ detail }) => detail.kind === constants.NODE_PERFORMANCE_GC_MAJOR)) {
            measureAfterCollection();
        }
    });
    observer.observe({ entryTypes: ["gc"] });
    return {
        hold: bytes => {
            heldBytes += bytes;
            measuredHeldBytes = Math.min(measuredHeldBytes, heldBytes);
            if (heldBytes - measuredHeldBytes > measuredGrowthBytes) {
                maxHeldBytes = Math.min(maxHeldBytes, measure());
            }
        },
        hasRoom: bytes => heldBytes + bytes <= maxHeldBytes,
        hasRoomForRefusal: bytes => heldBytes + bytes <= maxHeldBytes * (1 + surplusShare),
        onExceeded: shed => void listeners.push(shed),
    };
}
