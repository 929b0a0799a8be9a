/** Invalid settings and files: all findings in one report, exit code 2, and nothing is started. */
import assert from "node:assert/strict";
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { after, before, describe, it } from "node:test";
import { startChild } from "../../harness/childProcess.js";

const badInputExitCode = 2;

async function runCli(
    args: string[],
    environment: Record<string, string> = {},
): Promise<{ code: number | string; lines: string[]; errors: string }> {
    const child = startChild({ script: "src/cli/main.js", args, environment, keepsLines: true });
    const code = await child.exited;
    return { code, lines: child.lines, errors: child.stderrText() };
}

describe("settings", () => {
    const validSettings = {
        NUTMEGJUNCTION_AVAILABILITY_ZONE: "az-1",
        NUTMEGJUNCTION_VM_ID: "vm-1",
        NUTMEGJUNCTION_STORE_ADDRESS: "127.0.0.1:2379",
        NUTMEGJUNCTION_ADMIN_ADDRESS: "127.46.0.1:7004",
    };

    it("should report all findings together, with flag or variable, the value found and the values allowed", async () => {
        const environment = {
            ...validSettings,
            NUTMEGJUNCTION_STORE_ADDRESS: "store.example:2379",
            NUTMEGJUNCTION_DUTY_LEASE_S: "0",
            NUTMEGJUNCTION_ZONE: "az-1",
        };
        const { code, lines, errors } = await runCli(["steward", "--log-level", "loud"], environment);
        assert.equal(code, badInputExitCode);
        assert.deepEqual(lines, [], "nothing was started");
        assert.match(errors, /^4 findings/);
        assert.match(errors, /environment: NUTMEGJUNCTION_STORE_ADDRESS: found "store.example:2379"; allowed: ip:port/);
        assert.match(errors, /environment: NUTMEGJUNCTION_DUTY_LEASE_S: found "0"; allowed: 1 to 300/);
        assert.match(errors, /environment: NUTMEGJUNCTION_ZONE: found "az-1"; allowed: no such setting/);
        assert.match(errors, /flag: --log-level: found "loud"; allowed: debug, info, warn or error/);
    });

    it("should never print an invalid secret", async () => {
        const { code, errors } = await runCli(["status", "--admin-address", "127.0.0.1:1"], { NUTMEGJUNCTION_OPERATOR_KEY: "hunter2" });
        assert.equal(code, badInputExitCode);
        assert.doesNotMatch(errors, /hunter2/);
    });

    it("should report an address that is in use and how to resolve it", async () => {
        const first = startChild({ script: "src/cli/main.js", args: ["steward"], environment: validSettings });
        await first.waitForLine(line => line.includes("listens"));
        const { code, errors } = await runCli(["steward"], validSettings);
        first.kill("SIGKILL");
        assert.equal(code, 1);
        assert.match(errors, /127\.46\.0\.1:7004.*free the address or set another one/);
    });
});

describe("configuration files", () => {
    let folder: string;
    before(() => {
        folder = mkdtempSync(path.join(tmpdir(), "fleet-"));
        cpSync("examples/sturtubot", folder, { recursive: true });
    });
    after(() => rmSync(folder, { recursive: true }));

    const edit = (file: string, from: string, to: string): void => {
        const text = readFileSync(path.join(folder, file), "utf8");
        assert.ok(text.includes(from));
        writeFileSync(path.join(folder, file), text.replace(from, to));
    };

    it("should accept the examples", async () => {
        const checks = await Promise.all(["sturtubot", "fiesta-austral"].map(name => runCli(["config", "check", `examples/${name}`])));
        assert.deepEqual(checks.map(check => check.code), [0, 0]);
    });

    it("should report all findings of base and overlays with file and line", async () => {
        edit("base.yaml", "limitSlots: 64", "limitSlots: 2");
        edit("base.yaml", "pool: claims", "pool: clams");
        edit("sites/akureyri.yaml", "slotsCount: 8", "slotCount: 8");
        edit("sites/egilsstadir.yaml", "queueCapacityCount: 300", "queueCapacityCount: 600");
        const { code, errors } = await runCli(["config", "check", folder]);
        assert.equal(code, badInputExitCode);
        assert.match(errors, /base\.yaml:\d+: services\.claims\.pool: found "clams"; allowed: a pool of 'pools'/);
        assert.match(errors, /akureyri\.yaml:\d+: backendServers\.[a-z0-9-]+\.slotCount: found 8; allowed: no such field/);
        assert.match(
            errors,
            /egilsstadir\.yaml:\d+: services\.plans\.queueCapacityCount: found 600; allowed: only values that differ from the base/,
        );
        assert.match(errors, /base\.yaml:\d+: teams\.husavik\.limitSlots: found 2; allowed: at least its share/);
    });

    it("should report malformed YAML with its line", async () => {
        writeFileSync(path.join(folder, "sites/akureyri.yaml"), "backendServers:\n  a: [1\n");
        const { code, errors } = await runCli(["config", "check", folder]);
        assert.equal(code, badInputExitCode);
        assert.match(errors, /akureyri\.yaml:\d+/);
    });
});
