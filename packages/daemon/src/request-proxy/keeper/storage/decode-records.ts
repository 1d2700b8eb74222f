import { crc32 } from "node:zlib";

import { StorageFailureKind } from "./storage-failure-kind.js";
import { StorageFailure } from "./storage-failure.js";

const headerBytes = 12;
const sectorBytes = 512;

/** The records of a file and where the whole ones end. */
interface DecodedRecords {
    readonly payloads: Buffer[];
    /** Length without a torn tail, bytes. */
    readonly validBytes: number;
}

/**
 * Splits a file into records. Each record was synced before the next was written, so that only the last one may be
 * torn: shorter than its length, or with sectors that were never written. Any other damage is corruption.
 * @param file - path, for the failure
 * @param content - content of the file
 * @returns the whole records
 * @throws StorageFailure for damage that a torn write can't explain
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

/** Returns the end of a whole record, or `undefined` for a torn tail. */
function readRecordEnd(file: string, content: Buffer, offset: number): number | undefined {
    if (offset + headerBytes > content.length) {
        return undefined;
    }
    const isHeaderWhole = crc32(content.subarray(offset, offset + 4)) === content.readUInt32LE(offset + 4);
    if (!isHeaderWhole) {
        if (isSectorUnwritten(content, offset, content.length)) {
            return undefined;
        }
        throw new StorageFailure(StorageFailureKind.CorruptRecord, file, offset, "checksum of the length differs");
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
    throw new StorageFailure(StorageFailureKind.CorruptRecord, file, offset, "checksum of the record differs");
}

/** Tells whether a part of the range was never written: all zeros up to a sector's end or the file's. */
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
