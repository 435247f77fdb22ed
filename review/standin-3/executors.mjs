// Stand-in of an executor, as PROTOCOL.md describes it: fencing tokens, leases,
// numbered ends, stops. A work item runs as long as its spec says, in ms.
import { createServer } from "node:http";

/** Starts an executor and registers it in the store. */
export async function startExecutor(options) {
  const { id, service, store, zone, capacity, labels } = options;
  const { maxLeaseMs, stopMs, onEvent, port = 0 } = options;
  const bornMs = Date.now();
  const startedMs = performance.now();
  const clockMs = () => Math.round(performance.now() - startedMs) + 1_000;
  const running = new Map();
  const highestRun = new Map();
  let finished = [];
  let sequence = 0;
  let token = 0;
  let untilMs = 0;
  let isGone = false;
  const waiters = new Set();

  const end = (task, how) => {
    const run = running.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    running.delete(task);
    highestRun.set(task, Math.max(highestRun.get(task) ?? 0, run.number));
    finished.push([++sequence, task, run.number, how, ""]);
    onEvent({
      type: "ended",
      executor: id,
      service,
      task,
      run: run.number,
      how,
    });
    for (const wake of [...waiters]) wake();
  };

  const lapse = setInterval(() => {
    if (clockMs() <= untilMs) return;
    for (const task of [...running.keys()]) end(task, "lapsed");
  }, 20);

  const extend = (requestedMs) => {
    const longestMs = clockMs() + maxLeaseMs;
    untilMs = Math.max(untilMs, Math.min(requestedMs, longestMs));
  };

  const refuse = (reason) => ({
    status: 409,
    json: { clockMs: clockMs(), reason },
  });

  const usedCpu = () => {
    let cpu = 0;
    for (const run of running.values()) cpu += run.cpu;
    return cpu;
  };

  const start = ({ task, run, spec, untilMs: lease }) => {
    const known = running.get(task);
    if (lease <= clockMs()) return refuse("late");
    extend(lease);
    if (known?.number === run) {
      return { status: 200, json: { clockMs: clockMs() } };
    }
    if (known !== undefined || run <= (highestRun.get(task) ?? 0)) {
      return refuse("old");
    }
    const { ms, cpu } = JSON.parse(spec);
    if (usedCpu() + cpu > capacity.cpu) return refuse("room");
    const timer = setTimeout(() => end(task, "done"), ms);
    running.set(task, {
      number: run,
      startedMs: performance.now(),
      ms,
      cpu,
      timer,
    });
    onEvent({ type: "started", executor: id, service, task, run, token });
    return { status: 200, json: { clockMs: clockMs() } };
  };

  const hold = async (body) => {
    if (body.untilMs !== undefined) extend(body.untilMs);
    finished = finished.filter(([number]) => number > body.lastSeen);
    const endMs = performance.now() + (body.waitMs ?? 0);
    while (finished.length === 0 && performance.now() < endMs) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, endMs - performance.now());
        waiters.add(wake);
      });
    }
    return {
      status: 200,
      json: {
        clockMs: clockMs(),
        born: bornMs,
        running: [...running].map(([task, { number, startedMs: atMs, ms }]) => [
          task,
          number,
          "",
          Math.min(99, Math.floor(100 * (performance.now() - atMs) / ms)),
          0,
        ]),
        finished: finished.slice(0, 500),
      },
    };
  };

  const handle = async (path, body) => {
    const given = body.fencingToken ?? 0;
    if (given < token) return refuse("fence");
    token = given;
    switch (path) {
      case "/lagoonloom/run-start":
        return start(body);
      case "/lagoonloom/run-stop": {
        const { task, run } = body;
        highestRun.set(task, Math.max(highestRun.get(task) ?? 0, run));
        setTimeout(() => {
          if (running.get(task)?.number === run) end(task, "stopped");
        }, stopMs / 2);
        return { status: 200, json: { clockMs: clockMs() } };
      }
      case "/lagoonloom/hold":
        return await hold(body);
      case "/lagoonloom/pace":
        return { status: 200, json: { clockMs: clockMs() } };
      default:
        return { status: 404, json: {} };
    }
  };

  const server = createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (request.headers["x-expected-instance"] !== id) {
      response.writeHead(421).end("{}");
      return;
    }
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const { status, json } = await handle(request.url, body);
    response.writeHead(status, { "content-type": "application/json" })
      .end(JSON.stringify(json));
  });
  await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));
  const address = `127.0.0.1:${server.address().port}`;
  store.put("servers", id, {
    service,
    address,
    zone,
    version: "1",
    slots: 8,
    state: "ready",
    coldRemainingMs: 0,
    capacity,
    labels,
    seq: 1,
    born: bornMs,
  });
  return {
    id,
    service,
    running,
    /** Options of the next boot of this executor, under the same id. */
    nextBoot: { ...options, port: server.address().port },
    /** Ends the executor and all that runs there. */
    async close() {
      if (isGone) return;
      isGone = true;
      clearInterval(lapse);
      for (const [task, run] of running) {
        clearTimeout(run.timer);
        onEvent({
          type: "lost",
          executor: id,
          service,
          task,
          run: run.number,
          how: "gone",
        });
      }
      running.clear();
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
