/** Which addresses the settings and the documents of others may contain. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ipPortAddress, ipv4PortAddress } from "../../src/common/ipPortAddress.js";

describe("an address", () => {
    const accepted = ["10.0.0.1:80", "0.0.0.0:1", "255.255.255.255:65535"];
    const rejected = [
        "",
        ":",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:080",
        "10.0.0.1:8e1",
        "10.0.0.1:-80",
        "10.0.0.1:80/",
        "10.0.0.1:80@a",
        "10.0.0.1: 80",
        "10.0.0.1:80\n",
        "256.0.0.1:80",
        "999.1.1.1:80",
        "10.0.0:80",
        "010.0.0.1:80",
        "example:80",
        "[::1]:0",
        "::1:80",
        "[10.0.0.1]:80",
    ];

    it("should be accepted if a connection can be opened to it", () => {
        accepted.forEach(address => {
            assert.ok(ipv4PortAddress.safeParse(address).success, address);
            assert.ok(ipPortAddress.safeParse(address).success, address);
            assert.equal(new URL(`http://${address}`).pathname, "/");
        });
        assert.ok(ipPortAddress.safeParse("[::1]:80").success);
    });

    it("should be rejected otherwise", () => {
        rejected.forEach(address => {
            assert.ok(!ipv4PortAddress.safeParse(address).success, address);
            assert.ok(!ipPortAddress.safeParse(address).success, address);
        });
        assert.ok(!ipv4PortAddress.safeParse("[::1]:80").success);
    });
});
