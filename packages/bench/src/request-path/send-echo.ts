import { createHash } from "node:crypto";
import { request } from "node:http";

const chunkBytes = 1_048_576;

/**
 * Sends a large body through an entry to a target that echoes it.
 * @param entry - address of the entry's caller listener
 * @param route - route that requires no key
 * @param megabytes - size of the body, MiB
 * @returns whether the echoed body has the length and the SHA-256 digest of the body that was sent
 */
export function sendEcho(entry: string, route: string, megabytes: number): Promise<boolean> {
    const sent = createHash("sha256");
    const received = createHash("sha256");
    let receivedBytes = 0;
    return new Promise(resolve => {
        const outgoing = request(`http://${entry}/v1/routes/${route}/echo`, {
            method: "POST",
            headers: { "content-length": megabytes * chunkBytes },
        }, incoming => {
            incoming.on("data", (chunk: Buffer) => {
                receivedBytes += chunk.length;
                received.update(chunk);
            });
            incoming.on("error", () => resolve(false));
            incoming.on("end", () => {
                resolve(receivedBytes === megabytes * chunkBytes && sent.digest("hex") === received.digest("hex"));
            });
        });
        outgoing.on("error", () => resolve(false));
        writeChunks(0);

        function writeChunks(from: number): void {
            for (let number = from; number < megabytes; number++) {
                const chunk = Buffer.alloc(chunkBytes, number % 251);
                sent.update(chunk);
                if (!outgoing.write(chunk)) {
                    outgoing.once("drain", () => writeChunks(number + 1));
                    return;
                }
            }
            outgoing.end();
        }
    });
}
