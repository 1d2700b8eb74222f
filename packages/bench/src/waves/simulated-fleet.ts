import type { MaintenanceVm } from "@daisylock/core/reboot-waves/maintenance-vm.js";
import { VmStep } from "@daisylock/core/reboot-waves/vm-step.js";
import type { WaveVm } from "@daisylock/core/reboot-waves/wave-vm.js";

import type { FleetShape } from "./fleet-shape.js";

const minuteMs = 60_000;
const dayMs = 24 * 60 * minuteMs;
/** The design target is a fleet of 5,100 VMs, of which 65 fail per day. */
const failuresPerVmDay = 65 / 5_100;
/** In that fleet one rack fails per week. The rate is per VM, since the failure of a rack is drawn for each VM. */
const rackFailuresPerVmWeek = 1 / 5_100;
const repairMs = 30 * minuteMs;

interface SimulatedVm {
    readonly vm: string;
    readonly pool: string;
    readonly zone: string;
    readonly rack: string;
    /** Virtual time at which the VM is repaired after a failure, milliseconds; 0 when it has not failed. */
    downUntil: number;
    /** Virtual time at which draining is complete, milliseconds. */
    drainedAt: number;
    /** Virtual time at which the reboot is complete, milliseconds. */
    bootedAt: number;
    incarnation: number;
}

/** VMs that drain, reboot and fail at random under a virtual clock. */
export class SimulatedFleet {
    readonly vms: SimulatedVm[] = [];
    readonly vmsByName = new Map<string, SimulatedVm>();

    /**
     * @param shape - size and layout
     * @param random - returns uniform random numbers in [0, 1)
     */
    constructor(shape: FleetShape, private readonly random: () => number) {
        for (let number = 0; number < shape.vms; number++) {
            const rackNumber = Math.floor(number / shape.vmsPerRack);
            this.vms.push({
                vm: `vm-${number}`,
                pool: `pool-${number % shape.pools}`,
                zone: `zone-${rackNumber % shape.zones}`,
                rack: `rack-${rackNumber}`,
                downUntil: 0,
                drainedAt: 0,
                bootedAt: 0,
                incarnation: 1,
            });
        }
        this.vms.forEach(vm => this.vmsByName.set(vm.vm, vm));
    }

    /**
     * Makes VMs and racks fail at random.
     * @param now - virtual time, milliseconds
     * @param stepMs - virtual time since the last call, milliseconds
     */
    tick(now: number, stepMs: number): void {
        const vmFailureProbability = failuresPerVmDay * stepMs / dayMs;
        const rackFailureProbability = rackFailuresPerVmWeek * stepMs / (7 * dayMs);
        for (const vm of this.vms) {
            if (this.random() < rackFailureProbability) {
                this.stopRack(vm.rack, now);
            }
            else if (this.random() < vmFailureProbability) {
                vm.downUntil = now + repairMs;
            }
        }
    }

    /**
     * Starts draining or rebooting a VM; other steps change nothing.
     * @param vm - the VM
     * @param step - step that the VM enters
     * @param now - virtual time, milliseconds
     */
    startStep(vm: SimulatedVm, step: VmStep, now: number): void {
        if (step === VmStep.Draining) {
            vm.drainedAt = now + (1 + 4 * this.random()) * minuteMs;
        }
        if (step === VmStep.Rebooting) {
            vm.bootedAt = now + (3 + 5 * this.random()) * minuteMs;
            vm.incarnation += 1;
        }
    }

    /**
     * Reads the state of a VM in the form that the wave planner takes.
     * @param vm - the VM
     * @param state - state of the VM in the wave
     * @param now - virtual time, milliseconds
     * @returns the planner's input for the VM
     */
    readVm(vm: SimulatedVm, state: WaveVm, now: number): MaintenanceVm {
        const isBooting = state.step === VmStep.Rebooting && now < vm.bootedAt;
        const isReady = now >= vm.downUntil && !isBooting;
        const { vm: name, pool, zone, rack } = vm;
        // The VM reports its new incarnation only when it has booted.
        const incarnation = isBooting ? vm.incarnation - 1 : vm.incarnation;
        return { vm: name, pool, zone, rack, isReady, isDrained: now >= vm.drainedAt, incarnation };
    }

    private stopRack(rack: string, now: number): void {
        for (const vm of this.vms) {
            if (vm.rack === rack) {
                vm.downUntil = now + repairMs;
            }
        }
    }
}
