// A daemon is cut off from the store; the other one takes the machines over,
// orders some and is then stopped as planned. The first one is back in touch.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { NotRun, runCase, sleep, TROUBLE } from "../standin-2/world.mjs";
import { startProxy } from "../standin-2/proxy.mjs";

const QUEUE = { host: "pule25.example", pathPrefix: "/puxa400/" };
const CUT_MS = 5_300;
const WORK_MS = 3_000;
const STANDBY = "lohu93e";

const service = (name, standby) => ({
  name,
  healthPath: "/health",
  maxConns: 64,
  protocol: "h1",
  tls: false,
  enforcesCapacity: true,
  standby,
});

await runCase(dirname(fileURLToPath(import.meta.url)), {
  bounds: { requireFencing: false },
}, async (world) => {
  for (let index = 1; index <= 3; index++) {
    await world.addMachine({
      id: `m-${index}`,
      pool: "huvo11a",
      standby: [STANDBY],
    });
  }
  for (let index = 4; index <= 6; index++) {
    await world.addMachine({
      id: `m-${index}`,
      pool: STANDBY,
      standby: [STANDBY],
    });
  }
  world.putConfig({
    version: 7,
    routes: [{
      name: "r-anu6wsj",
      ...QUEUE,
      type: "non_idempotent",
      timeoutMs: 3000,
      targetLatencyMs: 600,
      priority: 0,
      service: "huvo11a",
      attempts: 3,
      stretch: 1.6,
    }],
    services: [service("huvo11a", false), service(STANDBY, true)],
  });
  const proxy = await startProxy(`${world.net}.9:0`, world.store.address);
  // The store deals the last partition, which stands for the machines, to the
  // daemon that joins second.
  const second = await world.startDaemon(1);
  await world.untilReady(second);
  await sleep(1_000);
  const first = await world.startDaemon(0, { storeAddress: proxy.address });
  await world.untilReady(first);
  await sleep(5_000);
  const isHolder = ({ ip }) =>
    world.store.holderOf(31)?.startsWith(ip) === true;
  if (!isHolder(first)) {
    throw new NotRun("the store dealt the machines to the other daemon");
  }

  if (TROUBLE) {
    world.record(`${first.name} is cut off from the store`);
    proxy.cut();
  }
  const cutMs = world.now();
  await sleep(1_900);
  // A flood: more work than the pool of three machines holds.
  for (let number = 1; number <= 6; number++) {
    await world.submit(second, QUEUE, `5c0e7a21d94b36f${number}`, {
      spec: "(text)",
      steps: [{ count: 2, cpu: 15_000, memMb: 256, estimateMs: WORK_MS }],
    }, { workMs: WORK_MS });
  }
  await sleep(cutMs + CUT_MS - 600 - world.now());
  if (TROUBLE) {
    world.record(`${second.name} gets SIGTERM`);
    second.child.kill("SIGTERM");
    await sleep(cutMs + CUT_MS - world.now());
    proxy.heal();
    world.record(`${first.name} reaches the store again`);
  }
  await sleep(30_000);
  proxy.close();

  const broken = [];
  for (const { id } of world.machines) {
    let highest;
    for (const order of world.orders.filter(({ machine }) => machine === id)) {
      if (highest !== undefined && order.token < highest.token) {
        broken.push({ highest, order });
      }
      if (highest === undefined || order.token >= highest.token) {
        highest = order;
      }
    }
  }
  if (world.orders.length === 0) throw new NotRun("no machine was ordered");
  for (const { highest, order } of broken) {
    world.record(
      `${order.machine}: token ${highest.token} of ${highest.holder} at ${highest.atMs} ms, then token ` +
        `${order.token} of ${order.holder} at ${order.atMs} ms`,
    );
  }
  if (broken.length === 0) return undefined;
  return `ONE: ${broken.length} orders for machines carry a lower fencing token than an order before, where fences aren't checked`;
});
