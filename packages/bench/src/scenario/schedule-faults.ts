import { LinkState } from "../cluster/link-state.js";
import { TargetFault } from "../targets/target-fault.js";
import type { Testbed } from "../testbed/testbed.js";
import { ScenarioFaultKind } from "./scenario-fault-kind.js";
import type { Scenario } from "./scenario.js";

type Fault = Scenario["faults"][number];

/** Starts a fault and returns the function that ends it. */
type FaultStarter = (testbed: Testbed, fault: Fault) => Promise<() => Promise<void> | void>;

const faultStarters: Record<ScenarioFaultKind, FaultStarter> = {
    [ScenarioFaultKind.Target]: async (testbed, fault) => {
        const target = testbed.findTarget(fault.subject);
        target?.setFault(fault.target_fault);
        return () => target?.setFault(TargetFault.None);
    },
    [ScenarioFaultKind.KillTarget]: async (testbed, fault) => {
        const target = testbed.findTarget(fault.subject);
        await target?.stop();
        return () => target?.startAgain();
    },
    [ScenarioFaultKind.KillProcess]: async (testbed, fault) => {
        await testbed.cluster.sendSignal(fault.subject, "SIGKILL");
        return () => testbed.cluster.startProcess(fault.subject);
    },
    [ScenarioFaultKind.FreezeProcess]: async (testbed, fault) => {
        await testbed.cluster.sendSignal(fault.subject, "SIGSTOP");
        return () => testbed.cluster.sendSignal(fault.subject, "SIGCONT");
    },
    [ScenarioFaultKind.KillLeader]: async testbed => {
        const name = await testbed.cluster.findLeader();
        await testbed.cluster.sendSignal(name, "SIGKILL");
        return () => testbed.cluster.startProcess(name);
    },
    [ScenarioFaultKind.CutZone]: async (testbed, fault) => {
        testbed.cluster.setLinkState(LinkState.Cut, fault.subject);
        return () => testbed.cluster.setLinkState(LinkState.Open, fault.subject);
    },
    [ScenarioFaultKind.SilentZone]: async (testbed, fault) => {
        testbed.cluster.setLinkState(LinkState.HalfOpen, fault.subject);
        // Only the connections that are open now are affected, so there is nothing to restore.
        return () => undefined;
    },
};

/**
 * Schedules the start and the end of each fault of a scenario, relative to now.
 * @param testbed - testbed into which the faults are injected
 * @param faults - the faults
 */
export function scheduleFaults(testbed: Testbed, faults: readonly Fault[]): void {
    for (const fault of faults) {
        setTimeout(() => {
            void faultStarters[fault.kind](testbed, fault).then(endFault => {
                setTimeout(() => void endFault(), fault.seconds * 1_000);
            });
        }, fault.at * 1_000);
    }
}
