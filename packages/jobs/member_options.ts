/**
 * What a member is given: its name, its platform and the clients of others.
 *
 * @module
 */

import type { OwnerServerOptions } from "@lagoonloom/peers";
import type { Configuration, ExecutorReport, UpkeepWave } from "./fleet.ts";
import type { JobEventLog } from "./job_event_log.ts";
import type { HeldConfiguration } from "./organisations/keys/held_configuration.ts";
import type { MemberCapacity } from "./owned/member_name.ts";
import type { ReservationMode } from "./placed/reserved/reservation_books.ts";
import type {
  AdviceClient,
  ExecutorClient,
  MachineClient,
  Store,
} from "./ports.ts";

/** Configuration, executors and waves of upkeep, as this member read them. */
export type PlatformState = {
  configuration(): Configuration | undefined;
  /** The configuration with the time since it was certainly the newest one. */
  held: HeldConfiguration;
  /** Reads the newest configuration at once. */
  readConfiguration(): Promise<void>;
  executors(): ReadonlyMap<string, ExecutorReport>;
  /** Whether the list of executors has been read since it was last needed. */
  hasExecutorList(): boolean;
  /** Monotonic time of the store's last answer about this list. */
  executorsReadAtMs(): number;
  waves(): readonly UpkeepWave[];
  /** Monotonic time of the store's last answer about the configuration. */
  readAtMs(): number;
  /** Starts or stops following the list of executors. */
  followExecutors(isNeeded: boolean): void;
};

/** Options of a member. */
export type MemberOptions = {
  /** Name under which this process holds the lease on the machines. */
  name: string;
  peer: OwnerServerOptions;
  /** What this member's machine can carry. */
  capacity: MemberCapacity;
  store: Store;
  executorClient: ExecutorClient;
  machineClient: MachineClient;
  adviceClient: AdviceClient | undefined;
  events: JobEventLog;
  partitionCount: number;
  /** Longest lease that the platform grants. */
  maxLeaseMs: number;
  /**
   * Time after a key was taken away from which no call with it is served, in
   * milliseconds; undefined if there is no such promise.
   */
  maxRevocationMs?: number | undefined;
  /** Part of its cap by which an organisation may exceed it; 0 by default. */
  capOvershoot?: number;
  /** Time for which callers can ask for the state of an ended job. */
  endedJobRetentionMs: number;
  /** Whether tasks that fit nowhere are reserved room; never by default. */
  reservesRoom?: ReservationMode | undefined;
  /** Starts to follow the platform; calls `onChange` after each change. */
  followPlatform(onChange: () => void): PlatformState;
};
