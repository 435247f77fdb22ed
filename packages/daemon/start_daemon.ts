/**
 * Start and graceful stop of a daemon with its network listeners.
 *
 * @module
 */

import { createCallerServer } from "@lagoonloom/callers";
import { splitAddress } from "@lagoonloom/objects";
import { createOperatorServer } from "@lagoonloom/operators";
import {
  createPeerClient,
  createPeerServer,
  type PeerServer,
} from "@lagoonloom/peers";
import { createPlatformClient } from "@lagoonloom/platform";
import {
  createEventLog,
  createMetrics,
  type EventLog,
  type Metrics,
} from "@lagoonloom/telemetry";
import { createServer, type Server } from "node:http";
import { createDaemon, type Daemon } from "./create_daemon.ts";
import { createIncarnation } from "./incarnation.ts";
import type { DaemonSettings } from "./settings.ts";

/** Daemon that serves callers, operators and peers on its listeners. */
export type RunningDaemon = {
  daemon: Daemon;
  /** Stops gracefully; resolves with whether all requests ended in time. */
  stop(reason: string): Promise<boolean>;
};

/** Options of {@linkcode startDaemon}. */
export type StartDaemonOptions = { events?: EventLog };

/**
 * Starts a daemon with its listeners for callers, operators, peers and metrics.
 *
 * @throws {Error} If a listener can't use its address.
 *
 * @example
 * ```ts
 * const running = await startDaemon(settings);
 * await running.stop("SIGTERM");
 * ```
 */
export async function startDaemon(
  settings: DaemonSettings,
  options: StartDaemonOptions = {},
): Promise<RunningDaemon> {
  const { name, data_centre: dataCentre } = settings.daemon;
  const events = options.events ?? createEventLog({
    bindings: { member: name },
    minLevel: settings.events.level,
  });
  const metrics = createMetrics();
  const platform = createPlatformClient(settings.platform.log, {
    timeoutMs: settings.bounds.platform_ms,
    ...(settings.platform.hosts === undefined
      ? {}
      : { hostsAddress: settings.platform.hosts }),
  });
  const daemon = createDaemon({
    settings,
    platform,
    events,
    metrics,
    connectPeer: (address) =>
      createPeerClient(address, { key: settings.peers.key }),
    createIncarnation,
  });
  const listeners = await openListeners(settings, { daemon, metrics, events });
  daemon.start();
  const incarnation = daemon.membership.incarnation();
  events.log("daemonStarted", { member: name, incarnation, dataCentre });
  return {
    daemon,
    async stop(reason) {
      events.log("daemonStopping", { signal: reason });
      const isDrained = await drain(daemon, settings);
      await daemon.stop({ isDrained });
      await listeners.close();
      platform.close();
      events.log("daemonStopped", { drained: isDrained });
      return isDrained;
    },
  };
}

/** Waits for the requests in flight, at most as long as the settings allow. */
async function drain(
  daemon: Daemon,
  settings: DaemonSettings,
): Promise<boolean> {
  const { unready_ms: unreadyMs, shutdown_ms: shutdownMs } = settings.bounds;
  daemon.setStopping();
  // Gives the load balancer time to notice that this entry host is not ready.
  await sleep(Math.min(unreadyMs, shutdownMs));
  daemon.requestPath.stopAccepting();
  const isDrained = daemon.requestPath.drained().then(() => true);
  const remainingMs = Math.max(0, shutdownMs - unreadyMs);
  return await Promise.race([isDrained, sleep(remainingMs).then(() => false)]);
}

/** Open listeners of one daemon. */
type Listeners = { close(): Promise<void> };

async function openListeners(
  settings: DaemonSettings,
  parts: { daemon: Daemon; metrics: Metrics; events: EventLog },
): Promise<Listeners> {
  const { daemon, metrics, events } = parts;
  const servers: Server[] = [];
  let peers: PeerServer | undefined;
  const close = async () => {
    await peers?.close();
    await Promise.all(servers.map(closeServer));
  };
  const open = async (server: Server, address: string) => {
    await listen(server, address);
    servers.push(server);
  };
  try {
    await open(
      createCallerServer(daemon.requestPath.app),
      settings.callers.address,
    );
    const operators = createOperatorServer(daemon.operatorHandlers, {
      keysByOperator: new Map(
        Object.entries(settings.operator).map(([name, { key }]) => [name, key]),
      ),
      onError: (error) =>
        events.log("unexpectedFailure", {
          task: "operators",
          error: String(error),
        }),
    });
    await open(operators, settings.operators.address);
    if (settings.metrics !== undefined) {
      await open(createMetricsServer(metrics), settings.metrics.address);
    }
    peers = await createPeerServer(daemon.peerHandlers, {
      ...splitAddress(settings.peers.address),
      key: settings.peers.key,
    });
  } catch (error) {
    await close();
    throw error;
  }
  return { close };
}

function createMetricsServer(metrics: Metrics): Server {
  return createServer((request, response) => {
    if (request.url !== "/metrics") {
      response.writeHead(404).end();
      return;
    }
    metrics.registry.metrics().then(
      (text) => {
        const type = metrics.registry.contentType;
        response.writeHead(200, { "content-type": type }).end(text);
      },
      () => response.writeHead(500).end(),
    );
  });
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

/** Closes idle connections at once, others after their current answer. */
function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(
      () => server.closeAllConnections(),
      CLOSE_TIMEOUT_MS,
    );
    server.close(() => {
      clearTimeout(timer);
      resolve();
    });
    server.closeIdleConnections();
  });
}

/** Time in milliseconds after which connections are closed during an answer. */
const CLOSE_TIMEOUT_MS = 1_000;

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
