/** Parses and validates a caller's request: service, path, kind, timeout and idempotency key. Later code does not check them again. */
import type http from "node:http";
import { Err, Ok, type Result } from "../common/results.js";
import { headerNames } from "../connection/httpHeaders.js";
import type { RequestKindConfiguration, ServiceConfiguration, SiteConfiguration } from "../version/fleetDocument.js";
import { problems, type ProblemType } from "./problems.js";

export interface CallerRequest {
    serviceId: string;
    service: ServiceConfiguration;
    kind: RequestKindConfiguration;
    method: string;
    /** Path and query for the backend server; the first segment is the service id. */
    serverPath: string;
    timeoutMs: number;
    idempotencyKey: string | undefined;
    /** Whether another gateway forwarded the request to this one. */
    isForwarded: boolean;
}

export interface RequestRejection {
    type: ProblemType;
    detail: string;
    /** Whether a newer version of the configuration may allow what this one denies. */
    isByVersion?: boolean;
}

const servicesPrefix = "/v1/services/";
const defaultKind = "default";
const maxIdempotencyKeyChars = 512;

function headerValue(request: http.IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function readKind(request: http.IncomingMessage, service: ServiceConfiguration): Result<RequestKindConfiguration, RequestRejection> {
    const names = Object.keys(service.requestKinds);
    const name = headerValue(request, headerNames.requestKind) ?? (names.length === 1 ? names[0]! : defaultKind);
    const kind = Object.hasOwn(service.requestKinds, name) ? service.requestKinds[name] : undefined;
    if (!kind) {
        return Err({
            type: problems.badRequest,
            detail: `header Request-Kind: found '${name}'; send one of: ${names.join(", ")}`,
            isByVersion: true,
        });
    }
    return Ok(kind);
}

function readTimeoutMs(request: http.IncomingMessage, service: ServiceConfiguration): Result<number, RequestRejection> {
    const text = headerValue(request, headerNames.requestTimeoutMs);
    if (text === undefined) {
        return Ok(service.requestTimeoutMs);
    }
    const timeoutMs = Number(text);
    if (!Number.isInteger(timeoutMs) || timeoutMs < 1) {
        return Err({ type: problems.badRequest, detail: `header Request-Timeout-Ms: found '${text}'; send whole milliseconds from 1` });
    }
    return Ok(Math.min(timeoutMs, service.requestTimeoutMs));
}

function readIdempotencyKey(request: http.IncomingMessage): Result<string | undefined, RequestRejection> {
    const key = headerValue(request, headerNames.idempotencyKey);
    if (key !== undefined && (key === "" || key.length > maxIdempotencyKeyChars)) {
        return Err({
            type: problems.badRequest,
            detail: `header Idempotency-Key: found ${key.length} characters; send 1 to ${maxIdempotencyKeyChars}`,
        });
    }
    return Ok(key);
}

/** Splits the path into the service id and the rest; returns `undefined` for a path outside the services prefix. */
function splitPath(url: string): { serviceId: string; rest: string } | undefined {
    if (!url.startsWith(servicesPrefix)) {
        return undefined;
    }
    const remainder = url.slice(servicesPrefix.length);
    const end = remainder.search(/[/?]/);
    return end < 0 ? { serviceId: remainder, rest: "/" } : { serviceId: remainder.slice(0, end), rest: remainder.slice(end) };
}

/** Parses and validates a request; an invalid request is rejected before anything runs. */
export function parseCallerRequest(request: http.IncomingMessage, site: SiteConfiguration): Result<CallerRequest, RequestRejection> {
    const split = splitPath(request.url ?? "");
    if (!split) {
        return Err({ type: problems.noSuchPath, detail: `found '${request.url}'; use ${servicesPrefix}<service>/<path>` });
    }
    const service = Object.hasOwn(site.services, split.serviceId) ? site.services[split.serviceId] : undefined;
    if (!service) {
        return Err({
            type: problems.noSuchService,
            detail: `found '${split.serviceId}'; use one of: ${Object.keys(site.services).join(", ")}`,
            isByVersion: true,
        });
    }
    const kind = readKind(request, service);
    const timeoutMs = readTimeoutMs(request, service);
    const idempotencyKey = readIdempotencyKey(request);
    if (kind.err) {
        return kind;
    }
    if (timeoutMs.err) {
        return timeoutMs;
    }
    if (idempotencyKey.err) {
        return idempotencyKey;
    }
    return Ok({
        serviceId: split.serviceId,
        service,
        kind: kind.val,
        method: request.method ?? "GET",
        serverPath: `/${split.serviceId}${split.rest}`,
        timeoutMs: timeoutMs.val,
        idempotencyKey: idempotencyKey.val,
        isForwarded: request.headers[headerNames.forwardedBy] !== undefined,
    });
}
