// Config and executors of a small deployment with one service.

import { createGangs, startExecutor } from "./executor_standin.js";

/** Route to the only service. */
export const ROUTE = {
  name: "r-anu6wsj",
  host: "pule25.example",
  pathPrefix: "/puxa400/",
  type: "non_idempotent",
  timeoutMs: 3000,
  targetLatencyMs: 600,
  priority: 0,
  service: "huvo11a",
  attempts: 3,
  stretch: 1.6,
};

/** Config with some routes and the only service. */
export function configOf(version, routes = [ROUTE]) {
  return {
    version,
    routes,
    services: [{
      name: "huvo11a",
      healthPath: "/health",
      maxConns: 64,
      protocol: "h1",
      tls: false,
      enforcesCapacity: true,
      standby: false,
    }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 262144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}

/** Returns the step of a submission that a work item belongs to. */
export function stepOf(submissions, task) {
  const [id, , step] = task.split(".");
  return submissions.get(id)?.steps[Number(step)];
}

/**
 * Creates a function that adds an executor of the service. `submissions` are
 * the bodies that requesters have sent, by id.
 */
export function createFleet(deployment, { submissions, ...options }) {
  const { host, store, record } = deployment;
  const gangs = createGangs({
    waitMs: 3_000,
    membersOf(task) {
      const step = stepOf(submissions, task);
      return step?.gang === true ? step.count : undefined;
    },
  });
  const executors = [];
  return {
    executors,
    async add(index) {
      const executor = await startExecutor({
        host,
        store,
        record,
        gangs,
        id: `i-${String(index).padStart(8, "0")}`,
        service: "huvo11a",
        labels: ["a", `r1-${Math.ceil(index / 4)}`],
        capacity: { cpu: 16000, memMb: 32768 },
        sizeOf(task) {
          const step = stepOf(submissions, task);
          return { cpu: step?.cpu ?? 0, memMb: step?.memMb ?? 0 };
        },
        isSaved: (task) => stepOf(submissions, task)?.checkpointing === true,
        ...options,
      });
      executors.push(executor);
      deployment.onClose(executor.close);
      return executor;
    },
  };
}

/** Returns an id of 16 hexadecimal digits. */
export function createId() {
  return Array.from(
    { length: 16 },
    () => Math.floor(16 * Math.random()).toString(16),
  ).join("");
}
