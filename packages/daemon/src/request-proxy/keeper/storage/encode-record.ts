import { crc32 } from "node:zlib";

/**
 * Frames a payload for a file: length, checksum of the length, checksum of the payload, payload.
 * @param payload - the payload
 * @returns the framed record
 */
export function encodeRecord(payload: Uint8Array): Buffer {
    const record = Buffer.alloc(12 + payload.length);
    record.writeUInt32LE(payload.length, 0);
    record.writeUInt32LE(crc32(record.subarray(0, 4)), 4);
    record.writeUInt32LE(crc32(payload), 8);
    record.set(payload, 12);
    return record;
}
