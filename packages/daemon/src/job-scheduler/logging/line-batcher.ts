import type { WriteStream } from "node:fs";

/** Time for which lines wait for a common write, milliseconds. */
const batchMs = 10;
/** Bytes up to which a write to a pipe is not split (PIPE_BUF on Linux); only a longer line exceeds it. */
const maxWriteBytes = 4_096;

/** Writes the lines of a short time together, each line in one write, so that a reader of the pipe gets whole lines. */
export class LineBatcher {
    private lines: string[] = [];
    private bytes = 0;

    /**
     * @param output - stream that receives the lines
     */
    constructor(private readonly output: Pick<WriteStream, "write" | "writableLength">) {}

    /**
     * Adds a line.
     * @param line - the line without its end
     */
    addLine(line: string): void {
        const text = `${line}\n`;
        const bytes = Buffer.byteLength(text);
        if (this.bytes + bytes > maxWriteBytes) {
            this.writeBatch();
        }
        if (this.lines.length === 0) {
            setTimeout(() => this.writeBatch(), batchMs);
        }
        this.lines.push(text);
        this.bytes += bytes;
    }

    /**
     * Counts the bytes that the reader has not taken yet.
     * @returns bytes
     */
    countPendingBytes(): number {
        return this.output.writableLength + this.bytes;
    }

    /**
     * Takes the lines that wait for the next write, which then leaves them out.
     * @returns the lines without their ends
     */
    takePendingLines(): string[] {
        const lines = this.lines.map(text => text.slice(0, -1));
        this.lines = [];
        this.bytes = 0;
        return lines;
    }

    private writeBatch(): void {
        if (this.lines.length > 0) {
            this.output.write(this.lines.join(""));
            this.lines = [];
            this.bytes = 0;
        }
    }
}
