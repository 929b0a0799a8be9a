/** The administration API: configuration, team keys, drains and status. */
import type http from "node:http";
import * as z from "zod";
import type { AcceptanceChecker } from "../process/acceptanceChecker.js";
import type { ConfigurationManager } from "../process/configurationManager.js";
import { type FleetChange, type FleetContent, type FleetWriter, type WriteFailure, writeFailures } from "../process/fleetWriter.js";
import { describeDifferences } from "../version/describeDifferences.js";
import { fleetDocument } from "../version/fleetDocument.js";
import type { FleetVersion } from "../version/fleetVersion.js";
import { resolveFleet } from "../version/resolveFleet.js";
import { areSecretsEqual, generateKey } from "../version/teamKeys.js";
import { readJsonBody, sendAdminProblem, sendJson } from "./jsonResponses.js";

export interface AdminHandlerOptions {
    operatorKey: string;
    configuration: ConfigurationManager;
    writer: FleetWriter;
    acceptance: AcceptanceChecker;
    /** How long a response waits for acceptance before it lists the zones that have not applied the change. */
    acceptanceWaitMs: number;
    nowMs(): number;
    status(): object;
}

type Handler = (request: http.IncomingMessage, response: http.ServerResponse, id: string) => Promise<void> | void;

const keyBodySchema = z.strictObject({ team: z.string() });
const drainBodySchema = z.strictObject({ serverId: z.string(), reason: z.string().default("") });
const operatorHeader = "nutmegjunction-operator";

function readIfMatch(request: http.IncomingMessage): number | undefined | "missing" {
    const text = request.headers["if-match"];
    if (text === undefined) {
        return "missing";
    }
    return text === "*" ? undefined : Number(text.replaceAll('"', ""));
}

/** Creates the handler; it returns whether it handles the request's path. */
export function createAdminHandler(
    options: AdminHandlerOptions,
): (request: http.IncomingMessage, response: http.ServerResponse) => boolean {
    const { configuration } = options;

    const sendWriteFailure = (response: http.ServerResponse, failure: WriteFailure, base: FleetVersion | undefined): void => {
        if (failure.failure === writeFailures.storeUnavailable) {
            sendAdminProblem(response, 503, "The platform's key-value service does not answer", {
                detail: `${failure.detail}; send it again later`,
            });
            return;
        }
        const differences = failure.current ? describeDifferences(base, failure.current) : [];
        const detail = `${failure.detail}; read the new version and make the change from it`;
        sendAdminProblem(response, 412, "Another change came first", { detail, version: failure.current?.version, differences });
    };

    /** Writes a change, waits for its acceptance, and responds with 200, or with 202 and the zones that have not applied it. */
    const commit = async (response: http.ServerResponse, change: FleetChange, extra: object = {}): Promise<void> => {
        const base = configuration.current()?.record;
        const written = await options.writer.propose(change);
        if (written.err) {
            sendWriteFailure(response, written.val, base);
            return;
        }
        const acceptance = await options.acceptance.waitForAcceptance(written.val.version, options.acceptanceWaitMs);
        sendJson(response, acceptance.isAccepted ? 200 : 202, { ...extra, ...acceptance }, { etag: `"${written.val.version}"` });
    };

    const readOperator = (request: http.IncomingMessage): string => String(request.headers[operatorHeader] ?? "unnamed");

    const getConfiguration: Handler = (_request, response) => {
        const current = configuration.current();
        const version = configuration.version();
        const body = {
            ...options.acceptance.getAcceptance(version),
            document: current?.record.document,
            changedAtMs: current?.record.changedAtMs,
            operator: current?.record.operator,
        };
        sendJson(response, 200, body, { etag: `"${version}"` });
    };

    const putConfiguration: Handler = async (request, response) => {
        const expectedVersion = readIfMatch(request);
        if (expectedVersion === "missing" || Number.isNaN(expectedVersion)) {
            sendAdminProblem(response, 428, "The version is missing", {
                detail: "header If-Match: send the version that the change was made from, or *",
            });
            return;
        }
        const body = await readJsonBody(request);
        const parsed = body.ok ? fleetDocument.safeParse(body.val) : undefined;
        if (!parsed?.success) {
            sendAdminProblem(response, 400, "The configuration cannot be read", {
                detail: body.err ? body.val : z.prettifyError(parsed!.error!),
            });
            return;
        }
        const document = parsed.data;
        const resolved = resolveFleet(document);
        if (resolved.err) {
            sendAdminProblem(response, 422, "The configuration has findings", { findings: resolved.val });
            return;
        }
        await commit(response, { operator: readOperator(request), expectedVersion, apply: content => ({ ...content, document }) });
    };

    const knownTeams = (): string[] => Object.keys(Object.values(configuration.current()?.fleet.sites ?? {})[0]?.teams ?? {});

    const postKey: Handler = async (request, response) => {
        const body = await readJsonBody(request);
        const parsed = body.ok ? keyBodySchema.safeParse(body.val) : undefined;
        if (!parsed?.success || !knownTeams().includes(parsed.data.team)) {
            sendAdminProblem(response, 422, "The team is not known", { detail: `send {"team": one of ${knownTeams().join(", ")}}` });
            return;
        }
        const generated = generateKey(parsed.data.team);
        const change = (content: FleetContent): FleetContent => ({ ...content, keys: [...content.keys, generated.record] });
        await commit(response, { operator: readOperator(request), expectedVersion: undefined, apply: change }, {
            key: generated.key,
            keyId: generated.record.keyId,
        });
    };

    const deleteKey: Handler = async (request, response, keyId) => {
        if (!configuration.current()?.keysById.has(keyId)) {
            sendAdminProblem(response, 404, "There is no such key", { detail: `found '${keyId}'; list them with GET /admin/v1/keys` });
            return;
        }
        const change = (content: FleetContent): FleetContent => ({ ...content, keys: content.keys.filter(key => key.keyId !== keyId) });
        await commit(response, { operator: readOperator(request), expectedVersion: undefined, apply: change });
    };

    const postDrain: Handler = async (request, response) => {
        const body = await readJsonBody(request);
        const parsed = body.ok ? drainBodySchema.safeParse(body.val) : undefined;
        const servers = Object.keys(configuration.current()?.fleet.backendServers ?? {});
        if (!parsed?.success || !servers.includes(parsed.data.serverId)) {
            sendAdminProblem(response, 422, "The backend server is not known", {
                detail: `send {"serverId": one of ${servers.join(", ")}}`,
            });
            return;
        }
        const drain = { ...parsed.data, sinceMs: options.nowMs() };
        const change = (content: FleetContent): FleetContent => ({
            ...content,
            drains: [...content.drains.filter(other => other.serverId !== drain.serverId), drain],
        });
        await commit(response, { operator: readOperator(request), expectedVersion: undefined, apply: change });
    };

    const deleteDrain: Handler = async (request, response, serverId) => {
        const change = (content: FleetContent): FleetContent => ({
            ...content,
            drains: content.drains.filter(drain => drain.serverId !== serverId),
        });
        await commit(response, { operator: readOperator(request), expectedVersion: undefined, apply: change });
    };

    const handlers: Record<string, Handler> = {
        "GET /admin/v1/configuration": getConfiguration,
        "PUT /admin/v1/configuration": putConfiguration,
        "GET /admin/v1/status": (_request, response) => sendJson(response, 200, options.status()),
        "GET /admin/v1/keys": (_request, response) =>
            sendJson(response, 200, {
                keys: (configuration.current()?.record.keys ?? []).map(key => ({ keyId: key.keyId, team: key.team })),
            }),
        "POST /admin/v1/keys": postKey,
        "DELETE /admin/v1/keys/": deleteKey,
        "GET /admin/v1/drains": (_request, response) => sendJson(response, 200, { drains: configuration.current()?.record.drains ?? [] }),
        "POST /admin/v1/drains": postDrain,
        "DELETE /admin/v1/drains/": deleteDrain,
    };

    const isOperator = (request: http.IncomingMessage): boolean =>
        areSecretsEqual(String(request.headers.authorization ?? "").replace(/^Bearer /, ""), options.operatorKey);

    return (request, response) => {
        const [, path = "", id = ""] = /^(\/admin\/v1\/[a-z]+\/?)([^/?]*)/.exec(request.url ?? "") ?? [];
        if (path === "") {
            return false;
        }
        const handler = handlers[`${request.method} ${path}`];
        if (!isOperator(request)) {
            sendAdminProblem(response, 401, "No valid operator's key came with the request", {
                detail: "header Authorization: send 'Bearer <operator key>'",
            });
        }
        else if (!handler) {
            sendAdminProblem(response, 404, "There is no such call", {
                detail: `found '${request.method} ${request.url}'; docs/API.md lists the calls`,
            });
        }
        else {
            void handler(request, response, decodeURIComponent(id));
        }
        return true;
    };
}
