import type { ClusterPlan } from "./cluster-plan.js";

const host = "127.0.0.1";
const listenersPerProcess = 4;

/**
 * Plans a fleet on loopback: some entries in each zone, the first of which is a keeper too in as many zones as wanted.
 * @param zones - availability zones
 * @param entriesPerZone - entries in each
 * @param keepers - number of keepers
 * @param firstPort - first port to use
 * @returns the plan
 */
export function planCluster(
    zones: readonly string[],
    entriesPerZone: number,
    keepers: number,
    firstPort: number,
): ClusterPlan {
    let port = firstPort;
    const readAddress = () => `${host}:${port++}`;
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
            callers: readAddress(),
            targets: readAddress(),
            operators: readAddress(),
            peers: readAddress(),
        })),
        nextPort: firstPort + processes.length * listenersPerProcess,
    };
}
