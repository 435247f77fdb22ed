// A config removes a route; the next one adds it again, for another service. A
// requester asks for its submission.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS,
  NotRun,
  runCase,
  sleep,
  TROUBLE,
} from "../standin-2/world.mjs";

const HOST = "pule25.example";
const PREFIX = "/puxa400/";
const ID = "5c0e7a21d94b36f8";
const WORK_MS = 30_000;

const route = (name, service) => ({
  name,
  host: HOST,
  pathPrefix: PREFIX,
  type: "non_idempotent",
  timeoutMs: 3000,
  targetLatencyMs: 600,
  priority: 0,
  service,
  attempts: 3,
  stretch: 1.6,
});
const service = (name) => ({
  name,
  healthPath: "/health",
  maxConns: 64,
  protocol: "h1",
  tls: false,
  enforcesCapacity: true,
  standby: false,
});
/** Another queue, which stays. */
const other = { ...route("r-k9m68k7", "kafi81c"), pathPrefix: "/wuhu344/" };
const services = [service("huvo11a"), service("kafi81c")];

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (world) => {
  for (const name of ["huvo11a", "kafi81c"]) {
    for (let index = 1; index <= 3; index++) {
      await world.addExecutor({
        id: `i-${name}-${index}`,
        service: name,
        labels: ["a", `r${index}-1`],
      });
    }
  }
  world.putConfig({
    version: 7,
    routes: [route("r-anu6wsj", "huvo11a"), other],
    services,
  });
  const daemons = [await world.startDaemon(0), await world.startDaemon(1)];
  for (const daemon of daemons) await world.untilReady(daemon);
  await sleep(3_000);

  const queue = { host: HOST, pathPrefix: PREFIX };
  const submission = {
    spec: "(text)",
    steps: [{ count: 2, cpu: 500, memMb: 256, estimateMs: WORK_MS }],
  };
  await world.submit(daemons[0], queue, ID, submission, { workMs: WORK_MS });
  await sleep(BOUNDS.visible_ms + 1_000);
  for (const daemon of daemons) {
    const { status } = await world.call(daemon, queue, "GET", ID);
    if (status !== 200) {
      throw new NotRun("the submission isn't known before the change");
    }
  }

  if (TROUBLE) world.putConfig({ version: 8, routes: [other], services });
  await sleep(BOUNDS.configApplyMs + 500);
  if (TROUBLE) {
    world.putConfig({
      version: 9,
      routes: [route("r-anu6wsj", "kafi81c"), other],
      services,
    });
  }
  // All machines have been in touch for longer than contactMs and the core is
  // stable: nothing is killed, stopped, cut, slow or down in this case.
  await sleep(BOUNDS.configApplyMs + 1_500);

  let gone = 0;
  for (let round = 0; round < 3; round++) {
    for (const daemon of daemons) {
      const { status } = await world.call(daemon, queue, "GET", ID);
      if (status === 410) gone++;
    }
    await sleep(500);
  }
  // The same request again, as requesters send it at times after the 2xx.
  await world.call(daemons[1], queue, "POST", ID, submission);
  await sleep(3_000);
  const tasks = new Map();
  for (const executor of world.executors) {
    for (const { task } of executor.running()) {
      tasks.set(task, (tasks.get(task) ?? 0) + 1);
    }
  }
  const twice = [...tasks].filter(([, count]) => count > 1).map(([task]) =>
    task
  );
  world.record(
    `work items that run twice at the same time: ${twice.join(", ") || "none"}`,
  );
  const { status } = await world.call(daemons[0], queue, "DELETE", ID);
  await sleep(BOUNDS.cancel_ms + BOUNDS.stopMs + 500);
  const left = status === 200
    ? world.executors.flatMap((it) => it.running()).length
    : 0;
  world.record(
    `work items that run on after the DELETE was acknowledged: ${left}`,
  );
  if (gone === 0 && twice.length === 0 && left === 0) return undefined;
  return `LOST: ${gone} of 6 GETs for the accepted submission, which nobody has cancelled and which runs, were ` +
    `answered 410; then TWICE: ${twice.length} of its work items run twice; then UNASKED: ${left} run on after a DELETE`;
});
