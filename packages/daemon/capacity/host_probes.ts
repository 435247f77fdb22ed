/**
 * Health checks of the hosts of a data centre.
 *
 * @module
 */

import type { FleetState, ObservedHealth } from "@lagoonloom/decisions";
import { splitAddress } from "@lagoonloom/objects";
import { connect } from "node:net";

/** Healthy hosts that are probed in each round, in turn. */
const ROUTINE_PROBES_PER_ROUND = 2;

/** Interval of the rounds of probes in milliseconds. */
const ROUND_INTERVAL_MS = 1_000;

/** Time in milliseconds after which a probe fails. */
const PROBE_TIMEOUT_MS = 800;

/** Most probes in one round, which bounds connections and traffic. */
const MAX_PROBES_PER_ROUND = 64;

/** Result of an attempt to connect to an executor. */
export type ProbeResult = "connected" | "refused" | "timeout";

/** Probes of the hosts of one data centre. */
export type HostProbes = {
  /** Returns the health of each probed host, with its start in log time. */
  observedHealth(): ReadonlyMap<string, ObservedHealth>;
  /** Probes the hosts that are due. */
  tick(state: FleetState, nowMs: number): void;
};

/** Options of {@linkcode createHostProbes}. */
export type HostProbesOptions = {
  dataCentre: string;
  /** Whether the platform's list has the host; true without a list. */
  isListed: (host: string) => boolean;
  /** Log time now in milliseconds. */
  logNowMs: () => number;
  probe?: (address: string) => Promise<ProbeResult>;
};

/**
 * Creates the probes of a data centre's executors. Hosts that are out of
 * service, or missing from the platform's list, are probed every second, up to
 * a bound; of the others, two are probed each second in turn, which costs less
 * than 1 KB/s for 400 hosts. A host that the list lacks is only probed,
 * not taken for failed, since the list is delayed.
 *
 * @example
 * ```ts
 * const probes = createHostProbes(options);
 * probes.tick(state, performance.now());
 * ```
 */
export function createHostProbes(options: HostProbesOptions): HostProbes {
  const probe = options.probe ?? probeAddress;
  const healthByHost = new Map<string, ObservedHealth>();
  let dueAtMs = 0;
  let nextRoutineIndex = 0;
  let nextSuspectIndex = 0;

  function recordResult(host: string, result: ProbeResult): void {
    const health = HEALTH_BY_RESULT[result];
    if (healthByHost.get(host)?.health === health) return;
    healthByHost.set(host, { health, sinceMs: options.logNowMs() });
  }

  function selectHosts(state: FleetState): string[] {
    const names = Object.keys(state.set.hosts)
      .filter((name) =>
        state.set.hosts[name]!.data_centre === options.dataCentre
      );
    for (const name of healthByHost.keys()) {
      if (state.set.hosts[name] === undefined) healthByHost.delete(name);
    }
    const suspects = names.filter((name) => isSuspect(state, name));
    const routine = Array.from(
      { length: Math.min(ROUTINE_PROBES_PER_ROUND, names.length) },
      () => names[nextRoutineIndex++ % names.length]!,
    );
    // Suspects also take turns, since after the loss of a data centre there are
    // more of them than one round may probe.
    const count = Math.min(
      MAX_PROBES_PER_ROUND - ROUTINE_PROBES_PER_ROUND,
      suspects.length,
    );
    const due = Array.from(
      { length: count },
      () => suspects[nextSuspectIndex++ % suspects.length]!,
    );
    return [...new Set([...due, ...routine])];
  }

  function isSuspect(state: FleetState, name: string): boolean {
    const host = state.hosts.get(name);
    return host?.health !== "in-service" || host.permit !== undefined ||
      (healthByHost.get(name)?.health ?? "in-service") !== "in-service" ||
      !options.isListed(name);
  }

  return {
    observedHealth: () => healthByHost,
    tick(state, nowMs) {
      if (nowMs < dueAtMs) return;
      dueAtMs = nowMs + ROUND_INTERVAL_MS;
      for (const name of selectHosts(state)) {
        void probe(state.set.hosts[name]!.address)
          .then((result) => recordResult(name, result));
      }
    },
  };
}

const HEALTH_BY_RESULT: Readonly<
  Record<ProbeResult, ObservedHealth["health"]>
> = {
  connected: "in-service",
  refused: "failed",
  timeout: "silent",
};

function probeAddress(address: string): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const options = { ...splitAddress(address), timeout: PROBE_TIMEOUT_MS };
    const socket = connect(options);
    const end = (result: ProbeResult) => {
      socket.destroy();
      resolve(result);
    };
    socket.once("connect", () => end("connected"));
    socket.once("timeout", () => end("timeout"));
    socket.once("error", (error: NodeJS.ErrnoException) => {
      end(error.code === "ECONNREFUSED" ? "refused" : "timeout");
    });
  });
}
