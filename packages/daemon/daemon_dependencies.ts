/**
 * Clients and settings that a daemon is created with.
 *
 * @module
 */

import type { PeerClient } from "@lagoonloom/peers";
import type { PlatformClient } from "@lagoonloom/platform";
import type { EventLog, Metrics } from "@lagoonloom/telemetry";
import type { DaemonSettings } from "./settings.ts";

/** Clients and settings that a daemon is created with. */
export type DaemonDependencies = {
  settings: DaemonSettings;
  platform: PlatformClient;
  connectPeer: (address: string) => PeerClient;
  events: EventLog;
  metrics: Metrics;
  createIncarnation: () => string;
};
