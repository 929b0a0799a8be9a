/** Amounts of what a worker offers and a task needs. */
export interface Resources {
    cpuMillicores: number;
    memoryMb: number;
    accelerators: number;
}

/** Whether `amount` is no more than `room` in any resource. */
export function fitsInto(amount: Resources, room: Resources): boolean {
    return amount.cpuMillicores <= room.cpuMillicores && amount.memoryMb <= room.memoryMb && amount.accelerators <= room.accelerators;
}
