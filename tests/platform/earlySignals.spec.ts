/** A signal that arrives while a process loads its modules. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import os from "node:os";
import path from "node:path";
import { afterEach, beforeEach, describe, it } from "node:test";
import { type Child, startChild } from "../../harness/childProcess.js";

const invalidSettingsExitCode = 2;
/** Prints a line when the process begins to load the module of the node, and holds that up for long enough to send a signal. */
const loaderHook = `
    import { writeSync } from "node:fs";
    export async function load(url, context, nextLoad) {
        if (url.endsWith("/platform/node.js")) {
            writeSync(1, "loading\\n");
            await new Promise(resolve => setTimeout(resolve, 500));
        }
        return nextLoad(url, context);
    }`;
const toDataUrl = (code: string): string => `data:text/javascript,${encodeURIComponent(code)}`;

describe("a process that loads its modules", () => {
    let folder: string;
    let settingsFile: string;
    let child: Child;

    beforeEach(() => {
        folder = mkdtempSync(path.join(os.tmpdir(), "nutmegjunction-signals-"));
        settingsFile = path.join(folder, "settings.json");
        writeFileSync(settingsFile, "{}");
        const preload = toDataUrl(`import { register } from "node:module"; register(${JSON.stringify(toDataUrl(loaderHook))});`);
        child = startChild({
            script: "platform/main.js",
            args: [],
            environment: { NUTMEGJUNCTION_SETTINGS: settingsFile, NODE_OPTIONS: `--import ${preload}` },
            keepsLines: true,
        });
    });
    afterEach(async () => {
        child.kill("SIGKILL");
        await child.exited;
        rmSync(folder, { recursive: true });
    });

    it("should go on after SIGHUP, and read the settings afterwards", async () => {
        await child.waitForLine(line => line === "loading");
        writeFileSync(settingsFile, "changed");
        child.kill("SIGHUP");
        assert.equal(await child.exited, invalidSettingsExitCode);
        assert.match(child.lines.join("\n"), /"event":1007.*cannot be read/);
    });

    it("should end at SIGTERM", async () => {
        await child.waitForLine(line => line === "loading");
        child.kill("SIGTERM");
        assert.equal(await child.exited, "SIGTERM");
    });
});
