import { crc32 } from "node:zlib";

/**
 * Frames a payload as a record: length, CRC-32 of the length, CRC-32 of the payload, payload. Numbers are little-endian.
 * @param payload - the payload
 * @returns the record
 */
export function encodeRecord(payload: Uint8Array): Buffer {
    const record = Buffer.alloc(12 + payload.length);
    record.writeUInt32LE(payload.length, 0);
    record.writeUInt32LE(crc32(record.subarray(0, 4)), 4);
    record.writeUInt32LE(crc32(payload), 8);
    record.set(payload, 12);
    return record;
}
