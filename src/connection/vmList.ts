/** Client of the platform's list of VMs and their states. The list is eventually consistent: it may lag behind. */
import { request } from "undici";
import * as z from "zod";
import { Err, Ok, type Result } from "../common/results.js";

export const listedVmStates = { live: "live", leaving: "leaving", gone: "gone" } as const;

const vmListResponse = z.object({
    vms: z.array(z.object({ vmId: z.string(), availabilityZone: z.string(), state: z.enum(listedVmStates) })),
});
export type VmEntry = z.infer<typeof vmListResponse>["vms"][number];

const callTimeoutMs = 2_000;

/** Fetches the list of VMs. */
export async function readVmList(address: string, signal: AbortSignal): Promise<Result<VmEntry[], string>> {
    try {
        const response = await request(`http://${address}/v1/vms`, {
            signal: AbortSignal.any([signal, AbortSignal.timeout(callTimeoutMs)]),
        });
        return Ok(vmListResponse.parse(await response.body.json()).vms);
    }
    catch (error) {
        return Err(error instanceof Error ? error.message : String(error));
    }
}
