import type { ClusterPlan } from "./cluster-plan.js";

const host = "127.0.0.1";
const listenersPerProcess = 4;

/**
 * Plans a local cluster on loopback addresses. Keepers are assigned to the first entry of each zone, then to the second
 * of each, until there are enough.
 * @param zones - availability zones
 * @param entriesPerZone - number of entries (ingress processes) in each zone
 * @param keepers - number of processes that also run a keeper (control-plane replica)
 * @param firstPort - first port; each process uses the next four
 * @returns the plan
 */
export function planCluster(
    zones: readonly string[],
    entriesPerZone: number,
    keepers: number,
    firstPort: number,
): ClusterPlan {
    let port = firstPort;
    const buildNextAddress = () => `${host}:${port++}`;
    const processes = zones.flatMap(zone =>
        Array.from(
            { length: entriesPerZone },
            (_unused, position) => ({ zone, position, name: `${zone}${position + 1}` }),
        )
    );
    const byPosition = [...processes].sort((a, b) => a.position - b.position);
    const keeperNames = new Set(byPosition.slice(0, keepers).map(process => process.name));
    return {
        processes: processes.map(({ name, zone }) => ({
            name,
            zone,
            isKeeper: keeperNames.has(name),
            callers: buildNextAddress(),
            targets: buildNextAddress(),
            operators: buildNextAddress(),
            peers: buildNextAddress(),
        })),
        nextPort: firstPort + processes.length * listenersPerProcess,
    };
}
