/**
 * Cap of the organisation of all jobs of a soak test: its broker, which is
 * replaced again and again, and the check that it holds at the executors.
 *
 * @module
 */

import type { Configuration, PartitionOwner } from "@lagoonloom/jobs";
import {
  createOrganisationCaps,
} from "../../jobs/organisations/caps/organisation_caps.ts";
import {
  type CapBrokerRun,
  runCapBroker,
} from "../../jobs/organisations/caps/run_cap_broker.ts";
import type { ExecutorHosts } from "./executor_hosts.ts";
import type { SoakJob } from "./soak_checker.ts";

/** Organisation of all jobs. */
export const SOAK_ORGANISATION = "northwind";

/** Time after which another broker takes over. */
const BROKER_LIFE_MS = 3_700;

/** Size of short tasks that may run at a time. */
const SHORT_CPU = 3_600;

/** Cap of a soak test. */
export type CapPlay = {
  /** Returns a text if more runs than the cap allows. */
  findExcess(): string | undefined;
  /** Whether under half of the cap is in use, so that tasks must not wait. */
  isHalfFree(): boolean;
  /** Whether lasting tasks may take all of the cap for good. */
  mayFillUp(jobs: readonly SoakJob[]): boolean;
  close(): void;
};

/** Starts the brokers of a cap of so much processor time. */
export function playCap(
  capCpu: number,
  { hosts, partition, owner, configuration, log }: {
    hosts: ExecutorHosts;
    partition: number;
    /** Returns the owner that the brokers reach, if there is one. */
    owner(): PartitionOwner | undefined;
    configuration(): Configuration;
    log(text: string): void;
  },
): CapPlay {
  let epoch = 0;
  let broker: CapBrokerRun | undefined;
  const startBroker = () => {
    broker?.close();
    broker = runCapBroker({
      epoch: ++epoch,
      caps: createOrganisationCaps(configuration),
      partitions: () => new Set([partition]),
      isConfirmed: () => true,
      send: (_, message) => Promise.resolve(owner()?.applyLimits(message)),
      events: { log: (name) => log(`broker ${epoch}: ${name}`) },
    });
  };
  startBroker();
  const timer = setInterval(startBroker, BROKER_LIFE_MS);

  const usedCpu = () => {
    let cpu = 0;
    for (const host of hosts.values()) if (host.isUp) cpu += host.usedCpu();
    return cpu;
  };

  return {
    findExcess() {
      const cpu = usedCpu();
      if (cpu <= capCpu) return undefined;
      return `brings its organisation to ${cpu} mcpu of ${capCpu} mcpu`;
    },
    isHalfFree: () => usedCpu() < capCpu / 2,
    mayFillUp(jobs) {
      const lasting = jobs.filter((job) =>
        job.step.isLasting && job.cancelledAtMs === undefined
      );
      const lastingCpu = lasting.reduce(
        (sum, { step }) => sum + step.count * step.size.cpu,
        0,
      );
      return lastingCpu + SHORT_CPU > capCpu;
    },
    close() {
      clearInterval(timer);
      broker?.close();
    },
  };
}
