import { frameLayout } from "./frame-layout.js";
import type { Frame } from "./frame.js";

/**
 * Encodes a frame.
 * @param frame - the frame
 * @returns header and path, and the body; to be written one after the other
 */
export function encodeFrame({ kind, id, status, path, body }: Frame): readonly [head: Buffer, body: Buffer] {
    const pathLength = Buffer.byteLength(path);
    const head = Buffer.allocUnsafe(frameLayout.path + pathLength);
    head.writeUInt32BE(head.length - frameLayout.kind + body.length, frameLayout.length);
    head.writeUInt8(kind, frameLayout.kind);
    head.writeUInt32BE(id, frameLayout.id);
    head.writeUInt16BE(status, frameLayout.status);
    head.writeUInt8(pathLength, frameLayout.pathLength);
    head.write(path, frameLayout.path);
    return [head, body];
}
