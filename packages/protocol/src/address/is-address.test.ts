import { describe, expect, it } from "@jest/globals";

import { isAddress } from "./is-address.js";

describe("addresses", () => {
    it.each(["127.0.0.9:8080", "0.0.0.0:1", "255.255.255.255:65535", "[::1]:80", "[2001:DB8::9]:8080"])(
        "accepts %s",
        address => {
            expect(isAddress(address)).toBe(true);
        },
    );

    it.each([
        "127.0.0.9:99999",
        "127.0.0.9:65536",
        "127.0.0.9:0",
        "127.0.0.9:080",
        "127.0.0.9:",
        "127.0.0.9",
        "256.0.0.1:80",
        "010.0.0.1:80",
        "1.2.3:80",
        "1.2.3.4.5:80",
        "::1:80",
        "[::1]",
        "[1::2::3]:80",
        "[127.0.0.1]:80",
        "[fe80::1%lo]:80",
        "host:80",
        " 127.0.0.9:80",
        "127.0.0.9:80\n",
        "127.0.0.9:8e1",
        "http://127.0.0.9:80",
        "",
    ])("rejects %p", address => {
        expect(isAddress(address)).toBe(false);
    });
});
