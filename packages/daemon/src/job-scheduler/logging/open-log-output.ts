import { createWriteStream, type WriteStream } from "node:fs";

/**
 * Opens the stream that receives the lines. When its reader has gone away, writes fail: the stream then keeps what is
 * written to it, until the limit of the log's buffer has further lines dropped and counted. The process goes on.
 * @param fd - file descriptor, which stays open
 * @returns the stream
 */
export function openLogOutput(fd: number): WriteStream {
    const output = createWriteStream("", { fd, autoClose: false });
    output.on("error", () => undefined);
    return output;
}
