import type { AnnouncementResponse } from "@daisylock/protocol/target/announcement-response.js";
import type { Announcement } from "@daisylock/protocol/target/announcement.js";
import { Agent, request } from "node:http";

const agent = new Agent({ keepAlive: true, maxSockets: 16 });
const timeoutMs = 2_000;

/**
 * Sends the announcement of a target to one entry. Rejects when the connection fails or times out.
 * @param entry - address of the entry's target listener
 * @param vm - VM of the target
 * @param token - token that authenticates targets
 * @param announcement - state of the target
 * @returns the entry's response; `undefined` when the status is not 200
 */
export function sendAnnouncement(
    entry: string,
    vm: string,
    token: string,
    announcement: Announcement,
): Promise<AnnouncementResponse | undefined> {
    const content = Buffer.from(JSON.stringify(announcement));
    return new Promise((resolve, reject) => {
        const outgoing = request(`http://${entry}/v1/targets/${vm}`, {
            method: "PUT",
            agent,
            timeout: timeoutMs,
            headers: {
                "authorization": `Bearer ${token}`,
                "content-type": "application/json",
                "content-length": content.length,
            },
        }, incoming => {
            const chunks: Buffer[] = [];
            incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
            incoming.on("error", reject);
            incoming.on("end", () => {
                const isAccepted = incoming.statusCode === 200;
                resolve(isAccepted ? JSON.parse(Buffer.concat(chunks).toString()) as AnnouncementResponse : undefined);
            });
        });
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.on("error", reject);
        outgoing.end(content);
    });
}
