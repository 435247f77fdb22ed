// A rack of executors loses power every 3.2 s, 1.5 s each time, for 18 s. A requester asks
// for its submission, of which no run has ended `failed`.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { NotRun, runCase, sleep, TROUBLE } from "../standin-2/world.mjs";

const QUEUE = { host: "pule25.example", pathPrefix: "/puxa400/" };
const ID = "5c0e7a21d94b36f8";
const RACK = "r1-1";
const WORK_MS = 6_000;
const LOSSES = 6;
const DARK_MS = 1_500;
/** Time from one loss of power to the next. */
const PERIOD_MS = 3_200;

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (world) => {
  for (let index = 1; index <= 6; index++) {
    const labels = ["a", index <= 4 ? RACK : "r1-2"];
    await world.addExecutor({ id: `i-huvo11a-${index}`, service: "huvo11a", labels });
  }
  world.putConfig({
    version: 7,
    routes: [{
      name: "r-anu6wsj", ...QUEUE, type: "non_idempotent", timeoutMs: 3000, targetLatencyMs: 600,
      priority: 0, service: "huvo11a", attempts: 3, stretch: 1.6,
    }],
    services: [{
      name: "huvo11a", healthPath: "/health", maxConns: 64, protocol: "h1", tls: false,
      enforcesCapacity: true, standby: false,
    }],
  });
  const daemons = [await world.startDaemon(0), await world.startDaemon(1)];
  for (const daemon of daemons) await world.untilReady(daemon);
  await sleep(3_000);

  await world.submit(daemons[0], QUEUE, ID, {
    spec: "(text)",
    steps: [{ count: 4, cpu: 2000, memMb: 1024, estimateMs: WORK_MS, affinity: RACK }],
  }, { workMs: WORK_MS });
  const endMs = world.now() + 2_000;
  while (world.starts.length < 4 && world.now() < endMs) await sleep(20);
  if (world.starts.length < 4) throw new NotRun("the work items don't start");
  await sleep(1_000);

  const rack = world.executors.filter(({ labels }) => labels.includes(RACK));
  if (TROUBLE) {
    for (let loss = 1; loss <= LOSSES; loss++) {
      const lostMs = world.now();
      world.record(`loss of power ${loss}: all executors of rack ${RACK} crash`);
      for (const executor of rack) executor.crash();
      await sleep(DARK_MS);
      for (const executor of rack) await executor.restart();
      world.record(`rack ${RACK} is back`);
      if (loss < LOSSES) await sleep(lostMs + PERIOD_MS - world.now());
    }
  }

  let state;
  const untilMs = world.now() + 30_000;
  while (world.now() < untilMs && state !== "completed" && state !== "failed") {
    await sleep(1_000);
    state = (await world.call(daemons[1], QUEUE, "GET", ID)).body?.state;
  }
  const failedRuns = world.ends.filter(({ how }) => how === "failed").length;
  world.record(`the submission is shown as ${state}; ends of runs that are failed: ${failedRuns} of ${world.ends.length}`);
  if (state !== "failed" || failedRuns > 0) return undefined;
  return "LOST: the accepted submission is shown as failed without cause: no run of a work item has ended failed, and three have to";
});
