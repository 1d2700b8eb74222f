import type { Worker } from "../../supervision/worker.js";
import type { AdviceService } from "../advice/advice-service.js";
import type { JobGateway } from "../entry/job-gateway.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { FleetSettings } from "../settings/fleet-settings.js";
import type { TargetClient } from "../targets/target-client.js";
import type { VmService } from "../vms/vm-service.js";
import type { ControlApi } from "./control-api.js";

/** Implements the protocols of a platform: decodes requests and encodes responses, without any scheduling logic. */
export abstract class FleetAdapter {
    /**
     * Creates the listener for callers' requests about jobs.
     * @param settings - validated settings
     * @param gateway - handles the requests
     * @param log - log of decisions, for faults of a request
     * @returns the listener
     */
    abstract createCallerListener(settings: FleetSettings, gateway: JobGateway, log: DecisionLog): Worker;

    /**
     * Creates the listener for readiness checks of the platform's load balancer.
     * @param settings - validated settings
     * @param isReady - tells whether callers should be routed to this process
     * @param log - log of decisions, for faults of a request
     * @returns the listener
     */
    abstract createReadyListener(settings: FleetSettings, isReady: () => boolean, log: DecisionLog): Worker;

    /**
     * Creates the listener for operators and targets.
     * @param settings - validated settings
     * @param api - handles the calls
     * @param log - log of decisions, for requests that are refused before they reach the API and for faults
     * @returns the listener
     */
    abstract createControlListener(settings: FleetSettings, api: ControlApi, log: DecisionLog): Worker;

    /**
     * Creates the client that sends requests to targets.
     * @returns the client
     */
    abstract createTargetClient(): TargetClient;

    /**
     * Creates the client of the platform's VM service.
     * @param settings - validated settings
     * @returns the client
     */
    abstract createVmService(settings: FleetSettings): VmService;

    /**
     * Creates the client of the platform's placement adviser.
     * @param settings - validated settings
     * @returns the client
     */
    abstract createAdviceService(settings: FleetSettings): AdviceService;
}
