import { describe, expect, it, jest } from "@jest/globals";
import fs from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { LineBatcher } from "./line-batcher.js";
import { openLogOutput } from "./open-log-output.js";

/** Size up to which a write to a pipe is not split. */
const pipeBufferBytes = 4_096;
const lines = Array.from({ length: 200 }, (_, index) => `${index} `.padEnd(300, "x"));

describe("openLogOutput", () => {
    // Under load, several batches of lines went out in one write, and a reader that took a part of it got half a line.
    it("never joins batches of lines that wait for a slow reader into a write that may be split", async () => {
        const folder = fs.mkdtempSync(join(tmpdir(), "daisylock-log-output-"));
        const file = join(folder, "log");
        const fd = fs.openSync(file, "w");
        const write = jest.spyOn(fs, "write");
        const writeTogether = jest.spyOn(fs, "writev");
        try {
            const output = openLogOutput(fd);
            const batcher = new LineBatcher(output);
            lines.forEach(line => batcher.addLine(line));
            await new Promise(resolve => setTimeout(resolve, 50));
            await new Promise(resolve => output.end(resolve));
            const sizes = (write.mock.calls as unknown[][]).map(([, buffer]) => (buffer as Buffer).length);
            expect(Math.max(...sizes)).toBeLessThanOrEqual(pipeBufferBytes);
            expect(writeTogether).not.toHaveBeenCalled();
            expect(fs.readFileSync(file, "utf8")).toBe(lines.map(line => `${line}\n`).join(""));
        }
        finally {
            jest.restoreAllMocks();
            fs.closeSync(fd);
            fs.rmSync(folder, { recursive: true });
        }
    });
});
