import fs from "node:fs";

/**
 * Opens the stream that receives the lines. When its reader has gone away, writes fail: the stream then keeps what is
 * written to it, until the limit of the log's buffer has further lines dropped and counted. The process goes on.
 * @param fd - file descriptor, which stays open
 * @returns the stream
 */
export function openLogOutput(fd: number): fs.WriteStream {
    // Without `writev`, chunks that wait are written one at a time; joined ones could be split by a pipe.
    const { open, write, close } = fs;
    const output = fs.createWriteStream("", { fd, autoClose: false, fs: { open, write, close } });
    output.on("error", () => undefined);
    return output;
}
