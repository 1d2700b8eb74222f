import type { TableEdit } from "@daisylock/core/tables/table-edit.js";

import { LocalCluster } from "../cluster/local-cluster.js";
import { FakeTarget } from "../targets/fake-target.js";
import type { TargetRun } from "../targets/target-run.js";
import { pickServiceMs } from "./pick-service-ms.js";
import type { TestbedOptions } from "./testbed-options.js";

interface TestbedTarget {
    readonly vm: string;
    readonly zone: string;
    readonly pool: string;
    readonly address: string;
    readonly target: FakeTarget;
}

/** A local cluster with fake targets and the tables that route requests to them. */
export class Testbed {
    readonly cluster: LocalCluster;
    readonly targets: TestbedTarget[] = [];
    /** Every run of a request on any target. */
    readonly runs: TargetRun[] = [];
    /** One key for each team, by name of the team. */
    readonly keys = new Map<string, string>();

    /**
     * @param options - cluster, pools, teams and routes
     */
    constructor(private readonly options: TestbedOptions) {
        this.cluster = new LocalCluster(options.cluster);
        this.createTargets();
    }

    /**
     * Starts the cluster and the targets; waits until every target is ready and every entry has applied the tables.
     * @throws ClusterFailure when a step times out
     */
    async start(): Promise<void> {
        const addresses: Record<string, string[]> = {};
        for (const { zone, address } of this.targets) {
            (addresses[zone] ??= []).push(address);
        }
        await this.cluster.start(addresses);
        await this.cluster.sendChange(this.buildTables());
        for (const team of this.options.teams) {
            this.keys.set(team.name, await this.cluster.createKey(`key-${team.name}`, team.name));
        }
        await Promise.all(this.targets.map(({ target }) => target.start()));
        await this.cluster.waitUntil("every target is ready and every entry has applied the tables", async () => {
            const status = (await this.cluster.sendApiRequest("GET", "/v1/status"))?.body;
            const pools = (status?.["pools"] ?? []) as { ready: number }[];
            const ready = pools.reduce((sum, pool) => sum + pool.ready, 0);
            const entries = (status?.["entries"] ?? []) as unknown[];
            const inForce = status?.["inForce"] as { everywhere: boolean } | undefined;
            const isComplete = entries.length === this.cluster.plan.processes.length;
            return ready === this.targets.length && isComplete && inForce?.everywhere === true;
        });
    }

    /** Stops the targets and the cluster. */
    async stop(): Promise<void> {
        await Promise.all(this.targets.map(({ target }) => target.stop()));
        await this.cluster.stop();
    }

    /**
     * Finds the fake target on a VM.
     * @param vm - name of the VM
     * @returns the target, or `undefined` when the testbed has no such VM
     */
    findTarget(vm: string): FakeTarget | undefined {
        return this.targets.find(target => target.vm === vm)?.target;
    }

    private createTargets(): void {
        let port = this.options.firstTargetPort;
        for (const pool of this.options.pools) {
            for (const zone of this.options.cluster.zones) {
                for (let number = 1; number <= pool.targetsPerZone; number++) {
                    const vm = `${pool.name}-${zone}${number}`;
                    const address = `127.0.0.1:${port++}`;
                    this.targets.push({
                        vm,
                        zone,
                        pool: pool.name,
                        address,
                        target: this.createTarget(vm, zone, address, pool),
                    });
                }
            }
        }
    }

    private createTarget(
        vm: string,
        zone: string,
        address: string,
        pool: TestbedOptions["pools"][number],
    ): FakeTarget {
        return new FakeTarget({
            vm,
            address,
            announceTo: this.cluster.plan.processes.filter(process => process.zone === zone).map(({ targets }) =>
                targets
            ),
            token: this.cluster.targetToken,
            slots: pool.slots,
            pickServiceMs: () => pickServiceMs(pool.serviceMs, pool.spread, this.options.random),
            announceMs: this.options.announceMs,
            recordRun: run => this.runs.push(run),
        });
    }

    private buildTables(): TableEdit[] {
        const { pools, teams, routes } = this.options;
        const edits = [
            ...teams.map(({ name, share, upperLimit, isolatedService = "refuse" }) => ({
                kind: "team",
                name,
                value: { share, upperLimit, isolatedService },
            })),
            ...pools.map(({ name }) => ({ kind: "pool", name, value: { maxUnavailablePercent: 25, spare: false } })),
            ...this.targets.map(({ vm, zone, pool }, number) => ({
                kind: "vm",
                name: vm,
                value: { pool, zone, rack: `${zone}${Math.floor(number / 4)}` },
            })),
            ...routes.map(({ name, ...value }) => ({ kind: "route", name, value })),
        ];
        return edits as TableEdit[];
    }
}
