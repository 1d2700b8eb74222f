/** Offsets of the fields of a frame's header, bytes: the header is followed by the path and the body. */
export const frameLayout = {
    /** Length of the rest of the frame, 32 bits. */
    length: 0,
    /** Kind, 8 bits. */
    kind: 4,
    /** Number of the request, 32 bits. */
    id: 5,
    /** Status, 16 bits. */
    status: 9,
    /** Length of the path, 8 bits. */
    pathLength: 11,
    path: 12,
} as const;
