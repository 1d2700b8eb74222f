import { crc32 } from "node:zlib";

import { StorageFailureKind } from "./storage-failure-kind.js";
import { StorageFailure } from "./storage-failure.js";

/** Record length, CRC-32 of the length and CRC-32 of the payload, 4 bytes each. */
const headerBytes = 12;
/** Smallest unit that a disk writes. A torn write leaves whole sectors unwritten, which read as zeros. */
const sectorBytes = 512;

/** The complete records of a file and the offset at which they end. */
interface DecodedRecords {
    readonly payloads: Buffer[];
    /** Length of the file without a torn record at its end, bytes. */
    readonly validBytes: number;
}

/**
 * Splits a file into records. Each record was synced before the next was written, so that only the last one may be
 * torn: shorter than its length, or with sectors that were never written. Any other damage is corruption.
 * @param file - path for the error message
 * @param content - content of the file
 * @returns the complete records
 * @throws StorageFailure for damage that a torn write cannot cause
 */
export function decodeRecords(file: string, content: Buffer): DecodedRecords {
    const payloads: Buffer[] = [];
    let offset = 0;
    while (offset < content.length) {
        const end = readRecordEnd(file, content, offset);
        if (end === undefined) {
            break;
        }
        payloads.push(content.subarray(offset + headerBytes, end));
        offset = end;
    }
    return { payloads, validBytes: offset };
}

/** Returns the offset after a complete record, or `undefined` for a torn record at the end of the file. */
function readRecordEnd(file: string, content: Buffer, offset: number): number | undefined {
    if (offset + headerBytes > content.length) {
        return undefined;
    }
    const isLengthValid = crc32(content.subarray(offset, offset + 4)) === content.readUInt32LE(offset + 4);
    if (!isLengthValid) {
        if (isSectorUnwritten(content, offset, content.length)) {
            return undefined;
        }
        throw new StorageFailure(
            StorageFailureKind.CorruptRecord,
            file,
            offset,
            "checksum mismatch in the record length",
        );
    }
    const end = offset + headerBytes + content.readUInt32LE(offset);
    if (end > content.length) {
        return undefined;
    }
    if (crc32(content.subarray(offset + headerBytes, end)) === content.readUInt32LE(offset + 8)) {
        return end;
    }
    if (end === content.length && isSectorUnwritten(content, offset, end)) {
        return undefined;
    }
    throw new StorageFailure(StorageFailureKind.CorruptRecord, file, offset, "checksum mismatch in the record payload");
}

/** Tells whether the range contains an unwritten sector: zero bytes up to the end of the sector or of the range. */
function isSectorUnwritten(content: Buffer, from: number, to: number): boolean {
    for (let start = from; start < to;) {
        const end = Math.min(to, (Math.floor(start / sectorBytes) + 1) * sectorBytes);
        if (end - start >= 4 && content.subarray(start, end).every(byte => byte === 0)) {
            return true;
        }
        start = end;
    }
    return false;
}
