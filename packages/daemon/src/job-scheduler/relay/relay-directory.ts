import { createHash } from "node:crypto";

import type { Clock } from "../../clock/clock.js";
import type { KeeperView } from "../../request-proxy/keeper/keeper-view.js";

/** Time for which the list of relays is used before it is built anew, milliseconds. */
const listAgeMs = 50;
/** Time without a message of the replicated log after which a keeper is not used, milliseconds: four heartbeats. */
const maxSilenceMs = 300;
/** Time for which a keeper is not used after a request through it has failed, milliseconds. */
const failureBackoffMs = 1_000;
/** Number of remembered choices; targets come and go, so they are forgotten at this number. */
const maxCachedTargets = 8_192;

/**
 * Lists the keepers that can send requests to targets for the leader, and picks one for each target: by rendezvous
 * hashing, so that a keeper that is lost or added changes the relay of few targets (Thaler and Ravishankar, 1998).
 */
export class RelayDirectory {
    private relays: readonly string[] = [];
    private readonly cachedRelays = new Map<string, string>();
    private readonly failedUntil = new Map<string, number>();
    private listedAt = Number.NEGATIVE_INFINITY;

    /**
     * @param readView - reads the members of the replicated log as the leader sees them
     * @param clock - clock for the age of the list
     */
    constructor(private readonly readView: () => KeeperView | undefined, private readonly clock: Clock) {}

    /**
     * Picks the relay of a target.
     * @param target - id of the target
     * @returns peer address of a keeper that responds; `undefined` when there is none but the leader
     */
    pickRelay(target: string): string | undefined {
        this.updateRelays();
        const cached = this.cachedRelays.get(target);
        if (cached !== undefined) {
            return cached;
        }
        let best: { readonly relay: string; readonly weight: number } | undefined;
        for (const relay of this.relays) {
            const weight = computeWeight(target, relay);
            if (best === undefined || weight > best.weight) {
                best = { relay, weight };
            }
        }
        if (best !== undefined) {
            this.cachedRelays.set(target, best.relay);
        }
        return best?.relay;
    }

    /**
     * Records that a keeper did not carry out a request, so that it is not used for a time.
     * @param relay - its peer address
     */
    noteFailure(relay: string): void {
        this.failedUntil.set(relay, this.clock.readMonotonic() + failureBackoffMs);
        this.listedAt = Number.NEGATIVE_INFINITY;
    }

    private updateRelays(): void {
        const now = this.clock.readMonotonic();
        if (now - this.listedAt < listAgeMs) {
            return;
        }
        this.listedAt = now;
        const relays = listResponsive(this.readView()).filter(relay => (this.failedUntil.get(relay) ?? 0) <= now);
        const isChanged = relays.length !== this.relays.length || relays.some((relay, i) => relay !== this.relays[i]);
        if (isChanged || this.cachedRelays.size > maxCachedTargets) {
            this.cachedRelays.clear();
        }
        this.relays = relays;
    }
}

function listResponsive(view: KeeperView | undefined): string[] {
    if (view === undefined) {
        return [];
    }
    // A new leader counts the silence of a keeper from its election on, so one that has never replied may be down.
    const isResponsive = (id: string): boolean =>
        id !== view.id && (view.matchIndexes[id] ?? 0) > 0 && (view.silentMs[id] ?? Infinity) < maxSilenceMs;
    const members = Object.entries({ ...view.members.learners, ...view.members.voters });
    return members.filter(([id]) => isResponsive(id)).map(([, address]) => address).sort();
}

function computeWeight(target: string, relay: string): number {
    return createHash("sha1").update(`${target} ${relay}`).digest().readUInt32BE();
}
