/** Schemas of `ip:port` addresses, for settings and for documents that other processes or other writers have written. */
import { isIPv4, isIPv6 } from "node:net";
import * as z from "zod";

const maxPort = 65_535;

interface AddressParts {
    host: string;
    port: string;
}

function splitAtPort(address: string): AddressParts {
    const separatorIndex = address.lastIndexOf(":");
    return { host: address.slice(0, Math.max(0, separatorIndex)), port: address.slice(separatorIndex + 1) };
}

function isPort(text: string): boolean {
    return /^[1-9]\d{0,4}$/.test(text) && Number(text) <= maxPort;
}

function isIpv4Port(address: string): boolean {
    const { host, port } = splitAtPort(address);
    return isIPv4(host) && isPort(port);
}

function isIpv6Port(address: string): boolean {
    const { host, port } = splitAtPort(address);
    return host.startsWith("[") && host.endsWith("]") && isIPv6(host.slice(1, -1)) && isPort(port);
}

/** An IPv4 address and a port. */
export const ipv4PortAddress = z.string().refine(isIpv4Port, "expected ip:port");

/** An IPv4 address, or an IPv6 address in brackets, and a port. */
export const ipPortAddress = z.string().refine(text => isIpv4Port(text) || isIpv6Port(text), "an address as ip:port");
